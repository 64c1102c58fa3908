#include "platform/instance_list.h"

#include "http/server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::platform {

class InstanceListTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InstanceListTest);
    CPPUNIT_TEST(keepsWhatIsNotModified);
    CPPUNIT_TEST(passesOverWhatItDidNotAskFor);
    CPPUNIT_TEST(oddEntriesLeaveTheOthersInPlace);
    CPPUNIT_TEST_SUITE_END();

    static Json instance(const std::string& id, const std::string& kind, const std::string& domain)
    {
        return { { "id", id }, { "kind", kind }, { "domain", domain }, { "address", "127.0.0.1:1" } };
    }

public:
    void setUp() override
    {
        this->server.route("GET", "/v1/instances", [this](const http::Request& request) {
            this->seenQuery = request.parameter("kinds");
            if (request.header("if-none-match") == "\"7\"") {
                ++this->notModified;
                return http::Answer { 304, "", "application/json", {} };
            }
            Json listed = Json::array({ instance("w1", "worker", "a"), instance("w2", "worker", "b"), instance("e1", "entry", "a") });
            if (!this->oddEntry.is_null())
                listed.insert(listed.begin() + 1, this->oddEntry);
            http::Answer answer = http::jsonAnswer(200, { { "instances", std::move(listed) } });
            answer.headers.emplace_back("ETag", "\"7\"");
            return answer;
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return this->server.start(); }));
    }

    void keepsWhatIsNotModified()
    {
        HttpInstanceList list(this->server.address(), std::chrono::milliseconds(2000));
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, attempt([&] { return list.instances(); })->size());
        CPPUNIT_ASSERT_EQUAL(2, this->notModified);
    }

    void passesOverWhatItDidNotAskFor()
    {
        HttpInstanceList list(this->server.address(), std::chrono::milliseconds(2000), { .domain = "a", .kinds = { InstanceKind::Worker } });
        const auto instances = attempt([&] { return list.instances(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, instances->size());
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), instances->at(0).id);
        CPPUNIT_ASSERT_EQUAL(std::string("worker"), this->seenQuery);
    }

    // Guards against a list that is no longer followed because of one entry.
    void oddEntriesLeaveTheOthersInPlace()
    {
        const std::string odd = R"({"id":"odd","kind":"worker","domain":"a","address":"127.0.0.1:1",)";
        for (const std::string& entry : std::vector<std::string> { "5", "[]", "{}", R"("text")", "[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]", odd + R"("slots":1e300})", odd + R"("slots":18446744073709551615})", odd + R"("slots":-1})", odd + R"("slots":[1]})", odd + R"("rack":7})", R"({"id":"odd","kind":"other","domain":"a","address":"x"})" }) {
            this->oddEntry = Json::parse(entry);
            HttpInstanceList list(this->server.address(), std::chrono::milliseconds(2000));
            const auto instances = attempt([&] { return list.instances(); });
            CPPUNIT_ASSERT_MESSAGE(entry, instances.value);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(entry, std::size_t { 3 }, instances->size());
            CPPUNIT_ASSERT_EQUAL(std::string("w2"), instances->at(1).id);
        }
    }

private:
    http::Server server { {} };
    Json oddEntry; // Listed after the first instance, unless it is null.
    std::string seenQuery;
    int notModified { 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceListTest);

} // namespace rattan::platform
