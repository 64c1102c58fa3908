#include "tasks/election.h"

#include <cppunit/extensions/HelperMacros.h>

using rattan::Millis;
using rattan::tasks::AppendOutcome;
using rattan::tasks::Claim;
using rattan::tasks::Election;
using rattan::tasks::ElectionOptions;

namespace {

constexpr Millis begin = 1'000'000;

Election makeElection(const char* holder) { return Election({ .holder = holder, .renewEvery = 500, .term = 2000, .takeover = 2400 }, begin); }

class ElectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ElectionTest);
    CPPUNIT_TEST(noClaimBeforeTheLogIsRead);
    CPPUNIT_TEST(theFirstClaimLeads);
    CPPUNIT_TEST(silentHolderIsReplaced);
    CPPUNIT_TEST(expiredTermIsNotResumed);
    CPPUNIT_TEST(lateConfirmationDoesNotReviveATerm);
    CPPUNIT_TEST(unconfirmedClaimLeadsOnlyOnceRenewed);
    CPPUNIT_TEST(termCountsFromTheFirstAttempt);
    CPPUNIT_TEST(failedAttemptDoesNotShortenATerm);
    CPPUNIT_TEST(resignedTermIsTakenOverAtOnce);
    CPPUNIT_TEST(resignedInstanceCanLeadAgain);
    CPPUNIT_TEST(retiredInstanceNeverClaimsAgain);
    CPPUNIT_TEST(restartedHolderClaimsAtOnce);
    CPPUNIT_TEST(frozenHolderLosesItsTerm);
    CPPUNIT_TEST(suspectedHolderIsReplacedAtOnce);
    CPPUNIT_TEST(failedRenewalIsReportedUntilOneSucceeds);
    CPPUNIT_TEST(renewalReadFromTheLogHasNotFailed);
    CPPUNIT_TEST(instanceWithJitterClaimsLaterAfterTheLogIsRegained);
    CPPUNIT_TEST_SUITE_END();

