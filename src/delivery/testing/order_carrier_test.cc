#include "delivery/order_carrier.h"

#include "delivery/testing/fake_delivery.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace rattan;
using namespace rattan::delivery;
using namespace rattan::delivery::testing;

namespace {

constexpr std::uint64_t session = 4;
constexpr std::int64_t term = 7;
const std::string job = "00000000000000aa";

class OrderCarrierTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderCarrierTest);
    CPPUNIT_TEST(startsGetTheTextOfTheirJob);
    CPPUNIT_TEST(aStartWaitsUntilItsJobIsRead);
    CPPUNIT_TEST(aStartOfAJobThatNobodyKnowsIsNotSent);
    CPPUNIT_TEST(whatLayOnTheWayIsNotSent);
    CPPUNIT_TEST(ordersOfAnEarlierTermAreNotSent);
    CPPUNIT_TEST(endsAreToldAtOnceAndTheRestTogether);
    CPPUNIT_TEST(aSessionThatEndedIsNotAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->clock.advance(100000);
        this->carrier.emplace(this->jobs, this->port, this->clock, [this](std::uint64_t) {
            auto made = std::make_unique<FakeChannel>();
            this->channel = made.get();
            return made;
        });
    }

    void startsGetTheTextOfTheirJob()
    {
        this->readJob();
        this->arrive({ { 1, startOf("w1", job) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->channel->sent.size());
        CPPUNIT_ASSERT_EQUAL(std::string("the text"), *std::get<tasks::StartOrder>(this->channel->sent[0].call.order).text);
    }

    // The planner reads of a job a moment before the instance that carries its starts does.
    void aStartWaitsUntilItsJobIsRead()
    {
        this->arrive({ { 1, startOf("w1", job) } });
        this->step();
        CPPUNIT_ASSERT(this->channel->sent.empty());
        this->readJob();
        this->step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->channel->sent.size());
    }

    void aStartOfAJobThatNobodyKnowsIsNotSent()
    {
        this->arrive({ { 1, startOf("w1", job) } });
        this->clock.advance(OrderCarrier::longestForText);
        this->step();
        this->expectNotSent();
    }

    // The connection stood still for seconds. The planner has given the start up since, and
    // its job may have been cancelled.
    void whatLayOnTheWayIsNotSent()
    {
        this->readJob();
        const Millis sentWall = this->clock.wall();
        this->clock.advance(OrderCarrier::longestOnTheWay + 1);
        this->carrier->arrived({ session, term, sentWall, { { 1, startOf("w1", job) } } }, this->clock.now());
        this->step();
        this->expectNotSent();
    }

    void ordersOfAnEarlierTermAreNotSent()
    {
        this->readJob();
        this->carrier->claimed(term + 1);
        this->arrive({ { 1, startOf("w1", job) } });
        CPPUNIT_ASSERT(this->channel->sent.empty());
    }

    void endsAreToldAtOnceAndTheRestTogether()
    {
        this->arrive({ { 1, pollOf("w1") }, { 2, pollOf("w2") } });
        this->channel->sent[0].handler({ .reply = PollReply { .report = tasks::WorkerReport {} } });
        this->step();
        CPPUNIT_ASSERT(this->port.answers.empty());
        CPPUNIT_ASSERT_EQUAL(this->clock.now() + OrderCarrier::longestHeld, this->carrier->nextWake());
        tasks::WorkerReport ended;
        ended.ended.push_back({ 1, { { job, 0, 0, 0 }, 1 }, tasks::RunEnd::Done, "" });
        this->channel->sent[1].handler({ .reply = PollReply { .report = ended } });
        this->step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->port.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->port.answers[0].answers.size());
    }

    void aSessionThatEndedIsNotAnswered()
    {
        this->arrive({ { 1, pollOf("w1") } });
        CPPUNIT_ASSERT(this->carrier->isUsed());
        this->carrier->ended({ session });
        CPPUNIT_ASSERT(!this->carrier->isUsed());
        this->step();
        CPPUNIT_ASSERT(this->port.answers.empty());
    }

private:
    void readJob()
    {
        tasks::Job known;
        known.id = job;
        known.text = "the text";
        known.steps.emplace_back();
        this->jobs.apply(tasks::formatKey({ tasks::RecordKind::Job, job }), tasks::encodeJob(known), 1, this->clock.now());
    }

    void arrive(std::vector<NumberedCall> calls)
    {
        this->carrier->arrived({ session, term, this->clock.wall(), std::move(calls) }, this->clock.now());
    }

    void step() { this->carrier->step(this->clock.now()); }

    void expectNotSent()
    {
        CPPUNIT_ASSERT(this->channel->sent.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->port.answers.size());
        CPPUNIT_ASSERT(std::get<StartReply>(this->port.answers[0].answers.at(0).answer.reply).answer == tasks::StartAnswer::NotSent);
    }

    ManualClock clock;
    tasks::JobTable jobs;
    FakePort port;
    FakeChannel* channel { nullptr };
    std::optional<OrderCarrier> carrier;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderCarrierTest);

} // namespace
