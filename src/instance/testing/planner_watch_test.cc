#include "instance/planner_watch.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace rattan;
using namespace rattan::instance;

namespace {

constexpr Millis startTime = 100000;
const std::string planner = "10.1.0.7:7000";
const std::string watcher = "10.2.0.9:7000";

class PlannerWatchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlannerWatchTest);
    CPPUNIT_TEST(silentPlannerIsDetected);
    CPPUNIT_TEST(fewLostHeartbeatsAreTolerated);
    CPPUNIT_TEST(plannerWithoutHeartbeatsIsNotReplaced);
    CPPUNIT_TEST(failedRenewalIsAnnounced);
    CPPUNIT_TEST(newClaimResetsDetection);
    CPPUNIT_TEST(detectionIsDelayedAfterShortTerm);
    CPPUNIT_TEST(malformedDatagramsAreIgnored);
    CPPUNIT_TEST(watchersAreBoundedAndExpire);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->watch = PlannerWatch();
        this->watch.plannerChanged({ 7, planner }, startTime);
    }

    // The planner's machine loses power. New jobs wait for the next planner, and waiting for the
    // end of the term would take 1.25 s.
    void silentPlannerIsDetected()
    {
        this->receiveHeartbeats(startTime, 5);
        const Millis lastHeartbeatAt = startTime + 5 * PlannerWatch::heartbeatInterval;
        CPPUNIT_ASSERT(!this->watch.hasPlannerFailed(lastHeartbeatAt + PlannerWatch::heartbeatTimeout));
        CPPUNIT_ASSERT(this->watch.hasPlannerFailed(lastHeartbeatAt + PlannerWatch::heartbeatTimeout + 1));
    }

    void fewLostHeartbeatsAreTolerated()
    {
        this->receiveHeartbeats(startTime, 5);
        const Millis lastHeartbeatAt = startTime + 5 * PlannerWatch::heartbeatInterval;
        this->watch.handleDatagram(planner, "beat 7", lastHeartbeatAt + 4 * PlannerWatch::heartbeatInterval);
        CPPUNIT_ASSERT(!this->watch.hasPlannerFailed(lastHeartbeatAt + PlannerWatch::heartbeatTimeout + 1));
    }

    // Some instances cannot exchange datagrams with the planner. They must wait for the end of the
    // term; otherwise they would repeatedly replace a working planner.
    void plannerWithoutHeartbeatsIsNotReplaced()
    {
        CPPUNIT_ASSERT(!this->watch.hasPlannerFailed(startTime + 60000));
        this->watch.handleDatagram(planner, "beat 7", startTime + 60000);
        CPPUNIT_ASSERT(!this->watch.hasPlannerFailed(startTime + 70000));
    }

    // The store rejects only the planner, which knows it immediately, unlike its watchers.
    void failedRenewalIsAnnounced()
    {
        PlannerWatch leading;
        leading.handleDatagram(watcher, "watch 7", startTime);
        CPPUNIT_ASSERT_EQUAL(std::string("beat 7"), leading.step(7, false, startTime).at(0).text);
        const auto messages = leading.step(7, true, startTime + 10);
        CPPUNIT_ASSERT_EQUAL(std::string("end 7"), messages.at(0).text);
        CPPUNIT_ASSERT_EQUAL(watcher, messages.at(0).peer);
        CPPUNIT_ASSERT(leading.step(7, true, startTime + 500).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("beat 7"), leading.step(7, false, startTime + 600).at(0).text);
        this->watch.handleDatagram(planner, "end 7", startTime + 20);
        CPPUNIT_ASSERT(this->watch.hasPlannerFailed(startTime + 20));
        this->watch.handleDatagram(planner, "beat 7", startTime + 610);
        CPPUNIT_ASSERT(!this->watch.hasPlannerFailed(startTime + 610));
    }

    void newClaimResetsDetection()
    {
        this->receiveHeartbeats(startTime, 5);
        this->watch.plannerChanged({ 8, watcher }, startTime + 5000);
        CPPUNIT_ASSERT(!this->watch.hasPlannerFailed(startTime + 9000));
        this->watch.plannerChanged({ 9, "" }, startTime + 9000);
        CPPUNIT_ASSERT(!this->watch.hasPlannerFailed(startTime + 60000));
        CPPUNIT_ASSERT(this->watch.step(0, false, startTime + 60000).empty());
    }

    // After a power failure, a new planner has to poll hundreds of workers and is too busy to send
    // heartbeats. If each new planner were replaced immediately, none would ever finish and no
    // job would start.
    void detectionIsDelayedAfterShortTerm()
    {
        this->watch.plannerChanged({ 8, watcher }, startTime + 1000);
        this->watch.handleDatagram(watcher, "beat 8", startTime + 1100);
        this->watch.handleDatagram(watcher, "beat 8", startTime + 1200);
        this->watch.handleDatagram(watcher, "end 8", startTime + 1300);
        CPPUNIT_ASSERT(!this->watch.hasPlannerFailed(startTime + 3900));
        CPPUNIT_ASSERT(this->watch.hasPlannerFailed(startTime + 4000));
    }

    void malformedDatagramsAreIgnored()
    {
        this->receiveHeartbeats(startTime, 5);
        const Millis timeoutAt = startTime + 5 * PlannerWatch::heartbeatInterval + PlannerWatch::heartbeatTimeout + 1;
        for (const char* malformed : { "", "beat", "beat ", "beat 6", "beat 7x", "beat -7", "beat 99999999999999999999", "end 6", "end 7 " })
            this->watch.handleDatagram(planner, malformed, timeoutAt);
        this->watch.handleDatagram(watcher, "beat 7", timeoutAt); // Not from the planner.
        CPPUNIT_ASSERT(this->watch.hasPlannerFailed(timeoutAt));
    }

    void watchersAreBoundedAndExpire()
    {
        for (std::size_t i = 0; i < 3 * PlannerWatch::maxWatchers; ++i)
            this->watch.handleDatagram(std::to_string(i), "watch 7", startTime);
        CPPUNIT_ASSERT_EQUAL(PlannerWatch::maxWatchers, this->watch.step(7, false, startTime).size());
        CPPUNIT_ASSERT(this->watch.step(7, false, startTime + 10000).empty());
    }

private:
    void receiveHeartbeats(Millis from, int count)
    {
        for (int i = 1; i <= count; ++i)
            this->watch.handleDatagram(planner, "beat 7", from + i * PlannerWatch::heartbeatInterval);
    }

    PlannerWatch watch;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannerWatchTest);

} // namespace
