// Losses are counted by task, in the order of its runs. A run that survived its start begins the
// count anew.

#include "tasks/crash_history.h"

#include <array>

namespace rattan::tasks {

namespace {

    constexpr std::array<std::string_view, 4> evidenceNames { "unproven", "late", "early", "alone" };

    constexpr int sufficientCrashes = 3; // Proven ones.
    constexpr int minProvenCrashes = 2; // They suffice after maxRunsAfterLosses.
    constexpr std::int64_t maxRunsAfterLosses = 2; // The number of runs after `sufficientCrashes` losses, proven or not.

    // The losses of one task since a run of it survived its start.
    struct LossCounts {
        int all { 0 };
        int proven { 0 };
        std::int64_t limitReachedAt { 0 }; // The run that was lost as number `sufficientCrashes`.

        void add(std::int64_t run, CrashEvidence evidence)
        {
            if (evidence == CrashEvidence::Late) {
                *this = {};
                return;
            }
            ++this->all;
            this->proven += evidence >= CrashEvidence::Early ? 1 : 0;
            if (this->all == sufficientCrashes)
                this->limitReachedAt = run;
        }

        bool isEnough(std::int64_t lastRun) const
        {
            if (this->proven >= sufficientCrashes)
                return true;
            return this->proven >= minProvenCrashes && this->all >= sufficientCrashes && lastRun - this->limitReachedAt >= maxRunsAfterLosses;
        }
    };

} // namespace

std::string_view nameOf(CrashEvidence evidence) { return evidenceNames.at(static_cast<std::size_t>(evidence)); }

bool CrashHistory::add(const CrashedRun& crashed) { return this->crashes.try_emplace({ crashed.task, crashed.run }, crashed.evidence).second; }

std::optional<std::int64_t> CrashHistory::taskToGiveUp(std::int64_t lastRun) const
{
    std::map<std::int64_t, LossCounts> byTask;
    for (const auto& [key, evidence] : this->crashes)
        byTask[key.first].add(key.second, evidence);
    for (const auto& [task, counts] : byTask) {
        if (counts.isEnough(lastRun))
            return task;
    }
    return std::nullopt;
}

std::vector<CrashedRun> CrashHistory::all() const
{
    std::vector<CrashedRun> rows;
    rows.reserve(this->crashes.size());
    for (const auto& [key, evidence] : this->crashes)
        rows.push_back({ key.second, key.first, evidence });
    return rows;
}

} // namespace rattan::tasks
