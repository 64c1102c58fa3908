#include "base/trace.h"

#include "base/random.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <mutex>

namespace rattan {

namespace {

    constexpr std::size_t traceIdDigits = 32;
    constexpr std::size_t spanIdDigits = 16;
    constexpr std::size_t traceparentLength = 55;

    struct SpanStore {
        std::mutex mutex;
        std::deque<FinishedSpan> spans;
        std::function<void(const FinishedSpan&)> exporter;
    };

    SpanStore& spanStore()
    {
        static SpanStore store;
        return store;
    }

    SpanContext& threadSpan()
    {
        thread_local SpanContext context;
        return context;
    }

    bool isHex(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    bool isZero(std::string_view text)
    {
        return text.find_first_not_of('0') == std::string_view::npos;
    }

} // namespace

std::string SpanContext::traceparent() const
{
    return this->traceId.empty() ? std::string() : fmt::format("00-{}-{}-01", this->traceId, this->spanId);
}

std::optional<SpanContext> parseTraceparent(std::string_view text)
{
    if (text.size() != traceparentLength || text.substr(0, 3) != "00-" || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const std::string_view traceId = text.substr(3, traceIdDigits);
    const std::string_view spanId = text.substr(36, spanIdDigits);
    if (!isHex(traceId) || !isHex(spanId) || isZero(traceId) || isZero(spanId))
        return std::nullopt;
    return SpanContext { std::string(traceId), std::string(spanId) };
}

const SpanContext& currentSpan() { return threadSpan(); }

Span::Span(std::string name, std::optional<SpanContext> parent)
    : enclosing(threadSpan())
    , startedAt(SystemClock().now())
{
    const SpanContext& parentContext = parent ? *parent : this->enclosing;
    this->finished.context.traceId = parentContext.traceId.empty() ? randomHex(traceIdDigits) : parentContext.traceId;
    this->finished.context.spanId = randomHex(spanIdDigits);
    this->finished.parentId = parentContext.spanId;
    this->finished.name = std::move(name);
    this->finished.startWall = SystemClock().wall();
    threadSpan() = this->finished.context;
}

Span::~Span()
{
    threadSpan() = this->enclosing;
    this->finished.durationMs = SystemClock().now() - this->startedAt;
    SpanStore& store = spanStore();
    const std::lock_guard lock(store.mutex);
    if (store.exporter)
        store.exporter(this->finished);
    store.spans.push_back(std::move(this->finished));
    if (store.spans.size() > spanStoreCapacity)
        store.spans.pop_front();
}

void Span::addAttribute(std::string key, std::string value)
{
    this->finished.attributes.emplace_back(std::move(key), std::move(value));
}

std::vector<FinishedSpan> spansOf(std::string_view traceId)
{
    SpanStore& store = spanStore();
    const std::lock_guard lock(store.mutex);
    std::vector<FinishedSpan> spans;
    for (const FinishedSpan& span : store.spans) {
        if (span.context.traceId == traceId)
            spans.push_back(span);
    }
    return spans;
}

void setSpanExporter(std::function<void(const FinishedSpan&)> exporter)
{
    SpanStore& store = spanStore();
    const std::lock_guard lock(store.mutex);
    store.exporter = std::move(exporter);
}

} // namespace rattan
