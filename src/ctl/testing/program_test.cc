#include "ctl/program.h"

#include "ctl/testing/fake_entry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::ctl {

class ProgramTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProgramTest);
    CPPUNIT_TEST(helpNamesEveryCommand);
    CPPUNIT_TEST(refusesWrongLines);
    CPPUNIT_TEST(completionNamesEveryFlag);
    CPPUNIT_TEST(tokenIsSentAndNeverPrinted);
    CPPUNIT_TEST(colourOnlyWhereAsked);
    CPPUNIT_TEST_SUITE_END();

public:
    void helpNamesEveryCommand()
    {
        const RunResult result = runWith({}, { "--help" });
        for (const Command& command : allCommands()) {
            CPPUNIT_ASSERT_MESSAGE(command.name, result.lines.find("  " + command.name) != std::string::npos);
            const std::size_t space = command.name.find(' ');
            std::vector<std::string> line { command.name.substr(0, space), "--help" };
            if (space != std::string::npos)
                line.insert(line.begin() + 1, command.name.substr(space + 1));
            const RunResult help = runWith({}, line);
            CPPUNIT_ASSERT_MESSAGE(command.name, help.lines.find("--timeout-ms") != std::string::npos);
        }
        CPPUNIT_ASSERT(runWith({}, { "--version" }).lines.rfind("rattanctl ", 0) == 0);
    }

    void refusesWrongLines()
    {
        const std::vector<std::vector<std::string>> bad {
            {}, { "fly" }, { "submit" }, { "submit", "plane" }, { "explain" }, { "explain", "a", "b" }, { "explain", "../config" },
            { "explain", "" }, { "status", "--colour", "mauve" }, { "status", "--colour" }, { "status", "--what", "1" },
            { "status", "--entry", "localhost" }, { "drain", "here" }, { "trace", "12" }, { "completion", "fish" }, { "submit", "job" },
            { "submit", "job", "--class", "x", "--members", "0" }, { "submit", "job", "--class", "x", "--payload", "{" },
            { "submit", "request", "a" }, { "submit", "request", "a", "b/c" }, { "submit", "request", "a", "b", "--key", "k", "--ticket", "t" },
            { "validate", "/nonexistent/file" }
        };
        for (const auto& line : bad) {
            std::string shown;
            for (const std::string& word : line)
                shown += word + " ";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, static_cast<int>(ExitCode::Usage), static_cast<int>(runWith({}, line).code));
        }
    }

    void completionNamesEveryFlag()
    {
        const RunResult result = runWith({}, { "completion", "bash" });
        CPPUNIT_ASSERT(result.code == ExitCode::Ok);
        for (const std::string part : { "validate diff plan publish status submit outcome", "\"submit job\") flags=", "--members", "complete -F _rattanctl" })
            CPPUNIT_ASSERT_MESSAGE(part, result.lines.find(part) != std::string::npos);
    }

    void tokenIsSentAndNeverPrinted()
    {
        FakeEntry entry;
        const std::string token = "a-secret-token";
        setenv("RATTAN_TOKEN", token.c_str(), 1);
        const RunResult refused = runWith({ entry.address() }, { "jobs" });
        const RunResult help = runWith({}, { "jobs", "--help" });
        unsetenv("RATTAN_TOKEN");
        CPPUNIT_ASSERT_EQUAL("Bearer " + token, entry.requests().back().header("authorization"));
        CPPUNIT_ASSERT(!entry.requests().back().header("traceparent").empty());
        CPPUNIT_ASSERT((refused.lines + refused.remarks + help.lines).find(token) == std::string::npos);
    }

    void colourOnlyWhereAsked()
    {
        FakeEntry entry;
        entry.expect("GET /v1/jobs/k", 200, { { "key", "k" }, { "state", "done" } });
        const auto isColoured = [&](std::vector<std::string> flags, bool isTerminal) {
            flags.insert(flags.begin(), { "explain", "k" });
            return runWith({ entry.address() }, flags, isTerminal).lines.find('\x1b') != std::string::npos;
        };
        CPPUNIT_ASSERT(!isColoured({}, false));
        CPPUNIT_ASSERT(isColoured({}, true));
        CPPUNIT_ASSERT(isColoured({ "--colour", "always" }, false));
        CPPUNIT_ASSERT(!isColoured({ "--colour=never" }, true));
        CPPUNIT_ASSERT(!isColoured({ "--json" }, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramTest);

} // namespace rattan::ctl
