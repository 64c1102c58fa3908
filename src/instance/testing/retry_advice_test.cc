#include "instance/retry_advice.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <functional>
#include <set>
#include <string>

using namespace rattan;
using namespace rattan::instance;

namespace {

constexpr Millis startTime = 100000;
constexpr int maxAttempts = 4;
constexpr int callers = 200;

// A delay by the age of the outage and the caller's job.
using Schedule = std::function<Millis(Millis age, const std::string& job)>;

Millis kept(Millis age, const std::string& job)
{
    RetryAdvice advice;
    advice.setStoreAway(true, startTime);
    return advice.delay({ RefusalCause::StoreUnreachable, 0, job }, startTime + age);
}

Millis constantSecond(Millis, const std::string&) { return 1000; }

// The rest of an outage of the mean length that was seen before.
Millis learned(Millis age, const std::string&)
{
    constexpr Millis meanOutage = 5500;
    return std::max<Millis>(meanOutage - age, 1000);
}

// The number of callers that are served, if they arrive evenly over an outage of this length. They
// wait as advised and have `maxAttempts` attempts.
int servedCallers(Millis outage, const Schedule& schedule)
{
    int served = 0;
    for (int caller = 0; caller < callers; ++caller) {
        const std::string job = fmt::format("{:016x}", caller);
        Millis at = outage * caller / callers;
        for (int attempt = 0; attempt < maxAttempts && at < outage; ++attempt)
            at += attempt + 1 < maxAttempts ? schedule(at, job) : 0;
        served += at >= outage ? 1 : 0;
    }
    return served;
}

class RetryAdviceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RetryAdviceTest);
    CPPUNIT_TEST(attemptsOutlastOutages);
    CPPUNIT_TEST(keptScheduleServesAsManyAsOthers);
    CPPUNIT_TEST(callersDoNotReturnTogether);
    CPPUNIT_TEST(callerOfCutInstanceReturnsSoon);
    CPPUNIT_TEST(adviceLeavesTimeForLastAttempt);
    CPPUNIT_TEST(outageEndsWithFirstServedInstance);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against callers that use up their attempts before an outage of six seconds ends.
    void attemptsOutlastOutages()
    {
        for (const Millis outage : { 1000, 2000, 3000, 4500, 6000 })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{} ms", outage), callers, servedCallers(outage, kept));
    }

    // Guards against a schedule that serves fewer callers than a simpler one.
    void keptScheduleServesAsManyAsOthers()
    {
        for (Millis outage = 500; outage <= 9000; outage += 500) {
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", outage), servedCallers(outage, kept) >= servedCallers(outage, constantSecond));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", outage), servedCallers(outage, kept) >= servedCallers(outage, learned));
        }
    }

    // Guards against all callers of an outage that return in the same second.
    void callersDoNotReturnTogether()
    {
        std::set<Millis> delays;
        for (int caller = 0; caller < callers; ++caller)
            delays.insert(kept(3000, fmt::format("{:016x}", caller)));
        CPPUNIT_ASSERT(delays.size() >= 2);
        CPPUNIT_ASSERT(*delays.begin() >= 4000 && *delays.rbegin() <= 6000);
    }

    // Guards against a long wait of a caller whom another instance could serve at once.
    void callerOfCutInstanceReturnsSoon()
    {
        const RetryAdvice advice;
        for (const RefusalCause cause : { RefusalCause::LocalState, RefusalCause::StoreUnreachable, RefusalCause::Busy })
            CPPUNIT_ASSERT_EQUAL(Millis { 1000 }, advice.delay({ cause, 0, "job" }, startTime + 5000));
    }

    // Guards against advice that a caller can't follow before its own deadline.
    void adviceLeavesTimeForLastAttempt()
    {
        RetryAdvice advice;
        advice.setStoreAway(true, startTime);
        CPPUNIT_ASSERT_EQUAL(Millis { 2000 }, advice.delay({ RefusalCause::StoreUnreachable, 2500, "job" }, startTime + 5000));
        CPPUNIT_ASSERT_EQUAL(Millis { 1000 }, advice.delay({ RefusalCause::StoreUnreachable, 300, "job" }, startTime + 5000));
    }

    void outageEndsWithFirstServedInstance()
    {
        RetryAdvice advice;
        advice.setStoreAway(true, startTime);
        advice.setStoreAway(true, startTime + 3000);
        CPPUNIT_ASSERT(advice.delay({ RefusalCause::StoreUnreachable, 0, "job" }, startTime + 3000) >= 4000);
        advice.setStoreAway(false, startTime + 3100);
        CPPUNIT_ASSERT_EQUAL(Millis { 1000 }, advice.delay({ RefusalCause::StoreUnreachable, 0, "job" }, startTime + 3200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAdviceTest);

} // namespace
