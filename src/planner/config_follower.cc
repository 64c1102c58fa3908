#include "planner/config_follower.h"

namespace rattan::planner {

namespace {

constexpr std::size_t pageRecords = 100;
constexpr std::chrono::milliseconds longPoll { 500 };

} // namespace

ConfigFollower::ConfigFollower(platform::Log& log)
    : log(log)
{
}

ConfigFollower::~ConfigFollower() { this->stop(); }

void ConfigFollower::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void ConfigFollower::stop()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
}

config::Version ConfigFollower::inForce() const
{
    const std::lock_guard lock(this->mutex);
    return this->ledger.inForce();
}

void ConfigFollower::run()
{
    while (!this->stopping) {
        std::uint64_t next = 0;
        {
            const std::lock_guard lock(this->mutex);
            next = this->ledger.next();
        }
        const auto page = attempt([&] { return this->log.read("config", next, pageRecords, longPoll); });
        if (!page) {
            std::this_thread::sleep_for(longPoll);
            continue;
        }
        const std::lock_guard lock(this->mutex);
        this->ledger.trimmed(page->firstKept);
        for (const platform::LogRecord& record : page->records)
            this->ledger.apply(record.offset, record.value);
    }
}

} // namespace rattan::planner
