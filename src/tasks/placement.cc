// Best fit: members are placed on the worker that keeps the fewest free accelerators,
// then the least free memory. Members have equal sizes, so only the number that fits on
// each worker matters, and this packs as tightly as a search over all orders. A gang
// that must share a rack is placed in the fullest rack that fits it, so that empty
// racks stay available for larger gangs.

#include "tasks/placement.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <numeric>
#include <string_view>
#include <tuple>

namespace rattan::tasks {

namespace {

    // Workers between these relative speeds have the usual speed. The estimated speed of
    // a worker is off by about 5% after a dozen runs.
    constexpr double minUsualSpeed = 0.92;
    constexpr double minFastSpeed = 1.1;
    constexpr double maxAnySpeed = 100;

    constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max() / 4;

    std::int64_t fittingCount(std::int64_t available, std::int64_t perMember)
    {
        if (perMember <= 0)
            return unlimited;
        return available < 0 ? 0 : available / perMember;
    }

    std::int64_t fittingCount(const Resources& available, const Resources& perMember)
    {
        return std::min({ fittingCount(available.milliCores, perMember.milliCores), fittingCount(available.memoryMb, perMember.memoryMb),
            fittingCount(available.accelerators, perMember.accelerators) });
    }

    Resources componentMin(const Resources& left, const Resources& right)
    {
        return { std::min(left.milliCores, right.milliCores), std::min(left.memoryMb, right.memoryMb),
            std::min(left.accelerators, right.accelerators) };
    }

    bool contains(const std::vector<std::string>* list, const std::string& text)
    {
        return list && std::find(list->begin(), list->end(), text) != list->end();
    }

    std::int64_t countAt(const WorkerCounts& counts, const std::string& worker)
    {
        const auto found = counts.find(worker);
        return found == counts.end() ? 0 : found->second;
    }

    enum class SpeedClass {
        Slow,
        Usual,
        Fast,
    };

    SpeedClass speedClassOf(const SnapshotWorker& worker)
    {
        if (worker.speed < minUsualSpeed)
            return SpeedClass::Slow;
        return worker.speed < minFastSpeed ? SpeedClass::Usual : SpeedClass::Fast;
    }

    int tierOf(const SnapshotWorker& worker, const PlacementRequest& request)
    {
        return speedTierOf({ worker.speed, worker.speedDeviation }, request.speedPreference);
    }

    // The rank of a worker by what remains free after placement; the smallest is preferred.
    struct FitRank {
        bool reservedForOthers; // Reserved for urgent units and the unit isn't urgent.
        int speedTier;
        bool reservationMismatch; // As reservedForOthers, or the reverse: urgent and not reserved.
        std::int64_t accelerators;
        std::int64_t memoryMb;

