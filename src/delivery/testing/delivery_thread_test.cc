#include "delivery/delivery_thread.h"

#include "delivery/testing/fake_delivery.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <kj/timer.h>
#include <optional>

using namespace rattan;
using namespace rattan::delivery;
using namespace rattan::delivery::testing;

namespace {

constexpr std::int64_t term = 7;

// The DeliveryThread of one instance, and a blocking wait for its next event of a type.
class TestInstance {
public:
    explicit TestInstance(kj::Timer* timer = nullptr)
        : thread(
            "127.0.0.1:0", [this] { this->handleWake(); }, timer)
    {
        CPPUNIT_ASSERT(!attemptVoid([&] { return this->thread.start(); }));
    }

    template <typename Event>
    Event waitFor()
    {
        for (;;) {
            while (const auto event = this->thread.next()) {
                if (const auto* match = std::get_if<Event>(&*event))
                    return *match;
            }
            this->waitForWake();
        }
    }

    DeliveryEvent waitForAny()
    {
        for (;;) {
            if (auto event = this->thread.next())
                return *event;
            this->waitForWake();
        }
    }

    void waitForWake() { CPPUNIT_ASSERT(this->wakes.popFor(std::chrono::seconds(20))); }

    void handleWake()
    {
        this->wakes.tryPush(1);
        if (const auto action = std::exchange(this->atNextEvent, nullptr))
            action();
    }

    std::function<void()> atNextEvent; // Runs on the delivery thread, which does nothing else meanwhile.
    BoundedQueue<int> wakes { 10000 };
    DeliveryThread thread;
};

class DeliveryThreadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DeliveryThreadTest);
    CPPUNIT_TEST(ordersAndAnswersAreTransferredUnchanged);
    CPPUNIT_TEST(reportsAreTransferredUnchanged);
    CPPUNIT_TEST(unreachablePeerIsReportedLost);
    CPPUNIT_TEST(stoppedPeerIsLostAndReplaced);
    CPPUNIT_TEST(acknowledgementsThatHaveArrivedDoNotTimeOut);
    CPPUNIT_TEST(peerWithoutAcknowledgementIsLost);
    CPPUNIT_TEST(arrivedAnswersAreReportedBeforeACheck);
    CPPUNIT_TEST(closingATermEndsItsSessions);
    CPPUNIT_TEST(startFailsIfAddressIsInUse);
    CPPUNIT_TEST_SUITE_END();

