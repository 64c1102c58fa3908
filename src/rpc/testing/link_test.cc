#include "rpc/link.h"

#include "rpc/rattan.capnp.h"
#include "rpc/server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::rpc {

namespace {

    class SampleEntry final : public Entry::Server {
    protected:
        kj::Promise<void> health(HealthContext context) override
        {
            context.getResults().setInFlight(7);
            return kj::READY_NOW;
        }
    };

    Result<std::uint32_t> askHealth(Link<Entry>& link)
    {
        return link.call<std::uint32_t>(
            "entry.health", std::chrono::milliseconds(2000), [](auto& client) { return client.healthRequest().send(); },
            [](auto& response) -> Result<std::uint32_t> { return response.getInFlight(); });
    }

} // namespace

class LinkTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LinkTest);
    CPPUNIT_TEST(callsAndReconnects);
    CPPUNIT_TEST(unavailableWhenNobodyListens);
    CPPUNIT_TEST_SUITE_END();

public:
    void callsAndReconnects()
    {
        ServerThread first("127.0.0.1:0", [] { return kj::heap<SampleEntry>(); });
        CPPUNIT_ASSERT(!attemptVoid([&] { return first.start(); }));
        const std::string address = first.address();
        Link<Entry> link(address);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 7 }, *attempt([&] { return askHealth(link); }));
        first.stop();
        CPPUNIT_ASSERT(!attempt([&] { return askHealth(link); }));
        ServerThread second(address, [] { return kj::heap<SampleEntry>(); });
        CPPUNIT_ASSERT(!attemptVoid([&] { return second.start(); }));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 7 }, *attempt([&] { return askHealth(link); }));
    }

    void unavailableWhenNobodyListens()
    {
        ServerThread server("127.0.0.1:0", [] { return kj::heap<SampleEntry>(); });
        CPPUNIT_ASSERT(!attemptVoid([&] { return server.start(); }));
        server.stop();
        Link<Entry> link(server.address());
        const auto outcome = attempt([&] { return askHealth(link); });
        CPPUNIT_ASSERT(!outcome);
        CPPUNIT_ASSERT(outcome.error.code == ErrorCode::Unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkTest);

} // namespace rattan::rpc
