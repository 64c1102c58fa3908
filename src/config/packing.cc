// Pieces are placed from the most to the least constrained: those within a
// worker, largest first, then those within a rack, largest first. Pieces within
// the domain may lie anywhere, so for them only the total counts, and that is
// checked before all else. Each piece is tried on the tightest place first; a
// place that looks like one already listed for the same piece is left out, for
// it can only fail the same way. Best fit alone finds nearly every packing there
// is, and is tried first. If it runs into a dead end, the search begins anew with
// backtracking, which makes a "no" a proof, and gives up every partial packing
// that a count shows to be hopeless: pieces of at least some size need as many
// places of that size as there are such pieces.
//
// The search keeps its own stack: thousands of pieces would overflow that of a
// thread that serves HTTP.

#include "config/packing.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace rattan::config {

namespace {

    struct Rack {
        RackCapacity workers; // Ascending, so that racks alike compare equal.
        std::int64_t free { 0 };

        bool operator==(const Rack&) const = default;
        bool operator<(const Rack& other) const { return std::tie(this->free, this->workers) < std::tie(other.free, other.workers); }
    };

    // Sorting a rack in costs about as much as looking at so many.
    constexpr std::int64_t stepsPerRackSorted = 16;

    // Bounds the memory of a search to a few megabytes.
    constexpr std::int64_t maxSearchedStatesSize = 200000;

    struct Place {
        std::size_t rack;
        std::size_t worker; // Unused for a piece within a rack.
    };

    // One piece with the places still to try for it.
    struct Level {
        std::vector<Place> places;
        std::size_t nextPlace { 0 };
        Rack rackBefore; // The rack of the place being tried, as it was.
    };

    // Racks with the same free total. Once a piece within a rack is placed, all
    // within a worker lie already, and only the total still matters.
    bool isEquivalent(const Piece& piece, const Rack& a, const Rack& b) { return piece.within == Adjacency::Rack || a == b; }

    class Search {
    public:
        Search(std::vector<Rack> racks, std::vector<Piece> pieces, std::int64_t stepsLeft)
            : racks(std::move(racks))
            , pieces(std::move(pieces))
            , stepsLeft(stepsLeft)
        {
        }

        std::int64_t remainingSteps() const { return this->stepsLeft; }

        Fit run()
        {
            if (this->pieces.empty())
                return Fit::Fits;
            const Fit greedy = this->search(false);
            return greedy == Fit::DoesNotFit ? this->search(true) : greedy;
        }

    private:
        // Without backtracking, DoesNotFit only says that best fit found nothing.
        Fit search(bool canBacktrack)
        {
            if (canBacktrack && this->isInfeasible(0))
                return Fit::DoesNotFit;
            this->pushLevel();
            while (!this->levels.empty()) {
                if (this->stepsLeft < 0)
                    return Fit::Undecided;
                Level& level = this->levels.back();
                if (level.nextPlace > 0)
                    this->racks[level.places[level.nextPlace - 1].rack] = level.rackBefore;
                if (level.nextPlace == level.places.size() || (!canBacktrack && level.nextPlace > 0)) {
                    this->levels.pop_back();
                    continue;
                }
                this->placePiece(level);
                if (this->levels.size() == this->pieces.size())
                    return Fit::Fits;
                if (!canBacktrack || (!this->isInfeasible(this->levels.size()) && this->addStateIfNew()))
                    this->pushLevel();
            }
            return Fit::DoesNotFit;
        }

        // Pieces alike can be placed in many orders that leave the same room. What
        // was tried from such a state once has failed and would fail again.
        bool addStateIfNew()
        {
            std::vector<Rack> state = this->racks;
            std::sort(state.begin(), state.end());
            std::int64_t size = 0;
            for (const Rack& rack : state)
                size += static_cast<std::int64_t>(rack.workers.size()) + 1;
            this->stepsLeft -= size;
            if (this->searchedStatesSize + size > maxSearchedStatesSize)
                return !this->searchedStates.contains({ this->levels.size(), std::move(state) });
            const bool isNew = this->searchedStates.emplace(this->levels.size(), std::move(state)).second;
            this->searchedStatesSize += isNew ? size : 0;
            return isNew;
        }

        // Whether the pieces from `first` on cannot all be placed, by counting alone.
        bool isInfeasible(std::size_t first)
        {
            std::size_t groupStart = first; // Where the pieces within the same kind of place begin.
            for (std::size_t i = first; i < this->pieces.size(); ++i) {
                if (this->pieces[i].within != this->pieces[groupStart].within)
                    groupStart = i;
                const bool isLastOfSize = i + 1 == this->pieces.size() || this->pieces[i + 1].accelerators != this->pieces[i].accelerators
                    || this->pieces[i + 1].within != this->pieces[i].within;
                if (isLastOfSize && this->countPlaces(this->pieces[i]) < static_cast<std::int64_t>(i - groupStart + 1))
                    return true;
            }
            return false;
        }

