// Members are placed one after the other on the worker that is left with least:
// fewest free accelerators, then least free memory. For members of equal size
// this packs as tightly as trying all orders would, since only how many fit on
// each worker counts. A gang that must share a rack takes the fullest rack that
// holds it, so that empty racks stay whole for larger gangs.

#include "tasks/placing.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <string_view>
#include <tuple>

namespace rattan::tasks {

namespace {

    // Workers between these are of the usual speed. Estimates are off by about a
    // twentieth once a worker has ended a dozen runs.
    constexpr double usualFrom = 0.92;
    constexpr double fastFrom = 1.1;
    constexpr double anyPace = 100;

    constexpr std::int64_t noLimit = std::numeric_limits<std::int64_t>::max() / 4;

    std::int64_t timesIn(std::int64_t have, std::int64_t each)
    {
        if (each <= 0)
            return noLimit;
        return have < 0 ? 0 : have / each;
    }

    std::int64_t timesIn(const Room& have, const Room& each)
    {
        return std::min({ timesIn(have.milliCores, each.milliCores), timesIn(have.memoryMb, each.memoryMb),
            timesIn(have.accelerators, each.accelerators) });
    }

    Room smaller(const Room& left, const Room& right)
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

    enum class Pace {
        Slow,
        Usual,
        Fast,
    };

    Pace paceOf(const SnapshotWorker& worker)
    {
        if (worker.speed < usualFrom)
            return Pace::Slow;
        return worker.speed < fastFrom ? Pace::Usual : Pace::Fast;
    }

    // Of a worker once a member was placed on it: smaller is the better choice.
    struct Leftover {
        bool unwanted; // Kept for others, or not where urgent units are wanted.
        std::int64_t accelerators;
        std::int64_t memoryMb;

        // clang-tidy 14 takes the zero that a defaulted comparison is held against for a pointer.
        auto operator<=>(const Leftover&) const = default; // NOLINT(modernize-use-nullptr)
    };

} // namespace

bool Snapshot::suits(const SnapshotWorker& worker, const PlacementRequest& request) const
{
    if (!request.label.empty() && !contains(worker.labels, request.label))
        return false;
    if (request.allowed && !request.allowed->contains(worker.id))
        return false;
    return !contains(request.avoid, worker.id);
}

bool Snapshot::respectsIsolation(const SnapshotWorker& worker, const PlacementRequest& request) const
{
    if (request.isolatedFor.empty())
        return worker.isolatedFor.empty();
    if (request.isolation)
        return request.isolation->contains(worker.id);
    return worker.isolatedFor.empty() && worker.allocations.empty() && worker.free == worker.capacity;
}

bool Snapshot::respectsPromise(const SnapshotWorker& worker, const PlacementRequest& request, std::int64_t count) const
{
    if (!worker.promisedFrom || this->now + request.expected <= *worker.promisedFrom)
        return true;
    return request.each.times(count).within(worker.leftThen);
}

std::int64_t Snapshot::fits(const SnapshotWorker& worker, const PlacementRequest& request, View view) const
{
    if (!this->suits(worker, request))
        return 0;
    if (view != View::Empty && (worker.speed < request.leastSpeed || worker.speed > request.mostSpeed))
        return 0;
    if (view != View::Empty && !this->respectsIsolation(worker, request))
        return 0;
    const bool closed = worker.closed && !request.urgent && worker.rack != request.rack;
    if (closed && view != View::Empty)
        return 0;
    const Room have = view == View::Empty ? worker.capacity : view == View::AfterStops ? worker.afterStops
                                                                                       : smaller(worker.free, worker.afterStops);
    std::int64_t count = std::min(timesIn(have, request.each), request.members);
    if (request.mostPerWorker > 0) {
        std::int64_t already = 0;
        if (request.siblings && view != View::Empty)
            already = countAt(*request.siblings, worker.id);
        count = std::min(count, std::max<std::int64_t>(request.mostPerWorker - already, 0));
    }
    if (worker.oneMore && view != View::Empty)
        count = std::min<std::int64_t>(count, 1);
    if (view == View::Free) {
        while (count > 0 && !this->respectsPromise(worker, request, count))
            --count;
    }
    return count;
}

std::optional<Places> Snapshot::findWithin(const PlacementRequest& request, View view, const std::string* rack) const
{
    struct Choice {
        std::size_t index;
        std::int64_t count;
        Leftover leftover;
    };
    std::vector<Choice> choices;
    std::int64_t total = 0;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        const SnapshotWorker& worker = this->workers[i];
        if (rack && worker.rack != *rack)
            continue;
        const std::int64_t count = this->fits(worker, request, view);
        if (count <= 0)
            continue;
        const Room& have = view == View::AfterStops ? worker.afterStops : worker.free;
        choices.push_back({ i, count, { worker.kept != request.urgent, have.accelerators - count * request.each.accelerators, have.memoryMb - count * request.each.memoryMb } });
        total += count;
    }
    if (total < request.members)
        return std::nullopt;
    if (request.members == 1)
        return Places { std::min_element(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.leftover < b.leftover; })->index };
    std::stable_sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.leftover < b.leftover; });
    Places places;
    for (const Choice& choice : choices) {
        for (std::int64_t i = 0; i < choice.count && static_cast<std::int64_t>(places.size()) < request.members; ++i)
            places.push_back(choice.index);
    }
    return places;
}

