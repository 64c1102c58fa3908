// The bins have equal widths on the scale of asinh(x / width), which is linear near 0 and
// logarithmic far from it. Within a bin, weight is distributed evenly.

#include "tasks/work_histogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <numeric>

namespace rattan::tasks {

namespace {

    struct AsinhTransform {
        static constexpr double width = 0.25;
        static double forward(double x) { return std::asinh(x / width); }
        static double inverse(double x) { return std::sinh(x) * width; }
    };

    using Axis = boost::histogram::axis::regular<double, AsinhTransform, boost::histogram::use_default, boost::histogram::axis::option::none_t>;

    const std::array<double, WorkHistogram::binCount + 1>& edges()
    {
        static const auto values = [] {
            const Axis axis(WorkHistogram::binCount, -WorkHistogram::limit, WorkHistogram::limit);
            std::array<double, WorkHistogram::binCount + 1> result {};
            for (std::size_t i = 0; i < result.size(); ++i)
                result[i] = axis.value(static_cast<double>(i));
            return result;
        }();
        return values;
    }

    std::size_t binOf(double logRatio)
    {
        const auto& bounds = edges();
        const auto next = std::upper_bound(bounds.begin(), bounds.end(), logRatio);
        return static_cast<std::size_t>(std::clamp<std::ptrdiff_t>(next - bounds.begin() - 1, 0, WorkHistogram::binCount - 1));
    }

    double shareAbove(std::size_t bin, double logRatio)
    {
        const auto& bounds = edges();
        return std::clamp((bounds[bin + 1] - logRatio) / (bounds[bin + 1] - bounds[bin]), 0.0, 1.0);
    }

} // namespace

WorkHistogram WorkHistogram::lognormal(double deviation)
{
    const boost::math::normal distribution(0, deviation);
    WorkHistogram result;
    double below = 0;
    for (std::size_t i = 0; i < binCount; ++i) {
        const double next = i + 1 == binCount ? 1 : boost::math::cdf(distribution, edges()[i + 1]);
        result.bins[i] = static_cast<float>(next - below);
        below = next;
    }
    return result;
}

template <typename Visit>
void WorkHistogram::forBinsAbove(double logRatio, Visit visit)
{
    const double from = std::min(logRatio, edges()[binCount - 1]); // The last bin has no upper limit.
    const std::size_t first = binOf(from);
    visit(first, shareAbove(first, from));
    for (std::size_t i = first + 1; i < binCount; ++i)
        visit(i, 1.0);
}

void WorkHistogram::retain(double share)
{
    for (float& weight : this->bins)
        weight *= static_cast<float>(share);
}

void WorkHistogram::add(double logRatio, double retained)
{
    this->retain(retained);
    this->bins[binOf(logRatio)] += 1;
}

void WorkHistogram::addAbove(double logRatio, const WorkHistogram& expected, double retained)
{
    double above = 0;
    forBinsAbove(logRatio, [&](std::size_t i, double share) { above += share * expected.bins[i]; });
    this->retain(retained);
    if (above <= 0) {
        this->bins.back() += 1;
        return;
    }
    forBinsAbove(logRatio, [&](std::size_t i, double share) { this->bins[i] += static_cast<float>(share * expected.bins[i] / above); });
}

WorkHistogram WorkHistogram::mixedWith(const WorkHistogram& other, double weight) const
{
    const double sum = this->total() + weight;
    WorkHistogram result;
    for (std::size_t i = 0; i < binCount; ++i)
        result.bins[i] = static_cast<float>((this->bins[i] + weight * other.bins[i]) / sum);
    return result;
}

double WorkHistogram::total() const { return std::accumulate(this->bins.begin(), this->bins.end(), 0.0); }

double WorkHistogram::share(double logRatio) const
{
    const std::size_t bin = binOf(logRatio);
    const double below = std::accumulate(this->bins.begin(), this->bins.begin() + static_cast<std::ptrdiff_t>(bin), 0.0);
    return std::clamp(below + this->bins[bin] * (1 - shareAbove(bin, logRatio)), 0.0, 1.0);
}

double WorkHistogram::quantile(double p) const
{
    const auto& bounds = edges();
    double below = 0;
    for (std::size_t i = 0; i < binCount; ++i) {
        const double weight = this->bins[i];
        if (below + weight >= p && weight > 0)
            return bounds[i] + (bounds[i + 1] - bounds[i]) * std::max(p - below, 0.0) / weight;
        below += weight;
    }
    return limit;
}

double WorkHistogram::meanAbove(double logRatio, double bound) const
{
    double above = 0;
    double sum = 0;
    forBinsAbove(logRatio, [&](std::size_t i, double share) {
        above += share * this->bins[i];
        sum += share * this->bins[i] * std::clamp(edges()[i + 1] - (edges()[i + 1] - edges()[i]) * share / 2, -bound, bound);
    });
    return above > 0 ? sum / above : std::clamp(logRatio, -bound, bound);
}

} // namespace rattan::tasks
