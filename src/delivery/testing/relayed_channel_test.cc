#include "delivery/relayed_channel.h"

#include "delivery/delivery_codec.h"
#include "delivery/testing/fake_delivery.h"

#include <algorithm>
#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace rattan;
using namespace rattan::delivery;
using namespace rattan::delivery::testing;

namespace {

constexpr MachineCapacity smallMachine { 0.12, 2 };
constexpr std::int64_t term = 7;
constexpr int workerCount = 120;
const std::string relay = "10.0.0.1:7000";

// Simulates the network link of a machine: bytes are sent one after another, and later
// messages wait for earlier ones.
class SimulatedLink final : public WorkerChannel, public DeliveryPort {
public:
    SimulatedLink(const Clock& clock, double bytesPerMilli)
        : clock(clock)
        , bytesPerMilli(bytesPerMilli)
    {
    }

    // Directly to a worker: an HTTP call.
    void send(const WorkerCall& call, Handler) override
    {
        constexpr std::size_t headers = 190;
        constexpr std::size_t startBody = 90;
        const auto* start = std::get_if<tasks::StartOrder>(&call.order);
        this->transmit(headers + (start ? startBody + start->text->size() : 0), 3);
    }

    // Through a relay: one message of the session.
    bool send(OrderBatch batch) override
    {
        constexpr std::size_t rpcBytes = 200; // Of an RPC call and its completion.
        constexpr std::size_t wordBytes = 8;
        capnp::MallocMessageBuilder message;
        auto params = message.initRoot<wire::Session::CarryParams>();
        auto rows = params.initOrders(static_cast<unsigned>(batch.calls.size()));
        for (unsigned i = 0; i < rows.size(); ++i)
            this->codecs[batch.peer].encode(batch.calls[i], rows[i]);
        this->transmit(rpcBytes + message.sizeInWords() * wordBytes, 2);
        return true;
    }
    bool answer(AnswerBatch) override { return true; }
    bool checkArrivals(ArrivalCheck) override { return false; }
    void closeOtherTerms(std::int64_t) override { }

    Millis backlog() const { return static_cast<Millis>(std::max(this->freeAt - static_cast<double>(this->clock.now()), 0.0)); }

private:
    void transmit(std::size_t bytes, std::size_t packets)
    {
        constexpr std::size_t packetBytes = 66;
        this->freeAt = std::max(this->freeAt, static_cast<double>(this->clock.now())) + static_cast<double>(bytes + packets * packetBytes) / this->bytesPerMilli;
    }

