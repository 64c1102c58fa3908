#include "instance/gateway.h"

#include "tasks/records.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <optional>

using namespace rattan;
using namespace rattan::instance;
using tasks::JobState;
using tasks::JobTable;

namespace {

constexpr Millis begin = 100000;
const std::string id = "5c0e7a21d94b36f8";
const std::string jobKey = "job/" + id;

// Bodies are of no interest to the gateway: any but "bad" is a job of one task.
class PlainProtocol final : public CallerProtocol {
public:
    CallerRequest parseRequest(const http::Request&) const override { return {}; }
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
    CPPUNIT_TEST(aJobIsAcceptedOnceItIsDurable);
    CPPUNIT_TEST(aRepeatChangesNothing);
    CPPUNIT_TEST(aLostAnswerOfTheStoreIsNoRefusal);
    CPPUNIT_TEST(aRecordReadBackCountsAsDurable);
    CPPUNIT_TEST(noRefusalWhileAnEarlierTryMayStillArrive);
    CPPUNIT_TEST(noRejectionByTheConfigurationWhileAnEarlierTryMayStillArrive);
    CPPUNIT_TEST(noRejectionWhileAnotherTryWaitsForTheSameRecord);
    CPPUNIT_TEST(noRejectionUntilALateAppendWouldHaveBeenRead);
    CPPUNIT_TEST(whatThisInstanceStoredIsKnownBeforeItIsReadBack);
    CPPUNIT_TEST(aStoreOutOfReachIsToldAtOnce);
    CPPUNIT_TEST(withdrawnKeysStopWorkingWhenTheConfigurationIsNotHeardOf);
    CPPUNIT_TEST(whatAnOldConfigurationLacksIsAskedForElsewhere);
    CPPUNIT_TEST(unknownJobsAreLookedForBeforeTheyAreDenied);
    CPPUNIT_TEST(cancelsAreDurable);
    CPPUNIT_TEST(strangeRequestsAreTurnedAway);
    CPPUNIT_TEST(waitingRequestsAreBounded);
    CPPUNIT_TEST(appendsAreBounded);
    CPPUNIT_TEST(recordsThatAreNotReadBackAreBounded);
    CPPUNIT_TEST(aVersionOfTheConfigurationNeverGoesBack);
    CPPUNIT_TEST(nothingIsDecidedByAnOlderConfigurationThanAnotherInstanceUsed);
    CPPUNIT_TEST(theEndOfARunningJobIsAwaited);
    CPPUNIT_TEST(aJobThatGoesOnIsToldSoSoon);
    CPPUNIT_TEST(noEndIsAwaitedWithoutTheStore);
    CPPUNIT_TEST(whateverIsAskedAroundAStopIsAnsweredBeforeIt);
    CPPUNIT_TEST(noJobIsDeniedToWhoCancelsItWhileItsAppendMayArrive);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->table = JobTable();
        this->offset = 0;
        this->gateway.emplace(GatewayOptions { .mostWaiting = 3, .mostUnread = 2 }, this->protocol, this->table);
        this->gateway->configurationRead(this->text(1, "key"));
        this->hear(begin);
    }

