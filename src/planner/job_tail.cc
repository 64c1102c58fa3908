#include "planner/job_tail.h"

#include "base/log.h"
#include "planner/events.h"

namespace rattan::planner {

namespace {

    constexpr std::size_t pageRecords = 500;
    constexpr std::chrono::milliseconds longPoll { 1000 };
    constexpr std::chrono::milliseconds firstPause { 50 };
    constexpr std::chrono::milliseconds longestPause { 1000 };

} // namespace

JobTail::JobTail(platform::Log& log, const std::string& domain, BoundedQueue<JobTailItem>* ring)
    : log(log)
    , stream(records::jobStream(domain))
    , ring(ring)
{
}

JobTail::~JobTail() { this->stop(); }

void JobTail::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void JobTail::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void JobTail::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        this->readPage();
        lock.lock();
    }
}

void JobTail::readPage()
{
    // Until the end was reached once, an empty stream must answer at once.
    const auto wait = this->atEnd ? longPoll : std::chrono::milliseconds(0);
    const auto page = attempt([&] { return this->log.read(this->stream, this->next, pageRecords, wait); });
    if (!page) {
        if (this->logReachable.exchange(false))
            logEvent(events::logUnreachable, { { "stream", this->stream }, { "step", page.error.step }, { "peer", page.error.peer }, { "error", page.error.message } });
        this->pause(std::min(longestPause, firstPause * (1 << std::min<std::uint64_t>(this->failures++, 5))));
        return;
    }
    this->failures = 0;
    if (!this->logReachable.exchange(true))
        logEvent(events::logReachableAgain, { { "stream", this->stream } });
    this->handOn(*page);
    if (this->next >= page->next)
        this->atEnd = true;
}

void JobTail::handOn(const platform::LogPage& page)
{
    if (page.firstKept > this->next) {
        logEvent(events::recordsTrimmed, { { "stream", this->stream }, { "from", this->next }, { "first_kept", page.firstKept } });
        this->next = page.firstKept;
    }
    for (const platform::LogRecord& record : page.records) {
        this->next = record.offset + 1;
        auto parsed = attempt([&] { return records::parseJobRecord(record.value); });
        if (!parsed) {
            logEvent(events::recordPassedOver, { { "stream", this->stream }, { "offset", record.offset }, { "error", parsed.error.message } });
            continue;
        }
        if (!this->ring->push({ record.offset, record.atWall, std::move(*parsed) }))
            return;
    }
}

void JobTail::pause(std::chrono::milliseconds time)
{
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, time, [this] { return this->stopping; });
}

} // namespace rattan::planner
