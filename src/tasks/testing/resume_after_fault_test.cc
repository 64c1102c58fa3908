// How soon work resumes after single faults and pairs of them, with the lease of real workers:
// four seconds after the last fault, no job may be idle for three seconds beside capacity for two
// of its kind. The site checks that, and that no task runs twice at a time.

#include "tasks/testing/virtual_site.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

using namespace rattan;
using namespace rattan::tasks;
using rattan::tasks::testing::CallFate;
using rattan::tasks::testing::CallKind;
using rattan::tasks::testing::VirtualSite;

namespace {

constexpr Millis lease = 10000;
constexpr Millis submittedAt = 3000;
constexpr const char* gang = "gang";

enum class Fault {
    StartLost,
    StartAnswerLost,
    StartLateShort,
    StartLateLong,
    AllStartsLost,
    StopLost,
    StopAnswerLost,
    AllStopsLost,
    StopLate,
    PollsLost,
    PollAnswersLost,
    ShortCut,
    LongCut,
    DomainCut,
    Restart,
    RestartOfSecond,
    Replacement,
    ShortFreeze,
    LongFreeze,
    Takeover,
    LateTakeover,
    TakeoverFromFrozen,
    TwoTakeovers,
};

constexpr std::array<std::string_view, 23> faultNames { "a start is lost", "a start's answer is lost", "a start is 2 s late", "a start is 12 s late", "all starts are lost",
    "a stop is lost", "a stop's answer is lost", "all stops are lost", "stops are late", "polls are lost", "answers of polls are lost", "a worker is cut off for 1 s", "a worker is cut off for 6 s",
    "a domain is cut off", "a worker restarts", "another worker restarts", "a worker crashes and is replaced", "the planner is frozen for 0.3 s", "the planner is frozen for 6 s", "a planner takes over",
    "a planner takes over after 1.5 s", "a planner takes over from a frozen one", "two planners take over" };

class Course {
public:
    Course(std::int64_t members, Millis plannerInterval)
        : site({ .seed = 5, .workers = 10, .lease = lease, .failures = 0, .longPolls = true, .calmAfterFault = 4000 })
    {
        this->site.newPlanner();
        this->site.run(2000);
        this->site.setPlannerInterval(plannerInterval);
        this->schedule(submittedAt, [this, members] { this->submitGang(members); });
    }

    void schedule(Millis when, std::function<void()> event) { this->events.emplace(when, std::move(event)); }

    void scheduleFault(Fault fault, Millis when)
    {
        this->schedule(when, [this, fault] { this->cause(fault); });
    }

    void run(Millis until)
    {
        while (this->site.now < until) {
            this->site.run(this->site.now + 5);
            while (!this->events.empty() && this->events.begin()->first <= this->site.now) {
                const std::function<void()> event = std::move(this->events.begin()->second);
                this->events.erase(this->events.begin());
                event();
            }
            if (this->events.empty() && this->site.now > submittedAt && this->site.allFinished())
                return;
        }
    }

    // The worker of a member of the gang, or any if it doesn't run.
    std::string hostOf(std::int64_t member) const
    {
        const std::string host = this->site.hostOf(gang, member);
        return !host.empty() ? host : member == 0 ? "w00"
                                                  : "w01";
    }

    VirtualSite site;

private:
    void submitGang(std::int64_t members)
    {
        Job job;
        job.id = gang;
        job.workspace = std::string("a"); // GCC 12 warns incorrectly if a literal of one character is assigned.
        job.terms = { .queue = "q", .service = "s", .priority = 1, .maxAttempts = 4, .stretch = 3, .latencyTarget = 1000 };
        job.steps.push_back({ .count = members, .perTask = { 10000, 10000, 8 }, .estimate = 9000, .gang = members > 1 });
        this->site.submit(job);
    }

    void stopWithFault(CallFate fate, int count)
    {
        constexpr Millis delay = 5000;
        this->site.failNextCalls({ CallKind::Stop, fate, count, delay, "" });
        this->site.leave(this->hostOf(0));
    }

