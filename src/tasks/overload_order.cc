#include "tasks/overload_order.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace rattan::tasks {

Excess Excess::detect(const std::vector<WaitingWork>& units, Millis now)
{
    // With less work than this waiting, the order makes little difference, and a late unit has
    // another reason to wait.
    constexpr double minWaitingWork = 1000;
    struct Sum {
        double siteMillis { 0 };
        bool isLate { false };
    };
    std::map<std::pair<std::string_view, std::int64_t>, Sum> sums;
    std::map<std::string_view, double> ahead;
    for (const WaitingWork& unit : units) {
        Sum& sum = sums[{ unit.service, unit.priority }];
        double& before = ahead[unit.service];
        sum.isLate = sum.isLate || static_cast<double>(now) + before > static_cast<double>(unit.latestStart);
        sum.siteMillis += unit.siteMillis;
        before += unit.siteMillis;
    }
    Excess excess;
    for (const auto& [key, sum] : sums) {
        if (sum.siteMillis >= minWaitingWork)
            excess.classes.push_back({ key.first, key.second, sum.isLate });
    }
    return excess;
}

std::int64_t valueClassOf(std::int64_t valueOrder)
{
    return valueOrder >= 0 ? 0 : -static_cast<std::int64_t>(std::bit_width(std::uint64_t { 0 } - static_cast<std::uint64_t>(valueOrder)));
}

const Excess::Class* Excess::find(std::string_view service, std::int64_t priority) const
{
    const auto found = std::find_if(this->classes.begin(), this->classes.end(), [&](const Class& row) { return row.service == service && row.priority == priority; });
    return found == this->classes.end() ? nullptr : &*found;
}

bool Excess::isBacklogged(std::string_view service, std::int64_t priority) const { return this->find(service, priority); }

bool Excess::isLate(std::string_view service, std::int64_t priority) const
{
    const Class* found = this->find(service, priority);
    return found && found->isLate;
}

// Patient jobs can spare a part of their slack. The minimum leaves room for the target that 95 of
// 100 jobs have their first start within 6 s.
bool isFirstStartDue(Millis waitingSince, Millis latestStartInTime, Millis now)
{
    constexpr Millis minWait = 4000;
    constexpr Millis slackParts = 4;
    return now - waitingSince >= std::max(minWait, (latestStartInTime - waitingSince) / slackParts);
}

double jobValueOf(double work, double meanWork)
{
    constexpr double sizeShare = 0.7;
    constexpr double maxRatio = 4;
    return meanWork > 0 ? 1 - sizeShare + sizeShare * std::min(work / meanWork, maxRatio) : 1;
}

std::int64_t valueOrderOf(const ValueOrderInputs& inputs)
{
    constexpr double scale = 1e9;
    constexpr double minWork = 0.001;
    const double value = inputs.jobValue * valueOfEnd(inputs.latestStarts, inputs.now);
    const auto slack = static_cast<double>(std::max<Millis>(inputs.latestStarts.inTime - inputs.waitingSince, 1));
    const double wait = static_cast<double>(std::max<Millis>(inputs.now - inputs.waitingSince, 0)) / slack;
    const double aging = 1 + wait + static_cast<double>(inputs.stops);
    return -std::llround(scale * value * aging / std::max(inputs.remainingWork, minWork));
}

std::int64_t raisedPriority(std::int64_t priority) { return std::min<std::int64_t>(priority, 1); }

} // namespace rattan::tasks