        // How many pieces of this size there is room for.
        std::int64_t countPlaces(const Piece& piece)
        {
            std::int64_t count = 0;
            for (const Rack& rack : this->racks) {
                if (piece.within == Adjacency::Rack) {
                    count += rack.free / piece.accelerators;
                    continue;
                }
                this->stepsLeft -= static_cast<std::int64_t>(rack.workers.size());
                for (const std::int64_t free : rack.workers)
                    count += free / piece.accelerators;
            }
            this->stepsLeft -= static_cast<std::int64_t>(this->racks.size());
            return count;
        }

        void pushLevel()
        {
            Level level;
            level.places = this->candidatePlaces(this->pieces[this->levels.size()]);
            this->levels.push_back(std::move(level));
        }

        void placePiece(Level& level)
        {
            const Place place = level.places[level.nextPlace++];
            const Piece& piece = this->pieces[this->levels.size() - 1];
            Rack& rack = this->racks[place.rack];
            level.rackBefore = rack;
            rack.free -= piece.accelerators;
            if (piece.within == Adjacency::Rack)
                return;
            rack.workers[place.worker] -= piece.accelerators;
            std::sort(rack.workers.begin(), rack.workers.end());
        }

        std::vector<Place> candidatePlaces(const Piece& piece)
        {
            this->stepsLeft -= stepsPerRackSorted * static_cast<std::int64_t>(this->racks.size());
            std::vector<Place> places;
            std::vector<std::size_t> distinctRacks; // Racks with the same free total, no two alike.
            for (const std::size_t index : this->racksTightestFirst(piece.accelerators)) {
                const Rack& rack = this->racks[index];
                if (!distinctRacks.empty() && this->racks[distinctRacks.front()].free != rack.free)
                    distinctRacks.clear();
                if (std::any_of(distinctRacks.begin(), distinctRacks.end(), [&](std::size_t other) { return isEquivalent(piece, this->racks[other], rack); }))
                    continue;
                distinctRacks.push_back(index);
                if (piece.within == Adjacency::Rack)
                    places.push_back({ index, 0 });
                else
                    addWorkerPlaces(rack, index, piece.accelerators, places);
            }
            return places;
        }

        static void addWorkerPlaces(const Rack& rack, std::size_t index, std::int64_t minFree, std::vector<Place>& places)
        {
            std::int64_t previousFree = -1;
            for (std::size_t i = 0; i < rack.workers.size(); ++i) {
                if (rack.workers[i] >= minFree && rack.workers[i] != previousFree)
                    places.push_back({ index, i });
                previousFree = rack.workers[i];
            }
        }

        std::vector<std::size_t> racksTightestFirst(std::int64_t minFree) const
        {
            std::vector<std::size_t> order;
            for (std::size_t i = 0; i < this->racks.size(); ++i) {
                if (this->racks[i].free >= minFree)
                    order.push_back(i);
            }
            std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) { return this->racks[a].free < this->racks[b].free; });
            return order;
        }

        std::vector<Rack> racks;
        std::vector<Piece> pieces;
        std::int64_t stepsLeft;
        std::set<std::pair<std::size_t, std::vector<Rack>>> searchedStates; // With the number of pieces placed.
        std::int64_t searchedStatesSize { 0 };
        std::vector<Level> levels;
    };

    // Worker before rack; larger before smaller.
    bool isPlacedBefore(const Piece& a, const Piece& b)
    {
        if (a.within != b.within)
            return a.within < b.within;
        return a.accelerators > b.accelerators;
    }

    // A piece of one accelerator fits wherever anything is free, and a piece
    // within the domain lies anywhere: the total speaks for both.
    bool isCoveredByTotal(const Piece& piece) { return piece.within == Adjacency::Domain || piece.accelerators <= 1; }

} // namespace

Fit fits(std::vector<RackCapacity> capacities, std::vector<Piece> pieces, SearchBudget& budget)
{
    std::vector<Rack> racks;
    std::int64_t free = 0;
    for (RackCapacity& capacity : capacities) {
        std::sort(capacity.begin(), capacity.end());
        const std::int64_t total = std::accumulate(capacity.begin(), capacity.end(), std::int64_t { 0 });
        free += total;
        racks.push_back({ std::move(capacity), total });
    }
    for (const Piece& piece : pieces)
        free -= piece.accelerators;
    if (free < 0)
        return Fit::DoesNotFit;
    std::erase_if(pieces, isCoveredByTotal);
    std::stable_sort(pieces.begin(), pieces.end(), isPlacedBefore);
    const std::int64_t searchSteps = std::min(SearchBudget::maxStepsPerSearch, budget.stepsLeft);
    Search search(std::move(racks), std::move(pieces), searchSteps);
    const Fit fit = search.run();
    budget.stepsLeft -= searchSteps - search.remainingSteps();
    return fit;
}

} // namespace rattan::config
