#include "ctl/testing/fake_entry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace rattan::ctl {

namespace {

    bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    Json jobIn(const std::string& state, std::int64_t ready = 0, const std::string& waitsFor = "")
    {
        return { { "key", "k" }, { "class", "route-map" }, { "state", state }, { "members", 4 }, { "members_ready", ready }, { "accelerators", 8 },
            { "waits_for", waitsFor }, { "result", state == "done" ? "map-17" : "" } };
    }

    const Error unavailableError { ErrorCode::Unavailable, "entry.gate", "", "the log is down", std::chrono::milliseconds(2500) };

} // namespace

class JobCommandsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobCommandsTest);
    CPPUNIT_TEST(submitsJobs);
    CPPUNIT_TEST(explainsWaiting);
    CPPUNIT_TEST(listsAndCancels);
    CPPUNIT_TEST(watchGoesOnThroughRestarts);
    CPPUNIT_TEST(watchEndsAsTheJobEnds);
    CPPUNIT_TEST(requestKeepsItsKeyAtEachEntry);
    CPPUNIT_TEST(statedOutcomeIsFinal);
    CPPUNIT_TEST(aDenialAfterALostAnswerIsUnknown);
    CPPUNIT_TEST(threeOutcomesHaveThreeCodes);
    CPPUNIT_TEST(saysUnavailableOnlyWhenNothingLeft);
    CPPUNIT_TEST(strangeAnswersDoNoHarm);
    CPPUNIT_TEST_SUITE_END();

