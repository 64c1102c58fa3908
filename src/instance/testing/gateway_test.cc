#include "instance/gateway.h"

#include "tasks/records.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <optional>

using namespace rattan;
using namespace rattan::instance;
using tasks::JobState;
using tasks::JobTable;

namespace {

constexpr Millis startTime = 100000;
const std::string testJobId = "5c0e7a21d94b36f8";
const std::string testJobKey = "job/" + testJobId;

// Parses every body except "bad" as a job with one step, since the gateway ignores the content.
class FakeCallerProtocol final : public CallerProtocol {
public:
    CallerRequest parseRequest(http::Request) const override { return {}; }
    Result<tasks::Job> parseJob(const std::string& body) const override
    {
        if (body == "bad")
            return fail(ErrorCode::BadInput, "test", "", "bad");
        tasks::Job job;
        job.steps.push_back({});
        return job;
    }
    bool isJobId(std::string_view text) const override { return text.size() == 16; }
    http::Answer encode(const CallerAnswer&) const override { return {}; }
    http::Call encodeRequest(const CallerRequest&) const override { return {}; }
    std::optional<CallerAnswer> parseAnswer(RequestKind, const http::Reply&) const override { return std::nullopt; }
};

class GatewayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(GatewayTest);
    CPPUNIT_TEST(jobIsAcceptedOnlyAfterItsRecordIsStored);
    CPPUNIT_TEST(repeatedSubmitAppendsOneRecord);
    CPPUNIT_TEST(lostAppendResponseYieldsUnknownOutcome);
    CPPUNIT_TEST(recordReadBackCountsAsStored);
    CPPUNIT_TEST(lostOutcomesAreResolvedInEveryOrder);
    CPPUNIT_TEST(retryIsNotRefusedWhileEarlierAppendIsUnresolved);
    CPPUNIT_TEST(staleConfigurationDoesNotRefuseUnresolvedJob);
    CPPUNIT_TEST(timeoutDoesNotRefuseWhileSameRecordIsPending);
    CPPUNIT_TEST(unresolvedAppendIsKeptUntilJobsAreReadAgain);
    CPPUNIT_TEST(storedRecordIsKnownBeforeItIsReadBack);
    CPPUNIT_TEST(unreachableStoreIsRefusedImmediately);
    CPPUNIT_TEST(lastAttemptOfCallerIsServed);
    CPPUNIT_TEST(revokedKeysExpireWithoutConfigurationReads);
    CPPUNIT_TEST(outdatedConfigurationMarksAnswerForForwarding);
    CPPUNIT_TEST(unknownJobIsDeniedOnlyAfterNewRead);
    CPPUNIT_TEST(cancelIsConfirmedOnlyAfterItsRecordIsStored);
    CPPUNIT_TEST(invalidRequestsAreRejected);
    CPPUNIT_TEST(waitingRequestsAreBounded);
    CPPUNIT_TEST(appendBatchesAreBounded);
    CPPUNIT_TEST(unreadRecordsAreBounded);
    CPPUNIT_TEST(configurationVersionNeverDecreases);
    CPPUNIT_TEST(configurationOlderThanOnPeersIsNotUsed);
    CPPUNIT_TEST(outdatedConfigurationDeniesNothing);
    CPPUNIT_TEST(forwardedRequestIsNotDecidedByOlderConfiguration);
    CPPUNIT_TEST(answerNamesVersionThatDecidedIt);
    CPPUNIT_TEST(stateRequestWaitsForEndOfRunningJob);
    CPPUNIT_TEST(stateRequestReportsRunningAfterWait);
    CPPUNIT_TEST(stateRequestDoesNotWaitWithoutStore);
    CPPUNIT_TEST(requestsAreAnsweredBeforeShutdown);
    CPPUNIT_TEST(cancelIsNotDeniedWhileSubmitIsUnresolved);
    CPPUNIT_TEST(cancelOfUnknownJobIsRecorded);
    CPPUNIT_TEST(cancelOfUnknownJobIsReadBack);
    CPPUNIT_TEST(durableCancelIsAcknowledgedWithoutARead);
    CPPUNIT_TEST(cancelsOfUnknownJobsAreBounded);
    CPPUNIT_TEST(submissionsFromBeforeALongSuspensionAreRefused);
    CPPUNIT_TEST(overloadIsRefusedTruthfully);
    CPPUNIT_TEST(guaranteedJobsAreAdmittedInAnOverload);
    CPPUNIT_TEST(refusedBodiesAreAnsweredTruthfully);
    CPPUNIT_TEST(memoryOfJobsIsBounded);
    CPPUNIT_TEST(jobsThatTheStoreCannotTakeAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->table = JobTable();
        this->offset = 0;
        this->gateway.emplace(GatewayOptions { .maxWaitingRequests = 3, .maxUnreadRecords = 2, .maxUnknownCancels = 2 }, this->protocol, this->table);
        this->gateway->configurationUpdated(this->catalogWith(1, "key"));
        this->confirmReads(startTime);
    }

