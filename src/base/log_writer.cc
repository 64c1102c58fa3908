#include "base/log_writer.h"

#include <cerrno>
#include <fmt/format.h>
#include <unistd.h>

namespace rattan {

namespace {

    // False when the reader is gone.
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
    , shared(std::make_shared<Shared>(options.mostLines))
{
    this->thread = std::thread([descriptor, gather = options.gather, shared = this->shared] {
        std::uint64_t told = 0;
        while (auto first = shared->lines.pop()) {
            if (!shared->lines.isClosed())
                std::this_thread::sleep_for(gather);
            std::string text = std::move(*first);
            while (auto next = shared->lines.popFor(std::chrono::milliseconds(0)))
                text += *next;
            if (const std::uint64_t left = shared->leftOut; left != told) {
                text += fmt::format("level=warning name=log.left_out lines={} in_all={}\n", left - told, left);
                told = left;
            }
            if (!writeAll(descriptor, text))
                break;
        }
        shared->done = true;
    });
}

LogWriter::~LogWriter() { this->stop(); }

// The lines of this source in the present second, with this one.
std::int64_t LogWriter::countLine(const LogSource& source)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    const std::lock_guard lock(this->mutex);
    Budget& budget = this->budgets[source];
    if (budget.second != second)
        budget = { second, 0 };
    return ++budget.used;
}

void LogWriter::write(const LogSource& source, std::string line)
{
    const std::int64_t used = this->countLine(source);
    const std::size_t room = used > this->options.rareLines ? this->options.mostLines / 2 : this->options.mostLines;
    const bool fits = used <= this->options.linesPerSecond && this->shared->lines.size() < room;
    if (!fits || !this->shared->lines.tryPush(std::move(line)))
        ++this->shared->leftOut;
}

void LogWriter::stop()
{
    if (!this->thread.joinable())
        return;
    this->shared->lines.close();
    const auto until = std::chrono::steady_clock::now() + this->options.longestStop;
    constexpr std::chrono::milliseconds step { 5 };
    while (!this->shared->done && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(step);
    if (this->shared->done)
        this->thread.join();
    else
        this->thread.detach(); // Nobody reads; the program must end all the same.
}

} // namespace rattan