        // clang-tidy 14 mistakes the zero in a defaulted comparison for a null pointer.
        auto operator<=>(const FitRank&) const = default; // NOLINT(modernize-use-nullptr)
    };

} // namespace

bool Snapshot::isEligible(const SnapshotWorker& worker, const PlacementRequest& request) const
{
    if (!request.label.empty() && !contains(worker.labels, request.label))
        return false;
    if (request.allowedWorkers && !request.allowedWorkers->contains(worker.id))
        return false;
    if (worker.hasProbe && !request.usesUnproven)
        return false;
    return !contains(request.excludedWorkers, worker.id);
}

bool Snapshot::isKeptForOthers(const SnapshotWorker& worker, const PlacementRequest& request)
{
    return worker.urgentOnly && !request.urgent && !request.usesReserved && worker.rack != request.rack;
}

Millis Snapshot::endOf(const Allocation& allocation, const PlacementRequest& request) const
{
    return request.takesBack && allocation.borrowed ? std::min(this->now, allocation.expectedEnd) : allocation.expectedEnd;
}

bool Snapshot::respectsIsolation(const SnapshotWorker& worker, const PlacementRequest& request) const
{
    if (request.isolatedJob.empty())
        return worker.isolatedJob.empty();
    if (request.isolatedWorkers)
        return request.isolatedWorkers->contains(worker.id);
    return worker.isolatedJob.empty() && worker.allocations.empty() && worker.free == worker.capacity;
}

bool Snapshot::respectsReservation(const SnapshotWorker& worker, const PlacementRequest& request, std::int64_t count) const
{
    if (!worker.reservedFrom || this->now + request.expectedRunTime <= *worker.reservedFrom)
        return true;
    return request.perMember.times(count).fitsIn(worker.freeBesideReservation);
}

Resources Snapshot::availableAfterStops(const SnapshotWorker& worker, const PlacementRequest& request) const
{
    if (!worker.reservedFrom || this->now + request.expectedRunTime <= *worker.reservedFrom)
        return worker.freeAfterStops;
    return componentMin(worker.freeAfterStops, worker.freeBesideReservation);
}

std::int64_t Snapshot::countFitting(const SnapshotWorker& worker, const PlacementRequest& request, View view) const
{
    if (!this->isEligible(worker, request))
        return 0;
    if (view != View::Empty && (worker.speed < request.minSpeed || worker.speed > request.maxSpeed))
        return 0;
    if (view != View::Empty && (request.speedTiers.first > 0 || request.speedTiers.last < speedTierCount - 1)) {
        const int tier = tierOf(worker, request);
        if (tier < request.speedTiers.first || tier > request.speedTiers.last)
            return 0;
    }
    if (view != View::Empty && !this->respectsIsolation(worker, request))
        return 0;
    if (view != View::Empty && isKeptForOthers(worker, request))
        return 0;
    const Resources available = view == View::Empty ? worker.capacity : view == View::AfterStops ? worker.freeAfterStops
                                                                                                 : componentMin(worker.free, worker.freeAfterStops);
    std::int64_t count = std::min(fittingCount(available, request.perMember), request.members);
    if (request.maxPerWorker > 0) {
        std::int64_t running = 0;
        if (request.siblingCounts && view != View::Empty)
            running = countAt(*request.siblingCounts, worker.id);
        count = std::min(count, std::max<std::int64_t>(request.maxPerWorker - running, 0));
    }
    if (worker.isProbing && view != View::Empty && !request.usesUnproven)
        count = std::min<std::int64_t>(count, 1);
    if ((view == View::Free || view == View::AfterStops) && !request.usesReserved) {
        while (count > 0 && !this->respectsReservation(worker, request, count))
            --count;
    }
    return count;
}

std::optional<Placement> Snapshot::findWithin(const PlacementRequest& request, View view, const std::string* rack) const
{
    struct Choice {
        std::size_t index;
        std::int64_t count;
        FitRank rank;
    };
    std::vector<Choice> choices;
    std::int64_t total = 0;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        const SnapshotWorker& worker = this->workers[i];
        if (rack && worker.rack != *rack)
            continue;
        const std::int64_t count = this->countFitting(worker, request, view);
        if (count <= 0)
            continue;
        const Resources& available = view == View::AfterStops ? worker.freeAfterStops : worker.free;
        // An urgent gang runs at the speed of its slowest tier anyway, so it leaves faster workers free.
        const int tier = tierOf(worker, request);
        choices.push_back({ i, count, { worker.reservedForUrgent && !request.urgent, request.urgent && request.members > 1 ? -tier : tier, worker.reservedForUrgent != request.urgent, available.accelerators - count * request.perMember.accelerators, available.memoryMb - count * request.perMember.memoryMb } });
        total += count;
    }
    if (total < request.members)
        return std::nullopt;
    if (request.members == 1)
        return Placement { std::min_element(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.rank < b.rank; })->index };
    std::stable_sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.rank < b.rank; });
    Placement placement;
    for (const Choice& choice : choices) {
        for (std::int64_t i = 0; i < choice.count && static_cast<std::int64_t>(placement.size()) < request.members; ++i)
            placement.push_back(choice.index);
    }
    return placement;
}

std::optional<Placement> Snapshot::find(const PlacementRequest& request, View view) const
{
    if (!request.rack.empty())
        return this->findWithin(request, view, &request.rack);
    if (!request.sameRack || request.members == 1)
        return this->findWithin(request, view, nullptr);
    struct RackCapacity {
        std::int64_t members { 0 };
        std::int64_t reservedWorkers { 0 }; // Workers reserved for urgent units.
        std::int64_t workers { 0 };
    };
    std::map<std::string, RackCapacity> racks;
    for (const SnapshotWorker& worker : this->workers) {
        RackCapacity& capacity = racks[worker.rack];
        capacity.members += this->countFitting(worker, request, view);
        capacity.reservedWorkers += worker.reservedForUrgent ? 1 : 0;
        ++capacity.workers;
    }
    const std::string* best = nullptr;
    std::pair<bool, std::int64_t> bestRank { true, unlimited };
    for (const auto& [rack, capacity] : racks) {
        const std::pair<bool, std::int64_t> rank { (capacity.reservedWorkers * 2 > capacity.workers) != request.urgent, capacity.members };
        if (capacity.members >= request.members && rank < bestRank) {
            best = &rack;
            bestRank = rank;
        }
    }
    return best ? this->findWithin(request, view, best) : std::nullopt;
}