    void jobIsAcceptedOnlyAfterItsRecordIsStored()
    {
        this->request(1, RequestKind::Submit, startTime);
        const auto records = this->gateway->takeRecords(100, 1 << 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT_EQUAL(testJobKey, records[0].key);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->appendCompleted({ testJobKey }, AppendStatus::Appended, startTime + 5);
        this->expect(1, Outcome::Accepted);
    }

    void repeatedSubmitAppendsOneRecord()
    {
        this->request(1, RequestKind::Submit, startTime);
        this->gateway->takeRecords(100, 1 << 20);
        this->request(2, RequestKind::Submit, startTime + 1); // While the first append is in flight.
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
        this->gateway->appendCompleted({ testJobKey }, AppendStatus::Appended, startTime + 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, this->gateway->takeAnswers().size());
        this->applyJobRecord();
        this->request(3, RequestKind::Submit, startTime + 10); // After the record was read back.
        this->expect(3, Outcome::Accepted);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
    }

    // The store stores the job and its response is lost. If the caller got a refusal, it would
    // submit the same work elsewhere and pay for it twice. With an unknown outcome before its
    // deadline, it could not repeat an unsafe request.
    void lostAppendResponseYieldsUnknownOutcome()
    {
        this->request(1, RequestKind::Submit, startTime);
        this->loseAppend(startTime + 700);
        this->expectUnknownAt(1, startTime + 2500);
    }

    // Guards, for each order of losses, against an unknown outcome that could have been resolved, an
    // untrue refusal, and repeats that rely on a read from before the loss or follow each other
    // quickly. Each character is an event, 100 ms after the previous one: an append is (L)ost,
    // (R)ejected or (A)cknowledged; a read is from (B)efore the loss, (N)ewer or (F)ails; the
    // record (S)hows.
    void lostOutcomesAreResolvedInEveryOrder()
    {
        struct Case {
            std::string_view events;
            Millis answeredAfter;
            Outcome outcome { Outcome::Accepted };
            bool peerAvailable { false };
            bool forwarded { false };
        };
        constexpr Millis deadline = 2500;
        const std::vector<Case> cases { { "LS", 200 }, { "LBS", 300 }, { "LBNA", 400 }, { "LFFNA", 500 }, { "LNLS", 400 }, { "LNLNA", 500 }, { "LNRNA", 500 }, { "LNRS", 400 },
            { "R", 100, Outcome::NotNow }, { "LF", deadline, Outcome::Unknown }, { "LNRNRN", deadline, Outcome::Unknown }, { "LFF", 300, Outcome::Unknown, true },
            { "LNR", 300, Outcome::Unknown, true }, { "LFF", deadline, Outcome::Unknown, true, true }, { "LNR", deadline, Outcome::Unknown, true, true } };
        for (std::size_t i = 0; i < cases.size() * 2; ++i) {
            const Case& testCase = cases[i / 2];
            const bool isSubmit = i % 2 == 0;
            this->setUp();
            if (!isSubmit)
                this->applyJobRecord();
            this->gateway->setPeerAvailable(testCase.peerAvailable);
            this->gateway->handleRequest(1, { .kind = isSubmit ? RequestKind::Submit : RequestKind::Cancel, .host = "h", .path = "/p/" + testJobId, .apiKey = "key", .timeout = 3000, .body = "job", .forwarded = testCase.forwarded }, startTime, startTime);
            Millis now = startTime;
            for (const char event : testCase.events)
                this->applyEvent(event, isSubmit, now += 100);
            std::vector<GatewayAnswer> answers = this->gateway->takeAnswers();
            for (; answers.empty() && now < startTime + deadline; answers = this->gateway->takeAnswers())
                this->gateway->step(now += 100);
            const Outcome doneOutcome = isSubmit ? Outcome::Accepted : Outcome::Cancelled;
            const Outcome expected = testCase.outcome == Outcome::Accepted ? doneOutcome : testCase.outcome;
            CPPUNIT_ASSERT_EQUAL(fmt::format("{} {} after {}", testCase.events, nameOf(expected), testCase.answeredAfter), fmt::format("{} {} after {}", testCase.events, nameOf(answers.at(0).answer.outcome), answers[0].waitTime));
            CPPUNIT_ASSERT_EQUAL(testCase.peerAvailable && !testCase.forwarded, answers[0].isProvisional);
            if (!answers[0].isProvisional)
                continue;
            this->gateway->step(now + 10); // The peer is asked once, and the request waits on.
            CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
            this->applyEvent('S', isSubmit, now + 20);
            CPPUNIT_ASSERT(this->gateway->takeAnswers().at(0).answer.outcome == doneOutcome);
        }
    }

    // Guards against "no such job" for a cancel while the submission of the job is unresolved:
    // the store may execute the append later, and the job would run despite the cancel.
    void cancelIsNotDeniedWhileSubmitIsUnresolved()
    {
        this->submitWithUnknownOutcome();
        this->request(2, RequestKind::Cancel, startTime + 800);
        this->confirmReads(startTime + 900);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty()); // The cancel is not durable yet.
        // The store counts as unreachable by now, so the request is forwarded. The peer's "no such
        // job" would replace a refusal, but it does not replace Outcome::Unknown.
        this->request(4, RequestKind::Cancel, startTime + 2500);
        this->expect(4, Outcome::Unknown);
        this->appendCancel(testJobId, startTime + 2600);
        this->confirmReads(startTime + 2700);
        this->expect(2, Outcome::Cancelled);
    }

