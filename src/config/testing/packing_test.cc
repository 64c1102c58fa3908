#include "config/packing.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

namespace rattan::config {

namespace {

    // Tries every place of every piece, without the optimizations of the search.
    bool fitsByExhaustiveSearch(std::vector<RackCapacity>& racks, const std::vector<Piece>& pieces, std::size_t index)
    {
        if (index == pieces.size())
            return true;
        const Piece& piece = pieces[index];
        for (RackCapacity& rack : racks) {
            // A piece within a rack may be split over its workers in any way. Such pieces
            // come last here, so it is enough to fill the workers in order.
            if (piece.within == Adjacency::Worker) {
                for (std::int64_t& worker : rack) {
                    if (worker < piece.accelerators)
                        continue;
                    worker -= piece.accelerators;
                    const bool isPlaced = fitsByExhaustiveSearch(racks, pieces, index + 1);
                    worker += piece.accelerators;
                    if (isPlaced)
                        return true;
                }
                continue;
            }
            const RackCapacity rackBefore = rack;
            std::int64_t missing = piece.accelerators;
            for (std::int64_t& worker : rack) {
                const std::int64_t taken = std::min(worker, missing);
                worker -= taken;
                missing -= taken;
            }
            const bool isPlaced = missing == 0 && fitsByExhaustiveSearch(racks, pieces, index + 1);
            rack = rackBefore;
            if (isPlaced)
                return true;
        }
        return false;
    }

} // namespace

class PackingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PackingTest);
    CPPUNIT_TEST(backtracksWhereBestFitFails);
    CPPUNIT_TEST(agreesWithExhaustiveSearch);
    CPPUNIT_TEST(countingRejectsWithoutLongSearch);
    CPPUNIT_TEST(searchStopsAtBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void backtracksWhereBestFitFails()
    {
        // Best fit places the 6 on the worker with 7 free, both 4s on the other, and then has
        // no room for the 3, although a packing exists: 6 + 4 on 10 and 4 + 3 on 7.
        SearchBudget budget;
        const std::vector<RackCapacity> racks { { 10 }, { 7 } };
        std::vector<Piece> pieces;
        for (const std::int64_t size : { 6, 4, 4, 3 })
            pieces.push_back({ size, Adjacency::Worker });
        CPPUNIT_ASSERT(fits(racks, pieces, budget) == Fit::Fits);
        pieces.back().accelerators = 4;
        CPPUNIT_ASSERT(fits(racks, pieces, budget) == Fit::DoesNotFit);
    }

    void agreesWithExhaustiveSearch()
    {
        constexpr unsigned seed = 20261202;
        std::mt19937 random(seed);
        const auto below = [&](int bound) { return static_cast<std::int64_t>(random() % bound); };
        int fittingRounds = 0;
        constexpr int rounds = 400;
        for (int round = 0; round < rounds; ++round) {
            std::vector<RackCapacity> racks(1 + below(3));
            for (RackCapacity& rack : racks) {
                rack.resize(1 + below(2));
                for (std::int64_t& worker : rack)
                    worker = below(9);
            }
            std::vector<Piece> pieces;
            for (std::int64_t i = 1 + below(4); i > 0; --i)
                pieces.push_back({ 1 + below(7), Adjacency::Worker });
            for (std::int64_t i = below(3); i > 0; --i)
                pieces.push_back({ 1 + below(10), Adjacency::Rack });
            const bool expected = fitsByExhaustiveSearch(racks, pieces, 0);
            SearchBudget budget;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}, round {}", seed, round), expected, fits(racks, pieces, budget) == Fit::Fits);
            fittingRounds += expected ? 1 : 0;
        }
        CPPUNIT_ASSERT(fittingRounds > rounds / 8 && fittingRounds < rounds * 7 / 8);
    }

    void countingRejectsWithoutLongSearch()
    {
        // Few racks have room for the large pieces, and the small ones fit nearly
        // anywhere. Without counting, the search tries every placement of the small
        // pieces before it finds that the large ones do not fit.
        std::vector<RackCapacity> racks(36, RackCapacity(8, 1));
        racks.resize(41, RackCapacity(8, 3));
        std::vector<Piece> pieces(37, Piece { 3, Adjacency::Worker });
        pieces.resize(43, Piece { 16, Adjacency::Rack });
        SearchBudget budget;
        CPPUNIT_ASSERT(fits(racks, pieces, budget) == Fit::DoesNotFit);
        pieces.resize(38);
        pieces.erase(pieces.begin(), pieces.begin() + 4);
        CPPUNIT_ASSERT(fits(racks, pieces, budget) == Fit::Fits);
    }

    void searchStopsAtBudget()
    {
        // Each size is 1 modulo 4, so three pieces use at most 999 of the 1000 on a
        // worker. All pieces together exceed 20 times 999, so they do not fit.
        // Counting does not show this, and an exhaustive search takes too long. The
        // search must still return, with the same result on every instance.
        const std::vector<RackCapacity> racks(20, RackCapacity { 1000 });
        std::vector<Piece> pieces(60);
        std::int64_t total = 0;
        for (std::size_t i = 0; i < pieces.size(); ++i) {
            const std::size_t step = i < 42 ? i % 21 : i - 41 + (i >= 50 ? 1 : 0);
            pieces[i].accelerators = 293 + 4 * static_cast<std::int64_t>(step);
            total += pieces[i].accelerators;
        }
        CPPUNIT_ASSERT(total > 999 * 20 && total <= 1000 * 20);
        SearchBudget budget;
        CPPUNIT_ASSERT(fits(racks, pieces, budget) == Fit::Undecided);
        CPPUNIT_ASSERT(budget.stepsLeft <= SearchBudget {}.stepsLeft - SearchBudget::maxStepsPerSearch);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PackingTest);

} // namespace rattan::config
