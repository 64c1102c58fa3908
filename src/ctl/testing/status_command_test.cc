#include "ctl/testing/fake_entry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <sstream>

namespace rattan::ctl {

namespace {

    Json statusOf(const std::string& domain, const Json& instances)
    {
        return { { "domain", domain }, { "config_version", 7 }, { "ready", true }, { "log_reachable", true }, { "fragmentation", 0.25 },
            { "workspaces", { { { "workspace", "tour-desk" }, { "guaranteed_accelerators", 32 }, { "used_accelerators", 40 }, { "borrowed_accelerators", 8 }, { "queued_patient", 3 } } } },
            { "racks", { { { "rack", "r1" }, { "accelerators", 64 }, { "free", 24 } } } }, { "quarantined", { "w-9" } }, { "instances", instances } };
    }

    Json instanceOf(const std::string& name, const std::string& domain, const std::string& entry, int version)
    {
        return { { "instance", name }, { "domain", domain }, { "entry", entry }, { "config_version", version }, { "age_ms", 300 }, { "active_planner", true } };
    }

    std::vector<std::string> linesOf(const std::string& text)
    {
        std::vector<std::string> lines;
        std::istringstream input(text);
        for (std::string line; std::getline(input, line);)
            lines.push_back(line);
        return lines;
    }

} // namespace

class StatusCommandTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StatusCommandTest);
    CPPUNIT_TEST(alignedAtFourteenDomains);
    CPPUNIT_TEST(drainsOneInstance);
    CPPUNIT_TEST(printsSpanTree);
    CPPUNIT_TEST_SUITE_END();

public:
    void alignedAtFourteenDomains()
    {
        // One domain is cut off: it still has its line, and the others theirs.
        constexpr int domains = 14;
        FakeEntry first;
        FakeEntry others;
        FakeEntry gone;
        gone.stop();
        others.expect("GET /v1/status", 200, statusOf("domain-1", Json::array()));
        Json instances = Json::array({ instanceOf("i-0", "domain-0", first.address(), 6) });
        for (int i = 1; i < domains; ++i)
            instances.push_back(instanceOf(fmt::format("i-{}", i), fmt::format("domain-{}", i), i == 5 ? gone.address() : others.address(), 7));
        first.expect("GET /v1/status", 200, statusOf("domain-0", instances));
        const RunResult result = runWith({ first.address() }, { "status" });
        CPPUNIT_ASSERT(result.code == ExitCode::Ok);
        const std::vector<std::string> lines = linesOf(result.lines);
        int listed = 0;
        const std::size_t textColumn = lines[0].find("TEXT") + 4;
        for (std::size_t i = 1; i <= domains; ++i) {
            CPPUNIT_ASSERT_MESSAGE(lines[i], lines[i].rfind("domain-", 0) == 0);
            CPPUNIT_ASSERT_MESSAGE(lines[i], lines[i].size() < 120 && lines[i][textColumn - 1] != ' ');
            listed += 1;
        }
        CPPUNIT_ASSERT_EQUAL(domains, listed);
        CPPUNIT_ASSERT(result.lines.find("domain-5  not reachable") != std::string::npos);
        CPPUNIT_ASSERT(result.lines.find("domain-0  deciding        6-7") != std::string::npos);
        const Json json = Json::parse(runWith({ first.address() }, { "status", "--json" }).lines);
        CPPUNIT_ASSERT_EQUAL(std::size_t { domains }, json["domains"].size());
    }

    void drainsOneInstance()
    {
        FakeEntry one;
        FakeEntry other;
        one.expect("POST /v1/drain", 202, { { "state", "leaving" } });
        CPPUNIT_ASSERT(runWith({ other.address() }, { "drain", one.address() }).code == ExitCode::Ok);
        CPPUNIT_ASSERT(other.requests().empty());
    }

    void printsSpanTree()
    {
        // Spans of one request lie at two entries; one was dropped, and one names
        // itself as its parent.
        const std::string id = "0123456789abcdef0123456789abcdef";
        const auto span = [](const std::string& name, const std::string& parent, int start) {
            return Json { { "span", name }, { "parent", parent }, { "name", name }, { "program", "rattan-entry" }, { "start_ms", start }, { "duration_ms", 5 }, { "notes", { { "status", "200" } } } };
        };
        FakeEntry first;
        FakeEntry second;
        first.expect("GET /v1/traces/" + id, 200, { { "spans", { span("b", "a", 2), span("a", "dropped", 1) } } });
        second.expect("GET /v1/traces/" + id, 200, { { "spans", { span("c", "a", 3), span("b", "a", 2), span("d", "d", 4) } } });
        const RunResult result = runWith({ first.address(), second.address() }, { "trace", id });
        const std::vector<std::string> lines = linesOf(result.lines);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, lines.size());
        for (std::size_t i = 0; i < lines.size(); ++i)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(lines[i], std::size_t { 0 }, lines[i].find(std::vector<std::string> { "a ", "  b ", "  c ", "d " }[i]));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusCommandTest);

} // namespace rattan::ctl