    // Guards against a job that runs although another instance has answered its cancel with "no such job".
    void cancelOfUnknownJobIsRecorded()
    {
        const std::string path = "/p/" + testJobId;
        this->request(1, RequestKind::Cancel, startTime + 10, path);
        this->confirmReads(startTime + 20);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->appendCancel(testJobId, startTime + 30);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->jobsConfirmed(startTime + 29, startTime + 31); // Read before the cancel was durable.
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        CPPUNIT_ASSERT(this->gateway->needsJobsRead());
        this->gateway->jobsConfirmed(startTime + 31, startTime + 32);
        this->expect(1, Outcome::NoSuchJob);
        this->request(2, RequestKind::Cancel, startTime + 40, path);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty()); // One record is enough.
        this->confirmReads(startTime + 41);
        this->expect(2, Outcome::NoSuchJob);
        this->applyJobRecord(); // The late submission.
        this->request(3, RequestKind::Cancel, startTime + 50, path);
        this->expect(3, Outcome::Cancelled);
        this->request(4, RequestKind::State, startTime + 60, path);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().at(0).answer.state == JobState::Cancelled);
    }

    // Guards against a repeated append, or an unknown outcome, of a cancel that the job table shows.
    void cancelOfUnknownJobIsReadBack()
    {
        this->request(1, RequestKind::Cancel, startTime + 10);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appendCompleted({ "cancel/" + testJobId }, AppendStatus::Unknown, startTime + 700);
        this->applyCancelRecord(testJobId, startTime + 710);
        this->gateway->jobChanged(testJobId, startTime + 710);
        this->gateway->step(startTime + 710);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
        this->gateway->jobsConfirmed(startTime + 705, startTime + 711);
        this->expect(1, Outcome::NoSuchJob);
    }

    // Guards against "try again later" for a cancel that is durable.
    void durableCancelIsAcknowledgedWithoutARead()
    {
        this->request(1, RequestKind::Cancel, startTime + 10);
        this->appendCancel(testJobId, startTime + 20);
        this->gateway->step(startTime + 2520);
        this->expect(1, Outcome::Cancelled);
    }

    // Guards against memory that grows with cancels of jobs that nobody submits.
    void cancelsOfUnknownJobsAreBounded()
    {
        const std::string first = "0000000000000001";
        const std::string second = "0000000000000002";
        for (const std::string& id : { first, second }) {
            this->request(1, RequestKind::Cancel, startTime + 10, "/p/" + id);
            this->appendCancel(id, startTime + 20);
            this->confirmReads(startTime + 30);
            this->expect(1, Outcome::NoSuchJob);
        }
        this->request(2, RequestKind::Cancel, startTime + 40, "/p/0000000000000003");
        this->expect(2, Outcome::NotNow);
        this->applyJobRecord();
        this->request(3, RequestKind::Cancel, startTime + 50); // Of a job that exists.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(100, 1 << 20).size());
        for (const char* kind : { "cancel/", "state/", "job/" })
            this->table.apply(kind + first, "", this->offset++, startTime + 60); // The planner deletes the oldest.
        this->request(4, RequestKind::Cancel, startTime + 70, "/p/0000000000000003");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(100, 1 << 20).size());
    }

    // Guards against a job that runs after its cancel was forgotten, because its submission was in the socket of a process
    // that was suspended for longer than cancels are kept.
    void submissionsFromBeforeALongSuspensionAreRefused()
    {
        constexpr Millis suspension = 120001;
        const Millis resumedAt = startTime + suspension;
        this->gateway->resumed(suspension - 1, resumedAt);
        this->confirmReads(resumedAt);
        this->request(1, RequestKind::Submit, resumedAt, "/p/0000000000000001");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(100, 1 << 20).size());
        this->gateway->resumed(suspension, resumedAt);
        this->request(2, RequestKind::Submit, resumedAt + 1000);
        this->expect(2, Outcome::NotNow);
        this->confirmReads(resumedAt + 2000);
        this->request(3, RequestKind::Submit, resumedAt + 2000);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(100, 1 << 20).size());
    }

    void recordReadBackCountsAsStored()
    {
        this->request(1, RequestKind::Submit, startTime);
        this->gateway->takeRecords(100, 1 << 20);
        this->applyJobRecord();
        this->gateway->jobChanged(testJobId, startTime + 20);
        this->expect(1, Outcome::Accepted);
    }

    // The store may still execute the first append seconds later, so a failed retry must not
    // be answered with "not run".
    void retryIsNotRefusedWhileEarlierAppendIsUnresolved()
    {
        this->submitWithUnknownOutcome();
        this->request(2, RequestKind::Submit, startTime + 800);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appendCompleted({ testJobKey }, AppendStatus::NotAppended, startTime + 810);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        // Another job was never appended before, and gets a plain refusal.
        this->request(3, RequestKind::Submit, startTime + 850, "/p/0000000000000001");
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appendCompleted({ "job/0000000000000001" }, AppendStatus::NotAppended, startTime + 860);
        this->expect(3, Outcome::NotNow);
        this->expectUnknownAt(2, startTime + 3300);
    }

    // Guards against "not run" for a job whose first append is in flight, given because a newer
    // configuration has not been read yet or the known one is too old.
    void staleConfigurationDoesNotRefuseUnresolvedJob()
    {
        this->request(1, RequestKind::Submit, startTime);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->requireConfigurationVersion(2);
        this->request(2, RequestKind::Submit, startTime + 10);
        this->expect(2, Outcome::Unknown);
        this->gateway->configurationUpdated(this->catalogWith(2, "key"));
        this->request(3, RequestKind::Submit, startTime + 4001);
        this->expect(3, Outcome::Unknown);
        this->request(4, RequestKind::Submit, startTime + 4001, "/p/0000000000000001"); // Never submitted before.
        this->expect(4, Outcome::NotNow);
    }

    // Guards against "not run" for one of two concurrent submissions of a job while the other
    // still waits for the same record, which may be stored.
    void timeoutDoesNotRefuseWhileSameRecordIsPending()
    {
        this->request(1, RequestKind::Submit, startTime);
        this->gateway->handleRequest(2, { .kind = RequestKind::Submit, .host = "h", .path = "/p/" + testJobId, .apiKey = "key", .timeout = 400, .body = "job" }, startTime, startTime);
        this->gateway->step(startTime + 200);
        this->expect(2, Outcome::Unknown);
        this->request(3, RequestKind::Submit, startTime + 1500); // The store counts as unreachable by then.
        this->expect(3, Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(100, 1 << 20).size());
        this->request(4, RequestKind::Submit, startTime + 1);
        this->gateway->appendCompleted({ testJobKey }, AppendStatus::NotAppended, startTime + 1600);
        for (const GatewayAnswer& answer : this->gateway->takeAnswers())
            CPPUNIT_ASSERT(answer.answer.outcome == Outcome::NotNow); // No request waits for the record.
    }

    // The store executes an append without a response, and the jobs stream cannot be read. If
    // the append were forgotten before the next read, a retry would get "not run" for a stored job.
    void unresolvedAppendIsKeptUntilJobsAreReadAgain()
    {
        this->submitWithUnknownOutcome();
        this->gateway->step(startTime + 20000);
        this->request(2, RequestKind::Submit, startTime + 20000);
        this->expect(2, Outcome::Unknown);
        this->confirmReads(startTime + 20010);
        this->gateway->step(startTime + 20020);
        this->request(3, RequestKind::Submit, startTime + 30000);
        this->expect(3, Outcome::NotNow);
    }

    // Guards against "not run" for a repeated submit that arrives after the acknowledgement of
    // its record and before the record is read back.
    void storedRecordIsKnownBeforeItIsReadBack()
    {
        this->request(1, RequestKind::Submit, startTime);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appendCompleted({ testJobKey }, AppendStatus::Appended, startTime + 5);
        this->expect(1, Outcome::Accepted);
        this->request(2, RequestKind::Submit, startTime + 100);
        this->expect(2, Outcome::Accepted);
        this->gateway->requireConfigurationVersion(2);
        this->request(3, RequestKind::Submit, startTime + 5000);
        this->expect(3, Outcome::Unknown);
        this->gateway->configurationUpdated(this->catalogWith(2, "key"));
        this->applyJobRecord();
        this->confirmReads(startTime + 5000);
        this->gateway->step(startTime + 5001);
        this->request(4, RequestKind::Submit, startTime + 5002);
        this->expect(4, Outcome::Accepted);
        this->request(5, RequestKind::Submit, startTime + 10000); // The configuration counts as outdated by then.
        this->expect(5, Outcome::Unknown);
    }

    void unreachableStoreIsRefusedImmediately()
    {
        this->request(1, RequestKind::Submit, startTime + 1500);
        this->expect(1, Outcome::NotNow);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
    }

    // Guards against a refusal at once of an attempt that has less time left than the usual margin,
    // although the store takes its record in time.
    void lastAttemptOfCallerIsServed()
    {
        constexpr Millis timeLeft = 80;
        CallerRequest attempt { .kind = RequestKind::Submit, .host = "h", .path = "/p/" + testJobId, .apiKey = "key", .timeout = timeLeft };
        this->gateway->handleRequest(1, attempt, startTime, startTime);
        this->gateway->step(startTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(100, 1 << 20).size());
        this->gateway->appendCompleted({ testJobKey }, AppendStatus::Appended, startTime + 20);
        this->expect(1, Outcome::Accepted);
        // The other half is left for the answer.
        attempt.path = "/p/0000000000000001";
        this->gateway->handleRequest(2, attempt, startTime, startTime);
        this->gateway->step(startTime + timeLeft / 2);
        this->expect(2, Outcome::NotNow);
    }

    // The store rejects one instance while operators add a queue and a key. For four seconds
    // its callers would get a final "no such queue" or "unknown key". Such answers are marked,
    // so that another instance is tried; while the store is reachable they are not marked.
    void outdatedConfigurationMarksAnswerForForwarding()
    {
        const auto canPeerHelp = [this](Millis at, const std::string& path, const std::string& key) {
            this->request(1, RequestKind::Submit, at, path, key);
            return this->gateway->takeAnswers().at(0).answer.canPeerHelp;
        };
        const std::string unknownQueue = "/q/" + testJobId;
        const std::string knownQueue = "/p/" + testJobId;
        CPPUNIT_ASSERT(!canPeerHelp(startTime + 100, unknownQueue, "key"));
        CPPUNIT_ASSERT(!canPeerHelp(startTime + 100, knownQueue, "other key"));
        CPPUNIT_ASSERT(canPeerHelp(startTime + 1500, unknownQueue, "key"));
        CPPUNIT_ASSERT(canPeerHelp(startTime + 1500, knownQueue, "other key"));
    }

    // Guards against final denials by a configuration that may be outdated, where no peer helps: the
    // store is out of reach, or a job was accepted under a newer version.
    void outdatedConfigurationDeniesNothing()
    {
        this->request(1, RequestKind::Submit, startTime + 1500, "/q/" + testJobId);
        this->expect(1, Outcome::NotNow);
        this->request(2, RequestKind::Cancel, startTime + 1500, "/p/" + testJobId, "other key");
        this->expect(2, Outcome::NotNow);
        this->gateway->configurationSeen(2);
        this->request(3, RequestKind::State, startTime, "/q/" + testJobId);
        this->expect(3, Outcome::NotNow);
        this->request(4, RequestKind::State, startTime, "/p/"); // Nothing is denied.
        this->expect(4, Outcome::Pending);
        this->gateway->configurationUpdated(this->catalogWith(2, "key"));
        this->request(5, RequestKind::State, startTime, "/q/" + testJobId);
        this->expect(5, Outcome::NoSuchQueue);
    }

    // An instance is cut off from the store while an operator revokes a key. Its callers could
    // use the key for as long as the cut lasts.
    void revokedKeysExpireWithoutConfigurationReads()
    {
        this->applyJobRecord();
        this->request(1, RequestKind::State, startTime + 3900);
        this->expect(1, Outcome::State);
        this->request(2, RequestKind::State, startTime + 4001);
        this->expect(2, Outcome::NotNow);
        CPPUNIT_ASSERT(!this->gateway->isReady(startTime + 4001));
        this->gateway->configurationUpdated(this->catalogWith(2, "other"));
        this->confirmReads(startTime + 5000);
        this->request(3, RequestKind::State, startTime + 5000);
        this->expect(3, Outcome::UnknownKey);
    }

    void unknownJobIsDeniedOnlyAfterNewRead()
    {
        this->request(1, RequestKind::State, startTime + 10);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        CPPUNIT_ASSERT(this->gateway->needsJobsRead());
        this->gateway->jobsConfirmed(startTime + 9, startTime + 12); // Read before the request was received.
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->jobsConfirmed(startTime + 11, startTime + 15);
        this->expect(1, Outcome::NoSuchJob);
    }

    void cancelIsConfirmedOnlyAfterItsRecordIsStored()
    {
        this->applyJobRecord();
        this->request(1, RequestKind::Cancel, startTime + 10);
        const auto records = this->gateway->takeRecords(100, 1 << 20);
        CPPUNIT_ASSERT_EQUAL(std::string("cancel/" + testJobId), records.at(0).key);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->appendCompleted({ records.at(0).key }, AppendStatus::Appended, startTime + 20);
        this->expect(1, Outcome::Cancelled);
        this->table.apply("cancel/" + testJobId, tasks::encodeCancel(), this->offset++, startTime + 21);
        this->request(2, RequestKind::State, startTime + 30);
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT(answers.at(0).answer.state == JobState::Cancelled);
    }

    void invalidRequestsAreRejected()
    {
        this->request(1, RequestKind::Submit, startTime, "/nowhere/" + testJobId);
        this->expect(1, Outcome::NoSuchQueue);
        this->request(2, RequestKind::Submit, startTime, "/p/short");
        this->expect(2, Outcome::Malformed);
        this->request(3, RequestKind::Submit, startTime, "/p/" + testJobId, "wrong");
        this->expect(3, Outcome::UnknownKey);
        this->request(4, RequestKind::Submit, startTime, "/p/" + testJobId, "key", "bad");
        this->expect(4, Outcome::Malformed);
        this->request(5, RequestKind::Other, startTime);
        this->expect(5, Outcome::NoSuchMethod);
        this->request(6, RequestKind::State, startTime, "/p/");
        this->expect(6, Outcome::Pending);
        this->request(8, RequestKind::State, startTime + 1900, "/p/"); // The known number of jobs is outdated.
        this->expect(8, Outcome::NotNow);
        this->request(7, RequestKind::Submit, startTime, "/p/" + testJobId, "key", std::string(2000, 'x'));
        this->expect(7, Outcome::TooLarge);
    }

    void waitingRequestsAreBounded()
    {
        for (int i = 0; i < 3; ++i)
            this->request(static_cast<std::uint64_t>(i), RequestKind::Submit, startTime, fmt::format("/p/000000000000000{}", i));
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->request(9, RequestKind::Submit, startTime);
        this->expect(9, Outcome::NotNow);
    }

    void appendBatchesAreBounded()
    {
        for (int i = 0; i < 3; ++i)
            this->request(static_cast<std::uint64_t>(i), RequestKind::Submit, startTime, fmt::format("/p/000000000000000{}", i));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, this->gateway->takeRecords(2, 1 << 20).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(2, 1).size());
        CPPUNIT_ASSERT(this->gateway->takeRecords(2, 1).empty());
    }

    void unreadRecordsAreBounded()
    {
        for (int i = 0; i < 3; ++i) {
            this->request(static_cast<std::uint64_t>(i), RequestKind::Submit, startTime, fmt::format("/p/000000000000000{}", i));
            const auto records = this->gateway->takeRecords(1, 1);
            if (i == 2) {
                CPPUNIT_ASSERT(records.empty());
                return this->expect(2, Outcome::NotNow);
            }
            this->gateway->appendCompleted({ records.at(0).key }, AppendStatus::Unknown, startTime);
            CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        }
    }

    // The instance is cut off, and a peer with a newer configuration has just answered a request
    // for it. With its own, older configuration it would tell the next caller that the queue
    // does not exist.
    void configurationOlderThanOnPeersIsNotUsed()
    {
        this->gateway->requireConfigurationVersion(2);
        this->request(1, RequestKind::State, startTime, "/nowhere/");
        this->expect(1, Outcome::NotNow);
        this->gateway->configurationUpdated(this->catalogWith(2, "key"));
        this->request(2, RequestKind::State, startTime, "/nowhere/");
        this->expect(2, Outcome::NoSuchQueue);
    }

    // Guards against a revoked key that works once more through a peer with an older configuration.
    void forwardedRequestIsNotDecidedByOlderConfiguration()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, this->gateway->requiredOfPeers());
        this->gateway->handleRequest(1, { .kind = RequestKind::Submit, .host = "h", .path = "/p/" + testJobId, .apiKey = "key", .timeout = 3000, .body = "job", .forwarded = true, .configurationVersion = 2 }, startTime, startTime);
        this->expect(1, Outcome::NotNow);
        this->request(2, RequestKind::Submit, startTime); // Others are decided by what was read here.
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->requireConfigurationVersion(2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, this->gateway->requiredOfPeers());
    }

    // Guards against an answer that is weighed by a configuration that was read after its request
    // was let in.
    void answerNamesVersionThatDecidedIt()
    {
        this->request(1, RequestKind::Submit, startTime);
        this->gateway->configurationUpdated(this->catalogWith(2, "other"));
        this->gateway->appendCompleted({ this->gateway->takeRecords(100, 1 << 20).at(0).key }, AppendStatus::Appended, startTime);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, this->gateway->takeAnswers().at(0).answer.configurationVersion);
        this->gateway->requireConfigurationVersion(3);
        this->request(2, RequestKind::State, startTime, "/nowhere/");
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, this->gateway->takeAnswers().at(0).answer.configurationVersion);
    }

    // A caller polls just when its job ends, and the planner's record arrives some tens of
    // milliseconds later. With an immediate "running" the caller would see the end only after its
    // next pause, and a job that ended in time would appear to be late.
    void stateRequestWaitsForEndOfRunningJob()
    {
        this->applyState(JobState::Running);
        this->request(1, RequestKind::State, startTime);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->applyState(JobState::Completed);
        this->gateway->jobChanged(testJobId, startTime + 40);
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answers.size());
        CPPUNIT_ASSERT(answers.front().answer.state == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(Millis { 40 }, answers.front().waitTime);
    }

    void stateRequestReportsRunningAfterWait()
    {
        this->applyState(JobState::Running);
        this->request(1, RequestKind::State, startTime);
        this->gateway->jobChanged(testJobId, startTime + 40); // One of its tasks ended.
        this->gateway->step(startTime + 199);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->step(startTime + 200);
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answers.size());
        CPPUNIT_ASSERT(answers.front().answer.state == JobState::Running);
    }

    void stateRequestDoesNotWaitWithoutStore()
    {
        this->applyState(JobState::Running);
        this->request(1, RequestKind::State, startTime + 1500);
        this->expect(1, Outcome::State);
    }

    // Connections close at shutdown. A caller that still waits on one could not know whether
    // its job was accepted.
    void requestsAreAnsweredBeforeShutdown()
    {
        const std::string other = "0123456789abcdef";
        this->request(1, RequestKind::Submit, startTime);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->setAnswerDeadline(startTime + 400);
        this->request(2, RequestKind::Submit, startTime + 100, "/p/" + other);
        this->gateway->step(startTime + 399);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->step(startTime + 400);
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, answers.size());
        CPPUNIT_ASSERT(answers[0].answer.outcome == Outcome::Unknown); // Its append is in flight.
        CPPUNIT_ASSERT(answers[1].answer.outcome == Outcome::NotNow);
        this->request(3, RequestKind::State, startTime + 450, "/p/" + other);
        this->gateway->step(startTime + 450);
        this->expect(3, Outcome::NotNow);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
    }

    void configurationVersionNeverDecreases()
    {
        this->gateway->configurationUpdated(this->catalogWith(3, "newer"));
        this->gateway->configurationUpdated(this->catalogWith(2, "key"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, this->gateway->configuration().version);
    }

    // Guards against jobs that are accepted to wait until they are useless, against a refusal of a
    // job that an earlier attempt has stored, and against refusals after the overload.
    void overloadIsRefusedTruthfully()
    {
        this->reportLoad(startTime);
        this->request(1, RequestKind::Submit, startTime);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        CPPUNIT_ASSERT(this->gateway->needsJobsRead());
        this->confirmReads(startTime + 5);
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answers.size());
        CPPUNIT_ASSERT(answers[0].answer.outcome == Outcome::NotNow);
        CPPUNIT_ASSERT(!answers[0].answer.canPeerHelp);
        CPPUNIT_ASSERT(answers[0].answer.retryAfter >= 8000 && answers[0].answer.retryAfter <= 16000);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
        this->request(2, RequestKind::Submit, startTime + 10);
        this->applyJobRecord(); // Stored through another instance.
        this->confirmReads(startTime + 15);
        this->expect(2, Outcome::Accepted);
        this->confirmReads(startTime + 5000);
        this->request(3, RequestKind::Submit, startTime + 5001, "/p/0000000000000001");
        CPPUNIT_ASSERT(!this->gateway->needsJobsRead());
        this->request(4, RequestKind::Submit, startTime + 10, "/p/0000000000000001"); // Its record is queued already.
        CPPUNIT_ASSERT(!this->gateway->needsJobsRead());
    }

    // Guards against the refusal of a job that its workspace's guarantee covers.
    void guaranteedJobsAreAdmittedInAnOverload()
    {
        auto catalog = std::make_shared<tasks::Catalog>(*this->catalogWith(2, "key"));
        catalog->workspaces.push_back({ "w", 8 });
        this->gateway->configurationUpdated(catalog);
        this->reportLoad(startTime);
        this->request(1, RequestKind::Submit, startTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(100, 1 << 20).size());
    }

    // Guards against a rejection of a job that runs, because its body was not read this time.
    void refusedBodiesAreAnsweredTruthfully()
    {
        for (const auto refusal : { http::BodyRefusal::TooLarge, http::BodyRefusal::NoMemory }) {
            const bool isTooLarge = refusal == http::BodyRefusal::TooLarge;
            this->setUp();
            this->requestWithout(1, refusal, "/nowhere/" + testJobId);
            this->expect(1, Outcome::NoSuchQueue);
            this->requestWithout(2, refusal);
            const auto answers = this->gateway->takeAnswers();
            CPPUNIT_ASSERT(answers.at(0).answer.outcome == (isTooLarge ? Outcome::TooLarge : Outcome::NotNow));
            CPPUNIT_ASSERT(!answers.at(0).answer.canPeerHelp); // The peer would get no body.
            this->request(3, RequestKind::Submit, startTime);
            this->requestWithout(4, refusal); // The append of request 3 is due.
            this->expect(4, Outcome::Unknown);
            this->gateway->takeRecords(100, 1 << 20);
            this->gateway->appendCompleted({ testJobKey }, AppendStatus::Appended, startTime + 5);
            this->expect(3, Outcome::Accepted);
            this->requestWithout(5, refusal);
            this->expect(5, Outcome::Accepted);
        }
    }

    // Guards against small jobs that take all memory together.
    void memoryOfJobsIsBounded()
    {
        this->gateway.emplace(GatewayOptions { .maxJobBytes = 4000 }, this->protocol, this->table);
        this->gateway->configurationUpdated(this->catalogWith(1, "key"));
        this->confirmReads(startTime);
        tasks::Job job;
        job.steps.resize(3);
        this->table.apply("job/0000000000000001", tasks::encodeJob(job), this->offset++, startTime);
        CPPUNIT_ASSERT(this->table.heldBytes() > 4000);
        this->request(1, RequestKind::Submit, startTime);
        this->expect(1, Outcome::NotNow);
        this->request(2, RequestKind::Submit, startTime, "/p/0000000000000001");
        this->expect(2, Outcome::Accepted);
        this->table.apply("state/0000000000000001", tasks::encodeState(JobState::Completed), this->offset++, startTime);
        CPPUNIT_ASSERT(this->table.heldBytes() < 4000);
        this->request(3, RequestKind::Submit, startTime);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->table.apply("job/0000000000000001", "", this->offset++, startTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, this->table.heldBytes());
    }

    // Guards against an append that the store rejects for good, with the jobs of other callers in it.
    void jobsThatTheStoreCannotTakeAreRejected()
    {
        this->gateway.emplace(GatewayOptions { .maxRecordBytes = 50 }, this->protocol, this->table);
        this->gateway->configurationUpdated(this->catalogWith(1, "key"));
        this->confirmReads(startTime);
        this->request(1, RequestKind::Submit, startTime);
        this->expect(1, Outcome::TooLarge);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
    }

