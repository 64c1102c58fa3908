#include "delivery/delivery_thread.h"

#include "delivery/testing/fake_delivery.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace rattan;
using namespace rattan::delivery;
using namespace rattan::delivery::testing;

namespace {

constexpr std::int64_t term = 7;

// An instance's end of deliveries, with the wait for its next event.
class Instance {
public:
    Instance()
        : deliveries("127.0.0.1:0", [this] { this->wakes.tryPush(1); })
    {
        CPPUNIT_ASSERT(!attemptVoid([&] { return this->deliveries.start(); }));
    }

    template <typename Event>
    Event await()
    {
        for (;;) {
            while (const auto event = this->deliveries.next()) {
                if (const auto* wanted = std::get_if<Event>(&*event))
                    return *wanted;
            }
            CPPUNIT_ASSERT(this->wakes.popFor(std::chrono::seconds(20)));
        }
    }

    BoundedQueue<int> wakes { 10000 };
    DeliveryThread deliveries;
};

class DeliveryThreadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DeliveryThreadTest);
    CPPUNIT_TEST(ordersAndAnswersArriveWhole);
    CPPUNIT_TEST(reportsArriveAsTheyWere);
    CPPUNIT_TEST(aPeerThatIsNotThereIsLost);
    CPPUNIT_TEST(aPeerThatStopsIsLostAndFoundAgain);
    CPPUNIT_TEST(whoEndsATermEndsItsSessions);
    CPPUNIT_TEST(anAddressInUseIsTold);
    CPPUNIT_TEST_SUITE_END();

