#include "base/settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>

namespace rattan {

class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(flagOverridesEnvironment);
    CPPUNIT_TEST(refusesBadValues);
    CPPUNIT_TEST_SUITE_END();

    struct Sample {
        std::int64_t limit { 10 };
        std::string listen { "127.0.0.1:0" };
    };

    static std::optional<int> parse(Sample& sample, std::vector<const char*> words)
    {
        Settings settings("rattan-sample", "A sample.");
        settings.number("limit", &sample.limit, 1, 100, "items", "A limit.");
        settings.address("listen", &sample.listen, "Where to listen.");
        words.insert(words.begin(), "rattan-sample");
        return settings.parse(static_cast<int>(words.size()), words.data());
    }

public:
    void flagOverridesEnvironment()
    {
        setenv("RATTAN_LIMIT", "20", 1);
        Sample sample;
        CPPUNIT_ASSERT(!parse(sample, {}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 20 }, sample.limit);
        setenv("RATTAN_SAMPLE_LIMIT", "30", 1);
        CPPUNIT_ASSERT(!parse(sample, {}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 30 }, sample.limit);
        CPPUNIT_ASSERT(!parse(sample, { "--limit", "40" }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 40 }, sample.limit);
        unsetenv("RATTAN_LIMIT");
        unsetenv("RATTAN_SAMPLE_LIMIT");
    }

    void refusesBadValues()
    {
        const std::vector<std::vector<const char*>> bad {
            { "--limit", "0" }, { "--limit", "101" }, { "--limit", "ten" }, { "--limit", "" }, { "--limit", "1e3" },
            { "--listen", "localhost:80" }, { "--listen", "127.0.0.1" }, { "--listen", "127.0.0.1:70000" },
            { "--unknown", "1" }
        };
        for (const auto& words : bad) {
            Sample sample;
            CPPUNIT_ASSERT_EQUAL(Settings::badUsage, parse(sample, words).value_or(0));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace rattan
