#include "entry/executor_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rattan::entry {

namespace {

    platform::Instance executor(const std::string& id, bool leaving = false)
    {
        platform::Instance instance { .id = id, .kind = platform::InstanceKind::Executor, .domain = "a" };
        instance.leaving = leaving;
        instance.address = "127.0.0.1:" + id;
        instance.service = "booking";
        return instance;
    }

    platform::Instance entry(const std::string& id)
    {
        return { .id = id, .kind = platform::InstanceKind::Entry, .domain = "a" };
    }

} // namespace

class ExecutorTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ExecutorTableTest);
    CPPUNIT_TEST(entriesTogetherStayWithinTheBound);
    CPPUNIT_TEST(leavingExecutorGetsNothingNew);
    CPPUNIT_TEST(failingExecutorIsEjectedAndProbed);
    CPPUNIT_TEST(neverAllAreEjected);
    CPPUNIT_TEST(slowExecutorGetsLess);
    CPPUNIT_TEST(refusalIsABackoff);
    CPPUNIT_TEST_SUITE_END();

public:
    // Three entries that know nothing of each other's requests all send as much
    // as they can. An executor has 8 slots; what goes beyond 8 + 3 - 1 at once
    // would pile up in its connections.
    void entriesTogetherStayWithinTheBound()
    {
        this->table.update({ executor("1"), entry("e1"), entry("e2"), entry("e3") }, 0);
        int taken = 0;
        while (const auto id = this->choose()) {
            this->table.begin(*id);
            ++taken;
        }
        CPPUNIT_ASSERT_EQUAL(3, taken);
        CPPUNIT_ASSERT(taken * 3 <= 8 + 3 - 1);
    }

    // An executor is taken out of service while requests run on it. It may finish
    // those, but a new one would be cut when it goes.
    void leavingExecutorGetsNothingNew()
    {
        this->table.update({ executor("1") }, 0);
        this->table.begin("1");
        this->table.update({ executor("1", true) }, 1000);
        CPPUNIT_ASSERT(!this->choose());
        this->table.update({}, 2000);
        CPPUNIT_ASSERT(this->table.find("1"));
        CPPUNIT_ASSERT(!this->choose());
        this->table.finish("1", platform::ForwardFate::Answered, 10, 2000);
        this->table.update({}, 3000);
        CPPUNIT_ASSERT(!this->table.find("1"));
    }

    // One executor breaks off every answer. It is left alone after three in a
    // row, and asked now and then whether it is well again.
    void failingExecutorIsEjectedAndProbed()
    {
        this->table.update({ executor("1"), executor("2") }, 0);
        for (int i = 0; i < ExecutorTable::failuresToEject; ++i)
            this->fail("1", 0);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("2"), *this->choose());
        CPPUNIT_ASSERT(this->table.probes(ExecutorTable::firstEjection - 1).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->table.probes(ExecutorTable::firstEjection).size());
        this->table.probed("1", false, 1000);
        CPPUNIT_ASSERT(this->table.probes(2999).empty());
        this->table.probed("1", true, 3000);
        CPPUNIT_ASSERT(!this->table.find("1")->ejected);
        // One more failure suffices now.
        this->fail("1", 3000);
        CPPUNIT_ASSERT(this->table.find("1")->ejected);
    }

    // A link breaks and every executor seems to fail. Callers would get nothing
    // at all if all were ejected, also after the link is back.
    void neverAllAreEjected()
    {
        this->table.update({ executor("1"), executor("2"), executor("3"), executor("4") }, 0);
        for (int i = 0; i < 10; ++i) {
            for (const char* id : { "1", "2", "3", "4" })
                this->fail(id, 0);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, this->table.load("booking").executors);
        CPPUNIT_ASSERT(this->choose());
    }

    // One of four executors takes ten times as long. Requests that go there wait
    // for nothing, as long as the others have room.
    void slowExecutorGetsLess()
    {
        this->table.update({ executor("1"), executor("2"), executor("3"), executor("4") }, 0);
        int slow = 0;
        for (int i = 0; i < 1000; ++i) {
            const std::string id = *this->choose();
            this->table.begin(id);
            this->table.finish(id, platform::ForwardFate::Answered, id == "4" ? 200 : 20, i);
            slow += id == "4" && i >= 100 ? 1 : 0;
        }
        CPPUNIT_ASSERT(slow < 900 / 8);
    }

    void refusalIsABackoff()
    {
        this->table.update({ executor("1") }, 0);
        this->table.begin("1");
        this->table.finish("1", platform::ForwardFate::Refused, 1, 100);
        CPPUNIT_ASSERT(!this->table.choose("booking", {}, 100, this->random));
        CPPUNIT_ASSERT(this->table.choose("booking", {}, 100 + ExecutorTable::refusalBackoff, this->random));
    }

private:
    std::optional<std::string> choose() { return this->table.choose("booking", {}, 100000, this->random); }

    void fail(const std::string& id, Millis now)
    {
        this->table.begin(id);
        this->table.finish(id, platform::ForwardFate::Unclear, 10, now);
    }

    ExecutorTable table { "a" };
    std::mt19937_64 random { 7 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorTableTest);

} // namespace rattan::entry
