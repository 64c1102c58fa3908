#include "planner/domain_planner.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace rattan::planner {

using records::JobOutcome;
using records::JobRecord;
using records::JobRecordKind;

namespace {

    // A planner with its log and a driver's answers in virtual time.
    class Bench {
    public:
        explicit Bench(std::string incarnation = "p1")
            : planner({ .domain = "sapporo", .incarnation = std::move(incarnation) })
        {
            config::JobClass map { .name = "route-map" };
            map.checkpointable = true;
            config::JobClass stamp { .name = "stamp" };
            stamp.idempotent = false;
            this->text.jobClasses = { map, stamp };
            this->text.workspaces = { { .name = "guides" } };
            this->planner.applyText(1, this->text, this->now);
            for (int i = 0; i < 2; ++i)
                this->survey.workers.push_back(worker("w" + std::to_string(i)));
            this->survey.complete = true;
        }

        static SurveyedWorker worker(const std::string& name)
        {
            SurveyedWorker seen;
            seen.worker = name;
            seen.address = name + ":1";
            seen.rack = "r1";
            seen.accelerators = 8;
            seen.cores = 64;
            seen.memoryMb = 100000;
            seen.reachable = true;
            return seen;
        }

        static JobRecord submit(const std::string& key, const std::string& jobClass, std::int64_t members = 1)
        {
            JobRecord record { .kind = JobRecordKind::Submit, .workspace = "guides", .key = key };
            record.spec.jobClass = jobClass;
            record.spec.members = members;
            record.spec.accelerators = 8;
            return record;
        }

        void append(const JobRecord& record) { this->planner.applyRecord({ this->nextOffset++, this->now, record }, this->now); }

        // Reads back what the planner wanted to append, as the log would give it.
        std::vector<JobRecord> flushRecords()
        {
            auto records = this->planner.takeRecords();
            for (const JobRecord& record : records)
                this->append(record);
            return records;
        }

        void decide()
        {
            this->planner.activate();
            this->planner.applySurvey(this->survey, this->now);
            for (SurveyedWorker& seen : this->survey.workers)
                seen.epoch = this->planner.epoch();
            this->planner.applySurvey(this->survey, this->now);
            CPPUNIT_ASSERT(this->planner.stage() == Stage::Deciding);
        }

        std::vector<Order> orders(OrderKind kind)
        {
            this->now += 1000;
            this->planner.tick(this->now, this->now);
            std::vector<Order> found;
            for (Order& order : this->planner.takeOrders()) {
                if (order.kind == kind)
                    found.push_back(std::move(order));
            }
            return found;
        }

        void tell(DriverEventKind kind, const Order& order, const std::string& result = "")
        {
            DriverEvent event;
            event.kind = kind;
            event.job = order.job;
            event.attempt = order.attempt;
            event.result = result;
            CPPUNIT_ASSERT(this->planner.applyEvents({ event }, this->now));
        }

        std::string state(const std::string& key) const { return this->planner.report("guides", key)->state; }

        config::Configuration text;
        DomainPlanner planner;
        Survey survey;
        Millis now { 1000 };
        std::uint64_t nextOffset { 10 };
    };

} // namespace

class DomainPlannerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DomainPlannerTest);
    CPPUNIT_TEST(runsAJobFromSubmitToFinal);
    CPPUNIT_TEST(decidesNothingBeforeTheSurveyIsComplete);
    CPPUNIT_TEST(epochsOfTwoPlannersDiffer);
    CPPUNIT_TEST(tellsTheEndOnlyOnceItIsRecorded);
    CPPUNIT_TEST(startsAJobThatMustNotRunTwiceOnlyAfterItsRecord);
    CPPUNIT_TEST(leavesAJobToThePlannerThatRecordedFirst);
    CPPUNIT_TEST(recordsFailedAttemptsBeforeTheNextStart);
    CPPUNIT_TEST(doesNotRepeatAJobThatMayHaveRun);
    CPPUNIT_TEST(takesOverWholeGangsAtOnce);
    CPPUNIT_TEST(countsEveryMemberOfAGangTakenOver);
    CPPUNIT_TEST(stopsIncompleteGangs);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsAJobFromSubmitToFinal()
    {
        Bench bench;
        bench.append(Bench::submit("k", "route-map", 2));
        CPPUNIT_ASSERT_EQUAL(std::string("queued"), bench.state("k"));
        bench.decide();
        const auto starts = bench.orders(OrderKind::StartGang);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, starts[0].members.size());
        CPPUNIT_ASSERT(!starts[0].members[0].address.empty());
        bench.tell(DriverEventKind::GangStarted, starts[0]);
        CPPUNIT_ASSERT_EQUAL(std::string("running"), bench.state("k"));
        bench.tell(DriverEventKind::GangFinished, starts[0], "map.png");
        bench.flushRecords();
        CPPUNIT_ASSERT_EQUAL(std::string("done"), bench.state("k"));
        CPPUNIT_ASSERT_EQUAL(std::string("map.png"), bench.planner.report("guides", "k")->result);
    }

    // A planner that starts with nothing knows no lease yet. If it placed work
    // at once, it would plan on accelerators that run other gangs.
    void decidesNothingBeforeTheSurveyIsComplete()
    {
        Bench bench;
        bench.append(Bench::submit("k", "route-map"));
        bench.survey.complete = false;
        bench.planner.activate();
        for (int i = 0; i < 3; ++i)
            bench.planner.applySurvey(bench.survey, bench.now);
        CPPUNIT_ASSERT(bench.planner.stage() == Stage::Learning);
        CPPUNIT_ASSERT(bench.orders(OrderKind::StartGang).empty());
    }

    // Two planners take over from the same survey at the same moment. With equal
    // epochs no worker could refuse either of them.
    void epochsOfTwoPlannersDiffer()
    {
        Bench first("p1");
        Bench second("p2");
        first.decide();
        second.decide();
        CPPUNIT_ASSERT(first.planner.epoch() != second.planner.epoch());
    }

    // The log is down when a job ends, and the planner dies before the end is
    // recorded. Had its caller been told "failed", the next planner could still
    // run the job and make that untrue.
    void tellsTheEndOnlyOnceItIsRecorded()
    {
        Bench bench;
        bench.append(Bench::submit("k", "route-map"));
        bench.decide();
        const auto starts = bench.orders(OrderKind::StartGang);
        bench.tell(DriverEventKind::GangStarted, starts.at(0));
        bench.tell(DriverEventKind::GangFinished, starts.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("recording"), bench.state("k"));
        bench.flushRecords();
        CPPUNIT_ASSERT_EQUAL(std::string("done"), bench.state("k"));
    }

    // A planner is killed between starting a job and recording its end. If the
    // start was not recorded first, its successor would start the job again.
    void startsAJobThatMustNotRunTwiceOnlyAfterItsRecord()
    {
        Bench bench;
        bench.append(Bench::submit("k", "stamp"));
        bench.decide();
        CPPUNIT_ASSERT(bench.orders(OrderKind::StartGang).empty());
        const auto records = bench.flushRecords();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT(records[0].kind == JobRecordKind::Starting);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, bench.orders(OrderKind::StartGang).size());
    }

    // Guards against failed attempts that are forgotten with the planner that counted them.
    void recordsFailedAttemptsBeforeTheNextStart()
    {
        Bench bench;
        bench.append(Bench::submit("k", "route-map"));
        bench.decide();
        const auto first = bench.orders(OrderKind::StartGang);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, first.size());
        CPPUNIT_ASSERT(bench.flushRecords().empty());
        bench.tell(DriverEventKind::GangFailed, first.front());
        std::vector<JobRecord> records;
        for (int i = 0; i < 60 && records.empty(); ++i) {
            CPPUNIT_ASSERT(bench.orders(OrderKind::StartGang).empty());
            records = bench.flushRecords();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT(records[0].kind == JobRecordKind::Starting);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, records[0].failures);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, bench.orders(OrderKind::StartGang).size());
    }

    // Two planners both believe that they decide, and both announce the start.
    // Only the one whose record comes first in the log may start the job.
    void leavesAJobToThePlannerThatRecordedFirst()
    {
        Bench bench;
        bench.append(Bench::submit("k", "stamp"));
        bench.decide();
        JobRecord other { .kind = JobRecordKind::Starting, .id = 11, .attempt = 1, .claimant = "p2" };
        bench.append(other);
        bench.flushRecords();
        CPPUNIT_ASSERT(bench.orders(OrderKind::StartGang).empty());
    }

    // The planner that started the job is gone and no worker knows the lease.
    // Whether the job ran cannot be told, so it is not run again and its caller
    // is told exactly that.
    void doesNotRepeatAJobThatMayHaveRun()
    {
        Bench bench;
        bench.append(Bench::submit("k", "stamp"));
        bench.append({ .kind = JobRecordKind::Starting, .id = 11, .attempt = 1, .claimant = "p0" });
        bench.decide();
        for (int i = 0; i < 60; ++i)
            CPPUNIT_ASSERT(bench.orders(OrderKind::StartGang).empty());
        bench.flushRecords();
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), bench.state("k"));
    }

    // The instance that decided is gone; its gang runs on under leases of a few
    // seconds. Waiting for a slow worker elsewhere would let them lapse.
    void takesOverWholeGangsAtOnce()
    {
        Bench bench;
        bench.append(Bench::submit("k", "route-map", 2));
        for (SurveyedWorker& seen : bench.survey.workers) {
            SurveyedLease lease { .lease = "11.1", .job = 11, .attempt = 1, .state = "running", .accelerators = 8 };
            lease.key = "k";
            lease.workspace = "guides";
            lease.gangSize = 2;
            seen.leases.push_back(lease);
        }
        bench.survey.complete = false;
        bench.planner.activate();
        bench.planner.applySurvey(bench.survey, bench.now);
        for (SurveyedWorker& seen : bench.survey.workers)
            seen.epoch = bench.planner.epoch();
        bench.planner.applySurvey(bench.survey, bench.now);
        const auto adopted = bench.planner.takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, adopted.size());
        CPPUNIT_ASSERT(adopted[0].kind == OrderKind::AdoptGang);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, adopted[0].members.size());
        bench.survey.complete = true;
        bench.planner.applySurvey(bench.survey, bench.now);
        CPPUNIT_ASSERT_EQUAL(std::string("running"), bench.state("k"));
        CPPUNIT_ASSERT(bench.orders(OrderKind::StartGang).empty());
    }

    // Two members of a gang run under one lease at one worker. Counted as one
    // member after a planner was replaced, half of what the gang uses would seem
    // free, and the next gang would be refused by the workers.
    void countsEveryMemberOfAGangTakenOver()
    {
        Bench bench;
        JobRecord record = Bench::submit("k", "route-map", 2);
        record.spec.accelerators = 4;
        bench.append(record);
        SurveyedLease lease { .lease = "11.1", .job = 11, .attempt = 1, .state = "running", .accelerators = 8 };
        lease.cores = 2;
        lease.memoryMb = 2048;
        lease.key = "k";
        lease.workspace = "guides";
        lease.gangSize = 1;
        bench.survey.workers[0].leases.push_back(lease);
        bench.decide();
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 8 }, bench.planner.domainReport().workspaces.at(0).used);
    }

    // Only one of two members is found: the other's worker died with the planner.
    // The half that runs would compute for nothing.
    void stopsIncompleteGangs()
    {
        Bench bench;
        bench.append(Bench::submit("k", "route-map", 2));
        SurveyedLease lease { .lease = "11.1", .job = 11, .attempt = 1, .state = "running", .accelerators = 8 };
        lease.key = "k";
        lease.workspace = "guides";
        lease.gangSize = 2;
        bench.survey.workers[0].leases.push_back(lease);
        bench.decide();
        const auto stops = bench.orders(OrderKind::StopGang);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, stops.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 11 }, stops[0].job);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainPlannerTest);

} // namespace rattan::planner
