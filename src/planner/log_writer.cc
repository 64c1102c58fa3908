#include "planner/log_writer.h"

#include "base/log.h"
#include "planner/events.h"

#include <algorithm>

namespace rattan::planner {

namespace {

    constexpr std::chrono::milliseconds pauseAfterFailure { 200 };

} // namespace

LogWriter::LogWriter(platform::Log& log, const std::string& domain)
    : log(log)
    , stream(records::jobStream(domain))
{
}

LogWriter::~LogWriter() { this->stop(); }

void LogWriter::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void LogWriter::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

bool LogWriter::offer(records::JobRecord record)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->records.size() >= capacity)
            return false;
        this->records.push_back(std::move(record));
    }
    this->wake.notify_one();
    return true;
}

std::size_t LogWriter::waiting() const
{
    const std::lock_guard lock(this->mutex);
    return this->records.size();
}

void LogWriter::run()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->wake.wait(lock, [this] { return this->stopping || !this->records.empty(); });
        if (this->records.empty())
            return;
        lock.unlock();
        const bool appended = this->appendSome();
        lock.lock();
        if (appended)
            continue;
        if (this->stopping)
            return;
        this->wake.wait_for(lock, pauseAfterFailure, [this] { return this->stopping; });
    }
}

bool LogWriter::appendSome()
{
    std::vector<Json> values;
    {
        const std::lock_guard lock(this->mutex);
        const std::size_t count = std::min(this->records.size(), recordsPerAppend);
        for (std::size_t i = 0; i < count; ++i)
            values.push_back(toJson(this->records[i]));
    }
    const auto done = attempt([&] { return this->log.append(this->stream, values); });
    if (!done) {
        logEvent(events::appendFailed, { { "stream", this->stream }, { "records", values.size() }, { "step", done.error.step }, { "peer", done.error.peer }, { "error", done.error.message } });
        return false;
    }
    const std::lock_guard lock(this->mutex);
    this->records.erase(this->records.begin(), this->records.begin() + static_cast<std::ptrdiff_t>(values.size()));
    return true;
}

} // namespace rattan::planner
