#include "scenario/network.h"

#include "http/client.h"
#include "http/server.h"
#include "scenario/list_view.h"
#include "scenario/lua_json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <lua.hpp>

namespace rattan::testing {

class NetworkTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NetworkTest);
    CPPUNIT_TEST(rulesHoldBetweenDomainsAndMachines);
    CPPUNIT_TEST(rulesHoldForLaterLinks);
    CPPUNIT_TEST(viewShowsTheViewersOwnLinks);
    CPPUNIT_TEST(valuesSurviveTheWayThroughLua);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->server.route("GET", "/hello", [](const http::Request&) { return http::Answer { 200, "hello", "text/plain", {} }; });
        this->server.route("GET", "/v1/instances", [this](const http::Request&) {
            const platform::Instance instance { .id = "b-1", .domain = "b", .address = this->server.address(), .rpc = "127.0.0.1:1" };
            return http::jsonAnswer(200, { { "instances", Json::array({ platform::toJson(instance) }) } });
        });
        CPPUNIT_ASSERT(!attemptVoid([&] { return this->server.start(); }));
        this->network.place("a-1", "a");
        this->network.place("a-2", "a");
        this->network.place("b-1", "b");
    }

    void rulesHoldBetweenDomainsAndMachines()
    {
        const std::string across = this->network.link("a-1", "b-1", this->server.address());
        const std::string inside = this->network.link("a-1", "a-2", this->server.address());
        this->network.setRule("b", "a", { .mode = LinkMode::Closed });
        CPPUNIT_ASSERT(!this->reaches(across));
        CPPUNIT_ASSERT(this->reaches(inside));
        this->network.clearRule("a", "b");
        CPPUNIT_ASSERT(this->reaches(across));
        this->network.setRule("a-2", "a-1", { .mode = LinkMode::Closed });
        CPPUNIT_ASSERT(!this->reaches(inside));
        CPPUNIT_ASSERT(this->reaches(across));
    }

    // A process connects to a machine for the first time while the cut holds. If
    // only existing links were cut, it would see through the partition.
    void rulesHoldForLaterLinks()
    {
        this->network.setRule("a", "b", { .mode = LinkMode::Closed });
        CPPUNIT_ASSERT(!this->reaches(this->network.link("b-1", "a-1", this->server.address())));
    }

    void viewShowsTheViewersOwnLinks()
    {
        ListView view(this->network, "a-1", this->server.address());
        view.start();
        platform::HttpInstanceList list(view.address(), std::chrono::milliseconds(2000));
        const auto shown = attempt([&] { return list.instances(); });
        CPPUNIT_ASSERT(shown && shown->size() == 1);
        CPPUNIT_ASSERT_EQUAL(this->network.link("a-1", "b-1", this->server.address()), (*shown)[0].address);
        CPPUNIT_ASSERT_EQUAL(this->network.link("a-1", "b-1", "127.0.0.1:1"), (*shown)[0].rpc);
    }

    void valuesSurviveTheWayThroughLua()
    {
        lua_State* lua = luaL_newstate();
        const Json value { { "list", { 1, 2.5, "three" } }, { "flag", true }, { "nested", { { "empty", Json::object() } } } };
        pushToLua(lua, value);
        CPPUNIT_ASSERT(fromLua(lua, -1) == value);
        lua_close(lua);
    }

private:
    bool reaches(const std::string& address)
    {
        return this->client.send({ .address = address, .path = "/hello", .timeout = std::chrono::milliseconds(3000), .once = true }).ok();
    }

    http::Server server { { .address = "127.0.0.1:0" } };
    Network network { 1 };
    http::Client client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetworkTest);

} // namespace rattan::testing