std::optional<Placement> Snapshot::findFree(const PlacementRequest& request) const { return this->find(request, View::Free); }

// A single task takes the best tier by the rank of the workers. A gang searches ranges of tiers; a
// rough count leaves out those that can't hold it.
std::optional<Placement> Snapshot::findFreeByTiers(const PlacementRequest& request) const
{
    if (request.members == 1)
        return this->findFree(request);
    std::array<std::int64_t, speedTierCount> maxMembers {};
    for (const SnapshotWorker& worker : this->workers)
        maxMembers.at(static_cast<std::size_t>(tierOf(worker, request))) += std::min(fittingCount(componentMin(worker.free, worker.freeAfterStops), request.perMember), request.members);
    for (const SpeedTierRange& range : gangTierRanges()) {
        if (std::accumulate(maxMembers.begin() + range.first, maxMembers.begin() + range.last + 1, std::int64_t { 0 }) < request.members)
            continue;
        PlacementRequest limited = request;
        limited.speedTiers = range;
        if (auto found = this->findFree(limited))
            return found;
    }
    return std::nullopt;
}

std::optional<Placement> Snapshot::findFreeBySpeed(const PlacementRequest& request) const
{
    if (request.speedPreference != SpeedPreference::None)
        return this->findFreeByTiers(request);
    struct Range {
        double min;
        double max;
    };
    constexpr std::array<Range, 2> urgentSpeeds { { { minFastSpeed, maxAnySpeed }, { minUsualSpeed, maxAnySpeed } } };
    constexpr std::array<Range, 3> nonUrgentSpeeds { { { 0, minUsualSpeed }, { minUsualSpeed, minFastSpeed }, { minUsualSpeed, maxAnySpeed } } };
    const auto search = [&](const auto& ranges) {
        std::optional<Placement> found;
        for (const Range& range : ranges) {
            PlacementRequest limited = request;
            limited.minSpeed = range.min;
            limited.maxSpeed = range.max;
            found = this->findFree(limited);
            if (found)
                break;
        }
        return found;
    };
    std::optional<Placement> found;
    if (request.urgent)
        found = search(urgentSpeeds);
    else if (request.members > 1)
        found = search(nonUrgentSpeeds);
    return found ? found : this->findFree(request);
}

std::optional<Placement> Snapshot::findAfterStops(const PlacementRequest& request) const { return this->find(request, View::AfterStops); }

// Called for every unit of a round, so it returns as soon as enough members fit.
bool Snapshot::fitsWhenEmpty(const PlacementRequest& request) const
{
    const bool oneRack = request.rack.empty() && request.sameRack && request.members > 1;
    std::map<std::string_view, std::int64_t> members; // By rack if the unit needs a single rack, else one total.
    for (const SnapshotWorker& worker : this->workers) {
        if (!request.rack.empty() && worker.rack != request.rack)
            continue;
        std::int64_t& sum = members[oneRack ? std::string_view(worker.rack) : std::string_view()];
        sum += this->countFitting(worker, request, View::Empty);
        if (sum >= request.members)
            return true;
    }
    return false;
}

Snapshot::AvailableMembers Snapshot::countAvailableMembers(const PlacementRequest& request) const
{
    AvailableMembers sum;
    for (const SnapshotWorker& worker : this->workers) {
        if (this->isEligible(worker, request))
            sum.free += std::min(fittingCount(worker.free, request.perMember), request.members);
        sum.unreserved += this->countFitting(worker, request, View::Unreserved);
        sum.startable += this->countFitting(worker, request, View::Free);
        sum.afterStops += this->countFitting(worker, request, View::AfterStops);
    }
    return sum;
}

std::int64_t Snapshot::countUnusedMembers(const std::vector<SnapshotWorker>& candidates, const PlacementRequest& needs) const
{
    constexpr std::int64_t maxCounted = 1'000'000; // Members that need no resources fit without a limit.
    std::int64_t members = 0;
    for (const SnapshotWorker& worker : candidates) {
        if (!this->isEligible(worker, needs))
            continue;
        const std::int64_t count = std::min(fittingCount(worker.free, needs.perMember), maxCounted);
        members += needs.maxPerWorker > 0 ? std::min(count, needs.maxPerWorker) : count;
    }
    return members;
}

