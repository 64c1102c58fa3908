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

    enum class Pace {
        Slow,
        Usual,
        Fast,
    };

    Pace paceOf(const FloorWorker& worker)
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

bool Floor::suits(const FloorWorker& worker, const Ask& ask) const
{
    if (!ask.label.empty() && !contains(worker.labels, ask.label))
        return false;
    if (ask.allowed && !ask.allowed->contains(worker.id))
        return false;
    return !contains(ask.avoid, worker.id);
}

bool Floor::respectsPromise(const FloorWorker& worker, const Ask& ask, std::int64_t count) const
{
    if (!worker.promisedFrom || this->now + ask.expected <= *worker.promisedFrom)
        return true;
    return ask.each.times(count).within(worker.leftThen);
}

std::int64_t Floor::fits(const FloorWorker& worker, const Ask& ask, View view) const
{
    if (!this->suits(worker, ask))
        return 0;
    if (view != View::Empty && (worker.speed < ask.leastSpeed || worker.speed > ask.mostSpeed))
        return 0;
    const bool closed = worker.closed && !ask.urgent && worker.rack != ask.rack;
    if (closed && view != View::Empty)
        return 0;
    const Room have = view == View::Empty ? worker.capacity : view == View::Soon ? worker.soon
                                                                                 : smaller(worker.free, worker.soon);
    std::int64_t count = std::min(timesIn(have, ask.each), ask.members);
    if (ask.mostPerWorker > 0) {
        std::int64_t already = 0;
        if (ask.siblings && view != View::Empty)
            already = std::count(ask.siblings->begin(), ask.siblings->end(), worker.id);
        count = std::min(count, std::max<std::int64_t>(ask.mostPerWorker - already, 0));
    }
    if (worker.oneMore && view != View::Empty)
        count = std::min<std::int64_t>(count, 1);
    if (view == View::Free) {
        while (count > 0 && !this->respectsPromise(worker, ask, count))
            --count;
    }
    return count;
}

std::optional<Places> Floor::findWithin(const Ask& ask, View view, const std::string* rack) const
{
    struct Choice {
        std::size_t index;
        std::int64_t count;
        Leftover leftover;
    };
    std::vector<Choice> choices;
    std::int64_t total = 0;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        const FloorWorker& worker = this->workers[i];
        if (rack && worker.rack != *rack)
            continue;
        const std::int64_t count = this->fits(worker, ask, view);
        if (count <= 0)
            continue;
        const Room& have = view == View::Soon ? worker.soon : worker.free;
        choices.push_back({ i, count, { worker.kept != ask.urgent, have.accelerators - count * ask.each.accelerators, have.memoryMb - count * ask.each.memoryMb } });
        total += count;
    }
    if (total < ask.members)
        return std::nullopt;
    std::stable_sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) { return a.leftover < b.leftover; });
    Places places;
    for (const Choice& choice : choices) {
        for (std::int64_t i = 0; i < choice.count && static_cast<std::int64_t>(places.size()) < ask.members; ++i)
            places.push_back(choice.index);
    }
    return places;
}

std::optional<Places> Floor::find(const Ask& ask, View view) const
{
    if (!ask.rack.empty())
        return this->findWithin(ask, view, &ask.rack);
    if (!ask.sameRack || ask.members == 1)
        return this->findWithin(ask, view, nullptr);
    struct RackRoom {
        std::int64_t members { 0 };
        std::int64_t kept { 0 }; // Workers.
        std::int64_t workers { 0 };
    };
    std::map<std::string, RackRoom> racks;
    for (const FloorWorker& worker : this->workers) {
        RackRoom& room = racks[worker.rack];
        room.members += this->fits(worker, ask, view);
        room.kept += worker.kept ? 1 : 0;
        ++room.workers;
    }
    const std::string* best = nullptr;
    std::pair<bool, std::int64_t> least { true, noLimit };
    for (const auto& [rack, room] : racks) {
        const std::pair<bool, std::int64_t> rank { (room.kept * 2 > room.workers) != ask.urgent, room.members };
        if (room.members >= ask.members && rank < least) {
            best = &rack;
            least = rank;
        }
    }
    return best ? this->findWithin(ask, view, best) : std::nullopt;
}

std::optional<Places> Floor::findFree(const Ask& ask) const { return this->find(ask, View::Free); }

std::optional<Places> Floor::findFreeAtPace(const Ask& ask) const
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
            Ask paced = ask;
            paced.leastSpeed = pace.least;
            paced.mostSpeed = pace.most;
            found = this->findFree(paced);
            if (found)
                break;
        }
        return found;
    };
    std::optional<Places> found;
    if (ask.urgent)
        found = search(urgentPaces);
    else if (ask.members > 1)
        found = search(patientPaces);
    return found ? found : this->findFree(ask);
}

