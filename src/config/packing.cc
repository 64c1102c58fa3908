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

namespace rattan::config {

namespace {

    struct Rack {
        RackRoom workers; // Ascending, so that racks alike compare equal.
        std::int64_t free { 0 };

        bool operator==(const Rack&) const = default;
    };

    // Sorting a rack in costs about as much as looking at so many.
    constexpr std::int64_t looksToSortOne = 16;

    struct Place {
        std::size_t rack;
        std::size_t worker; // Unused for a piece within a rack.
    };

    // One piece with the places still to try for it.
    struct Level {
        std::vector<Place> places;
        std::size_t next { 0 };
        Rack before; // The rack of the place being tried, as it was.
    };

    // Racks with the same free total. Once a piece within a rack is placed, all
    // within a worker lie already, and only the total still matters.
    bool isAlike(const Piece& piece, const Rack& a, const Rack& b) { return piece.within == Adjacency::Rack || a == b; }

    class Search {
    public:
        Search(std::vector<Rack> racks, std::vector<Piece> pieces, std::int64_t looksLeft)
            : racks(std::move(racks))
            , pieces(std::move(pieces))
            , looksLeft(looksLeft)
        {
        }

        std::int64_t left() const { return this->looksLeft; }

        Fit run()
        {
            if (this->pieces.empty())
                return Fit::Fits;
            const Fit greedy = this->search(false);
            return greedy == Fit::DoesNotFit ? this->search(true) : greedy;
        }

    private:
        // Without backtracking, DoesNotFit only says that best fit found nothing.
        Fit search(bool backtracks)
        {
            if (backtracks && this->isHopeless(0))
                return Fit::DoesNotFit;
            this->descend();
            while (!this->levels.empty()) {
                if (this->looksLeft < 0)
                    return Fit::Undecided;
                Level& level = this->levels.back();
                if (level.next > 0)
                    this->racks[level.places[level.next - 1].rack] = level.before;
                if (level.next == level.places.size() || (!backtracks && level.next > 0)) {
                    this->levels.pop_back();
                    continue;
                }
                this->take(level);
                if (this->levels.size() == this->pieces.size())
                    return Fit::Fits;
                if (!backtracks || !this->isHopeless(this->levels.size()))
                    this->descend();
            }
            return Fit::DoesNotFit;
        }

        // Whether the pieces from `first` on cannot all be placed, by counting alone.
        bool isHopeless(std::size_t first)
        {
            std::size_t run = first; // Where the pieces within the same kind of place begin.
            for (std::size_t i = first; i < this->pieces.size(); ++i) {
                if (this->pieces[i].within != this->pieces[run].within)
                    run = i;
                const bool isLastOfSize = i + 1 == this->pieces.size() || this->pieces[i + 1].accelerators != this->pieces[i].accelerators
                    || this->pieces[i + 1].within != this->pieces[i].within;
                if (isLastOfSize && this->placesOf(this->pieces[i]) < static_cast<std::int64_t>(i - run + 1))
                    return true;
            }
            return false;
        }

        // How many pieces of this size there is room for.
        std::int64_t placesOf(const Piece& piece)
        {
            std::int64_t count = 0;
            for (const Rack& rack : this->racks) {
                if (piece.within == Adjacency::Rack) {
                    count += rack.free / piece.accelerators;
                    continue;
                }
                this->looksLeft -= static_cast<std::int64_t>(rack.workers.size());
                for (const std::int64_t free : rack.workers)
                    count += free / piece.accelerators;
            }
            this->looksLeft -= static_cast<std::int64_t>(this->racks.size());
            return count;
        }

        void descend()
        {
            Level level;
            level.places = this->placesFor(this->pieces[this->levels.size()]);
            this->levels.push_back(std::move(level));
        }

        void take(Level& level)
        {
            const Place place = level.places[level.next++];
            const Piece& piece = this->pieces[this->levels.size() - 1];
            Rack& rack = this->racks[place.rack];
            level.before = rack;
            rack.free -= piece.accelerators;
            if (piece.within == Adjacency::Rack)
                return;
            rack.workers[place.worker] -= piece.accelerators;
            std::sort(rack.workers.begin(), rack.workers.end());
        }

        std::vector<Place> placesFor(const Piece& piece)
        {
            this->looksLeft -= looksToSortOne * static_cast<std::int64_t>(this->racks.size());
            std::vector<Place> places;
            std::vector<std::size_t> listed; // Racks with the same free total, no two alike.
            for (const std::size_t index : this->racksTightestFirst(piece.accelerators)) {
                const Rack& rack = this->racks[index];
                if (!listed.empty() && this->racks[listed.front()].free != rack.free)
                    listed.clear();
                if (std::any_of(listed.begin(), listed.end(), [&](std::size_t other) { return isAlike(piece, this->racks[other], rack); }))
                    continue;
                listed.push_back(index);
                if (piece.within == Adjacency::Rack)
                    places.push_back({ index, 0 });
                else
                    listWorkers(rack, index, piece.accelerators, places);
            }
            return places;
        }

        static void listWorkers(const Rack& rack, std::size_t index, std::int64_t need, std::vector<Place>& places)
        {
            std::int64_t last = -1;
            for (std::size_t i = 0; i < rack.workers.size(); ++i) {
                if (rack.workers[i] >= need && rack.workers[i] != last)
                    places.push_back({ index, i });
                last = rack.workers[i];
            }
        }

        std::vector<std::size_t> racksTightestFirst(std::int64_t need) const
        {
            std::vector<std::size_t> order;
            for (std::size_t i = 0; i < this->racks.size(); ++i) {
                if (this->racks[i].free >= need)
                    order.push_back(i);
            }
            std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) { return this->racks[a].free < this->racks[b].free; });
            return order;
        }

        std::vector<Rack> racks;
        std::vector<Piece> pieces;
        std::int64_t looksLeft;
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
    bool isDecidedByTotal(const Piece& piece) { return piece.within == Adjacency::Domain || piece.accelerators <= 1; }

} // namespace

Fit fits(std::vector<RackRoom> rooms, std::vector<Piece> pieces, SearchBudget& budget)
{
    std::vector<Rack> racks;
    std::int64_t free = 0;
    for (RackRoom& room : rooms) {
        std::sort(room.begin(), room.end());
        const std::int64_t total = std::accumulate(room.begin(), room.end(), std::int64_t { 0 });
        free += total;
        racks.push_back({ std::move(room), total });
    }
    for (const Piece& piece : pieces)
        free -= piece.accelerators;
    if (free < 0)
        return Fit::DoesNotFit;
    std::erase_if(pieces, isDecidedByTotal);
    std::stable_sort(pieces.begin(), pieces.end(), isPlacedBefore);
    const std::int64_t granted = std::min(SearchBudget::looksPerSearch, budget.looksLeft);
    Search search(std::move(racks), std::move(pieces), granted);
    const Fit fit = search.run();
    budget.looksLeft -= granted - search.left();
    return fit;
}

} // namespace rattan::config