public:
    // The store was away for all, and every term is over when it comes back. Of 45 instances
    // 39 are too weak to plan; should one of them claim first, all jobs are late for the
    // rest of the day.
    void instanceWithJitterClaimsLaterAfterTheLogIsRegained()
    {
        Election weak({ .holder = "weak", .renewEvery = 500, .term = 2000, .takeover = 2400, .jitter = 1000 }, begin);
        weak.didReadClaim({ 4, "a", 9 }, 17, begin);
        weak.didReachEnd(18);
        weak.didRegainLog(begin + 9000);
        CPPUNIT_ASSERT(!weak.step(begin + 9999));
        CPPUNIT_ASSERT(weak.step(begin + 10000));
    }

    // Heartbeats of the planner have stopped. Its term would be waited for in vain.
    void suspectedHolderIsReplacedAtOnce()
    {
        Election election = makeElection("b");
        election.didReadClaim({ 4, "a", 9 }, 17, begin);
        election.didReachEnd(18);
        election.suspectHolder(begin + 300);
        const auto append = election.step(begin + 300);
        CPPUNIT_ASSERT(append);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, append->claim.term);
        election.didAppend(AppendOutcome::EndMoved, begin + 305);
        election.didReadClaim({ 4, "a", 10 }, 18, begin + 310); // It incarnations.
        CPPUNIT_ASSERT(!election.step(begin + 1500));
    }

    void failedRenewalIsReportedUntilOneSucceeds()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        election.step(begin + 2400);
        election.didAppend(AppendOutcome::Appended, begin + 2410);
        CPPUNIT_ASSERT(!election.renewalFailed());
        CPPUNIT_ASSERT(election.step(begin + 2900));
        election.didAppend(AppendOutcome::NotAppended, begin + 2910);
        CPPUNIT_ASSERT(!election.renewalFailed()); // There is time for another.
        CPPUNIT_ASSERT(election.step(begin + 3400));
        election.didAppend(AppendOutcome::NotAppended, begin + 3410);
        CPPUNIT_ASSERT(election.renewalFailed());
        CPPUNIT_ASSERT(election.leads(begin + 3410));
        CPPUNIT_ASSERT(election.step(begin + 3700));
        election.didAppend(AppendOutcome::Appended, begin + 3710);
        CPPUNIT_ASSERT(!election.renewalFailed());
    }

    // The store carries renewals out and loses its answers. The planner reads them in the
    // log; taken for failures, each would cost it the term that it has.
    void renewalReadFromTheLogHasNotFailed()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        election.step(begin + 2400);
        election.didAppend(AppendOutcome::Appended, begin + 2410);
        CPPUNIT_ASSERT(election.step(begin + 2900));
        election.didReadClaim({ 1, "a", 2 }, 1, begin + 2920);
        election.didAppend(AppendOutcome::Unknown, begin + 3950);
        CPPUNIT_ASSERT(!election.renewalFailed());
    }

    void noClaimBeforeTheLogIsRead()
    {
        Election election = makeElection("a");
        CPPUNIT_ASSERT(!election.step(begin + 60000));
    }

    void theFirstClaimLeads()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        CPPUNIT_ASSERT(!election.step(begin + 1000));
        const auto append = election.step(begin + 2400);
        CPPUNIT_ASSERT(append);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, append->claim.term);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, append->offset);
        CPPUNIT_ASSERT(!election.leads(begin + 2410));
        election.didAppend(AppendOutcome::Appended, begin + 2410);
        CPPUNIT_ASSERT(election.leads(begin + 2410));
        // Counted from before the claim was sent, not from its answer.
        CPPUNIT_ASSERT(!election.leads(begin + 2400 + 2000));
    }

    void silentHolderIsReplaced()
    {
        Election election = makeElection("b");
        election.didReadClaim({ 4, "a", 9 }, 17, begin);
        election.didReachEnd(18);
        CPPUNIT_ASSERT(!election.step(begin + 2399));
        const auto append = election.step(begin + 2400);
        CPPUNIT_ASSERT(append);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, append->claim.term);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 18 }, append->offset);
    }

    // The store answers so slowly that a planner's term runs out between two
    // renewals, and nobody else claims. Were it to go on in the same term, records
    // that it numbered anew would be taken for repeats of the first ones: not
    // stored, and yet acknowledged. Users would see a task run twice.
    void expiredTermIsNotResumed()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        election.step(begin + 2400);
        election.didAppend(AppendOutcome::Appended, begin + 2410);
        const auto renewal = election.step(begin + 2900);
        CPPUNIT_ASSERT(renewal);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, renewal->claim.term);
        election.didAppend(AppendOutcome::NotAppended, begin + 5000);
        const auto next = election.step(begin + 5300);
        CPPUNIT_ASSERT(next);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, next->claim.term);
        election.didAppend(AppendOutcome::Appended, begin + 5310);
        CPPUNIT_ASSERT(election.leads(begin + 5310));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, election.term());
    }

    // The answer to a renewal arrives after the term has run out, on a machine that
    // has little processor time. The planner of that term has been given up by then;
    // a second one of the same term would number its records anew, the store would
    // take them for repeats, and tasks would run twice.
    void lateConfirmationDoesNotReviveATerm()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        election.step(begin + 2400);
        election.didAppend(AppendOutcome::Appended, begin + 2410);
        const auto renewal = election.step(begin + 4000);
        CPPUNIT_ASSERT(renewal);
        CPPUNIT_ASSERT(!election.leads(begin + 4400));
        election.didAppend(AppendOutcome::Appended, begin + 4410);
        CPPUNIT_ASSERT(!election.leads(begin + 4410));
        const auto next = election.step(begin + 4600);
        CPPUNIT_ASSERT(next);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, next->claim.term);
    }

    void unconfirmedClaimLeadsOnlyOnceRenewed()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        const auto claim = election.step(begin + 2400);
        CPPUNIT_ASSERT(claim);
        election.didAppend(AppendOutcome::Unknown, begin + 3300);
        // Carried out seconds late, and read only then.
        election.didReadClaim(claim->claim, 0, begin + 6000);
        CPPUNIT_ASSERT(!election.leads(begin + 6000));
        const auto renewal = election.step(begin + 6000);
        CPPUNIT_ASSERT(renewal);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, renewal->claim.term);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, renewal->offset);
        election.didAppend(AppendOutcome::Appended, begin + 6010);
        CPPUNIT_ASSERT(election.leads(begin + 6010));
    }

    // The first try of a renewal lies in the log, its answer was lost, and it is read only
    // while a second try is on its way. Others count from the first one: were the term to
    // count from the second, two would plan at once, and a task could run twice.
    void termCountsFromTheFirstAttempt()
    {
        for (const AppendOutcome outcome : { AppendOutcome::Unknown, AppendOutcome::EndMoved }) {
            Election election = makeElection("a");
            election.didReachEnd(0);
            election.step(begin + 2400);
            election.didAppend(AppendOutcome::Appended, begin + 2410);
            const auto first = election.step(begin + 2900);
            CPPUNIT_ASSERT(first);
            election.didAppend(outcome, begin + 3400);
            const auto second = election.step(begin + 3650);
            CPPUNIT_ASSERT(second);
            election.didReadClaim(first->claim, first->offset, begin + 3660);
            CPPUNIT_ASSERT(election.leads(begin + 2900 + 1999));
            CPPUNIT_ASSERT(!election.leads(begin + 2900 + 2000));
            election.didAppend(AppendOutcome::EndMoved, begin + 3670);
            CPPUNIT_ASSERT(!election.leads(begin + 2900 + 2000));
        }
    }

    void failedAttemptDoesNotShortenATerm()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        election.step(begin + 2400);
        election.didAppend(AppendOutcome::Appended, begin + 2410);
        CPPUNIT_ASSERT(election.step(begin + 2900));
        election.didAppend(AppendOutcome::NotAppended, begin + 2910);
        const auto second = election.step(begin + 3400);
        CPPUNIT_ASSERT(second);
        election.didReadClaim(second->claim, second->offset, begin + 3410);
        CPPUNIT_ASSERT(election.leads(begin + 3400 + 1999));
        CPPUNIT_ASSERT(!election.leads(begin + 3400 + 2000));
    }

    void resignedTermIsTakenOverAtOnce()
    {
        Election first = makeElection("a");
        first.didReachEnd(0);
        first.step(begin + 2400);
        first.didAppend(AppendOutcome::Appended, begin + 2410);
        first.resign();
        CPPUNIT_ASSERT(!first.leads(begin + 2420));
        const auto resignation = first.step(begin + 2900);
        CPPUNIT_ASSERT(resignation);
        CPPUNIT_ASSERT(resignation->claim.holder.empty());
        Election second = makeElection("b");
        second.didReadClaim(resignation->claim, resignation->offset, begin + 2910);
        const auto claim = second.step(begin + 2910);
        CPPUNIT_ASSERT(claim);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, claim->claim.term);
    }

    // A planner gives its term up because a worker or the store knew of a later
    // one. Had it stopped claiming for good, a few such troubles would leave no
    // instance that plans: jobs are accepted, and nothing runs any more.
    void resignedInstanceCanLeadAgain()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        election.step(begin + 2400);
        election.didAppend(AppendOutcome::Appended, begin + 2410);
        election.resign();
        CPPUNIT_ASSERT(!election.leads(begin + 2420));
        CPPUNIT_ASSERT(election.step(begin + 2900));
        election.didAppend(AppendOutcome::Appended, begin + 2910);
        const auto claim = election.step(begin + 3500);
        CPPUNIT_ASSERT(claim);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, claim->claim.term);
        election.didAppend(AppendOutcome::Appended, begin + 3510);
        CPPUNIT_ASSERT(election.leads(begin + 3510));
    }

    void retiredInstanceNeverClaimsAgain()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        election.step(begin + 2400);
        election.didAppend(AppendOutcome::Appended, begin + 2410);
        election.retire();
        CPPUNIT_ASSERT(election.step(begin + 2900));
        election.didAppend(AppendOutcome::Appended, begin + 2910);
        CPPUNIT_ASSERT(!election.step(begin + 60000));
    }

    // The planner's process is killed and started again. Nobody else can lead before
    // its term is over, but its own machine knows that it has ended.
    void restartedHolderClaimsAtOnce()
    {
        Election again({ .machine = "a@10.0.0.1:80", .holder = "a@10.0.0.1:80/2" }, begin);
        again.didReadClaim({ 4, "a@10.0.0.1:80/1", 9 }, 17, begin);
        const auto append = again.step(begin + 10);
        CPPUNIT_ASSERT(append);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, append->claim.term);
        Election other({ .machine = "a@10.0.0.1:8", .holder = "a@10.0.0.1:8/1" }, begin);
        other.didReadClaim({ 4, "a@10.0.0.1:80/1", 9 }, 17, begin);
        CPPUNIT_ASSERT(!other.step(begin + 10));
    }

    // The machine of the planner stands still for some seconds. Its steady clock
    // may not have counted them; the one used here has, so the planner must not
    // send another order before it has renewed its claim.
    void frozenHolderLosesItsTerm()
    {
        Election election = makeElection("a");
        election.didReachEnd(0);
        election.step(begin + 2400);
        election.didAppend(AppendOutcome::Appended, begin + 2410);
        CPPUNIT_ASSERT(!election.leads(begin + 7000));
        // Meanwhile another has claimed: the log does not end where it was.
        election.step(begin + 7000);
        election.didAppend(AppendOutcome::EndMoved, begin + 7010);
        election.didReadClaim({ 2, "b", 1 }, 1, begin + 7020);
        CPPUNIT_ASSERT(!election.leads(begin + 7020));
        CPPUNIT_ASSERT(!election.step(begin + 8000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ElectionTest);

} // namespace