    void cut(Millis duration)
    {
        this->site.setPartitioned(this->hostOf(0), true);
        this->schedule(this->site.now + duration, [this, worker = this->hostOf(0)] { this->site.setPartitioned(worker, false); });
    }

    void takeOver(Millis delay)
    {
        this->schedule(this->site.now + delay, [this] { this->site.newPlanner(); });
    }

    void cause(Fault fault)
    {
        switch (fault) {
        case Fault::StartLost:
            return this->site.failNextCalls({ .kind = CallKind::Start });
        case Fault::StartAnswerLost:
            return this->site.failNextCalls({ .kind = CallKind::Start, .fate = CallFate::AnswerLost });
        case Fault::StartLateShort:
            return this->site.failNextCalls({ .kind = CallKind::Start, .fate = CallFate::Late, .delay = 2000 });
        case Fault::StartLateLong:
            return this->site.failNextCalls({ .kind = CallKind::Start, .fate = CallFate::Late, .delay = 12000 });
        case Fault::AllStartsLost:
            return this->site.failNextCalls({ .kind = CallKind::Start, .count = 8 });
        case Fault::StopLost:
            return this->stopWithFault(CallFate::Lost, 1);
        case Fault::StopAnswerLost:
            return this->stopWithFault(CallFate::AnswerLost, 1);
        case Fault::AllStopsLost:
            return this->stopWithFault(CallFate::Lost, 8);
        case Fault::StopLate:
            return this->stopWithFault(CallFate::Late, 3);
        case Fault::PollsLost:
            return this->site.failNextCalls({ .kind = CallKind::Poll, .count = 12 });
        case Fault::PollAnswersLost:
            return this->site.failNextCalls({ .kind = CallKind::Poll, .fate = CallFate::AnswerLost, .count = 12 });
        case Fault::ShortCut:
            return this->cut(1000);
        case Fault::LongCut:
            return this->cut(6000);
        case Fault::DomainCut:
            this->site.setDomainPartitioned("r0", true);
            return this->schedule(this->site.now + 4000, [this] { this->site.setDomainPartitioned("r0", false); });
        case Fault::Restart:
            return this->site.restart(this->hostOf(0));
        case Fault::RestartOfSecond:
            return this->site.restart(this->hostOf(1));
        case Fault::Replacement:
            return this->site.crash(this->hostOf(0));
        case Fault::ShortFreeze:
            return this->site.freezePlanner(this->site.now + 300);
        case Fault::LongFreeze:
            return this->site.freezePlanner(this->site.now + 6000);
        case Fault::Takeover:
            return this->takeOver(0);
        case Fault::LateTakeover:
            this->site.killPlanner();
            return this->takeOver(1500);
        case Fault::TakeoverFromFrozen:
            this->site.freezePlanner(this->site.now + 5500);
            return this->takeOver(1200);
        case Fault::TwoTakeovers:
            this->takeOver(0);
            return this->takeOver(3000);
        }
    }