std::optional<Places> Snapshot::find(const PlacementRequest& request, View view) const
{
    if (!request.rack.empty())
        return this->findWithin(request, view, &request.rack);
    if (!request.sameRack || request.members == 1)
        return this->findWithin(request, view, nullptr);
    struct RackRoom {
        std::int64_t members { 0 };
        std::int64_t kept { 0 }; // Workers.
        std::int64_t workers { 0 };
    };
    std::map<std::string, RackRoom> racks;
    for (const SnapshotWorker& worker : this->workers) {
        RackRoom& room = racks[worker.rack];
        room.members += this->fits(worker, request, view);
        room.kept += worker.kept ? 1 : 0;
        ++room.workers;
    }
    const std::string* best = nullptr;
    std::pair<bool, std::int64_t> least { true, noLimit };
    for (const auto& [rack, room] : racks) {
        const std::pair<bool, std::int64_t> rank { (room.kept * 2 > room.workers) != request.urgent, room.members };
        if (room.members >= request.members && rank < least) {
            best = &rack;
            least = rank;
        }
    }
    return best ? this->findWithin(request, view, best) : std::nullopt;
}

std::optional<Places> Snapshot::findFree(const PlacementRequest& request) const { return this->find(request, View::Free); }

std::optional<Places> Snapshot::findFreeAtPace(const PlacementRequest& request) const
{
    struct Range {
        double least;
        double most;
    };
    constexpr std::array<Range, 2> urgentPaces { { { fastFrom, anyPace }, { usualFrom, anyPace } } };
    constexpr std::array<Range, 3> patientPaces { { { 0, usualFrom }, { usualFrom, fastFrom }, { usualFrom, anyPace } } };
    const auto search = [&](const auto& paces) {
        std::optional<Places> found;
        for (const Range& pace : paces) {
            PlacementRequest paced = request;
            paced.leastSpeed = pace.least;
            paced.mostSpeed = pace.most;
            found = this->findFree(paced);
            if (found)
                break;
        }
        return found;
    };
    std::optional<Places> found;
    if (request.urgent)
        found = search(urgentPaces);
    else if (request.members > 1)
        found = search(patientPaces);
    return found ? found : this->findFree(request);
}

std::optional<Places> Snapshot::findAfterStops(const PlacementRequest& request) const { return this->find(request, View::AfterStops); }

// Asked for every unit of a round, so it looks no further than it must.
bool Snapshot::couldEverFit(const PlacementRequest& request) const
{
    const bool oneRack = request.rack.empty() && request.sameRack && request.members > 1;
    std::map<std::string_view, std::int64_t> members; // By rack, or of all.
    for (const SnapshotWorker& worker : this->workers) {
        if (!request.rack.empty() && worker.rack != request.rack)
            continue;
        std::int64_t& sum = members[oneRack ? std::string_view(worker.rack) : std::string_view()];
        sum += this->fits(worker, request, View::Empty);
        if (sum >= request.members)
            return true;
    }
    return false;
}

Snapshot::Offered Snapshot::offered(const PlacementRequest& request) const
{
    Offered sum;
    for (const SnapshotWorker& worker : this->workers) {
        if (this->suits(worker, request))
            sum.free += std::min(timesIn(worker.free, request.each), request.members);
        sum.unreserved += this->fits(worker, request, View::Unreserved);
        sum.now += this->fits(worker, request, View::Free);
        sum.afterStops += this->fits(worker, request, View::AfterStops);
    }
    return sum;
}

bool Snapshot::couldFitUnpolled(const PlacementRequest& request) const
{
    std::int64_t members = 0;
    for (const SnapshotWorker& worker : this->unpolled) {
        if (request.rack.empty() || worker.rack == request.rack)
            members += this->fits(worker, request, View::Empty);
    }
    return members >= request.members;
}

bool FailedRequests::cover(const PlacementRequest& request) const
{
    return std::any_of(this->asks.begin(), this->asks.end(), [&](const PlacementRequest& failed) {
        // Workers that are kept for urgent units are open to those whose data lies beside them.
        const bool sameWorkers = failed.rack == request.rack || (failed.rack.empty() && request.urgent);
        const bool looser = sameWorkers && (!failed.sameRack || request.sameRack || !request.rack.empty());
        return failed.urgent == request.urgent && failed.members <= request.members && failed.each.within(request.each) && looser
            && (failed.label.empty() || failed.label == request.label) && failed.expected <= request.expected;
    });
}