private:
    void requestWithout(std::uint64_t ticket, http::BodyRefusal refusal, const std::string& path = "/p/" + testJobId)
    {
        this->gateway->handleRequest(ticket, { .kind = RequestKind::Submit, .host = "h", .path = path, .apiKey = "key", .timeout = 3000, .bodyRefusal = refusal }, startTime, startTime);
    }

    void reportLoad(Millis now) { CPPUNIT_ASSERT(this->gateway->loadRecordRead({ "load/q", tasks::encodeLoad({ 8000, now }), 1000 }, now)); }

    std::shared_ptr<const tasks::Catalog> catalogWith(std::int64_t version, const std::string& key) const
    {
        auto catalog = std::make_shared<tasks::Catalog>();
        catalog->version = version;
        tasks::Queue queue;
        queue.host = "h";
        queue.pathPrefix = "/p/";
        queue.terms.queue = "q";
        catalog->queues.push_back(queue);
        catalog->workspaceOfKey[key] = "w";
        catalog->maxBodyBytes = 1000;
        return catalog;
    }

    void confirmReads(Millis at)
    {
        this->gateway->configurationConfirmed(at);
        this->gateway->jobsConfirmed(at, at);
    }

    void request(std::uint64_t ticket, RequestKind kind, Millis now, const std::string& path = "/p/" + testJobId, const std::string& key = "key", const std::string& body = "job")
    {
        this->gateway->handleRequest(ticket, { .kind = kind, .host = "h", .path = path, .apiKey = key, .timeout = 3000, .body = body }, now, now);
    }

    void loseAppend(Millis at)
    {
        CPPUNIT_ASSERT(!this->gateway->needsJobsRead());
        this->gateway->appendCompleted({ this->gateway->takeRecords(100, 1 << 20).at(0).key }, AppendStatus::Unknown, at);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty() && this->gateway->needsJobsRead());
    }

    // The first request's deadline is 700 ms after its start, when its append's outcome is lost.
    void submitWithUnknownOutcome()
    {
        this->gateway->handleRequest(1, { .kind = RequestKind::Submit, .host = "h", .path = "/p/" + testJobId, .apiKey = "key", .timeout = 1000, .body = "job" }, startTime, startTime);
        this->loseAppend(startTime + 700);
        this->gateway->step(startTime + 700);
        this->expect(1, Outcome::Unknown);
    }

    void expectUnknownAt(std::uint64_t ticket, Millis deadline)
    {
        this->gateway->step(deadline - 1);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->step(deadline);
        this->expect(ticket, Outcome::Unknown);
    }

    // An event of lostOutcomesAreResolvedInEveryOrder. A record must be due exactly if an append is next.
    void applyEvent(char event, bool isSubmit, Millis now)
    {
        const std::map<char, AppendStatus> statuses { { 'L', AppendStatus::Unknown }, { 'R', AppendStatus::NotAppended }, { 'A', AppendStatus::Appended } };
        const auto records = this->gateway->takeRecords(100, 1 << 20);
        CPPUNIT_ASSERT_EQUAL(statuses.contains(event), !records.empty());
        if (!records.empty())
            this->gateway->appendCompleted({ records[0].key }, statuses.at(event), now);
        if (event == 'B' || event == 'N')
            this->gateway->jobsConfirmed(event == 'B' ? startTime + 50 : now, now);
        if (event == 'F')
            this->gateway->jobsReadFailed(now);
        if (event == 'S') {
            this->applyJobRecord();
            if (!isSubmit)
                this->table.apply("cancel/" + testJobId, tasks::encodeCancel(), this->offset++, now);
            this->gateway->jobChanged(testJobId, now);
        }
        this->gateway->step(now);
    }

    void expect(std::uint64_t ticket, Outcome outcome)
    {
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answers.size());
        CPPUNIT_ASSERT_EQUAL(ticket, answers[0].ticket);
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(outcome)), std::string(nameOf(answers[0].answer.outcome)));
    }

    void applyState(JobState state)
    {
        this->applyJobRecord();
        this->table.apply("state/" + testJobId, tasks::encodeState(state), this->offset++, startTime);
    }

    void applyCancelRecord(const std::string& id, Millis now) { this->table.apply("cancel/" + id, tasks::encodeCancel(), this->offset++, now); }

    // The queued cancel of the job becomes durable and is read.
    void appendCancel(const std::string& id, Millis now)
    {
        const auto records = this->gateway->takeRecords(100, 1 << 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT_EQUAL("cancel/" + id, records[0].key);
        this->gateway->appendCompleted({ records[0].key }, AppendStatus::Appended, now);
        this->applyCancelRecord(id, now);
    }

    void applyJobRecord()
    {
        tasks::Job job;
        job.id = testJobId;
        job.steps.push_back({});
        this->table.apply(testJobKey, tasks::encodeJob(job), this->offset++, startTime);
    }

    FakeCallerProtocol protocol;
    JobTable table;
    std::int64_t offset { 0 };
    std::optional<Gateway> gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace
