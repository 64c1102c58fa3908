#include "instance/term_appender.h"

#include "instance/events.h"

namespace rattan::instance {

namespace {

    // The name under which planners append; terms are its epochs.
    constexpr const char* planningProducer = "planner";

    // Answers take milliseconds; longer than this they are taken as lost. Short enough
    // for a second try within a term.
    constexpr std::chrono::milliseconds appendTimeout { 800 };
    constexpr std::chrono::milliseconds connectTimeout { 500 };

    constexpr Millis appendRetry = 60; // After an append that the store did not take.

    // Of one append: well below what the store takes at once, and little enough to arrive in
    // time over a thin link.
    constexpr std::size_t mostBytesAtOnce = 256 << 10;

} // namespace

TermStream::TermStream(Stream stream, std::int64_t term, http::AsyncClient& client, const StoreProtocol& protocol, const Clock& clock, std::string storeAddress, Metrics& metrics)
    : stream(stream)
    , term(term)
    , client(client)
    , protocol(protocol)
    , clock(clock)
    , address(std::move(storeAddress))
    , metrics(metrics)
{
}

void TermStream::append(std::vector<StoreRecord> records) { this->waiting = std::move(records); }

void TermStream::step(Millis now)
{
    if (this->callUnderWay || this->lost || now < this->retryAt)
        return;
    if (this->fenced == 0)
        this->fence();
    else if (!this->waiting.empty())
        this->sendBatch();
}

http::Call TermStream::callFor(const std::vector<StoreRecord>& records, std::int64_t number) const
{
    http::Call call = this->protocol.append(this->stream, records, { .at = std::nullopt, .producer = Producer { planningProducer, this->term, number } });
    call.purpose = "record";
    call.address = this->address;
    call.timeout = appendTimeout;
    call.connectTimeout = connectTimeout;
    return call;
}

void TermStream::fence()
{
    this->callUnderWay = true;
    this->client.send(this->callFor({}, 0), [this](const http::Reply& reply) {
        this->callUnderWay = false;
        this->fenceAnswered(this->protocol.parseAppend(reply).status);
    });
}

void TermStream::fenceAnswered(AppendStatus status)
{
    const Millis now = this->clock.now();
    if (status == AppendStatus::Appended)
        this->fenced = now;
    else if (status == AppendStatus::Fenced)
        this->lost = true;
    else
        this->retryAt = now + appendRetry;
}

// Each part is repeated as it is until its fate is known, so it must not depend on the time.
std::vector<StoreRecord> TermStream::nextPart() const
{
    std::size_t bytes = 0;
    auto end = this->waiting.begin();
    while (end != this->waiting.end()) {
        bytes += end->key.size() + end->value.size();
        if (end != this->waiting.begin() && bytes > mostBytesAtOnce)
            break;
        ++end;
    }
    return { this->waiting.begin(), end };
}

void TermStream::sendBatch()
{
    const std::vector<StoreRecord> part = this->nextPart();
    this->callUnderWay = true;
    this->metrics.count("rattan_store_calls_total", { { "call", "record" } });
    this->client.send(this->callFor(part, this->nextNumber), [this, sent = part.size()](const http::Reply& reply) {
        this->callUnderWay = false;
        this->partAnswered(this->protocol.parseAppend(reply).status, sent);
    });
}

void TermStream::partAnswered(AppendStatus status, std::size_t sent)
{
    if (status == AppendStatus::Appended) {
        ++this->nextNumber;
        this->waiting.erase(this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(sent));
        return;
    }
    logEvent(events::appendFailed, { { "stream", nameOf(this->stream) }, { "status", nameOf(status) }, { "records", sent } });
    // Something else was appended in this epoch, such as a fence carried out late. A new
    // term starts from what the log holds and numbers anew.
    if (status == AppendStatus::Fenced || status == AppendStatus::WrongNumber)
        this->lost = true;
    this->retryAt = this->clock.now() + appendRetry;
}

} // namespace rattan::instance
