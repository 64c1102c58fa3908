#include "delivery/report_delta.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace rattan;
using namespace rattan::delivery;
using namespace rattan::tasks;

namespace {

RunRef runOf(const std::string& job, std::int64_t index) { return { { job, 0, 0, index }, 1 }; }

bool isEqual(WorkerReport a, WorkerReport b)
{
    const auto byRun = [](const RunningTask& x, const RunningTask& y) { return x.run < y.run; };
    std::sort(a.running.begin(), a.running.end(), byRun);
    std::sort(b.running.begin(), b.running.end(), byRun);
    const auto sameTask = [](const RunningTask& x, const RunningTask& y) { return x.run == y.run && x.percent == y.percent && x.checkpoint == y.checkpoint; };
    const auto sameEnd = [](const EndedTask& x, const EndedTask& y) { return x.number == y.number && x.run == y.run && x.end == y.end; };
    return a.clock == b.clock && a.born == b.born && a.hasMoreEnds == b.hasMoreEnds && std::equal(a.running.begin(), a.running.end(), b.running.begin(), b.running.end(), sameTask)
        && std::equal(a.ended.begin(), a.ended.end(), b.ended.begin(), b.ended.end(), sameEnd);
}

class ReportDeltaTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReportDeltaTest);
    CPPUNIT_TEST(anySequenceOfReportsIsDecodedUnchanged);
    CPPUNIT_TEST(unchangedRunsAreOmitted);
    CPPUNIT_TEST(newIncarnationSendsASnapshot);
    CPPUNIT_TEST(deltaWithoutBaseIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a run that is missing from a decoded report: it is considered lost and
    // started a second time.
    void anySequenceOfReportsIsDecodedUnchanged()
    {
        std::mt19937 random(7);
        for (int sequence = 0; sequence < 50; ++sequence) {
            ReportEncoder encoder;
            ReportDecoder decoder;
            WorkerReport report { .clock = 1, .born = 5, .running = {}, .ended = {} };
            for (int round = 0; round < 60; ++round) {
                this->mutate(report, random);
                const auto decoded = decoder.decode("w", encoder.encode("w", report));
                CPPUNIT_ASSERT(decoded.has_value());
                CPPUNIT_ASSERT(isEqual(report, *decoded));
            }
        }
    }

    void unchangedRunsAreOmitted()
    {
        ReportEncoder encoder;
        WorkerReport report { .clock = 1, .born = 5, .running = { { runOf("a", 0), "", 10 }, { runOf("a", 1), "c1", 20 } }, .ended = {} };
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), encoder.encode("w", report).added.size());
        report.running[1].percent = 30;
        const ReportDelta delta = encoder.encode("w", report);
        CPPUNIT_ASSERT(delta.added.empty() && delta.removed.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), delta.changed.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), delta.changed[0].position);
        CPPUNIT_ASSERT(!delta.changed[0].checkpoint);
    }

    void newIncarnationSendsASnapshot()
    {
        ReportEncoder encoder;
        ReportDecoder decoder;
        WorkerReport report { .clock = 1, .born = 5, .running = { { runOf("a", 0), "", 10 } }, .ended = {} };
        decoder.decode("w", encoder.encode("w", report));
        report.born = 6;
        const ReportDelta delta = encoder.encode("w", report);
        CPPUNIT_ASSERT(delta.isSnapshot);
        CPPUNIT_ASSERT(isEqual(report, *decoder.decode("w", delta)));
    }

    void deltaWithoutBaseIsRejected()
    {
        ReportDecoder decoder;
        CPPUNIT_ASSERT(!decoder.decode("w", { .clock = 1, .born = 5, .isSnapshot = false }));
        CPPUNIT_ASSERT(decoder.decode("w", { .clock = 1, .born = 5, .isSnapshot = true }));
        CPPUNIT_ASSERT(!decoder.decode("w", { .clock = 1, .born = 5, .isSnapshot = false, .changed = {}, .removed = { 3 } }));
    }

private:
    void mutate(WorkerReport& report, std::mt19937& random)
    {
        ++report.clock;
        if (random() % 20 == 0)
            ++report.born;
        std::erase_if(report.running, [&](const RunningTask&) { return random() % 4 == 0; });
        for (RunningTask& row : report.running) {
            row.percent += static_cast<std::int64_t>(random() % 2);
            if (random() % 5 == 0)
                row.checkpoint = std::to_string(random());
        }
        while (random() % 3 != 0)
            report.running.push_back({ runOf("job", ++this->lastIndex), "", 0 });
        if (random() % 3 == 0)
            report.ended.push_back({ ++this->lastIndex, runOf("job", this->lastIndex), RunEnd::Done, "" });
        report.hasMoreEnds = random() % 2 == 0;
        std::shuffle(report.running.begin(), report.running.end(), random);
    }

    std::int64_t lastIndex { 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportDeltaTest);

} // namespace
