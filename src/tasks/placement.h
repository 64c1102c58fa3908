#pragma once

// Where a unit goes: the search for room, apart from everything that happens to
// jobs. A Snapshot is a picture of all workers for one round of decisions; what is
// placed or promised is taken out of it at once, so that later units of the
// round see what is left.
//
// Each worker has two rooms. `free` is there now. `afterStops` is what will be free
// once all runs that are being stopped have ended, less what units that wait for
// those ends were promised. A unit starts only in room that is in both, so
// nobody takes what a more urgent unit had others stopped for.
//
// The load this answers: many small tasks and few large ones on workers with
// eight accelerators each, at four fifths of all room in use. Small tasks go
// where least is left over afterwards, so that whole workers stay free for
// tasks that take eight. Urgent units would
// find all fast workers taken by those that came before, and have to stop some of
// them, so as many as they need of late are kept for them.

#include "tasks/job.h"
#include "tasks/progress.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattan::tasks {

// A run that takes room, as far as choosing whom to stop needs it.
struct Allocation {
    const UnitKey* unit { nullptr }; // One object for all runs of a unit; null: its unit is over.
    Resources resources;
    Millis expectedEnd { 0 }; // Expected.
    bool stopping { false }; // Already being stopped.
    double lostWork { 0 }; // In core-seconds, if its unit is stopped.
    std::int64_t priority { 0 };
    bool guaranteed { false }; // Within its workspace's guarantee.
};

struct SnapshotWorker {
    std::string id;
    std::string rack;
    const std::vector<std::string>* labels { nullptr };
    double speed { 1 }; // Against the usual one.
    Resources capacity;
    Resources free;
    Resources freeAfterStops;
    std::string isolatedJob; // The job whose suspect tasks run there alone; empty: none.
    bool isProbing { false }; // On trial: takes one unit and no more.
    bool reservedForUrgent { false }; // For urgent units; others go there last,
    bool urgentOnly { false }; // or not at all.
    std::vector<Allocation> allocations;

    // Room promised to a unit that waits for running ones to end, from then on.
    std::optional<Millis> reservedFrom;
    Resources freeBesideReservation; // Of what is free by then, after the promise.
};

// How many of something each worker has; by id.
using WorkerCounts = std::unordered_map<std::string, std::int64_t>;

// What a unit asks for.
struct PlacementRequest {
    std::int64_t members { 1 };
    Resources perMember;
    std::string label;
    std::string rack; // Where its data lies; empty: anywhere.
    bool sameRack { false };
    std::int64_t maxPerWorker { 0 };
    const std::set<std::string>* allowedWorkers { nullptr }; // The only workers that may be used; null: any.
    std::string isolatedJob; // Goes only where nothing but suspect tasks of this job runs; empty: anywhere else.
    const std::set<std::string>* isolatedWorkers { nullptr }; // Workers on which such tasks run; null: none yet.
    const std::vector<std::string>* excludedWorkers { nullptr }; // Workers that must not be used.
    const WorkerCounts* siblingCounts { nullptr }; // Running tasks of the step, by worker.
    Millis expectedRunTime { 0 }; // Run time.
    bool urgent { false }; // Goes to kept workers first.
    double minSpeed { 0 }; // Slower workers,
    double maxSpeed { 100 }; // and faster ones, are passed over.
};

// Members' workers, as indices into Snapshot::workers, in the order of the members.
using Placement = std::vector<std::size_t>;

// Asks that found no place in a round. What asks for as much or more, under the
// same conditions or stricter ones, is not searched for again.
class FailedRequests {
public:
    void add(const PlacementRequest& request) { this->requests.push_back(request); }
    bool covers(const PlacementRequest&) const;

private:
    std::vector<PlacementRequest> requests;
};

class Snapshot {
public:
    std::vector<SnapshotWorker> workers; // By their ids, rising.

    // Workers that have not answered this planner yet and on which nothing is known to
    // run: nothing can be placed there, but very likely soon.
    std::vector<SnapshotWorker> unpolled;
    Millis now { 0 };

    // Room that is free now.
    std::optional<Placement> findFree(const PlacementRequest&) const;

    // The same, of workers whose pace suits the unit, if there are. An urgent unit
    // goes where it ends first. A gang goes at the pace of its slowest member, so
    // its members should be of one pace; one that can wait leaves fast workers to
    // others.
    std::optional<Placement> findFreeBySpeed(const PlacementRequest&) const;

    // Room that will be free once runs that are being stopped have ended.
    std::optional<Placement> findAfterStops(const PlacementRequest&) const;

    void allocate(const PlacementRequest&, const Placement&); // Starts now.
    void allocateAfterStops(const PlacementRequest&, const Placement&); // Starts when runs being stopped have ended.

    // The unit is being stopped on these workers.
    void markStopping(const UnitKey&, const std::vector<Incarnation>&);

    // Keeps room for a unit that has to wait until running ones end by themselves:
    // whatever starts there must end before, or leave that room.
    void reserve(const PlacementRequest&);

    // Keeps the fastest workers for urgent units, for this many accelerators and at
    // most half of all. While over half of all is in use they are closed to others.
    void reserveForUrgent(std::int64_t accelerators);

    // True if the unit could be placed were all workers empty.
    bool fitsWhenEmpty(const PlacementRequest&) const;

    // Members for which there is room, wherever it is.
    struct AvailableMembers {
        std::int64_t free { 0 }; // On suitable workers, whoever it is kept for.
        std::int64_t unreserved { 0 }; // Of that, not kept for urgent units and not promised after stops.
        std::int64_t startable { 0 }; // Of that, not kept for a unit that waits for running ones to end.
        std::int64_t afterStops { 0 };
    };
    AvailableMembers countAvailableMembers(const PlacementRequest&) const;

    // True if the workers not asked yet could take the whole unit, were they empty.
    bool fitsOnUnpolledWorkers(const PlacementRequest&) const;

    bool isEligible(const SnapshotWorker&, const PlacementRequest&) const;

    // Keeps suspect tasks and all others apart.
    bool respectsIsolation(const SnapshotWorker&, const PlacementRequest&) const;

private:
    enum class View {
        Free,
        Unreserved, // Free, whether or not a reservation holds it.
        AfterStops,
        Empty,
    };

    std::optional<Placement> find(const PlacementRequest&, View) const;
    std::optional<Placement> findWithin(const PlacementRequest&, View, const std::string* rack) const;
    std::int64_t countFitting(const SnapshotWorker&, const PlacementRequest&, View) const;
    bool respectsReservation(const SnapshotWorker&, const PlacementRequest&, std::int64_t count) const;
};

} // namespace rattan::tasks