    const Clock& clock;
    const double bytesPerMilli;
    double freeAt { 0 };
    std::map<std::string, PlannerCodec> codecs;
};

class RelayedChannelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayedChannelTest);
    CPPUNIT_TEST(ordersDoNotDelayTermRenewal);
    CPPUNIT_TEST(startsFlushWaitingPolls);
    CPPUNIT_TEST(ordersAreSentDirectlyWithoutRelay);
    CPPUNIT_TEST(lostRelayLeavesSentOrdersUnanswered);
    CPPUNIT_TEST(ordersAreNotSentIfPortIsFull);
    CPPUNIT_TEST(lateAnswerDoesNotCompleteAnOrderTwice);
    CPPUNIT_TEST(answersThatHaveArrivedAreNotOverdue);
    CPPUNIT_TEST(overdueOrdersEndAfterACheck);
    CPPUNIT_TEST(overdueOrdersEndIfThePortFailsDuringACheck);
    CPPUNIT_TEST(overdueOrdersEndIfChecksHaveNoResult);
    CPPUNIT_TEST(answersOfAnotherTermAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->clock.advance(begin);
        this->selector.emplace(smallMachine);
        this->offer();
        std::vector<WorkerLocation> locations;
        locations.reserve(workerCount);
        for (int i = 0; i < workerCount; ++i)
            locations.push_back({ fmt::format("w{}", i), "here" });
        this->selector->setWorkers(locations);
        this->channel.emplace(term, *this->selector, this->direct, this->port, this->clock);
    }

    // Guards against a planner whose polls and starts saturate its link, so that the renewal of
    // its term waits behind them for longer than the term lasts.
    void ordersDoNotDelayTermRenewal()
    {
        constexpr double bytesPerMilli = 250;
        constexpr Millis step = 5;
        constexpr Millis duration = 10000;
        constexpr int gangSize = 8;
        constexpr std::size_t textBytes = 1300;
        constexpr Millis halfTerm = 500;
        SimulatedLink link(this->clock, bytesPerMilli);
        RelayedChannel busy(term, *this->selector, link, link, this->clock);
        Millis maxBacklog = 0;
        int worker = 0;
        const auto next = [&] { return fmt::format("w{}", worker++ % workerCount); };
        for (Millis passed = 0; passed < duration; passed += step) {
            this->clock.advance(step);
            this->offer();
            if (passed % (step * 11) == 0) {
                for (int member = 0; member < gangSize; ++member)
                    busy.send(startOf(next(), fmt::format("{:016x}", passed), textBytes), [](const WorkerAnswer&) {});
            }
            busy.send(pollOf(next()), [](const WorkerAnswer&) {});
            if (passed % (step * 2) == 0)
                busy.send(pollOf(next()), [](const WorkerAnswer&) {});
            busy.step(this->clock.now());
            maxBacklog = std::max(maxBacklog, link.backlog());
        }
        CPPUNIT_ASSERT_LESS(halfTerm, maxBacklog);
    }

    void startsFlushWaitingPolls()
    {
        this->sendTo("w1", pollOf("w1"));
        this->channel->step(this->clock.now());
        CPPUNIT_ASSERT(this->port.orders.empty());
        this->sendTo("w2", startOf("w2", "job"));
        this->channel->step(this->clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->port.orders.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->port.orders[0].calls.size());
        this->sendTo("w1", pollOf("w1"));
        this->clock.advance(RelayedChannel::maxPollDelay);
        CPPUNIT_ASSERT(this->channel->nextWake() <= this->clock.now());
        this->channel->step(this->clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->port.orders.size());
    }

    void ordersAreSentDirectlyWithoutRelay()
    {
        this->channel->handlePeerLost({ relay, term, "closed" }, this->clock.now());
        this->sendTo("w1", pollOf("w1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->direct.sent.size());
        this->direct.sent[0].handler({ .reply = StopReply { true, false, std::nullopt } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->answers.size());
    }

    // A relay is killed. A start that was sent to it may run; one that was not sent certainly
    // does not, and may be placed elsewhere at once.
    void lostRelayLeavesSentOrdersUnanswered()
    {
        this->sendTo("w1", startOf("w1", "job"));
        this->channel->step(this->clock.now());
        this->sendTo("w2", startOf("w2", "job"));
        this->channel->handlePeerLost({ relay, term, "closed" }, this->clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->answers.size());
        CPPUNIT_ASSERT(this->startAnswer("w1") == tasks::StartAnswer::NoAnswer);
        CPPUNIT_ASSERT(this->startAnswer("w2") == tasks::StartAnswer::NotSent);
    }

    void ordersAreNotSentIfPortIsFull()
    {
        this->port.isFull = true;
        this->sendTo("w1", startOf("w1", "job"));
        this->channel->step(this->clock.now());
        CPPUNIT_ASSERT(this->startAnswer("w1") == tasks::StartAnswer::NotSent);
    }

    void lateAnswerDoesNotCompleteAnOrderTwice()
    {
        this->sendTo("w1", startOf("w1", "job"));
        this->channel->step(this->clock.now());
        const std::uint32_t id = this->port.orders[0].calls[0].id;
        this->clock.advance(5000);
        this->channel->step(this->clock.now());
        CPPUNIT_ASSERT(this->startAnswer("w1") == tasks::StartAnswer::NoAnswer);
        this->channel->handleAnswers({ relay, term, { { id, "w1", { .reply = StartReply { tasks::StartAnswer::Started, 5 } } } } }, this->clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->answers.size());
    }

    // Guards against orders that end without an answer although the relay's answers have arrived,
    // because the process was suspended until after their timeout.
    void answersThatHaveArrivedAreNotOverdue()
    {
        this->port.acceptsChecks = true;
        this->sendTo("w1", startOf("w1", "job"));
        this->channel->step(this->clock.now());
        const std::uint32_t id = this->port.orders[0].calls[0].id;
        this->clock.advance(5500);
        this->channel->step(this->clock.now());
        CPPUNIT_ASSERT(this->answers.empty());
        this->channel->handleAnswers({ relay, term, { { id, "w1", { .reply = StartReply { tasks::StartAnswer::Started, 5 } } } } }, this->clock.now());
        this->channel->handleArrivalCheck(this->port.checks.at(0), this->clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->answers.size());
        CPPUNIT_ASSERT(this->startAnswer("w1") == tasks::StartAnswer::Started);
    }

    // Guards against orders that wait forever because the port accepts checks and never reports a result.
    void overdueOrdersEndIfChecksHaveNoResult()
    {
        this->port.acceptsChecks = true;
        this->sendTo("w1", startOf("w1", "job"));
        this->channel->step(this->clock.now());
        this->clock.advance(1600);
        for (int i = 0; i < RelayedChannel::maxUnansweredChecks; ++i) {
            this->channel->step(this->clock.now());
            CPPUNIT_ASSERT(this->answers.empty());
            this->clock.advance(RelayedChannel::arrivalCheckInterval);
        }
        this->channel->step(this->clock.now());
        CPPUNIT_ASSERT(this->startAnswer("w1") == tasks::StartAnswer::NoAnswer);
    }

    // Guards against orders that wait forever for a relay that stays connected and does not answer.
    void overdueOrdersEndAfterACheck()
    {
        this->port.acceptsChecks = true;
        this->sendTo("w1", startOf("w1", "job"));
        this->clock.advance(1000);
        this->sendTo("w2", startOf("w2", "job"));
        this->clock.advance(1000);
        this->channel->step(this->clock.now());
        this->clock.advance(1000);
        this->channel->handleArrivalCheck(this->port.checks.at(0), this->clock.now());
        CPPUNIT_ASSERT(this->startAnswer("w1") == tasks::StartAnswer::NoAnswer);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->answers.size());
        CPPUNIT_ASSERT(this->channel->nextWake() <= this->clock.now());
        this->channel->step(this->clock.now());
        this->channel->handleArrivalCheck(this->port.checks.at(1), this->clock.now());
        CPPUNIT_ASSERT(this->startAnswer("w2") == tasks::StartAnswer::NoAnswer);
    }

    void overdueOrdersEndIfThePortFailsDuringACheck()
    {
        this->port.acceptsChecks = true;
        this->sendTo("w1", startOf("w1", "job"));
        this->clock.advance(5000);
        this->channel->step(this->clock.now());
        this->port.acceptsChecks = false;
        this->channel->step(this->clock.now());
        CPPUNIT_ASSERT(this->answers.empty());
        this->clock.advance(RelayedChannel::arrivalCheckInterval);
        CPPUNIT_ASSERT(this->channel->nextWake() <= this->clock.now());
        this->channel->step(this->clock.now());
        CPPUNIT_ASSERT(this->startAnswer("w1") == tasks::StartAnswer::NoAnswer);
    }

    void answersOfAnotherTermAreIgnored()
    {
        this->sendTo("w1", startOf("w1", "job"));
        this->channel->step(this->clock.now());
        const std::uint32_t id = this->port.orders[0].calls[0].id;
        const NumberedAnswer started { id, "w1", { .reply = StartReply { tasks::StartAnswer::Started, 5 } } };
        this->channel->handleAnswers({ relay, term - 1, { started } }, this->clock.now());
        CPPUNIT_ASSERT(this->answers.empty());
        this->channel->handleAnswers({ relay, term, { started } }, this->clock.now());
        CPPUNIT_ASSERT(this->startAnswer("w1") == tasks::StartAnswer::Started);
    }

private:
    static constexpr Millis begin = 100000;

    void offer() { this->selector->addOffer({ relay, "here", { 0.5, 200 } }, this->clock.now()); }

    void sendTo(const std::string& worker, const WorkerCall& call)
    {
        this->channel->send(call, [this, worker](const WorkerAnswer& answer) { this->answers.emplace_back(worker, answer); });
    }

    tasks::StartAnswer startAnswer(const std::string& worker) const
    {
        const auto found = std::find_if(this->answers.begin(), this->answers.end(), [&](const auto& row) { return row.first == worker; });
        CPPUNIT_ASSERT(found != this->answers.end());
        return std::get<StartReply>(found->second.reply).answer;
    }

    ManualClock clock;
    FakeChannel direct;
    FakePort port;
    std::optional<RelaySelector> selector;
    std::optional<RelayedChannel> channel;
    std::vector<std::pair<std::string, WorkerAnswer>> answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedChannelTest);

} // namespace