UnusedMembers Snapshot::countUnusedMembers(const PlacementRequest& request) const
{
    const PlacementRequest needs = withoutPreferences(request, preferences.back());
    const bool isShared = !needs.allowedWorkers;
    for (const detail::KnownUnusedMembers& known : this->knownUnusedMembers) {
        if (isShared && known.perMember == needs.perMember && known.maxPerWorker == needs.maxPerWorker && known.label == needs.label)
            return known.members;
    }
    const UnusedMembers members { this->countUnusedMembers(this->workers, needs), this->countUnusedMembers(this->unavailable, needs) };
    if (isShared)
        this->knownUnusedMembers.push_back({ needs.perMember, needs.maxPerWorker, needs.label, members });
    return members;
}

PlacementRequest withoutPreferences(PlacementRequest request, Preference last)
{
    request.usesReserved = true;
    if (last >= Preference::Isolation) {
        request.isolatedJob.clear();
        request.isolatedWorkers = nullptr;
    }
    if (last >= Preference::OtherWorkers)
        request.excludedWorkers = nullptr;
    if (last >= Preference::Rack) {
        request.rack.clear();
        request.sameRack = false;
    }
    request.usesUnproven = last >= Preference::ProvenWorkers;
    return request;
}

bool Snapshot::fitsOnUnpolledWorkers(const PlacementRequest& request) const
{
    std::int64_t members = 0;
    for (const SnapshotWorker& worker : this->unpolled) {
        if (request.rack.empty() || worker.rack == request.rack)
            members += this->countFitting(worker, request, View::Empty);
    }
    return members >= request.members;
}

bool FailedRequests::covers(const PlacementRequest& request) const
{
    return std::any_of(this->requests.begin(), this->requests.end(), [&](const PlacementRequest& failed) {
        // Units whose data is in the rack can use workers that are reserved for urgent
        // units, so a failed request without a rack may have searched fewer workers.
        const bool sameWorkers = failed.rack == request.rack || (failed.rack.empty() && request.urgent);
        const bool looser = sameWorkers && (!failed.sameRack || request.sameRack || !request.rack.empty());
        return failed.urgent == request.urgent && failed.members <= request.members && failed.perMember.fitsIn(request.perMember) && looser
            && (failed.label.empty() || failed.label == request.label) && failed.expectedRunTime <= request.expectedRunTime;
    });
}

void Snapshot::reserveForUrgent(std::int64_t accelerators)
{
    std::int64_t total = 0;
    std::int64_t free = 0;
    std::vector<SnapshotWorker*> bySpeed;
    for (SnapshotWorker& worker : this->workers) {
        if (worker.hasProbe)
            continue;
        total += worker.capacity.accelerators;
        free += worker.free.accelerators;
        bySpeed.push_back(&worker);
    }
    // While more than half of all accelerators are idle, there are enough for all
    // units, and excluding workers would only make large units wait.
    const bool isBusy = free * 2 <= total;
    const std::int64_t maxReserved = std::min(accelerators, total / 2);
    // Workers of one speed class are ordered by rack and id, so that whole racks are
    // reserved, and the same ones in each round.
    const auto rankOf = [this](const SnapshotWorker& worker) {
        return this->heterogeneous ? -speedTierOf({ worker.speed, worker.speedDeviation }, SpeedPreference::BestChance) : static_cast<int>(speedClassOf(worker));
    };
    std::sort(bySpeed.begin(), bySpeed.end(), [&](const SnapshotWorker* a, const SnapshotWorker* b) {
        const int left = rankOf(*a);
        const int right = rankOf(*b);
        return std::tie(right, b->rack, b->id) < std::tie(left, a->rack, a->id);
    });
    std::int64_t reserved = 0;
    for (SnapshotWorker* worker : bySpeed) {
        if (reserved >= maxReserved)
            break;
        worker->reservedForUrgent = true;
        worker->urgentOnly = isBusy;
        reserved += worker->capacity.accelerators;
    }
}

void Snapshot::allocate(const PlacementRequest& request, const Placement& placement)
{
    for (const std::size_t index : placement) {
        SnapshotWorker& worker = this->workers[index];
        worker.free -= request.perMember;
        worker.freeAfterStops -= request.perMember;
        if (worker.reservedFrom && this->now + request.expectedRunTime > *worker.reservedFrom)
            worker.freeBesideReservation -= request.perMember;
        worker.isolatedJob = request.isolatedJob;
        if (worker.isProbing)
            worker.freeAfterStops = {};
    }
}

void Snapshot::allocateAfterStops(const PlacementRequest& request, const Placement& placement)
{
    for (const std::size_t index : placement)
        this->workers[index].freeAfterStops -= request.perMember;
}

