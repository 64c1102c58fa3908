#pragma once

// The workers of a failure domain as one driver knows them: who is listed, what
// each last reported, who is to be asked next. Pure; not thread-safe.
//
// A worker has at most one exchange in flight, so its answers come in order. One
// that gave no answer is asked again soon if it holds a gang, for a lost answer
// must not cost a lease; but of those that were silent several times only a few
// are asked at once, so that a rack that was cut off cannot hold every exchange
// thread and starve the renewals of the others.

#include "driver/gang.h"
#include "platform/instance_list.h"

#include <deque>
#include <map>
#include <set>

namespace rattan::driver {

struct WorkerRecord {
    std::string worker;
    std::string address;
    std::string rack;
    bool listed { false };
    bool leaving { false };
    bool reachable { true }; // Its last exchange was answered.
    std::uint32_t failures { 0 }; // Exchanges in a row without an answer.
    bool probing { false }; // The exchange in flight counts as a probe.
    bool answered { false }; // Since the present epoch or reading began.
    Millis wantedSince { 0 };
    bool asking { false }; // An exchange is in flight.
    bool due { false };
    Millis notBefore { 0 };
    std::optional<platform::WorkerReport> report;
    std::set<GangId> gangs;
    std::set<std::string> orphans; // Leases to be stopped that no gang owns.
};

struct SurveyLease {
    std::string lease;
    GangId id;
    platform::LeaseState state { platform::LeaseState::Reserved };
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };
    Millis remaining { 0 };
    std::string key;
    std::string workspace;
    std::uint32_t gangSize { 0 };
};

struct SurveyWorker {
    std::string worker;
    std::string address;
    std::string rack;
    std::string incarnation;
    std::int64_t accelerators { 0 };
    std::int64_t cores { 0 };
    std::int64_t memoryMb { 0 };
    bool leaving { false };
    bool reachable { false };
    std::uint64_t epoch { 0 };
    std::vector<SurveyLease> leases;
};

struct Survey {
    bool complete { false };
    std::vector<SurveyWorker> workers;
};

class WorkerBook {
public:
    explicit WorkerBook(const KeeperOptions& options)
        : options(options)
    {
    }

    static constexpr std::size_t mostWorkers = 16384;

    // Takes the platform's list; unlisted workers stay while they hold a gang.
    void list(const std::vector<platform::Instance>&, Millis now);

    // The record of a worker, made if it is not known yet; null when full.
    WorkerRecord* obtain(const std::string& worker, const std::string& address);
    WorkerRecord* find(const std::string& worker);

    void markDue(WorkerRecord&, Millis now);
    void markAllDue(Millis now);

    // Once a period: busy workers each time, idle ones now and then.
    void markPeriodDue(Millis now, std::uint64_t period);

    // Silent workers that hold a gang and have waited long enough.
    void markRetries(Millis now);

    // The next worker to ask, now in flight; null if none may be asked.
    WorkerRecord* takeDue();

    // The exchange of takeDue() is over.
    void release(WorkerRecord&, bool answered, Millis now);

    // Every answer so far is out of date.
    void beginSurvey(Millis now);
    Survey survey(Millis now);

    // The members that report a lease of this gang.
    std::vector<GangMember> membersOf(GangId) const;

    // How many members the gang has, by the notes of its leases; 0 if unknown.
    std::size_t sizeOf(GangId) const;

    // Every worker that was listed has answered since the survey began, or was
    // silent for so long that nothing an earlier owner started runs there. Once
    // true it stays true until the next beginSurvey().
    bool isComplete(Millis now);

    void dropGangs();

private:
    bool isHeard(const WorkerRecord&, Millis now) const;
    std::vector<std::pair<const WorkerRecord*, const platform::WorkerLease*>> leasesOf(GangId) const;
    void forgetUnlisted();

    KeeperOptions options;
    std::map<std::string, WorkerRecord> records;
    std::deque<std::string> queue;
    std::set<std::string> silent;
    std::size_t probes { 0 };
    bool listKnown { false };
    bool complete { false };
    Millis surveySince { 0 };
};

} // namespace rattan::driver
