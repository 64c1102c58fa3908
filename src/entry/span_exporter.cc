#include "entry/span_exporter.h"

#include "base/json.h"
#include "entry/events.h"

namespace rattan::entry {

namespace {

    constexpr std::chrono::milliseconds gatherTime(500);
    constexpr std::chrono::milliseconds sendTimeout(1000);
    constexpr std::int64_t nanosPerMilli = 1000000;
    constexpr int serverSpan = 2; // SPAN_KIND_SERVER

    Json attribute(const std::string& key, const std::string& value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

    Json toOtlp(const FinishedSpan& span)
    {
        Json attributes = Json::array();
        for (const auto& [key, value] : span.attributes)
            attributes.push_back(attribute(key, value));
        // OTLP's JSON writes 64-bit numbers as text.
        return { { "traceId", span.context.traceId }, { "spanId", span.context.spanId }, { "parentSpanId", span.parentId },
            { "name", span.name }, { "kind", serverSpan },
            { "startTimeUnixNano", std::to_string(span.startWall * nanosPerMilli) },
            { "endTimeUnixNano", std::to_string((span.startWall + span.durationMs) * nanosPerMilli) },
            { "attributes", std::move(attributes) } };
    }

} // namespace

SpanExporter::SpanExporter(std::string collector, std::string service, std::string instance)
    : collector(std::move(collector))
    , service(std::move(service))
    , instance(std::move(instance))
{
}

SpanExporter::~SpanExporter() { this->stop(); }

void SpanExporter::start()
{
    this->thread = std::thread([this] { this->run(); });
    setSpanExporter([this](const FinishedSpan& span) {
        if (!this->ring.tryPush(FinishedSpan(span)))
            ++this->lost;
    });
}

void SpanExporter::stop()
{
    if (!this->thread.joinable())
        return;
    setSpanExporter({});
    this->ring.close();
    this->thread.join();
}

void SpanExporter::run()
{
    while (true) {
        std::vector<FinishedSpan> spans;
        while (spans.size() < batch) {
            auto span = this->ring.popFor(gatherTime);
            if (!span)
                break;
            spans.push_back(std::move(*span));
        }
        if (!spans.empty())
            this->send(spans);
        else if (this->ring.isClosed())
            return;
    }
}

void SpanExporter::send(const std::vector<FinishedSpan>& spans)
{
    http::Call call;
    call.method = "POST";
    call.address = this->collector;
    call.path = "/v1/traces";
    call.body = detail::otlpBody(spans, this->service, this->instance);
    call.headers = { { "content-type", "application/json" } };
    call.timeout = sendTimeout;
    call.canResend = true;
    const http::Reply reply = this->client.send(call);
    if (reply.ok())
        return;
    this->lost += spans.size();
    logEvent(spansDropped, { { "collector", this->collector }, { "spans", this->lost.load() }, { "why", reply.error ? reply.error->message : std::to_string(reply.status) } });
}

namespace detail {

    std::string otlpBody(const std::vector<FinishedSpan>& spans, const std::string& service, const std::string& instance)
    {
        Json list = Json::array();
        for (const FinishedSpan& span : spans)
            list.push_back(toOtlp(span));
        const Json resource { { "attributes", { attribute("service.name", service), attribute("service.instance.id", instance) } } };
        const Json scope { { "scope", { { "name", "rattanrock" } } }, { "spans", std::move(list) } };
        const Json body { { "resourceSpans", Json::array({ Json { { "resource", resource }, { "scopeSpans", Json::array({ scope }) } } }) } };
        return body.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

} // namespace detail

} // namespace rattan::entry
