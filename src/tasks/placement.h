#pragma once

// Placement of units on workers. This part only searches for free resources; the
// state of jobs is kept elsewhere.
//
// A Snapshot describes all workers during one scheduling round. Resources that are
// allocated or committed to a unit are subtracted from it at once, so that later units
// of the round see only what remains.
//
// Each worker has two amounts of free resources. `free` is available now.
// `freeAfterStops` is available once all runs that are being stopped have ended, less
// what is committed to units that wait for them to end. A unit starts only in resources
// that both amounts include, so it can't take what was freed for a more urgent unit.
//
// Free resources may be reserved in two ways: whole workers for urgent units, and what a unit needs
// that waits for runs to end. Others use them only if they end before, or if their request
// says so (usesReserved).
//
// The design targets many small tasks and few large ones on workers with eight
// accelerators each, with four fifths of all resources in use. Small tasks are placed
// by best fit, where the fewest resources remain, so that whole workers stay free for
// tasks that use all eight accelerators. Earlier units would otherwise occupy all fast
// workers, and urgent units would have to evict some of them; so as many fast workers
// are reserved for urgent units as these needed recently.

#include "tasks/job.h"
#include "tasks/progress.h"
#include "tasks/speed_choice.h"

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattan::tasks {

// A run that occupies resources, with what the choice of eviction victims depends on.
struct Allocation {
    const UnitKey* unit { nullptr }; // The same object for all runs of a unit; null if the unit has ended.
    Resources resources;
    Millis expectedEnd { 0 };
    bool stopping { false }; // A stop was already decided.
    double lostWork { 0 }; // Work lost if its unit is stopped, in core-seconds.
    std::int64_t priority { 0 };
    bool guaranteed { false }; // The unit is within its workspace's guarantee.
    std::int64_t stops { 0 }; // How often the unit was stopped for others.
    bool borrowed { false }; // It was placed in resources that were reserved for others, which may take them back.
    Millis placedAt { 0 };
};

struct SnapshotWorker {
    std::string id;
    std::string rack;
    const std::vector<std::string>* labels { nullptr };
    double speed { 1 }; // Relative to a typical worker, which has 1.
    double speedDeviation { 0 }; // The standard deviation of its logarithm, on a heterogeneous site.
    Resources capacity;
    Resources free;
    Resources freeAfterStops;
    std::string isolatedJob; // The job whose suspect tasks have this worker to themselves, or empty.
    bool isProbing { false }; // Accepts one unit only, to find out whether runs succeed there.
    bool hasProbe { false }; // That unit is there already.
    bool reservedForUrgent { false }; // Other units are placed here last.
    bool urgentOnly { false }; // Other units aren't placed here, unless their data is in this rack.
    std::vector<Allocation> allocations;

    // The time from which resources are reserved for a unit that waits for runs to end.
    std::optional<Millis> reservedFrom;
    Resources freeBesideReservation; // Free at that time, less the reserved resources.
};

// A count for each worker, by worker id.
using WorkerCounts = std::unordered_map<std::string, std::int64_t>;

// The resources and constraints of a unit.
struct PlacementRequest {
    std::int64_t members { 1 };
    Resources perMember;
    std::string label;
    std::string rack; // The rack that holds its data and must be used; empty if any rack will do.
    bool sameRack { false };
    std::int64_t maxPerWorker { 0 };
    const std::set<std::string>* allowedWorkers { nullptr }; // The only eligible workers; null if all are.
    std::string isolatedJob; // Placed only where nothing runs but suspect tasks of this job; empty if it isn't suspect.
    const std::set<std::string>* isolatedWorkers { nullptr }; // The workers on which such tasks run; null if there are none yet.
    const std::vector<std::string>* excludedWorkers { nullptr };
    const WorkerCounts* siblingCounts { nullptr }; // Running tasks of the same step.
    Millis expectedRunTime { 0 };
    bool urgent { false }; // Placed on the workers reserved for urgent units first.
    bool usesReserved { false }; // Placed also in resources that are reserved for other units.
    bool usesUnproven { false }; // Placed also on workers that are probed, as many as fit.
    bool takesBack { false }; // In a reservation, runs that borrow count as ending now.
    double minSpeed { 0 }; // Slower workers are skipped.
    double maxSpeed { 100 }; // Faster workers are skipped.
    SpeedPreference speedPreference { SpeedPreference::None }; // On a heterogeneous site.
    SpeedTierRange speedTiers; // Workers of other tiers are skipped.
};

// What a unit prefers but can run without, in the order in which it is given up.
enum class Preference {
    Unreserved, // Resources that are not reserved for other units.
    Isolation, // For a suspect unit, workers on which nothing else runs.
    OtherWorkers, // Workers on which it has not failed.
    Rack, // The rack of its data, or one rack for all members.
    ProvenWorkers, // Workers on which a run has succeeded since their last quarantine.
};

inline constexpr std::array<Preference, 5> preferences { Preference::Unreserved, Preference::Isolation, Preference::OtherWorkers, Preference::Rack, Preference::ProvenWorkers };

// The request without this preference and those before it.
PlacementRequest withoutPreferences(PlacementRequest, Preference last);

// The worker of each member, in the order of the members, as an index into Snapshot::workers.
using Placement = std::vector<std::size_t>;

// The requests of a round for which no placement was found. A request for as much or
// more, with the same or stricter constraints, need not be searched for again.
class FailedRequests {
public:
    void add(const PlacementRequest& request) { this->requests.push_back(request); }
    bool covers(const PlacementRequest&) const;

private:
    std::vector<PlacementRequest> requests;
};

// How many members fit in unused resources.
struct UnusedMembers {
    std::int64_t available { 0 };
    std::int64_t unavailable { 0 }; // On workers that answer but take no work at present.
};

namespace detail {

    struct KnownUnusedMembers {
        Resources perMember;
        std::int64_t maxPerWorker { 0 };
        std::string label;
        UnusedMembers members;
    };

} // namespace detail

class Snapshot {
public:
    std::vector<SnapshotWorker> workers; // In ascending order of their ids.

    // Workers that have not answered this planner yet and on which no run is known.
    // Nothing can be placed there yet, but very likely soon.
    std::vector<SnapshotWorker> unpolled;

    // Workers that answer but take no work at present. Nothing is placed there.
    std::vector<SnapshotWorker> unavailable;
    Millis now { 0 };
    bool heterogeneous { false }; // Speeds differ by much more than 20%; see speed_choice.h.
    mutable std::vector<detail::KnownUnusedMembers> knownUnusedMembers; // Results of countUnusedMembers().

    // Finds a placement in resources that are free now.
    std::optional<Placement> findFree(const PlacementRequest&) const;

    // Like findFree(), but prefers workers of a suitable speed. An urgent unit goes where
    // it ends first. A gang runs at the speed of its slowest member, so its members should
    // have workers of similar speed; one that isn't urgent leaves fast workers to others.
    // A request with a speed preference uses its tiers instead.
    std::optional<Placement> findFreeBySpeed(const PlacementRequest&) const;

    // Finds a placement in resources that are free once runs being stopped have ended.
    std::optional<Placement> findAfterStops(const PlacementRequest&) const;

    void allocate(const PlacementRequest&, const Placement&); // The unit starts now.
    void allocateAfterStops(const PlacementRequest&, const Placement&); // The unit starts once runs being stopped have ended.

    // Marks the unit's runs on these workers as being stopped.
    void markStopping(const UnitKey&, const std::vector<Incarnation>&);

    // Reserves resources for a unit that waits until running ones end by themselves. A run
    // that starts on these workers must end before then, or leave the reserved resources free.
    void reserve(const PlacementRequest&);

    // The workers that reserve() would choose, one for each member, and when all of them are free.
    struct Reservation {
        Millis at { 0 };
        Placement workers;
    };
    std::optional<Reservation> findReservation(const PlacementRequest&) const;
    void reserve(const PlacementRequest&, const Reservation&);

    // Reserves the fastest workers for urgent units, for this many accelerators but at
    // most half of all. While at least half of all accelerators are in use, other units
    // can't use them.
    void reserveForUrgent(std::int64_t accelerators);

    // True if the unit could be placed if all workers were empty.
    bool fitsWhenEmpty(const PlacementRequest&) const;

    // How many members fit, by the resources that they may use, summed over all racks.
    struct AvailableMembers {
        std::int64_t free { 0 }; // In free resources of eligible workers, reserved or not.
        std::int64_t unreserved { 0 }; // Of these, neither reserved for urgent units nor committed to units that wait for stops.
        std::int64_t startable { 0 }; // Of these, not reserved for a unit that waits for runs to end.
        std::int64_t afterStops { 0 };
    };
    AvailableMembers countAvailableMembers(const PlacementRequest&) const;

    // How many members fit in resources that no run uses, whatever these are reserved for, by all that
    // they need: resources, the label, the limit a worker and the allowed workers.
    // Requests for members of one shape share a count: it is not made again when units are placed.
    UnusedMembers countUnusedMembers(const PlacementRequest&) const;

    // True if the unit could be placed on the unpolled workers alone, if they were empty.
    bool fitsOnUnpolledWorkers(const PlacementRequest&) const;

    bool isEligible(const SnapshotWorker&, const PlacementRequest&) const;

    // True if the worker is kept for urgent units and the unit may not use it.
    static bool isKeptForOthers(const SnapshotWorker&, const PlacementRequest&);

    // What the unit may use once all runs being stopped have ended: not what is reserved for units
    // that come before it and would still be running then.
    Resources availableAfterStops(const SnapshotWorker&, const PlacementRequest&) const;

    // False if placing the unit there would mix suspect tasks with other runs.
    bool respectsIsolation(const SnapshotWorker&, const PlacementRequest&) const;

private:
    std::int64_t countUnusedMembers(const std::vector<SnapshotWorker>&, const PlacementRequest&) const;

    enum class View {
        Free,
        Unreserved, // Free, including what is reserved for units that wait for runs to end.
        AfterStops,
        Empty,
    };

    Millis endOf(const Allocation&, const PlacementRequest&) const;
    std::optional<Placement> find(const PlacementRequest&, View) const;
    std::optional<Placement> findFreeByTiers(const PlacementRequest&) const;
    std::optional<Placement> findWithin(const PlacementRequest&, View, const std::string* rack) const;
    std::int64_t countFitting(const SnapshotWorker&, const PlacementRequest&, View) const;
    bool respectsReservation(const SnapshotWorker&, const PlacementRequest&, std::int64_t count) const;
};

} // namespace rattan::tasks
