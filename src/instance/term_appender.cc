#include "instance/term_appender.h"

#include "instance/events.h"

namespace rattan::instance {

namespace {

    // The producer name of all planners. The term is the epoch.
    constexpr const char* plannerProducerName = "planner";

    // Responses take milliseconds; after this time a response counts as lost. Short enough for a
    // retry within a term.
    constexpr std::chrono::milliseconds appendTimeout { 800 };
    constexpr std::chrono::milliseconds connectTimeout { 500 };

    constexpr Millis appendRetryDelay = 60; // After a failed append.

    // Well below the store's limit, and small enough to arrive in time over a slow link.
    constexpr std::size_t maxBytesPerAppend = 256 << 10;

} // namespace

TermAppender::TermAppender(Stream stream, std::int64_t term, http::AsyncClient& client, const StoreProtocol& protocol, const Clock& clock, std::string storeAddress, Metrics& metrics)
    : stream(stream)
    , term(term)
    , client(client)
    , protocol(protocol)
    , clock(clock)
    , address(std::move(storeAddress))
    , metrics(metrics)
{
}

void TermAppender::append(std::vector<StoreRecord> records) { this->pendingRecords = std::move(records); }

void TermAppender::step(Millis now)
{
    if (this->callInFlight || this->termLost || now < this->retryAt)
        return;
    if (this->fenceTime == 0)
        this->fence();
    else if (!this->pendingRecords.empty())
        this->sendPart();
}

http::Call TermAppender::callFor(const std::vector<StoreRecord>& records, std::int64_t sequenceNumber) const
{
    http::Call call = this->protocol.append(this->stream, records, { .expectedEnd = std::nullopt, .producer = Producer { plannerProducerName, this->term, sequenceNumber } });
    call.purpose = "record";
    call.address = this->address;
    call.timeout = appendTimeout;
    call.connectTimeout = connectTimeout;
    return call;
}

void TermAppender::fence()
{
    this->callInFlight = true;
    this->client.send(this->callFor({}, 0), [this](const http::Reply& reply) {
        this->callInFlight = false;
        this->handleFenceReply(this->protocol.parseAppend(reply).status);
    });
}

void TermAppender::handleFenceReply(AppendStatus status)
{
    const Millis now = this->clock.now();
    if (status == AppendStatus::Appended)
        this->fenceTime = now;
    else if (status == AppendStatus::Fenced)
        this->termLost = true;
    else
        this->retryAt = now + appendRetryDelay;
}

// A part is repeated unchanged until its outcome is known, so its size must not depend on the time.
std::vector<StoreRecord> TermAppender::nextPart() const
{
    std::size_t bytes = 0;
    auto end = this->pendingRecords.begin();
    while (end != this->pendingRecords.end()) {
        bytes += end->key.size() + end->value.size();
        if (end != this->pendingRecords.begin() && bytes > maxBytesPerAppend)
            break;
        ++end;
    }
    return { this->pendingRecords.begin(), end };
}

void TermAppender::sendPart()
{
    const std::vector<StoreRecord> part = this->nextPart();
    this->callInFlight = true;
    this->metrics.count("rattan_store_calls_total", { { "call", "record" } });
    this->client.send(this->callFor(part, this->nextSequenceNumber), [this, sent = part.size()](const http::Reply& reply) {
        this->callInFlight = false;
        this->handlePartReply(this->protocol.parseAppend(reply).status, sent);
    });
}

void TermAppender::handlePartReply(AppendStatus status, std::size_t sent)
{
    if (status == AppendStatus::Appended) {
        ++this->nextSequenceNumber;
        this->pendingRecords.erase(this->pendingRecords.begin(), this->pendingRecords.begin() + static_cast<std::ptrdiff_t>(sent));
        return;
    }
    logEvent(events::appendFailed, { { "stream", nameOf(this->stream) }, { "status", nameOf(status) }, { "records", sent } });
    // WrongNumber means that something else was appended in this epoch, such as a fence that was
    // executed late. A new term starts from the records in the store, with new sequence numbers.
    if (status == AppendStatus::Fenced || status == AppendStatus::WrongNumber)
        this->termLost = true;
    this->retryAt = this->clock.now() + appendRetryDelay;
}

} // namespace rattan::instance
