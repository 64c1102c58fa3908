#pragma once

// Traces: a span for each hop of a request, joined by W3C traceparent headers.
//
//     Span span("entry.request", parentFromHeader);   // current on this thread
//     span.addAttribute("workspace", workspace);
//     forward(..., currentSpan().traceparent());       // the next hop's parent
//
// A finished span goes to a bounded in-memory store (oldest first out) from
// which `rattanctl trace` reads, and to the exporter if one is set. Spans cost
// one allocation and one lock; nothing waits on an exporter.

#include "base/clock.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattan {

struct SpanContext {
    std::string traceId; // 32 hex digits; empty means "no trace".
    std::string spanId; // 16 hex digits.

    // The header value for the next hop; empty when there is no trace.
    std::string traceparent() const;
};

// Reads a traceparent header; empty when it is not a valid version 00 value.
std::optional<SpanContext> parseTraceparent(std::string_view);

struct FinishedSpan {
    SpanContext context;
    std::string parentId; // Empty for a root.
    std::string name;
    std::string program;
    Millis startWall { 0 };
    Millis durationMs { 0 };
    std::vector<std::pair<std::string, std::string>> attributes;
};

// The span that is current on this thread; an empty context if none is.
const SpanContext& currentSpan();

class Span {
public:
    // Starts a child of parent, or of the thread's current span if no parent
    // is given, or a new trace if there is neither.
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

// Every stored span of a trace, in order of finishing.
std::vector<FinishedSpan> spansOf(std::string_view traceId);

// How many spans are kept; older ones are dropped.
inline constexpr std::size_t spanStoreCapacity = 4096;

// Called with each finished span; must not block. Set once at start.
void setSpanExporter(std::function<void(const FinishedSpan&)>);

} // namespace rattan
