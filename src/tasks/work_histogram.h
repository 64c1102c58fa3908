#pragma once

// Weights of logarithmic ratios in fixed bins. The bins are narrow around 0, where most runs of a
// group end, and wide in the tails: a ratio near 1 is resolved to 2%, a ratio of 7 to 14%.
//
//     WorkHistogram histogram;
//     histogram.add(std::log(1.1), 0.998);       // and the weight of all earlier entries
//     WorkHistogram mixed = histogram.mixedWith(WorkHistogram::lognormal(0.5), 8);
//     mixed.share(0.0);                          // the share of entries below a ratio of 1
//     mixed.quantile(0.9);                       // a logarithm
//
// Not thread-safe.

#include <array>
#include <cstddef>

namespace rattan::tasks {

class WorkHistogram {
public:
    // An odd number, so that a ratio of exactly 1 is in the middle of a bin.
    static constexpr std::size_t binCount = 97;

    // Ratios beyond exp(±limit), a factor of 30, count in the outermost bins.
    static constexpr double limit = 3.4;

    static WorkHistogram lognormal(double deviation);

    // Adds an entry with weight 1; the weights of earlier entries are multiplied by `retained`.
    void add(double logRatio, double retained);

    // Adds an entry that is only known to exceed `logRatio`: its weight is distributed over the
    // larger ratios in proportion to `expected`.
    void addAbove(double logRatio, const WorkHistogram& expected, double retained);

    // This histogram plus `weight` entries that are distributed like `other`, with total weight 1.
    WorkHistogram mixedWith(const WorkHistogram& other, double weight) const;

    double total() const;

    // The following functions require a total weight of 1.
    double share(double logRatio) const;
    double quantile(double p) const;

    // The mean of the entries above `logRatio`, each limited to ±`bound`.
    double meanAbove(double logRatio, double bound) const;

    const std::array<float, binCount>& weights() const { return this->bins; }
    void restore(std::size_t bin, double weight) { this->bins.at(bin) = static_cast<float>(weight); }

private:
    void retain(double share);

    // Calls `visit(bin, share)` for each bin with the share of it that lies above `logRatio`.
    template <typename Visit>
    static void forBinsAbove(double logRatio, Visit visit);

    std::array<float, binCount> bins {};
};

} // namespace rattan::tasks
