#pragma once

// A log in memory with the faults of the platform's: outages, replies lost after
// the append took effect, appends that take effect late, and trimming.

#include "platform/log.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>

namespace rattan::entry::testing {

class FakeLog final : public platform::Log {
public:
    explicit FakeLog(const Clock& clock)
        : clock(clock)
    {
    }

    Result<platform::AppendDone> append(const std::string& stream, const std::vector<Json>& values) override
    {
        const std::lock_guard lock(this->mutex);
        ++this->appendCalls;
        if (this->down)
            return fail(ErrorCode::Unavailable, "log.append", "fake", "the log is down");
        if (this->late > 0) {
            --this->late;
            this->landing.emplace_back(stream, values);
            return fail(ErrorCode::Timeout, "log.append", "fake", "the append hangs");
        }
        const platform::AppendDone done = this->put(stream, values);
        if (stream == this->lastStream) {
            this->down = true;
            return fail(ErrorCode::Timeout, "log.append", "fake", "the reply was lost");
        }
        if (this->lost > 0) {
            --this->lost;
            return fail(ErrorCode::Timeout, "log.append", "fake", "the reply was lost");
        }
        return done;
    }

    Result<platform::LogPage> read(const std::string& stream, std::uint64_t from, std::size_t limit,
        std::chrono::milliseconds wait) override
    {
        std::unique_lock lock(this->mutex);
        this->grown.wait_for(lock, wait, [&] { return this->down || this->streams[stream].next() > from; });
        if (this->down)
            return fail(ErrorCode::Unavailable, "log.read", "fake", "the log is down");
        const Stream& kept = this->streams[stream];
        platform::LogPage page { kept.firstKept, kept.next(), {} };
        for (const platform::LogRecord& record : kept.records) {
            if (record.offset >= from && page.records.size() < limit)
                page.records.push_back(record);
        }
        return page;
    }

    void setDown(bool value)
    {
        const std::lock_guard lock(this->mutex);
        this->down = value;
        this->grown.notify_all();
    }

    // The next `count` appends take effect, but their replies are lost.
    void loseReplies(int count)
    {
        const std::lock_guard lock(this->mutex);
        this->lost = count;
    }

    // The next append to the stream takes effect, its reply is lost, and from then on the
    // log is down.
    void goDownAfter(const std::string& stream)
    {
        const std::lock_guard lock(this->mutex);
        this->lastStream = stream;
    }

    // The next `count` appends take effect only with land().
    void delayAppends(int count)
    {
        const std::lock_guard lock(this->mutex);
        this->late = count;
    }

    void land()
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [stream, values] : this->landing)
            this->put(stream, values);
        this->landing.clear();
    }

    void trim(const std::string& stream, std::uint64_t before)
    {
        const std::lock_guard lock(this->mutex);
        Stream& kept = this->streams[stream];
        kept.firstKept = std::max(kept.firstKept, before);
        std::erase_if(kept.records, [&](const platform::LogRecord& record) { return record.offset < before; });
    }

    std::vector<Json> records(const std::string& stream)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<Json> values;
        for (const platform::LogRecord& record : this->streams[stream].records)
            values.push_back(record.value);
        return values;
    }

    int appends()
    {
        const std::lock_guard lock(this->mutex);
        return this->appendCalls;
    }

private:
    struct Stream {
        std::uint64_t firstKept { 0 };
        std::uint64_t appended { 0 };
        std::vector<platform::LogRecord> records;

        std::uint64_t next() const { return this->appended; }
    };

    platform::AppendDone put(const std::string& stream, const std::vector<Json>& values)
    {
        Stream& kept = this->streams[stream];
        const std::uint64_t first = kept.appended;
        for (const Json& value : values)
            kept.records.push_back({ kept.appended++, this->clock.wall(), value });
        this->grown.notify_all();
        return { first, kept.appended };
    }

    const Clock& clock;
    std::mutex mutex;
    std::condition_variable grown;
    std::map<std::string, Stream> streams;
    std::vector<std::pair<std::string, std::vector<Json>>> landing;
    bool down { false };
    std::string lastStream; // The log goes down with an append to it.
    int lost { 0 };
    int late { 0 };
    int appendCalls { 0 };
};

} // namespace rattan::entry::testing
