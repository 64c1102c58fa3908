#include "delivery/order_forwarder.h"

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

class OrderForwarderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderForwarderTest);
    CPPUNIT_TEST(startsCarryTheirJobText);
    CPPUNIT_TEST(startWaitsForItsJobRecord);
    CPPUNIT_TEST(startOfUnknownJobIsNotSent);
    CPPUNIT_TEST(ordersDelayedInTransitAreNotSent);
    CPPUNIT_TEST(ordersOfAnEarlierTermAreNotSent);
    CPPUNIT_TEST(taskEndsAreSentAtOnceAndOtherAnswersInBatches);
    CPPUNIT_TEST(endedSessionGetsNoAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->clock.advance(100000);
        this->forwarder.emplace(this->jobs, this->port, this->clock, [this](std::uint64_t) {
            auto created = std::make_unique<FakeChannel>();
            this->channel = created.get();
            return created;
        });
    }

    void startsCarryTheirJobText()
    {
        this->addJob();
        this->receiveOrders({ { 1, startOf("w1", job) } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->channel->sent.size());
        CPPUNIT_ASSERT_EQUAL(std::string("the text"), *std::get<tasks::StartOrder>(this->channel->sent[0].call.order).text);
    }

    // The planner may read a job record shortly before the relay that forwards its starts does.
    void startWaitsForItsJobRecord()
    {
        this->receiveOrders({ { 1, startOf("w1", job) } });
        this->step();
        CPPUNIT_ASSERT(this->channel->sent.empty());
        this->addJob();
        this->step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->channel->sent.size());
    }

    void startOfUnknownJobIsNotSent()
    {
        this->receiveOrders({ { 1, startOf("w1", job) } });
        this->clock.advance(OrderForwarder::maxJobTextWait);
        this->step();
        this->expectNotSent();
    }

    // Guards against a start that a stalled connection delivers seconds later: the planner has
    // given it up since, and its job may have been cancelled.
    void ordersDelayedInTransitAreNotSent()
    {
        this->addJob();
        const Millis sentWallTime = this->clock.wall();
        this->clock.advance(OrderForwarder::maxTransitTime + 1);
        this->forwarder->handleOrders({ session, term, sentWallTime, { { 1, startOf("w1", job) } } }, this->clock.now());
        this->step();
        this->expectNotSent();
    }

    void ordersOfAnEarlierTermAreNotSent()
    {
        this->addJob();
        this->forwarder->handleNewTerm(term + 1);
        this->receiveOrders({ { 1, startOf("w1", job) } });
        CPPUNIT_ASSERT(this->channel->sent.empty());
    }

    void taskEndsAreSentAtOnceAndOtherAnswersInBatches()
    {
        this->receiveOrders({ { 1, pollOf("w1") }, { 2, pollOf("w2") } });
        this->channel->sent[0].handler({ .reply = PollReply { .report = tasks::WorkerReport {} } });
        this->step();
        CPPUNIT_ASSERT(this->port.answers.empty());
        CPPUNIT_ASSERT_EQUAL(this->clock.now() + OrderForwarder::maxAnswerDelay, this->forwarder->nextWake());
        tasks::WorkerReport ended;
        ended.ended.push_back({ 1, { { job, 0, 0, 0 }, 1 }, tasks::RunEnd::Done, "" });
        this->channel->sent[1].handler({ .reply = PollReply { .report = ended } });
        this->step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->port.answers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->port.answers[0].answers.size());
    }

    void endedSessionGetsNoAnswers()
    {
        this->receiveOrders({ { 1, pollOf("w1") } });
        CPPUNIT_ASSERT(this->forwarder->hasSessions());
        this->forwarder->handleSessionEnded({ session });
        CPPUNIT_ASSERT(!this->forwarder->hasSessions());
        this->step();
        CPPUNIT_ASSERT(this->port.answers.empty());
    }

private:
    void addJob()
    {
        tasks::Job record;
        record.id = job;
        record.text = "the text";
        record.steps.emplace_back();
        this->jobs.apply(tasks::formatKey({ tasks::RecordKind::Job, job }), tasks::encodeJob(record), 1, this->clock.now());
    }

    void receiveOrders(std::vector<NumberedCall> calls)
    {
        this->forwarder->handleOrders({ session, term, this->clock.wall(), std::move(calls) }, this->clock.now());
    }

    void step() { this->forwarder->step(this->clock.now()); }

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
    std::optional<OrderForwarder> forwarder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderForwarderTest);

} // namespace
