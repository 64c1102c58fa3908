#include "config/packing.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>

namespace rattan::config {

namespace {

    // Tries every place of every piece, without any of the search's shortcuts.
    bool fitsByTrial(std::vector<RackRoom>& racks, const std::vector<Piece>& pieces, std::size_t index)
    {
        if (index == pieces.size())
            return true;
        const Piece& piece = pieces[index];
        for (RackRoom& rack : racks) {
            // Within a rack, any split over its workers counts; for the trial the
            // pieces within a rack come last and take workers in order.
            if (piece.within == Adjacency::Worker) {
                for (std::int64_t& worker : rack) {
                    if (worker < piece.accelerators)
                        continue;
                    worker -= piece.accelerators;
                    const bool placed = fitsByTrial(racks, pieces, index + 1);
                    worker += piece.accelerators;
                    if (placed)
                        return true;
                }
                continue;
            }
            const RackRoom before = rack;
            std::int64_t left = piece.accelerators;
            for (std::int64_t& worker : rack) {
                const std::int64_t taken = std::min(worker, left);
                worker -= taken;
                left -= taken;
            }
            const bool placed = left == 0 && fitsByTrial(racks, pieces, index + 1);
            rack = before;
            if (placed)
                return true;
        }
        return false;
    }

} // namespace

class PackingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PackingTest);
    CPPUNIT_TEST(needsBacktracking);
    CPPUNIT_TEST(agreesWithTrialOfAllPlaces);
    CPPUNIT_TEST(givesUpAtItsBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void needsBacktracking()
    {
        // Best fit puts the 4 beside the 3 of the first worker and is stuck.
        SearchBudget budget;
        const std::vector<RackRoom> racks { { 10 }, { 7 } };
        std::vector<Piece> pieces;
        for (const std::int64_t size : { 6, 4, 4, 3 })
            pieces.push_back({ size, Adjacency::Worker });
        CPPUNIT_ASSERT(fits(racks, pieces, budget) == Fit::Fits);
        pieces.back().accelerators = 4;
        CPPUNIT_ASSERT(fits(racks, pieces, budget) == Fit::DoesNotFit);
    }

    void agreesWithTrialOfAllPlaces()
    {
        constexpr unsigned seed = 20261202;
        std::mt19937 random(seed);
        const auto below = [&](int bound) { return static_cast<std::int64_t>(random() % bound); };
        int fitting = 0;
        constexpr int rounds = 400;
        for (int round = 0; round < rounds; ++round) {
            std::vector<RackRoom> racks(1 + below(3));
            for (RackRoom& rack : racks) {
                rack.resize(1 + below(2));
                for (std::int64_t& worker : rack)
                    worker = below(9);
            }
            std::vector<Piece> pieces;
            for (std::int64_t i = 1 + below(4); i > 0; --i)
                pieces.push_back({ 1 + below(7), Adjacency::Worker });
            for (std::int64_t i = below(3); i > 0; --i)
                pieces.push_back({ 1 + below(10), Adjacency::Rack });
            const bool expected = fitsByTrial(racks, pieces, 0);
            SearchBudget budget;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}, round {}", seed, round), expected, fits(racks, pieces, budget) == Fit::Fits);
            fitting += expected ? 1 : 0;
        }
        CPPUNIT_ASSERT(fitting > rounds / 8 && fitting < rounds * 7 / 8);
    }

    void givesUpAtItsBudget()
    {
        // Many sizes that almost fit make a proof too long; the answer must come
        // all the same, and be the same everywhere.
        std::vector<RackRoom> racks(30);
        for (std::size_t i = 0; i < racks.size(); ++i)
            racks[i] = { 101 + static_cast<std::int64_t>(i % 7), 103 + static_cast<std::int64_t>(i % 5) };
        std::vector<Piece> pieces(90);
        for (std::size_t i = 0; i < pieces.size(); ++i)
            pieces[i].accelerators = 50 + static_cast<std::int64_t>(i % 13);
        SearchBudget budget;
        CPPUNIT_ASSERT(fits(racks, pieces, budget) != Fit::Fits);
        CPPUNIT_ASSERT(budget.racksLeft < 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PackingTest);

} // namespace rattan::config