public:
    void ordersAndAnswersArriveWhole()
    {
        WorkerCall start = startOf("w1", "00000000000000aa");
        auto& order = std::get<tasks::StartOrder>(start.order);
        order.checkpoint = "saved";
        order.ticket = "ticket";
        order.run = { { "00000000000000aa", 2, 3, 4 }, 5 };
        WorkerCall stop = start;
        stop.order = tasks::StopOrder { { "w1", 1 }, "10.9.0.1:80", order.run };
        stop.leaseEnd.reset();
        this->planner.deliveries.send({ this->relay.deliveries.address(), term, 55, { { 1, start }, { 2, stop }, { 3, pollOf("w2") } } });
        const auto arrived = this->relay.await<OrdersArrived>();
        CPPUNIT_ASSERT_EQUAL(term, arrived.term);
        CPPUNIT_ASSERT_EQUAL(Millis(55), arrived.sentWall);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), arrived.calls.size());
        const auto& got = std::get<tasks::StartOrder>(arrived.calls[0].call.order);
        CPPUNIT_ASSERT(got.worker == order.worker && got.address == order.address && got.run == order.run);
        CPPUNIT_ASSERT(got.checkpoint == "saved" && got.ticket == "ticket");
        CPPUNIT_ASSERT(arrived.calls[0].call.leaseEnd == Millis(9000));
        CPPUNIT_ASSERT(!arrived.calls[1].call.leaseEnd);
        CPPUNIT_ASSERT(std::get<tasks::StopOrder>(arrived.calls[1].call.order).run == order.run);
        const auto& poll = std::get<tasks::PollOrder>(arrived.calls[2].call.order);
        CPPUNIT_ASSERT(poll.worker.id == "w2" && poll.wait == 2000 && poll.acknowledged == 3);

        const StartReply refused { tasks::StartAnswer::NoRoom, 12 };
        const PollReply deposed { .report = std::nullopt, .fault = tasks::WorkerFault::Deposed };
        this->relay.deliveries.answer({ arrived.session, { { 1, "w1", { refused, 409 } }, { 2, "w1", { StopReply { true, true, std::nullopt }, 200 } }, { 3, "w2", { deposed, 409 } } } });
        const auto answers = this->planner.await<AnswersArrived>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), answers.answers.size());
        const auto& start2 = std::get<StartReply>(answers.answers[0].answer.reply);
        CPPUNIT_ASSERT(start2.answer == tasks::StartAnswer::NoRoom && start2.clock == Millis(12));
        CPPUNIT_ASSERT_EQUAL(409, answers.answers[0].answer.status);
        const auto& stop2 = std::get<StopReply>(answers.answers[1].answer.reply);
        CPPUNIT_ASSERT(stop2.taken && stop2.deposed && !stop2.clock);
        const auto& poll2 = std::get<PollReply>(answers.answers[2].answer.reply);
        CPPUNIT_ASSERT(!poll2.report && poll2.fault == tasks::WorkerFault::Deposed);
    }

    void reportsArriveAsTheyWere()
    {
        this->planner.deliveries.send({ this->relay.deliveries.address(), term, 0, { { 1, pollOf("w1") } } });
        const auto arrived = this->relay.await<OrdersArrived>();
        tasks::WorkerReport report { .clock = 10, .born = 1, .running = { { { { "a", 0, 1, 2 }, 3 }, "c", 40 } }, .ended = { { 8, { { "b", 0, 0, 0 }, 1 }, tasks::RunEnd::Broken, "d" } } };
        for (const std::int64_t percent : { 40, 50, 50 }) {
            report.running[0].percent = percent;
            this->relay.deliveries.answer({ arrived.session, { { 1, "w1", { PollReply { .report = report }, 200 } } } });
            const auto answers = this->planner.await<AnswersArrived>();
            const auto& got = std::get<PollReply>(answers.answers.at(0).answer.reply).report;
            CPPUNIT_ASSERT(got && got->clock == 10 && got->born == 1);
            CPPUNIT_ASSERT(got->running.at(0).run == report.running[0].run && got->running[0].checkpoint == "c");
            CPPUNIT_ASSERT_EQUAL(percent, got->running[0].percent);
            CPPUNIT_ASSERT(got->ended.at(0).number == 8 && got->ended[0].end == tasks::RunEnd::Broken && got->ended[0].checkpoint == "d");
        }
    }

    void aPeerThatIsNotThereIsLost()
    {
        std::string address;
        {
            const Instance gone;
            address = gone.deliveries.address();
        }
        this->planner.deliveries.send({ address, term, 0, { { 1, pollOf("w1") } } });
        const auto lost = this->planner.await<PeerLost>();
        CPPUNIT_ASSERT_EQUAL(address, lost.peer);
        CPPUNIT_ASSERT_EQUAL(term, lost.term);
    }

    // Guards against orders that wait for ever at a relay that was killed, and against one
    // that is never used again after it was restarted.
    void aPeerThatStopsIsLostAndFoundAgain()
    {
        const std::string address = this->relay.deliveries.address();
        this->planner.deliveries.send({ address, term, 0, { { 1, pollOf("w1") } } });
        this->relay.await<OrdersArrived>();
        this->relay.deliveries.stop();
        CPPUNIT_ASSERT_EQUAL(address, this->planner.await<PeerLost>().peer);
        Instance other;
        this->planner.deliveries.send({ other.deliveries.address(), term, 0, { { 2, pollOf("w1") } } });
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), other.await<OrdersArrived>().calls.at(0).id);
    }

    void whoEndsATermEndsItsSessions()
    {
        this->planner.deliveries.send({ this->relay.deliveries.address(), term, 0, { { 1, pollOf("w1") } } });
        const auto arrived = this->relay.await<OrdersArrived>();
        this->planner.deliveries.keepOnly(term + 1);
        CPPUNIT_ASSERT_EQUAL(arrived.session, this->relay.await<SessionEnded>().session);
    }

    void anAddressInUseIsTold()
    {
        DeliveryThread second(this->relay.deliveries.address(), [] {});
        CPPUNIT_ASSERT(attemptVoid([&] { return second.start(); }));
    }

private:
    Instance planner;
    Instance relay;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeliveryThreadTest);

} // namespace
