// Pieces are placed from the most to the least constrained: those within a
// worker, largest first, then those within a rack, largest first. Pieces within
// the domain may lie anywhere, so only the total matters for them, and the total
// is checked before the search. Each piece is tried on the tightest place first
// (best fit). A place equivalent to one already listed for the same piece is
// skipped, because it would fail in the same way.
//
// Best fit without backtracking finds nearly every packing that exists and is
// tried first. If it fails, a search with backtracking follows, whose DoesNotFit
// is a proof. It abandons every partial packing that counting proves infeasible:
// pieces of at least some size need as many places of that size as there are
// such pieces.
//
// The search is iterative with an explicit stack, because recursion over thousands
// of pieces would overflow the stack of a thread that serves HTTP.

#include "config/packing.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace rattan::config {

namespace {

    struct Rack {
        RackCapacity workers; // Sorted ascending, so that equivalent racks compare equal.
        std::int64_t free { 0 };

        bool operator==(const Rack&) const = default;
        bool operator<(const Rack& other) const { return std::tie(this->free, this->workers) < std::tie(other.free, other.workers); }
    };

    // The approximate cost of sorting one rack into the order of candidates, in steps.
    constexpr std::int64_t stepsPerRackSorted = 16;

    // The number of integers held in searched states; limits the memory of a search to a few megabytes.
    constexpr std::int64_t maxSearchedStatesSize = 200000;

    struct Place {
        std::size_t rack;
        std::size_t worker; // Unused for a piece within a rack.
    };

    // One level of the search: a piece and its candidate places, of which those from nextPlace on are untried.
    struct Level {
        std::vector<Place> places;
        std::size_t nextPlace { 0 };
        Rack rackBefore; // The rack of the place being tried, before the piece was placed.
    };

    // Whether placing the piece in either rack leads to the same result; both must have the
    // same free total. For a piece within a rack the total is enough, because all
    // pieces within a worker are placed before it.
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
        // Without backtracking, DoesNotFit only means that best fit found no packing.
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

        // Adds the current state to the searched states; returns false if it was already there.
        // Equal pieces can be placed in many orders that leave the same free accelerators.
        // A search from a state that was searched before would fail again. A new state is
        // not stored if the searched states would exceed maxSearchedStatesSize, but the
        // search still continues from it.
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

        // Whether counting alone proves that the pieces from `first` on cannot all be placed.
        bool isInfeasible(std::size_t first)
        {
            std::size_t groupStart = first; // Index of the first piece with the same adjacency.
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

        // The number of pieces of this size that fit.
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
            std::vector<std::size_t> distinctRacks; // Racks with the current free total, no two equivalent.
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
        std::set<std::pair<std::size_t, std::vector<Rack>>> searchedStates; // Each with the number of pieces placed.
        std::int64_t searchedStatesSize { 0 };
        std::vector<Level> levels;
    };

    // Orders pieces within a worker before pieces within a rack, and larger before smaller ones.
    bool isPlacedBefore(const Piece& a, const Piece& b)
    {
        if (a.within != b.within)
            return a.within < b.within;
        return a.accelerators > b.accelerators;
    }

    // Whether the check of the total is sufficient for this piece: a piece of one
    // accelerator fits wherever an accelerator is free, and a piece within the domain
    // may be spread over all workers.
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
