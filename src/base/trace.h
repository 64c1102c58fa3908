#pragma once

// Distributed tracing: one span for each hop of a request, linked by W3C traceparent headers.
//
//     Span span("entry.request", parentFromHeader);   // becomes the thread's current span
//     span.addAttribute("workspace", workspace);
//     forward(..., currentSpan().traceparent());       // the next hop's parent
//
// A finished span is passed to the exporter, if one is set, and then kept in a bounded
// in-memory store that `rattanctl trace` reads and that drops its oldest spans first. A
// span costs one allocation and one lock. Exporters must not block.

#include "base/clock.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattan {

struct SpanContext {
    std::string traceId; // 32 hex digits, or empty if there is no trace.
    std::string spanId; // 16 hex digits.

    // The value of the traceparent header for the next hop, or empty if there is no trace.
    std::string traceparent() const;
};

// Parses a traceparent header. Returns nullopt if it is not a valid value of version 00.
std::optional<SpanContext> parseTraceparent(std::string_view);

struct FinishedSpan {
    SpanContext context;
    std::string parentId; // Empty for a root span.
    std::string name;
    std::string program;
    Millis startWall { 0 };
    Millis durationMs { 0 };
    std::vector<std::pair<std::string, std::string>> attributes;
};

// The context of this thread's current span, or an empty context if there is none.
const SpanContext& currentSpan();

// A span that lasts as long as this object. It is the thread's current span, except while a
// nested span exists.
class Span {
public:
    // Starts a child of `parent` or, if it is nullopt, of the thread's current span. Starts
    // a new trace if there is neither.
    explicit Span(std::string name, std::optional<SpanContext> parent = std::nullopt);
    ~Span();
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

    const SpanContext& context() const { return this->finished.context; }
    void addAttribute(std::string key, std::string value);

private:
    FinishedSpan finished;
    SpanContext enclosing;
    Millis startedAt;
};

// All stored spans of a trace, in the order in which they finished.
std::vector<FinishedSpan> spansOf(std::string_view traceId);

// The maximum number of stored spans, over all traces; the oldest are dropped.
inline constexpr std::size_t spanStoreCapacity = 4096;

// Sets the function that is called with each finished span. The function must not block,
// because it runs under a lock that every thread needs to finish a span. It is set once, when
// the program starts; an empty function removes it.
void setSpanExporter(std::function<void(const FinishedSpan&)>);

} // namespace rattan