    void aJobIsAcceptedOnceItIsDurable()
    {
        this->ask(1, RequestKind::Submit, begin);
        const auto records = this->gateway->takeRecords(100, 1 << 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT_EQUAL(jobKey, records[0].key);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->appended({ jobKey }, AppendStatus::Appended, begin + 5);
        this->expect(1, Outcome::Accepted);
    }

    void aRepeatChangesNothing()
    {
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->takeRecords(100, 1 << 20);
        this->ask(2, RequestKind::Submit, begin + 1); // While the first is under way.
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
        this->gateway->appended({ jobKey }, AppendStatus::Appended, begin + 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, this->gateway->takeAnswers().size());
        this->readBack();
        this->ask(3, RequestKind::Submit, begin + 10); // Seconds after.
        this->expect(3, Outcome::Accepted);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
    }

    // The store has stored the job and its answer is lost. A caller who is told "not
    // run" books elsewhere, and pays for two carriages.
    void aLostAnswerOfTheStoreIsNoRefusal()
    {
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appended({ jobKey }, AppendStatus::Unknown, begin + 700);
        this->expect(1, Outcome::Unknown);
    }

    // A caller cancelled a job whose outcome was unknown, heard that there is none, and the
    // append was carried out after that: the job ran although its cancelling was answered.
    void noJobIsDeniedToWhoCancelsItWhileItsAppendMayArrive()
    {
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appended({ jobKey }, AppendStatus::Unknown, begin + 700);
        this->expect(1, Outcome::Unknown);
        this->ask(2, RequestKind::Cancel, begin + 800);
        this->hear(begin + 900);
        this->expect(2, Outcome::Unknown);
        // Without the store it would be passed on, and denied there.
        this->ask(4, RequestKind::Cancel, begin + 2500);
        this->expect(4, Outcome::Unknown);
        // There surely is no other one.
        this->ask(3, RequestKind::Cancel, begin + 2500, "/p/0000000000000001");
        this->expect(3, Outcome::NotNow);
        this->hear(begin + 2600);
        this->ask(3, RequestKind::Cancel, begin + 2600, "/p/0000000000000001");
        this->hear(begin + 2601);
        this->expect(3, Outcome::NoSuchJob);
    }

    void aRecordReadBackCountsAsDurable()
    {
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->takeRecords(100, 1 << 20);
        this->readBack();
        this->gateway->jobChanged(id, begin + 20);
        this->expect(1, Outcome::Accepted);
    }

    // A first try may still be carried out by the store, seconds later. A second one
    // that is refused must not be told that the job never runs.
    void noRefusalWhileAnEarlierTryMayStillArrive()
    {
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appended({ jobKey }, AppendStatus::Unknown, begin + 700);
        this->expect(1, Outcome::Unknown);
        this->ask(2, RequestKind::Submit, begin + 1000);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appended({ jobKey }, AppendStatus::NotDone, begin + 1010);
        this->expect(2, Outcome::Unknown);
        // Another job was never tried, and is refused in so many words.
        this->ask(3, RequestKind::Submit, begin + 1100, "/p/0000000000000001");
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appended({ "job/0000000000000001" }, AppendStatus::NotDone, begin + 1110);
        this->expect(3, Outcome::NotNow);
    }

    // A job whose first try was under way was told "never runs" for a configuration that
    // had yet to be read.
    void noRejectionByTheConfigurationWhileAnEarlierTryMayStillArrive()
    {
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->configurationUsedElsewhere(2);
        this->ask(2, RequestKind::Submit, begin + 10);
        this->expect(2, Outcome::Unknown);
        this->gateway->configurationRead(this->text(2, "key"));
        this->ask(3, RequestKind::Submit, begin + 4001);
        this->expect(3, Outcome::Unknown);
        this->ask(4, RequestKind::Submit, begin + 4001, "/p/0000000000000001"); // Never tried.
        this->expect(4, Outcome::NotNow);
    }

    // Two tries came at the same time; one was told "never runs", the other one's record
    // was stored.
    void noRejectionWhileAnotherTryWaitsForTheSameRecord()
    {
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->ask(2, { .kind = RequestKind::Submit, .host = "h", .path = "/p/" + id, .key = "key", .patience = 400, .body = "job" }, begin, begin);
        this->gateway->step(begin + 100);
        this->expect(2, Outcome::Unknown);
        this->ask(3, RequestKind::Submit, begin + 1500); // The store is out of reach by then.
        this->expect(3, Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(100, 1 << 20).size());
        this->ask(4, RequestKind::Submit, begin + 1);
        this->gateway->appended({ jobKey }, AppendStatus::NotDone, begin + 1600);
        for (const GatewayAnswer& answer : this->gateway->takeAnswers())
            CPPUNIT_ASSERT(answer.answer.outcome == Outcome::NotNow); // Nobody waits any more.
    }

    // An append without an answer was carried out, and the log could not be read until the
    // append was forgotten: the next try was told that the stored job never runs.
    void noRejectionUntilALateAppendWouldHaveBeenRead()
    {
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appended({ jobKey }, AppendStatus::Unknown, begin + 700);
        this->expect(1, Outcome::Unknown);
        this->gateway->step(begin + 20000);
        this->ask(2, RequestKind::Submit, begin + 20000);
        this->expect(2, Outcome::Unknown);
        this->hear(begin + 20010);
        this->gateway->step(begin + 20020);
        this->ask(3, RequestKind::Submit, begin + 30000);
        this->expect(3, Outcome::NotNow);
    }

    // A repeat of an accepted submit came before the record was read back, and was told that
    // the job never runs.
    void whatThisInstanceStoredIsKnownBeforeItIsReadBack()
    {
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->appended({ jobKey }, AppendStatus::Appended, begin + 5);
        this->expect(1, Outcome::Accepted);
        this->ask(2, RequestKind::Submit, begin + 100);
        this->expect(2, Outcome::Accepted);
        this->gateway->configurationUsedElsewhere(2);
        this->ask(3, RequestKind::Submit, begin + 5000);
        this->expect(3, Outcome::Unknown);
        this->gateway->configurationRead(this->text(2, "key"));
        this->readBack();
        this->hear(begin + 5000);
        this->gateway->step(begin + 5001);
        this->ask(4, RequestKind::Submit, begin + 5002);
        this->expect(4, Outcome::Accepted);
        this->ask(5, RequestKind::Submit, begin + 10000); // The configuration is unknown by then.
        this->expect(5, Outcome::Unknown);
    }

    void aStoreOutOfReachIsToldAtOnce()
    {
        this->ask(1, RequestKind::Submit, begin + 1500);
        this->expect(1, Outcome::NotNow);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
    }

    // The store turns an instance away while operators add a queue and a key. Its callers
    // were told for four seconds that there is neither, and took that for final. Another
    // instance may know better; while the store is in reach, nobody else is asked.
    void whatAnOldConfigurationLacksIsAskedForElsewhere()
    {
        const auto wantsStore = [this](Millis at, const std::string& path, const std::string& key) {
            this->ask(1, RequestKind::Submit, at, path, key);
            return this->gateway->takeAnswers().at(0).answer.wantsStore;
        };
        const std::string unknownQueue = "/q/" + id;
        const std::string knownQueue = "/p/" + id;
        CPPUNIT_ASSERT(!wantsStore(begin + 100, unknownQueue, "key"));
        CPPUNIT_ASSERT(!wantsStore(begin + 100, knownQueue, "other key"));
        CPPUNIT_ASSERT(wantsStore(begin + 1500, unknownQueue, "key"));
        CPPUNIT_ASSERT(wantsStore(begin + 1500, knownQueue, "other key"));
    }

    // An instance is cut off from the store while an operator takes a key away. Its
    // callers would go on with that key for as long as the cut lasts.
    void withdrawnKeysStopWorkingWhenTheConfigurationIsNotHeardOf()
    {
        this->readBack();
        this->ask(1, RequestKind::State, begin + 3900);
        this->expect(1, Outcome::State);
        this->ask(2, RequestKind::State, begin + 4001);
        this->expect(2, Outcome::NotNow);
        CPPUNIT_ASSERT(!this->gateway->ready(begin + 4001));
        this->gateway->configurationRead(this->text(2, "other"));
        this->hear(begin + 5000);
        this->ask(3, RequestKind::State, begin + 5000);
        this->expect(3, Outcome::UnknownKey);
    }

    void unknownJobsAreLookedForBeforeTheyAreDenied()
    {
        this->ask(1, RequestKind::State, begin + 10);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        CPPUNIT_ASSERT(this->gateway->wantsRead());
        this->gateway->jobsRead(begin + 9, begin + 12); // Read before the question came.
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->jobsRead(begin + 11, begin + 15);
        this->expect(1, Outcome::NoSuchJob);
    }

    void cancelsAreDurable()
    {
        this->readBack();
        this->ask(1, RequestKind::Cancel, begin + 10);
        const auto records = this->gateway->takeRecords(100, 1 << 20);
        CPPUNIT_ASSERT_EQUAL(std::string("cancel/" + id), records.at(0).key);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->appended({ records.at(0).key }, AppendStatus::Appended, begin + 20);
        this->expect(1, Outcome::Cancelled);
        this->table.apply("cancel/" + id, tasks::encodeCancel(), this->offset++, begin + 21);
        this->ask(2, RequestKind::State, begin + 30);
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT(answers.at(0).answer.state == JobState::Cancelled);
    }

    void strangeRequestsAreTurnedAway()
    {
        this->ask(1, RequestKind::Submit, begin, "/nowhere/" + id);
        this->expect(1, Outcome::NoSuchQueue);
        this->ask(2, RequestKind::Submit, begin, "/p/short");
        this->expect(2, Outcome::Malformed);
        this->ask(3, RequestKind::Submit, begin, "/p/" + id, "wrong");
        this->expect(3, Outcome::UnknownKey);
        this->ask(4, RequestKind::Submit, begin, "/p/" + id, "key", "bad");
        this->expect(4, Outcome::Malformed);
        this->ask(5, RequestKind::Other, begin);
        this->expect(5, Outcome::NoSuchMethod);
        this->ask(6, RequestKind::State, begin, "/p/");
        this->expect(6, Outcome::Pending);
        this->ask(8, RequestKind::State, begin + 1900, "/p/"); // Jobs may have come meanwhile.
        this->expect(8, Outcome::NotNow);
        this->ask(7, RequestKind::Submit, begin, "/p/" + id, "key", std::string(2000, 'x'));
        this->expect(7, Outcome::TooLarge);
    }

    void waitingRequestsAreBounded()
    {
        for (int i = 0; i < 3; ++i)
            this->ask(static_cast<std::uint64_t>(i), RequestKind::Submit, begin, fmt::format("/p/000000000000000{}", i));
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->ask(9, RequestKind::Submit, begin);
        this->expect(9, Outcome::NotNow);
    }

    void appendsAreBounded()
    {
        for (int i = 0; i < 3; ++i)
            this->ask(static_cast<std::uint64_t>(i), RequestKind::Submit, begin, fmt::format("/p/000000000000000{}", i));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, this->gateway->takeRecords(2, 1 << 20).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->gateway->takeRecords(2, 1).size());
        CPPUNIT_ASSERT(this->gateway->takeRecords(2, 1).empty());
    }

