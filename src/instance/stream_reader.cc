// The pages of a load are not a snapshot, since records may be appended between two pages.
// Reads therefore continue from the end of the stream as of the first page, and the handler
// keeps the record with the higher offset.

#include "instance/stream_reader.h"

#include <algorithm>

namespace rattan::instance {

namespace {

    // Delay after a failed call, doubled up to the maximum. More calls do not make an unavailable
    // store answer earlier, and each has a cost.
    constexpr Millis minRetryDelay = 50;
    constexpr Millis maxRetryDelay = 400;

    constexpr std::chrono::milliseconds connectTimeout { 600 };

    // Beyond the time for which a read may wait for records. A slow store answers within it.
    constexpr Millis usualAnswerTime = 300;

} // namespace

StreamReader::StreamReader(http::AsyncClient& client, const StoreProtocol& protocol, const Clock& clock, StreamReaderOptions options, StreamHandler& handler)
    : client(client)
    , protocol(protocol)
    , clock(clock)
    , options(std::move(options))
    , handler(handler)
{
}

void StreamReader::step(Millis now)
{
    if (this->callInFlight || now < this->nextReadAt || (!this->lowLatency && now < this->batchUntil))
        return;
    if (this->nextOffset < 0 || this->loading)
        this->load();
    else
        this->read(this->shouldWait() ? this->options.wait : 0, false);
}

// The first read after a failure does not wait, since a waiting read would confirm an unchanged
// stream only at the end of its wait. Until then, the operators' configuration counts as
// outdated, and every caller with a key is refused.
bool StreamReader::shouldWait() const { return this->options.readInterval == 0 && this->retryDelay == 0; }

void StreamReader::probe()
{
    // After a failure, probes are as rare as reads. Otherwise the client would send them in a
    // busy loop to a store that rejects them immediately.
    const bool pausesAfterFailure = this->retryDelay > 0 && this->clock.now() < this->nextReadAt;
    if (!this->probeInFlight && this->loaded() && !pausesAfterFailure)
        this->read(0, true);
}

void StreamReader::storeAnswered(Millis now)
{
    if (this->retryDelay == 0 && !this->isOverdue(now))
        return;
    // The store may serve only some streams. Then this one is read no more often than it would be otherwise.
    if (now < this->failedAt + minRetryDelay)
        return;
    this->nextReadAt = std::min(this->nextReadAt, now);
    if (this->callInFlight && !this->probeInFlight && this->loaded())
        this->read(0, true);
}

bool StreamReader::isOverdue(Millis now) const { return this->callInFlight && now >= this->answerDueAt; }

void StreamReader::load()
{
    const Millis sentAt = this->clock.now();
    this->answerDueAt = sentAt + usualAnswerTime;
    if (!this->loading) {
        this->loading = true;
        this->lastLoadedKey.clear();
        this->endAtLoadStart = -1;
        this->loadSentAt = sentAt;
        this->handler.loadStarted(this->options.stream);
    }
    http::Call call = this->protocol.listNewest(this->options.stream, this->lastLoadedKey);
    call.purpose = "load";
    call.address = this->options.address;
    call.timeout = std::chrono::milliseconds(this->options.timeout);
    call.restartTimeoutOnData = true;
    call.connectTimeout = connectTimeout;
    this->callInFlight = true;
    this->client.send(std::move(call), [this, sentAt, number = ++this->callNumber](const http::Reply& reply) {
        if (number != this->callNumber)
            return;
        this->callInFlight = false;
        this->handlePage(reply, sentAt);
    });
}

void StreamReader::handlePage(const http::Reply& reply, Millis)
{
    const Attempt<NewestPage> page = attempt([&] { return this->protocol.parseNewest(reply); });
    if (!page.value)
        return this->handleFailure(page.error.message);
    // Without a last key, the records that follow can't be asked for, and must not count as deleted.
    if (page.value->hasMore && page.value->records.empty())
        return this->handleFailure("a page without records says that more follow");
    const Millis now = this->clock.now();
    this->retryDelay = 0;
    if (this->endAtLoadStart < 0)
        this->endAtLoadStart = page.value->end;
    for (const StoreRecord& record : page.value->records)
        this->handler.recordRead(this->options.stream, record, now);
    if (page.value->hasMore) {
        this->lastLoadedKey = page.value->records.back().key;
        return;
    }
    this->loading = false;
    this->nextOffset = this->endAtLoadStart;
    this->confirm(this->loadSentAt);
}

void StreamReader::read(Millis wait, bool isProbe)
{
    const Millis sentAt = this->clock.now();
    const std::int64_t from = this->nextOffset;
    http::Call call = this->protocol.read(this->options.stream, from, wait);
    call.purpose = nameOf(this->options.stream);
    call.address = this->options.address;
    call.timeout = std::chrono::milliseconds(wait + this->options.timeout);
    call.restartTimeoutOnData = true;
    call.connectTimeout = connectTimeout;
    if (isProbe) {
        this->probeInFlight = true;
        this->client.send(std::move(call), [this, from, wait, sentAt](const http::Reply& reply) {
            this->probeInFlight = false;
            if (reply.ok() && this->isOverdue(this->clock.now()))
                this->callInFlight = false; // It was sent while the store was out of reach. The next read takes its place.
            this->handleRecords(reply, from, wait, sentAt);
        });
        return;
    }
    this->callInFlight = true;
    this->answerDueAt = sentAt + wait + usualAnswerTime;
    this->client.send(std::move(call), [this, from, wait, sentAt, number = ++this->callNumber](const http::Reply& reply) {
        if (number != this->callNumber)
            return;
        this->callInFlight = false;
        this->handleRecords(reply, from, wait, sentAt);
    });
}

void StreamReader::handleRecords(const http::Reply& reply, std::int64_t from, Millis wait, Millis sentAt)
{
    const Attempt<ReadReply> read = attempt([&] { return this->protocol.parseRead(reply, from); });
    if (!read.value)
        return this->handleFailure(read.error.message);
    const Millis now = this->clock.now();
    this->retryDelay = 0;
    if (this->loading)
        return; // The response belongs to a probe, and a load has begun since.
    if (read.value->dropped) {
        this->nextOffset = -1;
        return;
    }
    for (const StoreRecord& record : read.value->records) {
        if (record.offset < this->nextOffset)
            continue;
        this->handler.recordRead(this->options.stream, record, now);
        this->nextOffset = record.offset + 1;
    }
    this->nextReadAt = now + this->options.readInterval;
    if (!read.value->records.empty())
        this->batchUntil = now + this->options.batchInterval;
    // A response without records was sent at the end of the wait, and confirms that time.
    const bool waitExpired = read.value->records.empty() && now - sentAt >= wait;
    if (this->nextOffset >= read.value->end)
        this->confirm(waitExpired ? sentAt + wait : sentAt);
}

void StreamReader::handleFailure(const std::string& why)
{
    const Millis now = this->clock.now();
    this->failedAt = now;
    this->retryDelay = std::clamp(this->retryDelay * 2, minRetryDelay, maxRetryDelay);
    this->nextReadAt = now + this->retryDelay;
    this->handler.streamFailed(this->options.stream, why, now);
}

void StreamReader::confirm(Millis at)
{
    this->confirmedTime = std::max(this->confirmedTime, at);
    this->handler.streamConfirmed(this->options.stream, this->nextOffset, this->confirmedTime, this->clock.now());
}

} // namespace rattan::instance
