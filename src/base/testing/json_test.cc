#include "base/json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace rattan;

namespace {

Json randomValue(std::mt19937_64& random, int depth)
{
    constexpr int kinds = 7;
    constexpr int scalarKinds = 5;
    constexpr int maxItems = 4;
    Json value;
    switch (random() % (depth > 0 ? kinds : scalarKinds)) {
    case 0:
        return nullptr;
    case 1:
        return random() % 2 == 0;
    case 2:
        return static_cast<std::int64_t>(random());
    case 3:
        return static_cast<double>(random() % 1000) / 8;
    case 4:
        return std::string(random() % maxItems, 'x') + "\"\n\u00fc";
    case scalarKinds:
        value = Json::array();
        for (std::size_t i = random() % maxItems; i > 0; --i)
            value.push_back(randomValue(random, depth - 1));
        return value;
    default:
        value = Json::object();
        for (std::size_t i = random() % maxItems; i > 0; --i)
            value[std::to_string(random() % maxItems)] = randomValue(random, depth - 1);
        return value;
    }
}

bool isParsed(const std::string& text, const JsonLimits& limits)
{
    return attempt([&] { return parseJson(text, limits, "test"); }).value.has_value();
}

class JsonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JsonTest);
    CPPUNIT_TEST(limitedParseEqualsPlainParse);
    CPPUNIT_TEST(limitsAreExact);
    CPPUNIT_TEST(invalidTextsAreRejected);
    CPPUNIT_TEST(errorsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // The reference is the parser of the library.
    void limitedParseEqualsPlainParse()
    {
        std::mt19937_64 random(1);
        for (int i = 0; i < 2000; ++i) {
            const std::string text = randomValue(random, 5).dump();
            const Attempt<Json> limited = attempt([&] { return parseJson(text, JsonLimits {}, "test"); });
            CPPUNIT_ASSERT_MESSAGE(text, limited.value && *limited.value == Json::parse(text));
        }
        const Attempt<Json> repeatedField = attempt([] { return parseJson("{\"a\":1,\"a\":[2]}", JsonLimits {}, "test"); });
        CPPUNIT_ASSERT(*repeatedField.value == Json::parse("{\"a\":1,\"a\":[2]}"));
    }

    // Guards against texts whose parsed form is many times their size.
    void limitsAreExact()
    {
        CPPUNIT_ASSERT(isParsed("[[[1]]]", { .maxDepth = 3 }));
        CPPUNIT_ASSERT(!isParsed("[[[1]]]", { .maxDepth = 2 }));
        CPPUNIT_ASSERT(!isParsed("{\"a\":{\"b\":{}}}", { .maxDepth = 2 }));
        CPPUNIT_ASSERT(isParsed("[[],{},[]]", { .maxDepth = 2, .maxContainers = 4 }));
        CPPUNIT_ASSERT(!isParsed("[[],{},[]]", { .maxDepth = 2, .maxContainers = 3 }));
    }

    // Guards against an answer that is larger than the text whose mistakes it names.
    void errorsAreBounded()
    {
        Json object = Json::object();
        for (int i = 0; i < 1000; ++i)
            object[std::string(1000, 'x') + std::to_string(i)] = i;
        JsonReader reader(object, "test");
        for (int i = 0; i < 10; ++i)
            reader.addError("wrong");
        const std::string message = reader.error()->message;
        CPPUNIT_ASSERT(message.find("wrong; wrong") != std::string::npos);
        CPPUNIT_ASSERT(message.ends_with("; and 990 more"));
        CPPUNIT_ASSERT(message.size() <= (JsonReader::maxErrors + 1) * (JsonReader::maxErrorBytes + 2));
    }

    void invalidTextsAreRejected()
    {
        for (const char* text : { "", "[", "[1,]", "{\"a\"}", "[1] 2", "]", "nul" })
            CPPUNIT_ASSERT_MESSAGE(text, !isParsed(text, {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

} // namespace
