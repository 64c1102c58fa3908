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
        this->handleFenceReply(this->protocol.parseAppend(reply), reply.wasResent());
    });
}

// The store has executed an earlier transmission of the fence if it expects the first part.
void TermAppender::handleFenceReply(const AppendReply& reply, bool wasResent)
{
    const Millis now = this->clock.now();
    if (reply.status == AppendStatus::Unknown || wasResent)
        ++this->fencesInDoubt;
    const bool isRepeat = reply.status == AppendStatus::WrongNumber && reply.expectedNumber == 1 && this->fencesInDoubt > 0;
    if (reply.status == AppendStatus::Appended || isRepeat)
        this->fenceTime = now;
    else if (reply.status == AppendStatus::Fenced)
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
        this->handlePartReply(this->protocol.parseAppend(reply), reply.wasResent(), sent);
    });
}

void TermAppender::handlePartReply(const AppendReply& reply, bool wasResent, std::size_t sent)
{
    if (reply.status == AppendStatus::Appended)
        return this->completePart(sent);
    logEvent(events::appendFailed, { { "stream", nameOf(this->stream) }, { "status", nameOf(reply.status) }, { "records", sent } });
    this->retryAt = this->clock.now() + appendRetryDelay;
    if (reply.status == AppendStatus::Unknown || wasResent)
        this->partInDoubt = this->anyPartInDoubt = true;
    if (reply.status == AppendStatus::Fenced)
        this->termLost = true;
    if (reply.status != AppendStatus::WrongNumber)
        return;
    // An earlier transmission of this part was executed, since nothing else has its number.
    if (this->partInDoubt && reply.expectedNumber == this->nextSequenceNumber + 1)
        return this->completePart(sent);
    // Otherwise something unknown was appended in this epoch. A new term starts from the records in
    // the store, with new sequence numbers.
    if (!this->canRestartNumbers(reply)) {
        this->termLost = true;
        return;
    }
    --this->fencesInDoubt;
    this->nextSequenceNumber = reply.expectedNumber;
}

void TermAppender::completePart(std::size_t sent)
{
    ++this->nextSequenceNumber;
    this->partInDoubt = false;
    this->pendingRecords.erase(this->pendingRecords.begin(), this->pendingRecords.begin() + static_cast<std::ptrdiff_t>(sent));
}

// A fence that is executed late makes the store expect the first number again. Numbers can be
// used again only if no earlier part can be executed late: it would take the place of a new part
// with its number, and the store would acknowledge the new part without storing it.
bool TermAppender::canRestartNumbers(const AppendReply& reply) const
{
    return reply.expectedNumber == 1 && this->fencesInDoubt > 0 && !this->anyPartInDoubt;
}

} // namespace rattan::instance
