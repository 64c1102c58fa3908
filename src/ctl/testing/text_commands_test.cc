#include "ctl/testing/fake_entry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace rattan::ctl {

namespace {

    std::string fileOf(const std::string& name) { return std::string(RATTAN_SOURCE_DIR) + "/examples/" + name; }

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    // Kitami's text with one part of it replaced.
    std::string changedKitami(const std::string& from, const std::string& to)
    {
        std::string yaml = readFile(fileOf("kitami.yaml"));
        const std::size_t at = yaml.find(from);
        CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
        return yaml.replace(at, from.size(), to);
    }

    bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

class TextCommandsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TextCommandsTest);
    CPPUNIT_TEST(validatesFiles);
    CPPUNIT_TEST(publishesOverTheVersionInForce);
    CPPUNIT_TEST(publishesTheFirstText);
    CPPUNIT_TEST(namesTheWinner);
    CPPUNIT_TEST(knowsItsOwnTextAfterLostAnswer);
    CPPUNIT_TEST(showsDifferences);
    CPPUNIT_TEST(plansReclaims);
    CPPUNIT_TEST_SUITE_END();

public:
    void validatesFiles()
    {
        const RunResult sound = runWith({}, { "validate", fileOf("kitami.yaml") });
        CPPUNIT_ASSERT(sound.code == ExitCode::Ok);
        CPPUNIT_ASSERT(has(sound.lines, "'kitami': 4 workspaces"));
        const RunResult faulty = runWith({}, { "validate", fileOf("README.md") });
        CPPUNIT_ASSERT(faulty.code == ExitCode::Refused);
        const RunResult json = runWith({}, { "validate", "--json", fileOf("README.md") });
        CPPUNIT_ASSERT_EQUAL(false, Json::parse(json.lines)["valid"].get<bool>());
        CPPUNIT_ASSERT(!Json::parse(json.lines)["faults"].empty());
    }

    void publishesOverTheVersionInForce()
    {
        FakeEntry entry;
        this->putInForce(entry, readFile(fileOf("kitami.yaml")));
        entry.expect("POST /v1/config", 200, { { "version", 8 } });
        const RunResult result = runWith({ entry.address() }, { "publish", fileOf("kitami.yaml"), "--author", "anna" });
        CPPUNIT_ASSERT(result.code == ExitCode::Ok);
        CPPUNIT_ASSERT_EQUAL(std::string("version 8 is in force\n"), result.lines);
        CPPUNIT_ASSERT_EQUAL(7, entry.lastBody()["amends"].get<int>());
        CPPUNIT_ASSERT_EQUAL(readFile(fileOf("kitami.yaml")), entry.lastBody()["text"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("anna"), entry.lastBody()["author"].get<std::string>());
    }

    void publishesTheFirstText()
    {
        FakeEntry entry;
        entry.expectError("GET /v1/config", { ErrorCode::NotFound, "entry.config", "", "no text is in force yet", {} });
        entry.expect("POST /v1/config", 200, { { "version", 1 } });
        const RunResult result = runWith({ entry.address() }, { "publish", fileOf("kitami.yaml"), "--json" });
        CPPUNIT_ASSERT_EQUAL(1, Json::parse(result.lines)["version"].get<int>());
        CPPUNIT_ASSERT_EQUAL(0, entry.lastBody()["amends"].get<int>());
    }

    void namesTheWinner()
    {
        // Two operators amend the same version. The slower one must see whose text
        // is in force instead, or would think that its own is.
        FakeEntry entry;
        entry.expect("POST /v1/config", 409,
            { { "error", { { "code", "conflict" }, { "message", "lost" }, { "step", "s" }, { "peer", "" } } }, { "winner", { { "version", 9 }, { "author", "bert" } } } });
        const RunResult result = runWith({ entry.address() }, { "publish", fileOf("kitami.yaml"), "--amends", "7" });
        CPPUNIT_ASSERT(result.code == ExitCode::Refused);
        CPPUNIT_ASSERT(has(result.remarks, "version 9 by 'bert' came first"));
        CPPUNIT_ASSERT_EQUAL(std::string(), result.lines);
    }

    void knowsItsOwnTextAfterLostAnswer()
    {
        // The first entry takes the text and dies before it answers. The second one
        // refuses it, because version 8 is in force: the operator's own text.
        FakeEntry second;
        const std::string yaml = readFile(fileOf("kitami.yaml"));
        second.expect("POST /v1/config", 409, { { "error", { { "code", "conflict" }, { "message", "lost" } } }, { "winner", { { "version", 8 }, { "author", "anna" } } } });
        second.expect("GET /v1/config", 200, { { "version", 8 }, { "text", yaml }, { "author", "anna" } });
        http::Server dying({ .address = "127.0.0.1:0", .maxBodyBytes = 1 << 20 });
        // An answer over the client's limit stands for one that breaks off.
        dying.route("POST", "/v1/config", [](const http::Request&) { return http::Answer { 200, std::string(5 << 20, 'x'), "text/plain", {} }; });
        CPPUNIT_ASSERT(!attemptVoid([&] { return dying.start(); }));
        const RunResult result = runWith({ dying.address(), second.address() }, { "publish", fileOf("kitami.yaml"), "--amends", "7" });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.remarks, std::string("version 8 is in force\n"), result.lines);
        CPPUNIT_ASSERT(result.code == ExitCode::Ok);
    }

    void showsDifferences()
    {
        FakeEntry entry;
        this->putInForce(entry, changedKitami("deadline: 10s", "deadline: 500ms"));
        const RunResult result = runWith({ entry.address() }, { "diff", fileOf("kitami.yaml") });
        CPPUNIT_ASSERT_EQUAL(std::string("~ services.booking.operations.hold.deadline: 500ms -> 10s\n"), result.lines);
        FakeEntry same;
        this->putInForce(same, "# a comment\n" + readFile(fileOf("kitami.yaml")));
        CPPUNIT_ASSERT_EQUAL(std::string("no difference to version 7\n"), runWith({ same.address() }, { "diff", fileOf("kitami.yaml") }).lines);
    }

    void plansReclaims()
    {
        FakeEntry entry;
        this->putInForce(entry, changedKitami("      - count: 4\n        accelerators: 8\n", "      - count: 1\n        accelerators: 8\n"));
        entry.expect("GET /v1/status", 200,
            { { "domain", "sapporo" }, { "racks", { { { "rack", "r1" }, { "accelerators", 64 }, { "free", 10 } } } },
                { "workspaces", { { { "workspace", "club-organisers" }, { "used_accelerators", 8 } }, { { "workspace", "guides" }, { "used_accelerators", 40 } } } } });
        const RunResult result = runWith({ entry.address() }, { "plan", fileOf("kitami.yaml") });
        CPPUNIT_ASSERT(has(result.lines, "guarantee of 'club-organisers' grows: 8 -> 32 accelerators"));
        CPPUNIT_ASSERT(has(result.lines, "sapporo: up to 14 accelerators that 'guides' uses beyond its guarantee would be reclaimed"));
        CPPUNIT_ASSERT(has(result.lines, "~ workspaces.club-organisers.guarantees: 1 x 8 accelerators, one worker each -> 4 x 8"));
        const Json json = Json::parse(runWith({ entry.address() }, { "plan", "--json", fileOf("kitami.yaml") }).lines);
        CPPUNIT_ASSERT_EQUAL(14, json["reclaims"][0]["most"].get<int>());
    }

private:
    void putInForce(FakeEntry& entry, const std::string& yaml)
    {
        entry.expect("GET /v1/config", 200, { { "version", 7 }, { "text", yaml }, { "author", "anna" } });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextCommandsTest);

} // namespace rattan::ctl