public:
    void ordersAndAnswersAreTransferredUnchanged()
    {
        WorkerCall start = startOf("w1", "00000000000000aa");
        auto& order = std::get<tasks::StartOrder>(start.order);
        order.domain = "east-a";
        order.checkpoint = "saved";
        order.ticket = "ticket";
        order.run = { { "00000000000000aa", 2, 3, 4 }, 5 };
        WorkerCall stop = start;
        stop.order = tasks::StopOrder { { "w1", 1 }, "10.9.0.1:80", order.run };
        stop.leaseEnd.reset();
        this->planner.thread.send({ this->relay.thread.address(), term, 55, { { 1, start }, { 2, stop }, { 3, pollOf("w2") } } });
        const auto received = this->relay.waitFor<OrdersReceived>();
        CPPUNIT_ASSERT_EQUAL(term, received.term);
        CPPUNIT_ASSERT_EQUAL(Millis(55), received.sentWallTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), received.calls.size());
        const auto& receivedOrder = std::get<tasks::StartOrder>(received.calls[0].call.order);
        CPPUNIT_ASSERT(receivedOrder.worker == order.worker && receivedOrder.address == order.address && receivedOrder.run == order.run);
        CPPUNIT_ASSERT(receivedOrder.checkpoint == "saved" && receivedOrder.ticket == "ticket" && receivedOrder.domain == "east-a");
        CPPUNIT_ASSERT(received.calls[0].call.leaseEnd == Millis(9000));
        CPPUNIT_ASSERT(!received.calls[1].call.leaseEnd);
        CPPUNIT_ASSERT(std::get<tasks::StopOrder>(received.calls[1].call.order).run == order.run);
        const auto& poll = std::get<tasks::PollOrder>(received.calls[2].call.order);
        CPPUNIT_ASSERT(poll.worker.id == "w2" && poll.wait == 2000 && poll.acknowledged == 3);

        const StartReply refused { tasks::StartAnswer::NotEnoughResources, 12 };
        const PollReply deposed { .report = std::nullopt, .fault = tasks::WorkerFault::Deposed };
        this->relay.thread.answer({ received.session, { { 1, "w1", { refused, 409 } }, { 2, "w1", { StopReply { true, true, std::nullopt }, 200 } }, { 3, "w2", { deposed, 409 } } } });
        const auto answers = this->planner.waitFor<AnswersReceived>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), answers.answers.size());
        const auto& startReply = std::get<StartReply>(answers.answers[0].answer.reply);
        CPPUNIT_ASSERT(startReply.answer == tasks::StartAnswer::NotEnoughResources && startReply.clock == Millis(12));
        CPPUNIT_ASSERT_EQUAL(409, answers.answers[0].answer.status);
        const auto& stopReply = std::get<StopReply>(answers.answers[1].answer.reply);
        CPPUNIT_ASSERT(stopReply.stopped && stopReply.deposed && !stopReply.clock);
        const auto& pollReply = std::get<PollReply>(answers.answers[2].answer.reply);
        CPPUNIT_ASSERT(!pollReply.report && pollReply.fault == tasks::WorkerFault::Deposed);
    }

    void reportsAreTransferredUnchanged()
    {
        this->planner.thread.send({ this->relay.thread.address(), term, 0, { { 1, pollOf("w1") } } });
        const auto received = this->relay.waitFor<OrdersReceived>();
        tasks::WorkerReport report { .clock = 10, .born = 1, .running = { { { { "a", 0, 1, 2 }, 3 }, "c", 40 } }, .ended = { { 8, { { "b", 0, 0, 0 }, 1 }, tasks::RunEnd::GangMemberEnded, "d" } } };
        for (const std::int64_t percent : { 40, 50, 50 }) {
            report.running[0].percent = percent;
            this->relay.thread.answer({ received.session, { { 1, "w1", { PollReply { .report = report }, 200 } } } });
            const auto answers = this->planner.waitFor<AnswersReceived>();
            const auto& receivedReport = std::get<PollReply>(answers.answers.at(0).answer.reply).report;
            CPPUNIT_ASSERT(receivedReport && receivedReport->clock == 10 && receivedReport->born == 1);
            CPPUNIT_ASSERT(receivedReport->running.at(0).run == report.running[0].run && receivedReport->running[0].checkpoint == "c");
            CPPUNIT_ASSERT_EQUAL(percent, receivedReport->running[0].percent);
            CPPUNIT_ASSERT(receivedReport->ended.at(0).number == 8 && receivedReport->ended[0].end == tasks::RunEnd::GangMemberEnded && receivedReport->ended[0].checkpoint == "d");
        }
    }

    void unreachablePeerIsReportedLost()
    {
        std::string address;
        {
            const TestInstance stopped;
            address = stopped.thread.address();
        }
        this->planner.thread.send({ address, term, 0, { { 1, pollOf("w1") } } });
        const auto lost = this->planner.waitFor<PeerLost>();
        CPPUNIT_ASSERT_EQUAL(address, lost.peer);
        CPPUNIT_ASSERT_EQUAL(term, lost.term);
    }

    // Guards against orders that wait forever for a relay that was killed, and against a relay
    // that is not used again after a restart, which gives it another port here.
    void stoppedPeerIsLostAndReplaced()
    {
        const std::string address = this->relay.thread.address();
        this->planner.thread.send({ address, term, 0, { { 1, pollOf("w1") } } });
        this->relay.waitFor<OrdersReceived>();
        this->relay.thread.stop();
        CPPUNIT_ASSERT_EQUAL(address, this->planner.waitFor<PeerLost>().peer);
        TestInstance other;
        this->planner.thread.send({ other.thread.address(), term, 0, { { 2, pollOf("w1") } } });
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), other.waitFor<OrdersReceived>().calls.at(0).id);
    }

    // Guards against a relay that is given up, with all orders sent to it, because its
    // acknowledgement lay in the socket while the planner's process was suspended.
    void acknowledgementsThatHaveArrivedDoNotTimeOut()
    {
        const auto received = this->sendAndSuspend([&](const OrdersReceived&) { this->releaseRelay(); });
        this->relay.thread.answer({ received.session, { { 1, "w1", { PollReply {}, 200 } } } });
        CPPUNIT_ASSERT(std::holds_alternative<AnswersReceived>(this->suspended.waitForAny()));
    }

    // Guards against orders that wait forever for a relay that is suspended.
    void peerWithoutAcknowledgementIsLost()
    {
        this->sendAndSuspend([](const OrdersReceived&) {});
        CPPUNIT_ASSERT_EQUAL(this->relay.thread.address(), this->suspended.waitFor<PeerLost>().peer);
        this->held.tryPush(1);
    }

    // Guards against orders that end without an answer after a suspension although their answers
    // have arrived.
    void arrivedAnswersAreReportedBeforeACheck()
    {
        constexpr Millis requestedAt = 77;
        this->sendAndSuspend([&](const OrdersReceived& received) {
            this->releaseRelay();
            this->relay.thread.answer({ received.session, { { 1, "w1", { PollReply {}, 200 } } } });
            this->waitUntilRelayHasSent();
            this->suspended.thread.checkArrivals({ term, requestedAt });
        });
        CPPUNIT_ASSERT(std::holds_alternative<AnswersReceived>(this->suspended.waitForAny()));
        CPPUNIT_ASSERT_EQUAL(requestedAt, std::get<ArrivalCheck>(this->suspended.waitForAny()).requestedAt);
    }

    void closingATermEndsItsSessions()
    {
        this->planner.thread.send({ this->relay.thread.address(), term, 0, { { 1, pollOf("w1") } } });
        const auto received = this->relay.waitFor<OrdersReceived>();
        this->planner.thread.closeOtherTerms(term + 1);
        CPPUNIT_ASSERT_EQUAL(received.session, this->relay.waitFor<SessionEnded>().session);
    }

    void startFailsIfAddressIsInUse()
    {
        DeliveryThread second(this->relay.thread.address(), [] {});
        CPPUNIT_ASSERT(attemptVoid([&] { return second.start(); }));
    }

