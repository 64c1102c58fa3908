// Pages of a load are no snapshot: records may be appended between two of them.
// So reading goes on from where the stream ended at the first page, and the
// handler keeps the record with the higher offset.

#include "instance/stream_reader.h"

#include <algorithm>

namespace rattan::instance {

namespace {

    // After a call that failed, doubling up to the longest: a store that is down
    // answers no sooner for being asked more, and every call has its price.
    constexpr Millis firstPause = 50;
    constexpr Millis longestPause = 400;

    constexpr std::chrono::milliseconds connectLimit { 600 };

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
    if (this->callUnderWay || now < this->notBefore || (!this->hurried && now < this->gathersUntil))
        return;
    if (this->next < 0 || this->loading)
        this->load();
    else
        this->read(this->waitsNow() ? this->options.wait : 0, false);
}

// The first read after a failure does not wait: it would confirm only when its wait is
// over that nothing has changed. Until then the operators' configuration counts as unknown,
// and every caller with a key is turned away.
bool StreamReader::waitsNow() const { return this->options.pause == 0 && this->failurePause == 0; }

void StreamReader::probe()
{
    if (!this->probeUnderWay && this->loaded())
        this->read(0, true);
}

void StreamReader::load()
{
    const Millis sentAt = this->clock.now();
    if (!this->loading) {
        this->loading = true;
        this->loadedTo.clear();
        this->loadEnd = -1;
        this->loadSentAt = sentAt;
        this->handler.loadBegun(this->options.stream);
    }
    http::Call call = this->protocol.newest(this->options.stream, this->loadedTo);
    call.purpose = "load";
    call.address = this->options.address;
    call.timeout = std::chrono::milliseconds(this->options.timeout);
    call.restartTimeoutOnData = true;
    call.connectTimeout = connectLimit;
    this->callUnderWay = true;
    this->client.send(std::move(call), [this, sentAt](const http::Reply& reply) {
        this->callUnderWay = false;
        this->pageRead(reply, sentAt);
    });
}

void StreamReader::pageRead(const http::Reply& reply, Millis)
{
    const Attempt<NewestPage> page = attempt([&] { return this->protocol.parseNewest(reply); });
    if (!page.value)
        return this->failed(page.error.message);
    const Millis now = this->clock.now();
    this->failurePause = 0;
    if (this->loadEnd < 0)
        this->loadEnd = page.value->end;
    for (const StoreRecord& record : page.value->records)
        this->handler.recordRead(this->options.stream, record, now);
    if (page.value->more && !page.value->records.empty()) {
        this->loadedTo = page.value->records.back().key;
        return;
    }
    this->loading = false;
    this->next = this->loadEnd;
    this->confirm(this->loadSentAt);
}

void StreamReader::read(Millis wait, bool isProbe)
{
    const Millis sentAt = this->clock.now();
    const std::int64_t from = this->next;
    http::Call call = this->protocol.read(this->options.stream, from, wait);
    call.purpose = nameOf(this->options.stream);
    call.address = this->options.address;
    call.timeout = std::chrono::milliseconds(wait + this->options.timeout);
    call.restartTimeoutOnData = true;
    call.connectTimeout = connectLimit;
    (isProbe ? this->probeUnderWay : this->callUnderWay) = true;
    this->client.send(std::move(call), [this, isProbe, from, wait, sentAt](const http::Reply& reply) {
        (isProbe ? this->probeUnderWay : this->callUnderWay) = false;
        this->recordsRead(reply, from, wait, sentAt);
    });
}

void StreamReader::recordsRead(const http::Reply& reply, std::int64_t from, Millis wait, Millis sentAt)
{
    const Attempt<ReadReply> read = attempt([&] { return this->protocol.parseRead(reply, from); });
    if (!read.value)
        return this->failed(read.error.message);
    const Millis now = this->clock.now();
    this->failurePause = 0;
    if (this->loading)
        return; // A probe that was overtaken by a load.
    if (read.value->dropped) {
        this->next = -1;
        return;
    }
    for (const StoreRecord& record : read.value->records) {
        if (record.offset < this->next)
            continue;
        this->handler.recordRead(this->options.stream, record, now);
        this->next = record.offset + 1;
    }
    this->notBefore = now + this->options.pause;
    if (!read.value->records.empty())
        this->gathersUntil = now + this->options.gather;
    // An answer without records was given when its wait was over.
    const bool waited = read.value->records.empty() && now - sentAt >= wait;
    if (this->next >= read.value->end)
        this->confirm(waited ? sentAt + wait : sentAt);
}

void StreamReader::failed(const std::string& why)
{
    const Millis now = this->clock.now();
    this->failurePause = std::clamp(this->failurePause * 2, firstPause, longestPause);
    this->notBefore = now + this->failurePause;
    this->handler.streamFailed(this->options.stream, why, now);
}

void StreamReader::confirm(Millis at)
{
    this->confirmed = std::max(this->confirmed, at);
    this->handler.streamConfirmed(this->options.stream, this->next, this->confirmed, this->clock.now());
}

} // namespace rattan::instance