public:
    void submitsJobs()
    {
        FakeEntry entry;
        entry.expect("POST /v1/jobs", 202, { { "key", "k" }, { "state", "queued" } });
        const RunResult result = runWith({ entry.address() }, { "submit", "job", "--class", "route-map", "--members", "4", "--accelerators=8", "--adjacent", "rack", "--payload", R"({"run_ms":5})" });
        CPPUNIT_ASSERT(result.code == ExitCode::Ok);
        CPPUNIT_ASSERT_EQUAL(std::string("k queued\n"), result.lines);
        const Json body = entry.lastBody();
        CPPUNIT_ASSERT_EQUAL(4, body["members"].get<int>());
        CPPUNIT_ASSERT_EQUAL(5, body["payload"]["run_ms"].get<int>());
        CPPUNIT_ASSERT(body["key"].get<std::string>().rfind("19700101T000000Z-", 0) == 0);
    }

    void explainsWaiting()
    {
        FakeEntry entry;
        entry.expect("GET /v1/jobs/k", 200, jobIn("queued", 0, "32 accelerators in one rack; 'line-survey' holds its guarantee there"));
        const RunResult result = runWith({ entry.address() }, { "explain", "k" });
        CPPUNIT_ASSERT(has(result.lines, "queued, waits for 32 accelerators in one rack"));
    }

    void listsAndCancels()
    {
        FakeEntry entry;
        entry.expect("GET /v1/jobs", 200, { { "jobs", { jobIn("running"), jobIn("reserving", 3) } } });
        entry.expect("DELETE /v1/jobs/k", 202, { { "key", "k" }, { "state", "cancelling" } });
        const RunResult list = runWith({ entry.address() }, { "jobs", "--limit", "5" });
        CPPUNIT_ASSERT(has(list.lines, "route-map   4x8  reserving, 3 of 4 members ready"));
        CPPUNIT_ASSERT_EQUAL(std::string("5"), entry.requests().back().parameter("limit"));
        CPPUNIT_ASSERT_EQUAL(std::string("k is being cancelled\n"), runWith({ entry.address() }, { "cancel", "k" }).lines);
    }

    void watchGoesOnThroughRestarts()
    {
        // Entries are replaced while a caller watches a gang gather. The watch must
        // neither end nor repeat itself, and not lose the job when a planner that
        // has just started does not know it yet.
        FakeEntry entry;
        entry.expect("GET /v1/jobs/k", 200, jobIn("reserving", 1));
        entry.expect("GET /v1/jobs/k", 200, jobIn("reserving", 1));
        entry.expectError("GET /v1/jobs/k", unavailableError);
        entry.expectError("GET /v1/jobs/k", unavailableError);
        entry.expectError("GET /v1/jobs/k", { ErrorCode::NotFound, "entry.job", "", "no job", {} });
        entry.expect("GET /v1/jobs/k", 200, jobIn("reserving", 4));
        entry.expect("GET /v1/jobs/k", 200, jobIn("done"));
        FakeEntry gone;
        gone.stop();
        const RunResult result = runWith({ gone.address(), entry.address() }, { "watch", "k" });
        CPPUNIT_ASSERT(result.code == ExitCode::Ok);
        CPPUNIT_ASSERT_EQUAL(std::string("reserving, 1 of 4 members ready\nreserving, 4 of 4 members ready\ndone: map-17\n"), result.lines);
        CPPUNIT_ASSERT_EQUAL(std::string("no entry can tell of the job (the log is down); still trying\n"), result.remarks);
    }

    void watchEndsAsTheJobEnds()
    {
        const std::vector<std::pair<std::string, ExitCode>> rows { { "done", ExitCode::Ok }, { "failed", ExitCode::Refused },
            { "cancelled", ExitCode::Refused }, { "refused", ExitCode::Refused }, { "unknown", ExitCode::Unknown } };
        for (const auto& [state, code] : rows) {
            FakeEntry entry;
            entry.expect("GET /v1/jobs/k", 200, jobIn(state));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(state, static_cast<int>(code), static_cast<int>(runWith({ entry.address() }, { "watch", "k" }).code));
        }
        FakeEntry missing;
        CPPUNIT_ASSERT(runWith({ missing.address() }, { "watch", "k" }).code == ExitCode::Refused);
        FakeEntry slow;
        slow.expect("GET /v1/jobs/k", 200, jobIn("queued"));
        CPPUNIT_ASSERT(runWith({ slow.address() }, { "watch", "k", "--for-ms", "5000" }).code == ExitCode::Unknown);
    }

    void requestKeepsItsKeyAtEachEntry()
    {
        // The first entry refuses for lack of room. A seat hold that went to the
        // second one under a new key could be run by both.
        FakeEntry full;
        FakeEntry free;
        full.expectError("POST /v1/requests", { ErrorCode::Overloaded, "entry.gate", "", "no room", std::chrono::milliseconds(1000) });
        free.expect("POST /v1/requests", 200, { { "outcome", "done" }, { "status", 200 }, { "answer", "seat 4" } });
        const RunResult result = runWith({ full.address(), free.address() }, { "submit", "request", "booking", "hold", "--body", R"({"seat":4})" });
        CPPUNIT_ASSERT(result.code == ExitCode::Ok);
        CPPUNIT_ASSERT(has(result.lines, "seat 4"));
        CPPUNIT_ASSERT_EQUAL(full.lastBody()["key"].get<std::string>(), free.lastBody()["key"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(4, free.lastBody()["body"]["seat"].get<int>());
    }

    void statedOutcomeIsFinal()
    {
        // The first entry claims the key, finds no executor and says that nothing
        // ran. A second entry would find the claim and could only say "unknown".
        FakeEntry first;
        FakeEntry second;
        first.expect("POST /v1/requests", 503, { { "outcome", "not_run" }, { "error", { { "code", "unavailable" }, { "message", "no executor" } } } });
        const RunResult result = runWith({ first.address(), second.address() }, { "submit", "request", "booking", "hold" });
        CPPUNIT_ASSERT(result.code == ExitCode::Unavailable);
        CPPUNIT_ASSERT(second.requests().empty());
        CPPUNIT_ASSERT(has(result.remarks, "no executor"));
    }

    // The first entry took the request and died before it answered. The second one tells
    // that nothing ran, which is true of its own try only.
    void aDenialAfterALostAnswerIsUnknown()
    {
        FakeEntry second;
        second.expect("POST /v1/requests", 503, { { "outcome", "not_run" }, { "error", { { "code", "unavailable" }, { "message", "no executor" } } } });
        http::Server dying({ .address = "127.0.0.1:0" });
        // An answer over the client's limit stands for one that breaks off.
        dying.route("POST", "/v1/requests", [](const http::Request&) { return http::Answer { 200, std::string(5 << 20, 'x'), "text/plain", {} }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return dying.start(); }));
        const RunResult result = runWith({ dying.address(), second.address() }, { "submit", "request", "booking", "seats" });
        CPPUNIT_ASSERT(result.code == ExitCode::Unknown);
        CPPUNIT_ASSERT(has(result.remarks, "it may have been done"));
        const Json json = Json::parse(runWith({ dying.address(), second.address() }, { "submit", "request", "booking", "seats", "--json" }).lines);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), json["outcome"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(4, json["exit_code"].get<int>());
    }

    void threeOutcomesHaveThreeCodes()
    {
        const Json error { { "code", "timeout" }, { "message", "no answer" }, { "step", "entry.forward" }, { "peer", "e1" } };
        FakeEntry entry;
        entry.expect("GET /v1/requests/done", 200, { { "outcome", "done" }, { "status", 200 }, { "answer", "seat 4" } });
        entry.expect("GET /v1/requests/open", 504, { { "outcome", "unknown" }, { "error", error } });
        entry.expect("GET /v1/requests/not", 503, { { "outcome", "not_run" }, { "error", error } });
        const RunResult unknown = runWith({ entry.address() }, { "outcome", "open" });
        CPPUNIT_ASSERT(runWith({ entry.address() }, { "outcome", "done" }).code == ExitCode::Ok);
        CPPUNIT_ASSERT(unknown.code == ExitCode::Unknown);
        CPPUNIT_ASSERT(has(unknown.remarks, "rattanctl outcome open"));
        CPPUNIT_ASSERT(runWith({ entry.address() }, { "outcome", "not" }).code == ExitCode::Unavailable);
        const Json json = Json::parse(runWith({ entry.address() }, { "outcome", "not", "--json" }).lines);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), json["outcome"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(3, json["exit_code"].get<int>());
    }

    void saysUnavailableOnlyWhenNothingLeft()
    {
        FakeEntry gone;
        gone.stop();
        const RunResult nobody = runWith({ gone.address() }, { "ticket" });
        CPPUNIT_ASSERT(nobody.code == ExitCode::Unavailable);
        FakeEntry busy;
        busy.expectError("POST /v1/tickets", unavailableError);
        const RunResult later = runWith({ busy.address() }, { "ticket" });
        CPPUNIT_ASSERT(later.code == ExitCode::Unavailable);
        CPPUNIT_ASSERT(has(later.remarks, "come back in 3 s"));
        FakeEntry free;
        free.expect("POST /v1/tickets", 200, { { "tickets", { "t1", "t2" } } });
        CPPUNIT_ASSERT_EQUAL(std::string("t1\nt2\n"), runWith({ busy.address(), free.address() }, { "ticket", "--count", "2" }).lines);
    }

    void strangeAnswersDoNoHarm()
    {
        const std::vector<Json> answers { nullptr, 7, "text", Json::array({ 1, 2 }), { { "jobs", 3 }, { "tickets", "x" }, { "spans", { 1, nullptr } }, { "state", 9 }, { "workers", { 1 } }, { "racks", { 1, { { "free", "x" } } } } } };
        for (const Json& answer : answers) {
            FakeEntry entry;
            for (const std::string call : { "GET /v1/jobs", "GET /v1/jobs/k", "GET /v1/status", "GET /v1/config", "POST /v1/requests", "GET /v1/traces/0123456789abcdef0123456789abcdef" })
                entry.expect(call, 200, answer);
            const std::vector<std::vector<std::string>> lines { { "jobs" }, { "explain", "k" }, { "status" }, { "submit", "request", "a", "b" },
                { "trace", "0123456789abcdef0123456789abcdef" }, { "diff", std::string(RATTAN_SOURCE_DIR) + "/examples/kitami.yaml" } };
            for (const auto& line : lines)
                runWith({ entry.address() }, line);
            CPPUNIT_ASSERT(entry.requests().size() >= lines.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobCommandsTest);

} // namespace rattan::ctl
