#include "planner/job_book.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

namespace rattan::planner {

using records::JobOutcome;
using records::JobRecord;
using records::JobRecordKind;

class JobBookTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobBookTest);
    CPPUNIT_TEST(repeatedSubmitIsOneJob);
    CPPUNIT_TEST(firstFinalCounts);
    CPPUNIT_TEST(restateAfterTheEndIsAnsweredByTheEnd);
    CPPUNIT_TEST(outcomesAreBounded);
    CPPUNIT_TEST(readersFromAnyTrimPointAgree);
    CPPUNIT_TEST_SUITE_END();

    static JobRecord submit(const std::string& key) { return { .kind = JobRecordKind::Submit, .workspace = "w", .key = key }; }

    static JobRecord final(std::uint64_t id, const std::string& key, JobOutcome outcome = JobOutcome::Done)
    {
        return { .kind = JobRecordKind::Final, .id = id, .workspace = "w", .key = key, .outcome = outcome };
    }

    static JobRecord restate(std::uint64_t id, const std::string& key)
    {
        return { .kind = JobRecordKind::Restate, .id = id, .workspace = "w", .key = key };
    }

public:
    // The reply of an append is lost, so an entry appends the same submit again.
    // Without the rule the caller's job would run twice.
    void repeatedSubmitIsOneJob()
    {
        JobBook book;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, book.apply(10, 0, submit("k")).size());
        CPPUNIT_ASSERT(book.apply(11, 0, submit("k"))[0].kind == JobChangeKind::Repeated);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 11 }, book.find("w", "k")->id);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, book.openCount());
    }

    // Two planners both believe that they decide and end the same job
    // differently. A caller must hear one answer, whichever instance it asks.
    void firstFinalCounts()
    {
        JobBook book;
        book.apply(10, 0, submit("k"));
        CPPUNIT_ASSERT(book.apply(11, 0, final(11, "k", JobOutcome::Cancelled))[0].kind == JobChangeKind::Ended);
        CPPUNIT_ASSERT(book.apply(12, 0, final(11, "k", JobOutcome::Done)).empty());
        CPPUNIT_ASSERT(book.find("w", "k")->outcome == JobOutcome::Cancelled);
    }

    // A planner that lags restates a job which has ended. When the end is
    // trimmed before that restate, a new planner would run the job again.
    void restateAfterTheEndIsAnsweredByTheEnd()
    {
        JobBook book;
        book.apply(10, 0, submit("k"));
        book.apply(11, 0, final(11, "k"));
        const auto changes = book.apply(12, 0, restate(11, "k"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, changes.size());
        CPPUNIT_ASSERT(changes[0].kind == JobChangeKind::EndedAgain);
    }

    void outcomesAreBounded()
    {
        JobBook book({ .open = 5, .ended = 3 });
        for (std::uint64_t id = 0; id < 10; ++id) {
            book.apply(2 * id, 0, submit(std::to_string(id)));
            book.apply(2 * id + 1, 0, final(2 * id + 1, std::to_string(id)));
        }
        CPPUNIT_ASSERT(!book.find("w", "6"));
        CPPUNIT_ASSERT(book.find("w", "7"));
        for (std::uint64_t id = 100; id < 105; ++id)
            CPPUNIT_ASSERT(book.apply(id, 0, submit(std::to_string(id)))[0].kind == JobChangeKind::Added);
        CPPUNIT_ASSERT(book.apply(105, 0, submit("over"))[0].kind == JobChangeKind::Crowded);
    }

    // The log trims its oldest records while jobs run and callers repeat their
    // submits. A planner that starts after the trimming must know the same open
    // jobs by the same ids as one that read everything, or jobs are lost or run
    // again.
    void readersFromAnyTrimPointAgree()
    {
        constexpr int sequences = 300;
        for (int seed = 1; seed <= sequences; ++seed)
            this->compareReaders(seed);
    }

private:
    static constexpr std::uint64_t kept = 60;

    // What the active planner appends after a record it has read.
    static std::vector<JobRecord> answers(const JobBook& book, const std::vector<JobChange>& changes)
    {
        std::vector<JobRecord> records;
        for (const JobChange& change : changes) {
            if (change.kind == JobChangeKind::EndedAgain)
                records.push_back(final(change.id, book.find(change.id)->key));
            if (change.kind == JobChangeKind::Repeated)
                records.push_back(restate(change.id, book.find(change.id)->key));
        }
        return records;
    }

    static JobRecord randomRecord(const JobBook& book, std::uint64_t offset, std::mt19937_64& random)
    {
        for (const std::uint64_t id : book.open()) {
            if (book.find(id)->lastRecord + kept / 3 < offset)
                return restate(id, book.find(id)->key);
        }
        if (random() % 3 == 0 && book.openCount() > 0) {
            const std::uint64_t id = book.open()[random() % book.openCount()];
            return final(id, book.find(id)->key);
        }
        return submit(std::to_string(random() % 12));
    }

    void compareReaders(int seed)
    {
        std::mt19937_64 random(seed);
        std::vector<JobRecord> log;
        std::vector<JobRecord> pending;
        JobBook whole;
        while (log.size() < 300 || !pending.empty()) {
            if (pending.empty())
                pending.push_back(randomRecord(whole, log.size(), random));
            const JobRecord record = pending.front();
            pending.erase(pending.begin());
            const auto changes = whole.apply(log.size(), 0, record);
            log.push_back(record);
            for (JobRecord& answer : answers(whole, changes))
                pending.push_back(std::move(answer));
        }
        JobBook late;
        for (std::uint64_t offset = log.size() - kept; offset < log.size(); ++offset)
            late.apply(offset, 0, log[offset]);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed), whole.open() == late.open());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobBookTest);

} // namespace rattan::planner