void Snapshot::markStopping(const UnitKey& unit, const std::vector<Incarnation>& incarnations)
{
    for (const Incarnation& incarnation : incarnations) {
        const auto worker = std::lower_bound(this->workers.begin(), this->workers.end(), incarnation.id, [](const SnapshotWorker& row, const std::string& id) { return row.id < id; });
        if (worker == this->workers.end() || worker->id != incarnation.id)
            continue;
        for (Allocation& allocation : worker->allocations) {
            if (allocation.stopping || !allocation.unit || *allocation.unit != unit)
                continue;
            allocation.stopping = true;
            worker->freeAfterStops += allocation.resources;
        }
    }
}

std::optional<Snapshot::Reservation> Snapshot::findReservation(const PlacementRequest& request) const
{
    // A time at which a worker can take one more member if nothing else starts there.
    struct Opening {
        Millis at;
        std::size_t index;
    };
    std::map<std::string, std::vector<Opening>> byRack;
    const bool oneRack = !request.rack.empty() || (request.sameRack && request.members > 1);
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        const SnapshotWorker& worker = this->workers[i];
        if (!this->isEligible(worker, request) || worker.reservedFrom || (!request.rack.empty() && worker.rack != request.rack))
            continue;
        std::vector<Allocation> allocations = worker.allocations;
        std::sort(allocations.begin(), allocations.end(), [&](const Allocation& a, const Allocation& b) { return this->endOf(a, request) < this->endOf(b, request); });
        Resources free = componentMin(worker.free, worker.freeAfterStops);
        // What runs being stopped leave is in freeAfterStops, less what is committed to others.
        bool hasStopped = false;
        std::int64_t counted = 0;
        std::vector<Opening>& openings = byRack[oneRack ? worker.rack : std::string()];
        const auto addOpenings = [&](Millis at) {
            std::int64_t count = std::min(fittingCount(free, request.perMember), request.members);
            if (request.maxPerWorker > 0)
                count = std::min(count, request.maxPerWorker);
            for (; counted < count; ++counted)
                openings.push_back({ at, i });
        };
        addOpenings(this->now);
        for (const Allocation& allocation : allocations) {
            if (!allocation.stopping) {
                free += allocation.resources;
            } else if (!hasStopped) {
                hasStopped = true;
                Resources stopped = worker.freeAfterStops;
                stopped -= componentMin(worker.free, worker.freeAfterStops);
                free += stopped;
            }
            addOpenings(std::max(this->endOf(allocation, request), this->now));
        }
    }
    // The rack in which all members can start earliest.
    const std::vector<Opening>* best = nullptr;
    Millis earliestStart = std::numeric_limits<Millis>::max();
    for (auto& [rack, openings] : byRack) {
        if (static_cast<std::int64_t>(openings.size()) < request.members)
            continue;
        std::stable_sort(openings.begin(), openings.end(), [](const Opening& a, const Opening& b) { return a.at < b.at; });
        const Millis at = openings[static_cast<std::size_t>(request.members - 1)].at;
        if (at < earliestStart) {
            best = &openings;
            earliestStart = at;
        }
    }
    if (!best)
        return std::nullopt;
    Reservation reservation { .at = earliestStart };
    for (std::int64_t i = 0; i < request.members; ++i)
        reservation.workers.push_back((*best)[static_cast<std::size_t>(i)].index);
    return reservation;
}

void Snapshot::reserve(const PlacementRequest& request)
{
    if (const auto reservation = this->findReservation(request))
        this->reserve(request, *reservation);
}

void Snapshot::reserve(const PlacementRequest& request, const Reservation& reservation)
{
    for (const std::size_t index : reservation.workers) {
        SnapshotWorker& worker = this->workers[index];
        if (!worker.reservedFrom) {
            worker.reservedFrom = reservation.at;
            const bool hasStops = std::any_of(worker.allocations.begin(), worker.allocations.end(), [&](const Allocation& allocation) { return allocation.stopping && allocation.expectedEnd <= reservation.at; });
            worker.freeBesideReservation = hasStops ? worker.freeAfterStops : componentMin(worker.free, worker.freeAfterStops);
            for (const Allocation& allocation : worker.allocations) {
                if (!allocation.stopping && this->endOf(allocation, request) <= reservation.at)
                    worker.freeBesideReservation += allocation.resources;
            }
        }
        worker.freeBesideReservation -= request.perMember;
    }
}

} // namespace rattan::tasks
