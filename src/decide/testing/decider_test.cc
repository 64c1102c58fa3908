#include "decide/decider.h"

#include "decide/testing/fake_domain.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::decide::testing {

class DeciderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DeciderTest);
    CPPUNIT_TEST(startsAGangWhole);
    CPPUNIT_TEST(reclaimsAGuarantee);
    CPPUNIT_TEST(keepsWorkThatCannotBeEvictedOutOfGuarantees);
    CPPUNIT_TEST(startsUrgentWorkInPlaceOfPatientWork);
    CPPUNIT_TEST(neverStartsNonIdempotentWorkTwice);
    CPPUNIT_TEST(refusesWhatCanNeverRun);
    CPPUNIT_TEST(learnsGangsBeforeTheirJobs);
    CPPUNIT_TEST(quarantinesAWorkerThatFailsEverything);
    CPPUNIT_TEST(aJobThatFailsEverywhereBlamesNoWorker);
    CPPUNIT_TEST(anUnansweredStartIsStoppedAndRetried);
    CPPUNIT_TEST(aPausedDeciderStartsNothing);
    CPPUNIT_TEST(aJobUnderWhichWorkersAreLostIsGivenUp);
    CPPUNIT_TEST(workersLostLateAreNoFailuresOfTheJob);
    CPPUNIT_TEST(workersThatLeftAreNoFailuresOfTheJob);
    CPPUNIT_TEST(failuresUnderAnEarlierPlannerCount);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Amounts bigWorker { 8, 128, 524288 };

    static void addWorkers(FakeDomain& domain, WorkerId count, WorkerId perRack = 4)
    {
        for (WorkerId worker = 0; worker < count; ++worker)
            domain.addWorker(worker, worker / perRack, bigWorker);
    }

    static JobSubmitted gang(JobId job, std::int64_t members, std::int64_t accelerators, WorkspaceId workspace = 1)
    {
        return { .job = job, .workspace = workspace, .members = members, .perMember = { accelerators, 8, 4096 }, .declaredRunTime = 60000 };
    }

    static void guarantee(FakeDomain& domain, WorkspaceId workspace, const GuaranteedShape& shape)
    {
        domain.tell(TextChanged { { { .workspace = workspace, .guarantees = { shape } }, { .workspace = 9 } } });
    }

    static void assertSound(FakeDomain& domain)
    {
        domain.checkJobs();
        CPPUNIT_ASSERT_MESSAGE(domain.faults.empty() ? "" : domain.faults.front(), domain.faults.empty());
    }

