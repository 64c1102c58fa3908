#include "delivery/delivery_codec.h"

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::delivery;
using namespace rattan::tasks;

namespace {

class DeliveryCodecTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DeliveryCodecTest);
    CPPUNIT_TEST(unknownOutcomesSettleNothing);
    CPPUNIT_TEST(unknownEndsCountAsFailed);
    CPPUNIT_TEST(partialListOfEndsStaysPartial);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process that ends because a peer of another version answers with an
    // outcome that has no name here.
    void unknownOutcomesSettleNothing()
    {
        this->introduceWorker();
        for (const std::uint16_t outcome : { 11, 77, 65535 }) {
            const auto started = this->answer([outcome](wire::Answer::Builder out) { out.setKind(wire::Order::Kind::START); out.setOutcome(outcome); });
            CPPUNIT_ASSERT_EQUAL(std::string_view("no_answer"), nameOf(std::get<StartReply>(started->answer.reply).answer));
            const auto polled = this->answer([outcome](wire::Answer::Builder out) { out.setKind(wire::Order::Kind::POLL); out.setOutcome(outcome); });
            CPPUNIT_ASSERT_EQUAL(std::string_view("no_answer"), nameOf(std::get<PollReply>(polled->answer.reply).fault));
        }
        const auto started = this->answer([](wire::Answer::Builder out) { out.setKind(wire::Order::Kind::START); out.setOutcome(static_cast<std::uint16_t>(StartAnswer::Deposed)); });
        CPPUNIT_ASSERT_EQUAL(std::string_view("deposed"), nameOf(std::get<StartReply>(started->answer.reply).answer));
    }

    // Guards against an end, reported by a peer of another version, that counts as none of the known
    // kinds.
    void unknownEndsCountAsFailed()
    {
        this->introduceWorker();
        for (const std::uint16_t end : { 5, 6, 65535 }) {
            const auto polled = this->answer([end](wire::Answer::Builder out) {
                out.setKind(wire::Order::Kind::POLL);
                auto report = out.initReport();
                report.setWhole(true);
                report.initEnded(1)[0].setEnd(end);
            });
            const auto& report = std::get<PollReply>(polled->answer.reply).report;
            CPPUNIT_ASSERT(report && report->ended.size() == 1);
            CPPUNIT_ASSERT_EQUAL(std::string_view(end == 5 ? "alone" : "failed"), nameOf(report->ended.front().end));
        }
    }

    // Guards against a relay that passes on a part of a worker's ends as all of them, so that the others count as lost.
    void partialListOfEndsStaysPartial()
    {
        this->introduceWorker();
        RelayCodec relay;
        capnp::MallocMessageBuilder order;
        PlannerCodec planner;
        planner.encode({ 1, { PollOrder { .worker = { "w1", 5 }, .address = "10.0.0.1:80" }, 1, std::nullopt } }, order.initRoot<wire::Order>());
        CPPUNIT_ASSERT(relay.decode(order.getRoot<wire::Order>().asReader(), 1));
        for (const bool hasMoreEnds : { true, false }) {
            capnp::MallocMessageBuilder message;
            const PollReply reply { .report = WorkerReport { .clock = 7, .born = 5, .ended = { { 1, { { "a", 0, 0, 0 }, 1 }, RunEnd::Done, "" } }, .hasMoreEnds = hasMoreEnds } };
            relay.encode({ .id = 1, .worker = "w1", .answer = { .reply = reply, .status = 200 } }, message.initRoot<wire::Answer>());
            const auto decoded = planner.decode(message.getRoot<wire::Answer>().asReader());
            const auto& report = std::get<PollReply>(decoded->answer.reply).report;
            CPPUNIT_ASSERT(report);
            CPPUNIT_ASSERT_EQUAL(hasMoreEnds, report->hasMoreEnds);
        }
    }

private:
    void introduceWorker()
    {
        capnp::MallocMessageBuilder message;
        this->codec.encode({ 1, { PollOrder { .worker = { "w1", 5 }, .address = "10.0.0.1:80" }, 1, std::nullopt } }, message.initRoot<wire::Order>());
    }

    template <typename Function>
    std::optional<NumberedAnswer> answer(Function&& fill)
    {
        capnp::MallocMessageBuilder message;
        auto out = message.initRoot<wire::Answer>();
        fill(out);
        auto decoded = this->codec.decode(out.asReader());
        CPPUNIT_ASSERT(decoded.has_value());
        return decoded;
    }

    PlannerCodec codec;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeliveryCodecTest);

} // namespace
