// A job is normally given up only after two proven crashes, since a job that is reported as
// failed must have failed. However, a task may run at most twice more after its third crash.
// After these runs its job is given up even if no crash is proven.

#include "tasks/crash_history.h"

#include <array>

namespace rattan::tasks {

namespace {

    constexpr std::array<std::string_view, 4> evidenceNames { "unproven", "late", "early", "alone" };

    constexpr int crashesIfLastAlone = 2;
    constexpr int crashesWithoutProof = 3;
    constexpr int minEarlyCrashes = 2; // Early crashes among at least `crashesWithoutProof`.
    constexpr std::int64_t maxRunsAfterCrashes = 2;

    struct CrashCounts {
        int all { 0 };
        int proven { 0 };
        int early { 0 };
        bool lastAlone { false };
        std::int64_t limitReachedAt { 0 }; // The run that crashed as number `crashesWithoutProof`.

        void add(std::int64_t run, CrashEvidence evidence)
        {
            ++this->all;
            this->proven += evidence != CrashEvidence::Unproven ? 1 : 0;
            this->early += evidence >= CrashEvidence::Early ? 1 : 0;
            this->lastAlone = evidence == CrashEvidence::Alone;
            if (this->all == crashesWithoutProof)
                this->limitReachedAt = run;
        }

        bool isEnough(std::int64_t lastRun) const
        {
            if (this->lastAlone && this->proven >= crashesIfLastAlone)
                return true;
            return this->all >= crashesWithoutProof && (this->early >= minEarlyCrashes || lastRun - this->limitReachedAt >= maxRunsAfterCrashes);
        }
    };

} // namespace

std::string_view nameOf(CrashEvidence evidence) { return evidenceNames.at(static_cast<std::size_t>(evidence)); }

bool CrashHistory::add(const CrashedRun& crashed) { return this->crashes.try_emplace({ crashed.task, crashed.run }, crashed.evidence).second; }

bool CrashHistory::shouldGiveUp(std::int64_t lastRun) const
{
    std::map<std::int64_t, CrashCounts> byTask;
    for (const auto& [key, evidence] : this->crashes)
        byTask[key.first].add(key.second, evidence);
    for (const auto& [task, counts] : byTask) {
        if (counts.isEnough(lastRun))
            return true;
    }
    return false;
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
