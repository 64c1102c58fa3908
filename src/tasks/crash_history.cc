// Giving up needs two proven crashes: what is shown as failed must have failed. But no
// task may be started a third time after a third crash, so without proof it is given up
// before that.

#include "tasks/crash_history.h"

#include <array>

namespace rattan::tasks {

namespace {

    constexpr std::array<std::string_view, 4> evidenceNames { "unproven", "late", "early", "alone" };

    constexpr int enoughIfAlone = 2;
    constexpr int many = 3;
    constexpr int enoughEarly = 2; // Of so many.
    constexpr std::int64_t mostRunsAfterMany = 2;

    struct Counts {
        int all { 0 };
        int proven { 0 };
        int early { 0 };
        bool lastAlone { false };
        std::int64_t manyAt { 0 }; // The run that made them many.

        void add(std::int64_t run, CrashEvidence evidence)
        {
            ++this->all;
            this->proven += evidence != CrashEvidence::Unproven ? 1 : 0;
            this->early += evidence >= CrashEvidence::Early ? 1 : 0;
            this->lastAlone = evidence == CrashEvidence::Alone;
            if (this->all == many)
                this->manyAt = run;
        }

        bool areEnough(std::int64_t lastRun) const
        {
            if (this->lastAlone && this->proven >= enoughIfAlone)
                return true;
            return this->all >= many && (this->early >= enoughEarly || lastRun - this->manyAt >= mostRunsAfterMany);
        }
    };

} // namespace

std::string_view nameOf(CrashEvidence evidence) { return evidenceNames.at(static_cast<std::size_t>(evidence)); }

bool CrashHistory::add(const CrashedRun& crashed) { return this->crashes.try_emplace({ crashed.task, crashed.run }, crashed.evidence).second; }

bool CrashHistory::isExhausted(std::int64_t lastRun) const
{
    std::map<std::int64_t, Counts> byTask;
    for (const auto& [key, evidence] : this->crashes)
        byTask[key.first].add(key.second, evidence);
    for (const auto& [task, counts] : byTask) {
        if (counts.areEnough(lastRun))
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
