#include "base/log_writer.h"

#include <cerrno>
#include <fmt/format.h>
#include <string_view>
#include <unistd.h>

namespace rattan {

namespace {

    constexpr std::string_view cutMark = " [cut]\n";

    // Returns false if a write fails, for example because the reader has closed its end.
    bool writeAll(int descriptor, const std::string& text)
    {
        std::size_t written = 0;
        while (written < text.size()) {
            const ssize_t count = ::write(descriptor, text.data() + written, text.size() - written);
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0)
                return false;
            written += static_cast<std::size_t>(count);
        }
        return true;
    }

} // namespace

LogWriter::LogWriter(int descriptor, LogWriterOptions options)
    : options(options)
    , shared(std::make_shared<Shared>(options.maxQueuedLines))
{
    this->thread = std::thread([descriptor, batchInterval = options.batchInterval, shared = this->shared] {
        std::uint64_t reportedDrops = 0;
        while (auto first = shared->queuedLines.pop()) {
            if (!shared->queuedLines.isClosed())
                std::this_thread::sleep_for(batchInterval);
            std::string text = std::move(*first);
            while (auto next = shared->queuedLines.popFor(std::chrono::milliseconds(0)))
                text += *next;
            if (const std::uint64_t drops = shared->droppedLines; drops != reportedDrops) {
                text += fmt::format("level=warning name=log.left_out lines={} in_all={}\n", drops - reportedDrops, drops);
                reportedDrops = drops;
            }
            if (!writeAll(descriptor, text))
                break;
        }
        shared->isThreadDone = true;
    });
}

LogWriter::~LogWriter() { this->stop(); }

// Counts one line, and returns the number of lines of this source in the current second.
std::int64_t LogWriter::countLine(const LogSource& source)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    const std::lock_guard lock(this->mutex);
    Budget& budget = this->budgets[source];
    if (budget.second != second)
        budget = { second, 0 };
    return ++budget.lineCount;
}

void LogWriter::write(const LogSource& source, std::string line)
{
    const std::int64_t lineCount = this->countLine(source);
    if (line.size() > this->options.maxLineBytes)
        line = line.substr(0, this->options.maxLineBytes - cutMark.size()) + std::string(cutMark);
    const std::size_t maxQueued = lineCount > this->options.maxRareLinesPerSecond ? this->options.maxQueuedLines / 2 : this->options.maxQueuedLines;
    const bool isAccepted = lineCount <= this->options.maxLinesPerSecond && this->shared->queuedLines.size() < maxQueued;
    if (!isAccepted || !this->shared->queuedLines.tryPush(std::move(line)))
        ++this->shared->droppedLines;
}

void LogWriter::stop()
{
    if (!this->thread.joinable())
        return;
    this->shared->queuedLines.close();
    const auto deadline = std::chrono::steady_clock::now() + this->options.maxStopTime;
    constexpr std::chrono::milliseconds pollInterval { 5 };
    while (!this->shared->isThreadDone && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(pollInterval);
    if (this->shared->isThreadDone)
        this->thread.join();
    else
        this->thread.detach(); // The reader has stalled, which must not keep the program from ending.
}

} // namespace rattan
