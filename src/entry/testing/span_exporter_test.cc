#include "entry/span_exporter.h"

#include "base/json.h"
#include "http/server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <mutex>

namespace rattan::entry {

class SpanExporterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SpanExporterTest);
    CPPUNIT_TEST(spansReachTheCollector);
    CPPUNIT_TEST(missingCollectorCostsOnlySpans);
    CPPUNIT_TEST_SUITE_END();

public:
    void spansReachTheCollector()
    {
        std::mutex mutex;
        Json received;
        http::Server collector({});
        collector.route("POST", "/v1/traces", [&](const http::Request& request) {
            const std::lock_guard lock(mutex);
            received = Json::parse(request.body);
            return http::jsonAnswer(200, Json::object());
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return collector.start(); }));
        SpanExporter exporter(collector.address(), "rattan-entry", "e1");
        exporter.start();
        std::string outerId;
        {
            Span outer("outer");
            outerId = outer.context().spanId;
            Span inner("inner");
            inner.addAttribute("executor", "x1");
        }
        exporter.stop();
        const std::lock_guard lock(mutex);
        const Json spans = received["resourceSpans"][0]["scopeSpans"][0]["spans"];
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, spans.size());
        CPPUNIT_ASSERT_EQUAL(outerId, spans[0]["parentSpanId"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("x1"), spans[0]["attributes"][0]["value"]["stringValue"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), received["resourceSpans"][0]["resource"]["attributes"][1]["value"]["stringValue"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, exporter.dropped());
    }

    // The collector is gone. Requests must not notice; the operator sees how many
    // spans were lost.
    void missingCollectorCostsOnlySpans()
    {
        http::Server gone({});
        CPPUNIT_ASSERT(!attemptVoid([&] { return gone.start(); }));
        gone.stop();
        SpanExporter exporter(gone.address(), "rattan-entry", "e1");
        exporter.start();
        {
            const Span span("lost");
        }
        exporter.stop();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, exporter.dropped());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpanExporterTest);

} // namespace rattan::entry
