#pragma once

// Run times learned per workspace and class, since declared ones are off by ten
// times and more. Two predictors are kept in logarithms: the run time itself,
// and its ratio to the declared one; the one that has varied less speaks.

#include "decide/event.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace rattan::decide::detail {

class EstimateTable {
public:
    // Of the whole job, from nothing. Declared times serve until enough is known.
    Millis runTime(const JobSubmitted&) const;

    void learn(const JobSubmitted&, Millis ran);

    std::size_t size() const { return this->entries.size(); }

private:
    // Exponentially weighted mean and variance.
    struct Trend {
        double mean { 0 };
        double variance { 0 };
        void add(double value, double weight);
    };

    struct Key {
        WorkspaceId workspace { 0 };
        ClassId jobClass { 0 };
        bool operator<(const Key& other) const
        {
            return std::tie(this->workspace, this->jobClass) < std::tie(other.workspace, other.jobClass);
        }
    };

    struct Entry {
        std::int64_t samples { 0 };
        std::int64_t declaredSamples { 0 };
        Trend time;
        Trend ratio;
    };

    std::map<Key, Entry> entries;
};

} // namespace rattan::decide::detail
