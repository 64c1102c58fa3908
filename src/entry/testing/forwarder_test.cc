#include "entry/forwarder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <future>
#include <thread>

namespace rattan::entry {

namespace {

    using platform::ForwardFate;

    // Executors whose replies the test has laid out; time passes as told.
    class ScriptedExecutors final : public platform::Executors {
    public:
        explicit ScriptedExecutors(ManualClock& clock)
            : clock(clock)
        {
        }

        platform::ExecutorReply run(const platform::ExecutorCall& call) override
        {
            this->clock.advance(60);
            this->calls.push_back(call);
            platform::ExecutorReply reply { ForwardFate::Answered, 200, "whole", {} };
            if (!this->fates.empty()) {
                reply.fate = this->fates.front();
                this->fates.pop_front();
            }
            if (reply.fate != ForwardFate::Answered)
                reply.error = { ErrorCode::Interrupted, "executor.run", call.address, "scripted", {} };
            return reply;
        }

        bool healthy(const std::string&, std::chrono::milliseconds) override { return true; }

        ManualClock& clock;
        std::deque<ForwardFate> fates;
        std::vector<platform::ExecutorCall> calls;
    };

    std::vector<platform::Instance> executors(int count)
    {
        std::vector<platform::Instance> list;
        for (int i = 0; i < count; ++i) {
            platform::Instance instance { .id = "x" + std::to_string(i), .kind = platform::InstanceKind::Executor, .domain = "a" };
            instance.address = "127.0.0.1:" + std::to_string(i + 1);
            instance.service = "booking";
            instance.slots = 1;
            list.push_back(instance);
        }
        return list;
    }

} // namespace

class ForwarderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ForwarderTest);
    CPPUNIT_TEST(unclearHoldIsNotSentAgain);
    CPPUNIT_TEST(refusedHoldGoesElsewhere);
    CPPUNIT_TEST(unclearIdempotentIsSentAgain);
    CPPUNIT_TEST(refusalAfterAnUnclearTryIsNotNotRun);
    CPPUNIT_TEST(retriesEndWithTheBudget);
    CPPUNIT_TEST(noRetryThatTheDeadlineCannotHold);
    CPPUNIT_TEST(noExecutorIsSaidAtOnce);
    CPPUNIT_TEST(urgentTakesThePlaceOfPatient);
    CPPUNIT_TEST(tooLongAWaitIsRefusedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { this->gate.update(executors(3)); }

    // The connection breaks after the hold was sent. Sending it to another
    // executor could book the carriage twice.
    void unclearHoldIsNotSentAgain()
    {
        this->scripted.fates = { ForwardFate::Unclear };
        CPPUNIT_ASSERT(this->forward(false).kind == OutcomeKind::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->scripted.calls.size());
        CPPUNIT_ASSERT(this->scripted.calls[0].once);
    }

    void refusedHoldGoesElsewhere()
    {
        this->scripted.fates = { ForwardFate::Refused, ForwardFate::NotSent };
        CPPUNIT_ASSERT(this->forward(false).kind == OutcomeKind::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, this->scripted.calls.size());
        CPPUNIT_ASSERT(this->scripted.calls[0].address != this->scripted.calls[1].address);
    }

    void unclearIdempotentIsSentAgain()
    {
        this->scripted.fates = { ForwardFate::Unclear };
        CPPUNIT_ASSERT(this->forward(true).kind == OutcomeKind::Done);
    }

    // The first executor may have run it, the second says that it did not. The
    // caller must not be told that nothing ran.
    void refusalAfterAnUnclearTryIsNotNotRun()
    {
        this->scripted.fates = { ForwardFate::Unclear, ForwardFate::Refused, ForwardFate::Refused, ForwardFate::Refused };
        CPPUNIT_ASSERT(this->forward(true).kind == OutcomeKind::Unknown);
    }

    // Every executor fails. Without a budget each request would become four, and
    // the executors would get that load just when they can bear it least.
    void retriesEndWithTheBudget()
    {
        this->scripted.fates.assign(100000, ForwardFate::Refused);
        constexpr int requests = 400;
        for (int i = 0; i < requests; ++i) {
            CPPUNIT_ASSERT(this->forward(true).kind == OutcomeKind::NotRun);
        }
        CPPUNIT_ASSERT(this->scripted.calls.size() <= requests + requests / 10 + static_cast<std::size_t>(RetryBudget::most));
    }

    void noRetryThatTheDeadlineCannotHold()
    {
        this->scripted.fates = { ForwardFate::Refused };
        const Outcome outcome = this->forwarder.forward({ .service = "booking", .idempotent = true, .deadline = this->clock.now() + 70 });
        CPPUNIT_ASSERT(outcome.kind == OutcomeKind::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->scripted.calls.size());
        CPPUNIT_ASSERT(outcome.error.retryAfter.count() > 0);
    }

    void noExecutorIsSaidAtOnce()
    {
        this->gate.update({});
        const Outcome outcome = this->forward(false);
        CPPUNIT_ASSERT(outcome.kind == OutcomeKind::NotRun);
        CPPUNIT_ASSERT(outcome.error.code == ErrorCode::Unavailable);
        CPPUNIT_ASSERT(outcome.error.retryAfter.count() > 0);
    }

    // All slots and waiting places are taken by patient requests when an urgent
    // one comes. It must not be the one that is sent away.
    void urgentTakesThePlaceOfPatient()
    {
        Gate small("a", 2, this->clock);
        small.update(executors(1));
        const auto held = attempt([&] { return small.acquire(this->slotFor(config::Urgency::Urgent)); });
        CPPUNIT_ASSERT(held);
        auto waiting = std::async(std::launch::async, [&] { return attempt([&] { return small.acquire(this->slotFor(config::Urgency::Patient)); }); });
        while (small.waiting() < 1)
            std::this_thread::yield();
        const auto refused = attempt([&] { return small.acquire(this->slotFor(config::Urgency::Patient)); });
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error.code == ErrorCode::Overloaded);
        auto ordinary = std::async(std::launch::async, [&] { return attempt([&] { return small.acquire(this->slotFor(config::Urgency::Ordinary)); }); });
        const auto displaced = waiting.get();
        CPPUNIT_ASSERT(!displaced);
        CPPUNIT_ASSERT(displaced.error.retryAfter.count() > 0);
        small.release(*held, ForwardFate::Answered, 20);
        CPPUNIT_ASSERT(ordinary.get());
    }

    // More requests wait than can be served before the deadline. One that cannot
    // be in time is refused now, not at its deadline after it held up others.
    void tooLongAWaitIsRefusedAtOnce()
    {
        Gate small("a", 100, this->clock);
        small.update(executors(1));
        CPPUNIT_ASSERT(attempt([&] { return small.acquire(this->slotFor(config::Urgency::Urgent)); }));
        SlotRequest soon = this->slotFor(config::Urgency::Ordinary);
        soon.deadline = this->clock.now() + 10;
        const auto refused = attempt([&] { return small.acquire(soon); });
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error.code == ErrorCode::Overloaded);
    }

private:
    SlotRequest slotFor(config::Urgency urgency) const { return { "booking", urgency, this->clock.now() + 100000, {} }; }

    Outcome forward(bool idempotent)
    {
        return this->forwarder.forward({ .service = "booking", .operation = "hold", .idempotent = idempotent, .deadline = this->clock.now() + 5000 });
    }

    ManualClock clock;
    Metrics metrics;
    ScriptedExecutors scripted { this->clock };
    RetryBudget budget { 10 };
    Gate gate { "a", 16, this->clock };
    Forwarder forwarder { this->gate, this->scripted, this->budget, this->metrics, this->clock };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderTest);

} // namespace rattan::entry
