#include "config/parse.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace rattan::config {

namespace {

    std::string readFile(const std::string& name)
    {
        std::ifstream file(std::string(RATTAN_SOURCE_DIR) + "/" + name);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    // A small valid configuration with line numbers; test cases replace one part of it.
    std::string sampleYaml()
    {
        return "format: 1\n" // 1
               "name: sample\n"
               "operators: [{name: ops, token_sha256: "
            + std::string(64, 'a') + "}]\n"
            + "workers:\n"
              "  - {domain: north, racks: 2, workers_per_rack: 2, accelerators: 8, cores: 16, memory: 64GiB}\n" // 5
              "services:\n"
              "  - name: booking\n"
              "    depends_on: [planning]\n"
              "    operations: [{name: hold, idempotent: false, deadline: 500ms}]\n"
              "  - name: planning\n" // 10
              "    operations: [{name: draw, idempotent: true}]\n"
              "job_classes: [{name: map, idempotent: true, checkpoint_time: 10m}]\n"
              "workspaces:\n"
              "  - name: desk\n"
              "    token_sha256: "
            + std::string(64, 'b') + "\n" // 15
            + "    guarantees: [{count: 2, accelerators: 8, within: worker}]\n";
    }

    std::string sampleWith(const std::string& from, const std::string& to)
    {
        std::string text = sampleYaml();
        const std::size_t at = text.find(from);
        CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
        return text.replace(at, from.size(), to);
    }

    std::string describeAll(const Faults& faults)
    {
        std::string text;
        for (const Fault& fault : faults)
            text += describe(fault) + "\n";
        return text;
    }

    struct FaultCase {
        std::string from;
        std::string to;
        int line;
        std::string path;
        std::string messagePart; // A substring of the expected message.
    };

} // namespace

class ParseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ParseTest);
    CPPUNIT_TEST(acceptsExamples);
    CPPUNIT_TEST(parsesSample);
    CPPUNIT_TEST(reportsEachFault);
    CPPUNIT_TEST(reportsAllFaultsAtOnce);
    CPPUNIT_TEST(rejectsMalformedYaml);
    CPPUNIT_TEST(rejectsDeepNesting);
    CPPUNIT_TEST(rejectsOversizedInput);
    CPPUNIT_TEST(faultHidesMisplacedToken);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptsExamples()
    {
        for (const std::string name : { "kitami", "laurentide" }) {
            const ParseOutcome outcome = parse(readFile("examples/" + name + ".yaml"));
            CPPUNIT_ASSERT_EQUAL(std::string(), describeAll(outcome.faults));
            CPPUNIT_ASSERT_EQUAL(name, outcome.configuration->name);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, outcome.configuration->workspaces.size());
            std::int64_t workers = 0;
            for (const WorkerPool& pool : outcome.configuration->workers)
                workers += pool.racks * pool.workersPerRack;
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 50 }, workers);
        }
    }

    void parsesSample()
    {
        const ParseOutcome outcome = parse(sampleYaml());
        CPPUNIT_ASSERT_EQUAL(std::string(), describeAll(outcome.faults));
        const Configuration& configuration = *outcome.configuration;
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 65536 }, configuration.workers[0].memoryMb);
        CPPUNIT_ASSERT_EQUAL(Millis { 500 }, configuration.services[0].operations[0].deadline);
        CPPUNIT_ASSERT_EQUAL(Millis { 10000 }, configuration.services[1].operations[0].deadline);
        CPPUNIT_ASSERT_EQUAL(Millis { 600000 }, configuration.jobClasses[0].checkpointTime);
        CPPUNIT_ASSERT_EQUAL(std::string("planning"), configuration.services[0].dependsOn[0]);
    }

    void reportsEachFault()
    {
        const std::string digest(64, 'b');
        const std::vector<FaultCase> cases {
            { "format: 1", "format: 2", 1, "format", "'2' is not taken" },
            { "name: sample\n", "", 1, "name", "missing" },
            { "name: sample", "name: Sample", 2, "name", "not a name" },
            { "name: sample", "name:", 2, "name", "empty" },
            { "name: sample", "name: [sample]", 2, "name", "one value" },
            { "racks: 2", "racks: 0", 5, "workers[0].racks", "'0'" },
            { "racks: 2", "racks: 99999999999999999999", 5, "workers[0].racks", "'99999" },
            { "racks: 2", "racks: 2.0", 5, "workers[0].racks", "'2.0'" },
            { "racks: 2", "rack: 2", 5, "workers[0].rack", "unknown key" },
            { "racks: 2", "racks: 2, racks: 3", 5, "workers[0].racks", "twice" },
            { "64GiB", "64GiX", 5, "workers[0].memory", "'64GiX'" },
            { "64GiB", "64", 5, "workers[0].memory", "'64'" },
            { "64GiB", "9999999999TiB", 5, "workers[0].memory", "'9999999999TiB'" },
            { "64GiB", "10 s", 5, "workers[0].memory", "'10 s'" },
            { "500ms", "500", 9, "services[0].operations[0].deadline", "'500'" },
            { "500ms", "-5s", 9, "services[0].operations[0].deadline", "'-5s'" },
            { "500ms", "2h", 9, "services[0].operations[0].deadline", "'2h'" },
            { "idempotent: false", "idempotent: no", 9, "services[0].operations[0].idempotent", "'no'" },
            { "[planning]", "[plannign]", 8, "services[0].depends_on[0]", "no service is named" },
            { "[planning]", "[planning, planning]", 8, "services[0].depends_on[1]", "twice" },
            { "[planning]", "[booking]", 8, "services[0].depends_on[0]", "booking -> booking" },
            { "[planning]", "planning", 8, "services[0].depends_on", "a list" },
            { "name: planning\n", "name: planning\n    depends_on: [booking]\n", 11, "services[1].depends_on[0]", "booking -> planning -> booking" },
            { "name: planning\n", "name: booking\n", 10, "services[1].name", "already taken" },
            { digest, std::string(63, 'b'), 15, "workspaces[0].token_sha256", "not a SHA-256" },
            { digest, std::string(64, 'a'), 15, "workspaces[0].token_sha256", "the same token as operators[0]" },
            { "within: worker", "within: zone", 16, "workspaces[0].guarantees[0].within", "'zone'" },
            { "accelerators: 8, within: worker", "accelerators: 9, within: worker", 16, "workspaces[0].guarantees[0]", "2 x 9 accelerators, one worker each" },
            { "count: 2", "count: 5", 16, "workspaces[0].guarantees[0]", "does not fit into failure domain 'north'" },
            { "guarantees: [", "most_accelerators: 15\n    guarantees: [", 16, "workspaces[0].most_accelerators", "below the 16" },
            { "name: desk", "name: &a desk", 14, "", "anchors" },
            { "name: desk", "name: *a", 14, "", "" },
            { "name: desk", "name: !!str desk", 14, "", "tags" },
            { "name: desk", "name: desk: x", 14, "", "illegal map value" },
        };
        for (const FaultCase& faultCase : cases) {
            const ParseOutcome outcome = parse(sampleWith(faultCase.from, faultCase.to));
            const std::string context = faultCase.to + ": " + describeAll(outcome.faults);
            CPPUNIT_ASSERT_MESSAGE(context, !outcome.configuration);
            const bool found = std::any_of(outcome.faults.begin(), outcome.faults.end(), [&](const Fault& fault) {
                return fault.at.line == faultCase.line && fault.at.column > 0 && fault.path == faultCase.path && fault.message.find(faultCase.messagePart) != std::string::npos;
            });
            CPPUNIT_ASSERT_MESSAGE(context, found);
        }
    }

    void reportsAllFaultsAtOnce()
    {
        std::string text = sampleWith("racks: 2", "racks: none");
        text += "    colour: red\n    requests_per_second: 0\n";
        const Faults faults = parse(text).faults;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describeAll(faults), std::size_t { 3 }, faults.size());
        // Guarantees that do not fit are reported together with an invalid flag elsewhere.
        std::string crowded = sampleWith("count: 2", "count: 5");
        crowded.replace(crowded.find("idempotent: false"), 17, "idempotent: maybe");
        const Faults both = parse(crowded).faults;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describeAll(both), std::size_t { 2 }, both.size());
        CPPUNIT_ASSERT_EQUAL(std::string("workspaces[0].guarantees[0]"), both[1].path);
        CPPUNIT_ASSERT_EQUAL(std::string("line 17, column 5: workspaces[0].colour: unknown key (accepted: name, token_sha256, guarantees, "
                                         "most_accelerators, most_queued_jobs, requests_per_second)"),
            describe(faults[1]));
    }

    void rejectsMalformedYaml()
    {
        // yaml-cpp ends its input at a NUL or EOT byte. If such bytes were accepted, the
        // rest of the configuration, for example half of its workspaces, would be dropped
        // without a fault.
        const std::vector<std::string> texts { "", "\n", "---\n", "just words", "[]", std::string("format: 1\0name: x", 17),
            "format: 1\x04", "name: \xff\xfe", "\xef\xbb\xbf", "{", "a: b: c", "? [a]: b", "\t", "%YAML 9.9\n---\n", "%TAG", "'", "\"\\x\"",
            sampleYaml() + "---\nformat: 1\n", "- - - -", ": : :", "? ? ?", "{? : }", "[?, ?]", "&", "*", "!<", "|99", ">-\n" };
        for (const std::string& text : texts) {
            const ParseOutcome outcome = parse(text);
            CPPUNIT_ASSERT_MESSAGE(text, !outcome.configuration && !outcome.faults.empty());
        }
    }

    void rejectsDeepNesting()
    {
        // The parser recurses once per level of nesting. Without a limit, a text of a few
        // kilobytes could overflow the stack of every instance that reads it.
        constexpr int levels = 200000;
        for (const std::string unit : { "[", "{a: ", "- ", "? ", "{? ", "[a: " }) {
            std::string text;
            for (int i = 0; i < levels && text.size() < maxConfigurationBytes - unit.size(); ++i)
                text += unit;
            const ParseOutcome outcome = parse(text);
            CPPUNIT_ASSERT_MESSAGE(unit, !outcome.configuration && !outcome.faults.empty());
        }
    }

    void rejectsOversizedInput()
    {
        CPPUNIT_ASSERT(!parse(std::string(maxConfigurationBytes + 1, '#')).configuration);
        std::string many = "name: [";
        while (many.size() < maxConfigurationBytes - 2)
            many += "1,";
        const ParseOutcome outcome = parse(many + "]");
        CPPUNIT_ASSERT(describeAll(outcome.faults).find("more than 100000 values") != std::string::npos);
        std::string faulty = "format: 1\n";
        for (int i = 0; i < 1000; ++i)
            faulty += fmt::format("key{}: 1\n", i);
        CPPUNIT_ASSERT_EQUAL(maxFaults + 1, parse(faulty).faults.size());
    }

    void faultHidesMisplacedToken()
    {
        const ParseOutcome outcome = parse(sampleWith(std::string(64, 'b'), "my-secret-token"));
        CPPUNIT_ASSERT(describeAll(outcome.faults).find("my-secret") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParseTest);

} // namespace rattan::config
