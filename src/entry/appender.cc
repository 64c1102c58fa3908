#include "entry/appender.h"

#include <algorithm>

namespace rattan::entry {

namespace {

    constexpr std::string_view step = "log.append";
    constexpr std::chrono::milliseconds pauseAfterFailure(200);
    constexpr std::chrono::milliseconds retryAfter(1000);

} // namespace

Appender::Appender(platform::Log& log, std::string stream)
    : log(log)
    , stream(std::move(stream))
{
}

Appender::~Appender() { this->stop(); }

void Appender::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void Appender::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

Result<std::uint64_t> Appender::append(Json record, std::chrono::milliseconds limit)
{
    auto item = std::make_shared<Item>();
    item->record = std::move(record);
    if (!this->push(item))
        return fail(ErrorCode::Overloaded, std::string(step), this->stream, "too many records wait for the log", retryAfter);
    std::unique_lock lock(this->mutex);
    if (!this->finished.wait_for(lock, limit, [&] { return item->finished; })) {
        // A record that no append has taken yet is withdrawn, and so provably
        // never reaches the log.
        const auto found = std::find(this->waiting.begin(), this->waiting.end(), item);
        if (found != this->waiting.end()) {
            this->waiting.erase(found);
            return fail(ErrorCode::Unavailable, std::string(step), this->stream, "the log did not take the record in time", retryAfter);
        }
        return fail(ErrorCode::Timeout, std::string(step), this->stream, "the log did not answer in time", retryAfter);
    }
    if (!item->result)
        return fail(item->result.error);
    return *item->result;
}

bool Appender::offer(Json record)
{
    auto item = std::make_shared<Item>();
    item->record = std::move(record);
    item->untilDone = true;
    return this->push(item);
}

bool Appender::push(const ItemPointer& item)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping || this->waiting.size() >= mostWaiting)
            return false;
        this->waiting.push_back(item);
    }
    this->wake.notify_one();
    return true;
}

void Appender::run()
{
    while (true) {
        const std::vector<ItemPointer> items = this->takeWaiting();
        if (items.empty())
            return;
        std::vector<Json> records;
        records.reserve(items.size());
        for (const ItemPointer& item : items)
            records.push_back(item->record);
        const auto done = attempt([&] { return this->log.append(this->stream, records); });
        this->finish(items, done);
        if (done)
            continue;
        std::unique_lock lock(this->mutex);
        this->wake.wait_for(lock, pauseAfterFailure, [this] { return this->stopping; });
    }
}

std::vector<Appender::ItemPointer> Appender::takeWaiting()
{
    std::unique_lock lock(this->mutex);
    this->wake.wait(lock, [this] { return this->stopping || !this->waiting.empty(); });
    std::vector<ItemPointer> items;
    while (!this->waiting.empty() && items.size() < mostInOneAppend) {
        items.push_back(std::move(this->waiting.front()));
        this->waiting.pop_front();
    }
    return items;
}

void Appender::finish(const std::vector<ItemPointer>& items, const Attempt<platform::AppendDone>& done)
{
    const std::lock_guard lock(this->mutex);
    for (std::size_t i = 0; i < items.size(); ++i) {
        const ItemPointer& item = items[i];
        if (!done && item->untilDone && !this->stopping && this->waiting.size() < mostWaiting) {
            this->waiting.push_back(item);
            continue;
        }
        if (done)
            item->result.value = done->first + i;
        else
            item->result.error = done.error;
        item->finished = true;
    }
    this->finished.notify_all();
}

} // namespace rattan::entry