    std::multimap<Millis, std::function<void()>> events;
};

class ResumeAfterFaultTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ResumeAfterFaultTest);
    CPPUNIT_TEST(workResumesAfterEachFault);
    CPPUNIT_TEST(workResumesAfterTwoFaults);
    CPPUNIT_TEST(lostPollDoesNotDelayTheEndOfAStoppedRun);
    CPPUNIT_TEST(gangOfAGoneWorkerResumesAfterItsLease);
    CPPUNIT_TEST(takeoversDoNotExtendTheLeaseOfAGoneWorker);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a job that stands still although the fault that stopped it is over.
    void workResumesAfterEachFault()
    {
        for (const Millis plannerInterval : { 0, 700 }) {
            for (const std::int64_t members : { 1, 3 }) {
                for (const Millis when : faultTimes) {
                    for (std::size_t fault = 0; fault < faultNames.size(); ++fault)
                        check(members, plannerInterval, { { static_cast<Fault>(fault), when } });
                }
            }
        }
    }

    // Guards against a second fault that leaves a run in doubt after both are over.
    void workResumesAfterTwoFaults()
    {
        for (const Millis when : { faultTimes.front(), faultTimes.back() }) {
            for (const Millis offset : { 0, 1500 }) {
                for (std::size_t first = 0; first < faultNames.size(); ++first) {
                    for (std::size_t second = 0; second < faultNames.size(); ++second)
                        check(3, 0, { { static_cast<Fault>(first), when }, { static_cast<Fault>(second), when + offset } });
                }
            }
        }
    }

    // Guards against a job that waits until a lost poll is given up, although the stop of its run
    // was answered.
    void lostPollDoesNotDelayTheEndOfAStoppedRun()
    {
        for (const CallFate fate : { CallFate::Lost, CallFate::AnswerLost }) {
            Course course(2, 0);
            course.run(5000);
            const Millis faultBefore = course.site.faultEndedAt();
            course.site.failNextCalls({ .kind = CallKind::Poll, .fate = fate, .worker = course.hostOf(1) });
            while (course.site.faultEndedAt() == faultBefore && course.site.now < 8000)
                course.run(course.site.now + 5);
            const Millis stoppedAt = course.site.now;
            course.site.leave(course.hostOf(0));
            course.run(stoppedAt + 1000);
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, course.site.runsOf(gang));
        }
    }

    // Guards against a gang that waits longer than the lease of a member whose worker is gone.
    void gangOfAGoneWorkerResumesAfterItsLease()
    {
        CPPUNIT_ASSERT_LESSEQUAL(maxLeaseTime, idleTimeWithGoneWorker({}));
    }

    // Guards against a wait that begins anew with each takeover, although no planner can have renewed
    // the lease since the worker went.
    void takeoversDoNotExtendTheLeaseOfAGoneWorker()
    {
        constexpr Millis predecessorGrace = 1000;
        CPPUNIT_ASSERT_LESSEQUAL(maxLeaseTime + predecessorGrace, idleTimeWithGoneWorker({ 3000, 9000 }));
    }

private:
    static constexpr std::array<Millis, 3> faultTimes { 2950, 3040, 5000 }; // Before the first starts, soon after, and while the gang runs.
    static constexpr Millis maxLeaseTime = lease + lease / 50 + 300 + 200; // With the uncertainty of clocks, and for the next start.

    static void check(std::int64_t members, Millis plannerInterval, const std::vector<std::pair<Fault, Millis>>& faults)
    {
        Course course(members, plannerInterval);
        std::string name = fmt::format("{} members, a turn each {} ms", members, plannerInterval);
        for (const auto& [fault, when] : faults) {
            course.scheduleFault(fault, when);
            name += fmt::format(", {} at {} ms", faultNames.at(static_cast<std::size_t>(fault)), when);
        }
        course.run(50000);
        const auto& violations = course.site.violations;
        CPPUNIT_ASSERT_MESSAGE(name + (violations.empty() ? "" : ": " + violations.front()), violations.empty());
        CPPUNIT_ASSERT_MESSAGE(name + ": not finished", course.site.allFinished());
    }

    // How long after the worker of a gang's member is gone the gang runs again. Further planners take
    // over at the given times after that.
    static Millis idleTimeWithGoneWorker(const std::vector<Millis>& takeovers)
    {
        Course course(3, 0);
        constexpr Millis goneAt = 5000;
        course.schedule(goneAt, [&] { course.site.removeForGood(course.hostOf(0)); });
        for (const Millis delay : takeovers)
            course.scheduleFault(Fault::Takeover, goneAt + delay);
        course.run(goneAt + 100);
        while (course.site.runsOf(gang) < 6 && course.site.now < 50000)
            course.run(course.site.now + 5);
        return course.site.now - goneAt;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumeAfterFaultTest);

} // namespace