void Snapshot::keep(std::int64_t accelerators)
{
    std::int64_t total = 0;
    std::int64_t free = 0;
    std::vector<SnapshotWorker*> byPace;
    for (SnapshotWorker& worker : this->workers) {
        total += worker.capacity.accelerators;
        free += worker.free.accelerators;
        byPace.push_back(&worker);
    }
    // With half of everything idle there is room for all; closing some would only
    // make large units wait for nothing.
    const bool closes = free * 2 <= total;
    const std::int64_t most = std::min(accelerators, total / 2);
    // Among workers of one pace by rack and name, so that whole racks are kept, and
    // the same ones from one round to the next.
    std::sort(byPace.begin(), byPace.end(), [](const SnapshotWorker* a, const SnapshotWorker* b) {
        const Pace left = paceOf(*a);
        const Pace right = paceOf(*b);
        return std::tie(right, b->rack, b->id) < std::tie(left, a->rack, a->id);
    });
    std::int64_t kept = 0;
    for (SnapshotWorker* worker : byPace) {
        if (kept >= most)
            break;
        worker->kept = true;
        worker->closed = closes;
        kept += worker->capacity.accelerators;
    }
}

void Snapshot::take(const PlacementRequest& request, const Places& places)
{
    for (const std::size_t index : places) {
        SnapshotWorker& worker = this->workers[index];
        worker.free -= request.each;
        worker.afterStops -= request.each;
        if (worker.promisedFrom && this->now + request.expected > *worker.promisedFrom)
            worker.leftThen -= request.each;
        worker.isolatedFor = request.isolatedFor;
        if (worker.oneMore)
            worker.afterStops = {};
    }
}

void Snapshot::promise(const PlacementRequest& request, const Places& places)
{
    for (const std::size_t index : places)
        this->workers[index].afterStops -= request.each;
}

void Snapshot::markEnding(const UnitKey& unit, const std::vector<Incarnation>& incarnations)
{
    for (const Incarnation& incarnation : incarnations) {
        const auto worker = std::lower_bound(this->workers.begin(), this->workers.end(), incarnation.id, [](const SnapshotWorker& row, const std::string& id) { return row.id < id; });
        if (worker == this->workers.end() || worker->id != incarnation.id)
            continue;
        for (Allocation& allocation : worker->allocations) {
            if (allocation.ending || !allocation.unit || *allocation.unit != unit)
                continue;
            allocation.ending = true;
            worker->afterStops += allocation.room;
        }
    }
}

void Snapshot::reserve(const PlacementRequest& request)
{
    // When would each worker have room for one member, if nothing new started?
    struct Opening {
        Millis at;
        std::size_t index;
    };
    std::map<std::string, std::vector<Opening>> byRack;
    const bool oneRack = !request.rack.empty() || (request.sameRack && request.members > 1);
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        const SnapshotWorker& worker = this->workers[i];
        if (!this->suits(worker, request) || worker.promisedFrom || (!request.rack.empty() && worker.rack != request.rack))
            continue;
        std::vector<Allocation> allocations = worker.allocations;
        std::sort(allocations.begin(), allocations.end(), [](const Allocation& a, const Allocation& b) { return a.endsAt < b.endsAt; });
        Room room = smaller(worker.free, worker.afterStops);
        std::int64_t counted = 0;
        std::vector<Opening>& openings = byRack[oneRack ? worker.rack : std::string()];
        const auto open = [&](Millis at) {
            std::int64_t count = std::min(timesIn(room, request.each), request.members);
            if (request.mostPerWorker > 0)
                count = std::min(count, request.mostPerWorker);
            for (; counted < count; ++counted)
                openings.push_back({ at, i });
        };
        open(this->now);
        for (const Allocation& allocation : allocations) {
            room += allocation.room;
            open(std::max(allocation.endsAt, this->now));
        }
    }
    // The rack in which all members can begin first.
    const std::vector<Opening>* best = nullptr;
    Millis bestAt = std::numeric_limits<Millis>::max();
    for (auto& [rack, openings] : byRack) {
        if (static_cast<std::int64_t>(openings.size()) < request.members)
            continue;
        std::stable_sort(openings.begin(), openings.end(), [](const Opening& a, const Opening& b) { return a.at < b.at; });
        const Millis at = openings[static_cast<std::size_t>(request.members - 1)].at;
        if (at < bestAt) {
            best = &openings;
            bestAt = at;
        }
    }
    if (!best)
        return;
    for (std::int64_t i = 0; i < request.members; ++i) {
        SnapshotWorker& worker = this->workers[(*best)[static_cast<std::size_t>(i)].index];
        if (!worker.promisedFrom) {
            worker.promisedFrom = bestAt;
            worker.leftThen = smaller(worker.free, worker.afterStops);
            for (const Allocation& allocation : worker.allocations) {
                if (allocation.endsAt <= bestAt)
                    worker.leftThen += allocation.room;
            }
        }
        worker.leftThen -= request.each;
    }
}

} // namespace rattan::tasks
