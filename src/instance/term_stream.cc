#include "instance/term_stream.h"

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

void TermStream::sendBatch()
{
    this->callUnderWay = true;
    this->metrics.count("rattan_store_calls_total", { { "call", "record" } });
    this->client.send(this->callFor(this->waiting, this->nextNumber), [this](const http::Reply& reply) {
        this->callUnderWay = false;
        this->batchAnswered(this->protocol.parseAppend(reply).status);
    });
}

void TermStream::batchAnswered(AppendStatus status)
{
    if (status == AppendStatus::Appended) {
        ++this->nextNumber;
        this->waiting.clear();
        return;
    }
    logEvent(events::appendFailed, { { "stream", nameOf(this->stream) }, { "status", nameOf(status) }, { "records", this->waiting.size() } });
    // Something else was appended in this epoch, such as a fence carried out late. A new
    // term starts from what the log holds and numbers anew.
    if (status == AppendStatus::Fenced || status == AppendStatus::WrongNumber)
        this->lost = true;
    this->retryAt = this->clock.now() + appendRetry;
}

} // namespace rattan::instance