    void recordsThatAreNotReadBackAreBounded()
    {
        for (int i = 0; i < 3; ++i) {
            this->ask(1, RequestKind::Submit, begin, fmt::format("/p/000000000000000{}", i));
            const auto records = this->gateway->takeRecords(1, 1);
            if (i == 2) {
                CPPUNIT_ASSERT(records.empty());
                return this->expect(1, Outcome::NotNow);
            }
            this->gateway->appended({ records.at(0).key }, AppendStatus::Unknown, begin);
            this->expect(1, Outcome::Unknown);
        }
    }

    // The instance is cut off, and another one that has heard of a new version of the
    // text has just answered for it. From its own, older text it would tell the next
    // caller that there is no such queue.
    void nothingIsDecidedByAnOlderConfigurationThanAnotherInstanceUsed()
    {
        this->gateway->configurationUsedElsewhere(2);
        this->ask(1, RequestKind::State, begin, "/nowhere/");
        this->expect(1, Outcome::NotNow);
        this->gateway->configurationRead(this->text(2, "key"));
        this->ask(2, RequestKind::State, begin, "/nowhere/");
        this->expect(2, Outcome::NoSuchQueue);
    }

    // A caller asks just when its job ends, and the planner's record is some tens of
    // milliseconds behind. Told "running" it comes back after its pause, and what was
    // in time is late for it.
    void theEndOfARunningJobIsAwaited()
    {
        this->progress(JobState::Running);
        this->ask(1, RequestKind::State, begin);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->progress(JobState::Completed);
        this->gateway->jobChanged(id, begin + 40);
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answers.size());
        CPPUNIT_ASSERT(answers.front().answer.state == JobState::Completed);
        CPPUNIT_ASSERT_EQUAL(Millis { 40 }, answers.front().waited);
    }

    void aJobThatGoesOnIsToldSoSoon()
    {
        this->progress(JobState::Running);
        this->ask(1, RequestKind::State, begin);
        this->gateway->jobChanged(id, begin + 40); // A task of it ended.
        this->gateway->step(begin + 199);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->step(begin + 200);
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answers.size());
        CPPUNIT_ASSERT(answers.front().answer.state == JobState::Running);
    }

    void noEndIsAwaitedWithoutTheStore()
    {
        this->progress(JobState::Running);
        this->ask(1, RequestKind::State, begin + 1500);
        this->expect(1, Outcome::State);
    }

    // The connections close at a stop, and who waited on one of them would not know
    // whether its job was accepted.
    void whateverIsAskedAroundAStopIsAnsweredBeforeIt()
    {
        const std::string other = "0123456789abcdef";
        this->ask(1, RequestKind::Submit, begin);
        this->gateway->takeRecords(100, 1 << 20);
        this->gateway->answerEverythingBy(begin + 400);
        this->ask(2, RequestKind::Submit, begin + 100, "/p/" + other);
        this->gateway->step(begin + 399);
        CPPUNIT_ASSERT(this->gateway->takeAnswers().empty());
        this->gateway->step(begin + 400);
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, answers.size());
        CPPUNIT_ASSERT(answers[0].answer.outcome == Outcome::Unknown); // Its append is under way.
        CPPUNIT_ASSERT(answers[1].answer.outcome == Outcome::NotNow);
        this->ask(3, RequestKind::State, begin + 450, "/p/" + other);
        this->gateway->step(begin + 450);
        this->expect(3, Outcome::NotNow);
        CPPUNIT_ASSERT(this->gateway->takeRecords(100, 1 << 20).empty());
    }

    void aVersionOfTheConfigurationNeverGoesBack()
    {
        this->gateway->configurationRead(this->text(3, "newer"));
        this->gateway->configurationRead(this->text(2, "key"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, this->gateway->text().version);
    }

private:
    std::shared_ptr<const tasks::Catalog> text(std::int64_t version, const std::string& key) const
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

    void hear(Millis at)
    {
        this->gateway->configurationConfirmed(at);
        this->gateway->jobsRead(at, at);
    }

    void ask(std::uint64_t ticket, RequestKind kind, Millis now, const std::string& path = "/p/" + id, const std::string& key = "key", const std::string& body = "job")
    {
        this->gateway->ask(ticket, { .kind = kind, .host = "h", .path = path, .key = key, .patience = 3000, .body = body }, now, now);
    }

    void expect(std::uint64_t ticket, Outcome outcome)
    {
        const auto answers = this->gateway->takeAnswers();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answers.size());
        CPPUNIT_ASSERT_EQUAL(ticket, answers[0].ticket);
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(outcome)), std::string(nameOf(answers[0].answer.outcome)));
    }

    void progress(JobState state)
    {
        this->readBack();
        this->table.apply("state/" + id, tasks::encodeState(state), this->offset++, begin);
    }

    void readBack()
    {
        tasks::Job job;
        job.id = id;
        job.steps.push_back({});
        this->table.apply(jobKey, tasks::encodeJob(job), this->offset++, begin);
    }

    PlainProtocol protocol;
    JobTable table;
    std::int64_t offset { 0 };
    std::optional<Gateway> gateway;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace
