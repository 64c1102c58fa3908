// Malformed input to the parsers, the log formatter and the metrics of base/. Such input
// comes from the headers and bodies of callers' requests.

#include "base/json.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/trace.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan {

class MalformedInputTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MalformedInputTest);
    CPPUNIT_TEST(malformedTraceparentsAreRejected);
    CPPUNIT_TEST(jsonErrorsAreReportedTogether);
    CPPUNIT_TEST(logValuesCannotForgeLines);
    CPPUNIT_TEST(metricSeriesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void malformedTraceparentsAreRejected()
    {
        const std::string good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        CPPUNIT_ASSERT(parseTraceparent(good));
        const std::vector<std::string> bad { "", "00", good + "0", "01" + good.substr(2),
            "00-00000000000000000000000000000000-b7ad6b7169203331-01", "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
            "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", "00_0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331_01" };
        for (const std::string& text : bad)
            CPPUNIT_ASSERT_MESSAGE(text, !parseTraceparent(text));
    }

    void jsonErrorsAreReportedTogether()
    {
        const Json json = Json::parse(R"({"key":"","count":1e300,"extra":true})");
        JsonReader reader(json, "test.read");
        reader.text("key", 1, 10);
        reader.number("count", 1, 5);
        reader.text("missing", 1, 10);
        const std::string message = reader.error()->message;
        for (const char* part : { "key must have", "count must be", "missing is missing", "extra is not" })
            CPPUNIT_ASSERT_MESSAGE(message, message.find(part) != std::string::npos);
    }

    // Guards against a caller that forges a log line by putting a line break into a name.
    void logValuesCannotForgeLines()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), detail::quoted("plain"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"\""), detail::quoted(""));
        CPPUNIT_ASSERT_EQUAL(std::string("\"a\\x0aevent=1\""), detail::quoted("a\nevent=1"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"say \\\"hi\\\"\""), detail::quoted("say \"hi\""));
    }

    void metricSeriesAreBounded()
    {
        Metrics metrics;
        for (std::size_t i = 0; i < Metrics::maxSeries + 10; ++i)
            metrics.count("sample_total", { { "caller", std::to_string(i) } });
        CPPUNIT_ASSERT(metrics.prometheusText().find("rattan_metrics_dropped_total 10") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedInputTest);

} // namespace rattan