private:
    // Lets the relay send its acknowledgement, and returns when it has.
    void releaseRelay()
    {
        this->held.tryPush(1);
        this->waitUntilRelayHasSent();
    }

    // Returns when the relay has sent everything that it was to send before the call. It does so
    // in the pass of its event loop in which it reads the first of two batches of another
    // connection.
    void waitUntilRelayHasSent()
    {
        for (const std::uint32_t id : { 1, 2 }) {
            this->planner.thread.send({ this->relay.thread.address(), term, 0, { { id, pollOf("w2") } } });
            this->relay.waitFor<OrdersReceived>();
        }
    }

    // Sends a batch to the relay, which holds its acknowledgement back until something is pushed to
    // `held`. Then 5.5 s pass for the thread of `suspended` without a turn; `meanwhile` is called
    // in that time.
    OrdersReceived sendAndSuspend(const std::function<void(const OrdersReceived&)>& meanwhile)
    {
        std::string closedAddress;
        {
            const TestInstance stopped;
            closedAddress = stopped.thread.address();
        }
        this->relay.atNextEvent = [this] { this->held.popFor(std::chrono::seconds(20)); };
        this->suspended.thread.send({ this->relay.thread.address(), term, 0, { { 1, pollOf("w1") } } });
        auto received = this->relay.waitFor<OrdersReceived>();
        this->suspended.atNextEvent = [this, meanwhile, received] {
            meanwhile(received);
            this->timer->advanceTo(this->timer->now() + 5500 * kj::MILLISECONDS);
        };
        this->suspended.thread.send({ closedAddress, term, 0, { { 1, pollOf("w1") } } });
        CPPUNIT_ASSERT_EQUAL(closedAddress, this->suspended.waitFor<PeerLost>().peer);
        return received;
    }

    BoundedQueue<int> held { 1 };
    std::unique_ptr<kj::TimerImpl> timer { std::make_unique<kj::TimerImpl>(kj::origin<kj::TimePoint>()) }; // Its destructor may throw, which that of a test may not.
    TestInstance planner;
    TestInstance relay;
    TestInstance suspended { this->timer.get() };
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeliveryThreadTest);

} // namespace
