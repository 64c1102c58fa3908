#pragma once

// Sends finished spans to a collector as OTLP/HTTP JSON (POST /v1/traces).
//
//     SpanExporter exporter("127.0.0.1:4318", "rattan-entry", instance);
//     exporter.start();      // finished spans go to it from now on
//     exporter.stop();       // sends what waits, once
//
// A thread sends batches out of a bounded ring. A collector that is slow or gone
// costs spans, counted and logged, and never time of a request. Of all
// exporters in a process the one started last gets the spans.

#include "base/bounded_queue.h"
#include "base/trace.h"
#include "http/client.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace rattan::entry {

class SpanExporter {
public:
    static constexpr std::size_t mostWaiting = 2048;
    static constexpr std::size_t batch = 256;

    SpanExporter(std::string collector, std::string service, std::string instance);
    ~SpanExporter();
    SpanExporter(const SpanExporter&) = delete;
    SpanExporter& operator=(const SpanExporter&) = delete;

    void start();
    void stop();

    std::uint64_t dropped() const { return this->lost; }

private:
    void run();
    void send(const std::vector<FinishedSpan>&);

    const std::string collector;
    const std::string service;
    const std::string instance;
    BoundedQueue<FinishedSpan> ring { mostWaiting };
    http::Client client;
    std::atomic<std::uint64_t> lost { 0 };
    std::thread thread;
};

namespace detail {

    // The body of an OTLP/HTTP export request.
    std::string otlpBody(const std::vector<FinishedSpan>&, const std::string& service, const std::string& instance);

} // namespace detail

} // namespace rattan::entry
