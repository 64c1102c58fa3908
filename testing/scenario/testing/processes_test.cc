#include "scenario/processes.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <optional>

using rattan::testing::Processes;

namespace {

class ProcessesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProcessesTest);
    CPPUNIT_TEST(aProcessThatTakesNoSignalItselfEndsByIt);
    CPPUNIT_TEST(aProgramThatBlocksASignalIsSeenTo);
    CPPUNIT_TEST_SUITE_END();

public:
    void aProcessThatTakesNoSignalItselfEndsByIt()
    {
        Processes processes;
        processes.start("tail", { "/usr/bin/tail", "-f", "/dev/null" }, "/tmp");
        CPPUNIT_ASSERT(!processes.blocks("tail", SIGTERM));
        processes.signal("tail", SIGTERM);
        const auto exit = this->wait(processes, "tail");
        CPPUNIT_ASSERT(exit && exit->signalled && exit->code == SIGTERM);
    }

    // Guards against an instance taken for one that ended by itself, which was ended before it
    // could take the signal.
    void aProgramThatBlocksASignalIsSeenTo()
    {
        Processes processes;
        processes.start("env", { "/usr/bin/env", "--block-signal=TERM", "tail", "-f", "/dev/null" }, "/tmp");
        const auto until = std::chrono::steady_clock::now() + limit;
        while (!processes.blocks("env", SIGTERM) && std::chrono::steady_clock::now() < until) { }
        CPPUNIT_ASSERT(processes.blocks("env", SIGTERM));
        processes.killAndForget("env");
    }

private:
    static constexpr std::chrono::seconds limit { 10 };

    std::optional<rattan::testing::ProcessExit> wait(Processes& processes, const std::string& name)
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < until) {
            if (const auto exit = processes.poll(name))
                return exit;
        }
        return std::nullopt;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessesTest);

} // namespace