std::optional<Places> Floor::findSoon(const Ask& ask) const { return this->find(ask, View::Soon); }

bool Floor::couldEverFit(const Ask& ask) const { return this->find(ask, View::Empty).has_value(); }

bool Floor::couldFitUnasked(const Ask& ask) const
{
    std::int64_t members = 0;
    for (const FloorWorker& worker : this->unasked) {
        if (ask.rack.empty() || worker.rack == ask.rack)
            members += this->fits(worker, ask, View::Empty);
    }
    return members >= ask.members;
}

bool FailedAsks::cover(const Ask& ask) const
{
    return std::any_of(this->asks.begin(), this->asks.end(), [&](const Ask& failed) {
        const bool looser = (failed.rack.empty() || failed.rack == ask.rack) && (!failed.sameRack || ask.sameRack || !ask.rack.empty());
        return failed.urgent == ask.urgent && failed.members <= ask.members && failed.each.within(ask.each) && looser
            && (failed.label.empty() || failed.label == ask.label) && failed.expected <= ask.expected;
    });
}

void Floor::keep(std::int64_t accelerators)
{
    std::int64_t total = 0;
    std::int64_t free = 0;
    std::vector<FloorWorker*> byPace;
    for (FloorWorker& worker : this->workers) {
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
    std::sort(byPace.begin(), byPace.end(), [](const FloorWorker* a, const FloorWorker* b) {
        return std::tuple(paceOf(*b), b->rack, b->id) < std::tuple(paceOf(*a), a->rack, a->id);
    });
    std::int64_t kept = 0;
    for (FloorWorker* worker : byPace) {
        if (kept >= most)
            break;
        worker->kept = true;
        worker->closed = closes;
        kept += worker->capacity.accelerators;
    }
}

void Floor::take(const Ask& ask, const Places& places)
{
    for (const std::size_t index : places) {
        FloorWorker& worker = this->workers[index];
        worker.free -= ask.each;
        worker.soon -= ask.each;
        if (worker.promisedFrom && this->now + ask.expected > *worker.promisedFrom)
            worker.leftThen -= ask.each;
        if (worker.oneMore)
            worker.soon = {};
    }
}

void Floor::promise(const Ask& ask, const Places& places)
{
    for (const std::size_t index : places)
        this->workers[index].soon -= ask.each;
}

void Floor::reserve(const Ask& ask)
{
    // When would each worker have room for one member, if nothing new started?
    struct Opening {
        Millis at;
        std::size_t index;
    };
    std::map<std::string, std::vector<Opening>> byRack;
    const bool oneRack = !ask.rack.empty() || (ask.sameRack && ask.members > 1);
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        const FloorWorker& worker = this->workers[i];
        if (!this->suits(worker, ask) || worker.promisedFrom || (!ask.rack.empty() && worker.rack != ask.rack))
            continue;
        std::vector<Holder> holders = worker.holders;
        std::sort(holders.begin(), holders.end(), [](const Holder& a, const Holder& b) { return a.endsAt < b.endsAt; });
        Room room = smaller(worker.free, worker.soon);
        std::int64_t counted = 0;
        std::vector<Opening>& openings = byRack[oneRack ? worker.rack : std::string()];
        const auto open = [&](Millis at) {
            std::int64_t count = std::min(timesIn(room, ask.each), ask.members);
            if (ask.mostPerWorker > 0)
                count = std::min(count, ask.mostPerWorker);
            for (; counted < count; ++counted)
                openings.push_back({ at, i });
        };
        open(this->now);
        for (const Holder& holder : holders) {
            room += holder.room;
            open(std::max(holder.endsAt, this->now));
        }
    }
    // The rack in which all members can begin first.
    const std::vector<Opening>* best = nullptr;
    Millis bestAt = std::numeric_limits<Millis>::max();
    for (auto& [rack, openings] : byRack) {
        if (static_cast<std::int64_t>(openings.size()) < ask.members)
            continue;
        std::stable_sort(openings.begin(), openings.end(), [](const Opening& a, const Opening& b) { return a.at < b.at; });
        const Millis at = openings[static_cast<std::size_t>(ask.members - 1)].at;
        if (at < bestAt) {
            best = &openings;
            bestAt = at;
        }
    }
    if (!best)
        return;
    for (std::int64_t i = 0; i < ask.members; ++i) {
        FloorWorker& worker = this->workers[(*best)[static_cast<std::size_t>(i)].index];
        if (!worker.promisedFrom) {
            worker.promisedFrom = bestAt;
            worker.leftThen = smaller(worker.free, worker.soon);
            for (const Holder& holder : worker.holders) {
                if (holder.endsAt <= bestAt)
                    worker.leftThen += holder.room;
            }
        }
        worker.leftThen -= ask.each;
    }
}

} // namespace rattan::tasks