public:
    void startsAGangWhole()
    {
        FakeDomain domain({});
        addWorkers(domain, 4);
        JobSubmitted job = gang(1, 4, 8);
        job.adjacency = Adjacency::Rack;
        domain.tell(job);
        CPPUNIT_ASSERT(domain.runs(1));
        domain.answerStart(1);
        domain.answerFinish(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, domain.answersOf(1));
        CPPUNIT_ASSERT(domain.finals[1].front().outcome == Outcome::Done);
        assertSound(domain);
    }

    // A tenant lets others use what it is guaranteed while it is quiet. When its
    // own rush comes and the borrowers stayed, its renders would be late.
    void reclaimsAGuarantee()
    {
        FakeDomain domain({});
        addWorkers(domain, 4);
        guarantee(domain, 1, { 2, 16, Adjacency::Rack });
        for (JobId job = 1; job <= 4; ++job) {
            domain.tell(gang(job, 1, 8, 9));
            domain.answerStart(job);
        }
        JobSubmitted own = gang(10, 2, 8, 1);
        own.adjacency = Adjacency::Rack;
        domain.tell(own);
        CPPUNIT_ASSERT(!domain.runs(10));
        for (JobId job = 1; job <= 4; ++job) {
            if (domain.gangs.at(job).ending)
                domain.answerStop(job);
        }
        CPPUNIT_ASSERT(domain.runs(10));
        CPPUNIT_ASSERT(domain.gangs.at(10).start.right == Right::Guaranteed);
        assertSound(domain);
    }

    // A job that can be neither saved nor stopped would sit on a guarantee until
    // it ends by itself, and its owner could not get it back.
    void keepsWorkThatCannotBeEvictedOutOfGuarantees()
    {
        FakeDomain domain({});
        addWorkers(domain, 4);
        guarantee(domain, 1, { 3, 8, Adjacency::Worker });
        for (JobId job = 1; job <= 4; ++job) {
            JobSubmitted stubborn = gang(job, 1, 8, 9);
            stubborn.stoppable = false;
            domain.tell(stubborn);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, domain.gangs.size());
        CPPUNIT_ASSERT(domain.gangs.begin()->second.start.right == Right::Firm);
        assertSound(domain);
    }

    void startsUrgentWorkInPlaceOfPatientWork()
    {
        FakeDomain domain({});
        addWorkers(domain, 1);
        domain.tell(gang(1, 1, 8));
        domain.answerStart(1);
        JobSubmitted urgent = gang(2, 1, 1);
        urgent.urgency = Urgency::Urgent;
        domain.tell(urgent);
        CPPUNIT_ASSERT(domain.gangs.at(1).ending);
        domain.answerStop(1);
        CPPUNIT_ASSERT(domain.runs(2));
        assertSound(domain);
    }

    // The plaque charge was started and its worker vanished. Nobody can tell how
    // far it got; started again it would be charged twice.
    void neverStartsNonIdempotentWorkTwice()
    {
        FakeDomain domain({});
        addWorkers(domain, 2);
        JobSubmitted charge = gang(1, 1, 1);
        charge.idempotent = false;
        domain.tell(charge);
        domain.answerFailure(1, FailureReason::ReserveRefused, 0);
        domain.now += 60000;
        domain.tell(Tick {});
        CPPUNIT_ASSERT(domain.runs(1));
        domain.answerStart(1);
        domain.answerFailure(1, FailureReason::MemberLost, 0);
        CPPUNIT_ASSERT(domain.finals[1].front().outcome == Outcome::Failed);
        CPPUNIT_ASSERT(domain.finals[1].front().mayHaveRun);
        domain.now += 600000;
        domain.tell(Tick {});
        CPPUNIT_ASSERT(!domain.runs(1));
        assertSound(domain);
    }

    void refusesWhatCanNeverRun()
    {
        FakeDomain domain({});
        addWorkers(domain, 2);
        domain.tell(gang(1, 1, 9));
        domain.tell(gang(2, 3, 8));
        CPPUNIT_ASSERT(domain.finals[1].front().outcome == Outcome::Refused);
        CPPUNIT_ASSERT(domain.finals[2].front().outcome == Outcome::Refused);
        CPPUNIT_ASSERT(!domain.finals[2].front().mayHaveRun);
        assertSound(domain);
    }

    // Guards against a job that takes one worker after the other along: a stop for want of a
    // worker is no attempt, and the job comes back without end.
    void aJobUnderWhichWorkersAreLostIsGivenUp()
    {
        FakeDomain domain({});
        addWorkers(domain, 8);
        domain.tell(gang(1, 1, 8));
        CPPUNIT_ASSERT_EQUAL(domain.specs[1].attempts, this->loseWorkersUnder(domain, 1, 1000));
        CPPUNIT_ASSERT(domain.finals[1].front().outcome == Outcome::Failed);
        assertSound(domain);
    }

    void workersLostLateAreNoFailuresOfTheJob()
    {
        FakeDomain domain({});
        addWorkers(domain, 8);
        domain.tell(gang(1, 1, 8));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 8 }, this->loseWorkersUnder(domain, 1, 120000));
        CPPUNIT_ASSERT(domain.finals[1].empty());
        assertSound(domain);
    }

    // A planner that takes over finds gangs at the workers before the log has
    // told of their jobs. Treated as free, their accelerators would be given
    // again; treated as foreign, running work would be lost.
    void learnsGangsBeforeTheirJobs()
    {
        FakeDomain domain({});
        domain.decider.pause(true);
        addWorkers(domain, 2);
        guarantee(domain, 1, { 1, 8, Adjacency::Worker });
        const JobSubmitted job = gang(1, 1, 8);
        domain.gangs[1] = { { 1, 3, { { 1, 8, 8, 4096 } } }, job, true };
        domain.tell(GangLearned { 1, 3, { { 1, 8, 8, 4096 } }, true, 1 });
        domain.tell(job);
        domain.tell(gang(2, 2, 8, 9));
        domain.decider.pause(false);
        domain.tell(Tick {});
        CPPUNIT_ASSERT(!domain.runs(2));
        CPPUNIT_ASSERT(domain.decider.job(1)->right == Right::Guaranteed);
        domain.answerFinish(1);
        CPPUNIT_ASSERT(domain.finals[1].front().outcome == Outcome::Done);
        CPPUNIT_ASSERT(domain.runs(2));
        assertSound(domain);
    }

    // A worker with a broken driver fails every start within a second, so it is
    // always free and draws job after job.
    void quarantinesAWorkerThatFailsEverything()
    {
        FakeDomain domain({});
        addWorkers(domain, 1);
        JobId next = 1;
        std::size_t failures = 0;
        for (; next <= 20; ++next) {
            domain.tell(gang(next, 1, 1));
            if (!domain.runs(next))
                break;
            ++failures;
            domain.answerFailure(next, FailureReason::StartFailed, 0);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, failures);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, domain.decider.quarantined().size());
        domain.now += 61000;
        domain.tell(Tick {});
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, domain.gangs.size()); // The probe.
        const JobId probe = domain.gangs.begin()->first;
        domain.answerStart(probe);
        domain.answerFinish(probe);
        CPPUNIT_ASSERT(domain.decider.quarantined().empty());
        assertSound(domain);
    }

    // One job with a bad payload fails wherever it runs. Blamed on the workers,
    // it would take them out of service one after the other.
    void aJobThatFailsEverywhereBlamesNoWorker()
    {
        FakeDomain domain({});
        addWorkers(domain, 8);
        for (JobId job = 1; job <= 12; ++job) {
            domain.tell(gang(job, 1, 8));
            while (domain.answersOf(job) == 0) {
                if (domain.runs(job))
                    domain.answerFailure(job, FailureReason::StartFailed, domain.gangs.at(job).start.placements.front().worker);
                domain.now += 400000;
                domain.tell(Tick {});
            }
            CPPUNIT_ASSERT(domain.finals[job].front().outcome == Outcome::Failed);
        }
        CPPUNIT_ASSERT(domain.decider.quarantined().empty());
        assertSound(domain);
    }

    // The driver that was to start a gang died with the order. Its workers would
    // stay set aside for ever.
    void anUnansweredStartIsStoppedAndRetried()
    {
        FakeDomain domain({});
        addWorkers(domain, 1);
        domain.tell(gang(1, 1, 8));
        domain.now = domain.decider.nextWake();
        domain.tell(Tick {});
        CPPUNIT_ASSERT(domain.gangs.at(1).ending);
        domain.gangs.clear();
        domain.now = domain.decider.nextWake();
        domain.tell(Tick {});
        domain.now += 5000;
        domain.tell(Tick {});
        CPPUNIT_ASSERT(domain.runs(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, domain.gangs.at(1).start.attempt);
        assertSound(domain);
    }

    void aPausedDeciderStartsNothing()
    {
        FakeDomain domain({});
        domain.decider.pause(true);
        addWorkers(domain, 1);
        domain.tell(gang(1, 1, 8));
        CPPUNIT_ASSERT(!domain.runs(1));
        domain.decider.pause(false);
        domain.tell(Tick {});
        CPPUNIT_ASSERT(domain.runs(1));
        assertSound(domain);
    }

    // Guards against a job that is given up because its workers left, as they had announced.
    void workersThatLeftAreNoFailuresOfTheJob()
    {
        FakeDomain domain({});
        addWorkers(domain, 8);
        domain.tell(gang(1, 1, 8));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 8 }, this->loseWorkersUnder(domain, 1, 1000, true));
        CPPUNIT_ASSERT(domain.finals[1].empty());
        assertSound(domain);
    }

    // Guards against a job that has all its attempts again under each planner that takes over.
    void failuresUnderAnEarlierPlannerCount()
    {
        FakeDomain domain({});
        addWorkers(domain, 8);
        JobSubmitted submitted = gang(1, 1, 8);
        submitted.attemptsUsed = submitted.attempts - 1;
        submitted.failures = submitted.attempts - 1;
        domain.tell(submitted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, this->loseWorkersUnder(domain, 1, 1000));
        CPPUNIT_ASSERT(domain.finals[1].front().outcome == Outcome::Failed);
        assertSound(domain);
    }

private:
    // Each time it has run for so long; returns how many workers were lost.
    std::int64_t loseWorkersUnder(FakeDomain& domain, JobId job, Millis after, bool leaving = false)
    {
        constexpr Millis untilRetry = 60000;
        std::int64_t lost = 0;
        for (; domain.runs(job); ++lost) {
            domain.answerStart(job);
            domain.now += after;
            if (leaving)
                domain.tell(WorkerLeaving { domain.gangs.at(job).start.placements.front().worker });
            domain.tell(WorkerLost { domain.gangs.at(job).start.placements.front().worker });
            domain.answerStop(job);
            domain.now += untilRetry;
            domain.tell(Tick {});
        }
        return lost;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeciderTest);

} // namespace rattan::decide::testing
