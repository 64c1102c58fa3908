#include "decide/eviction.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace rattan::decide::detail {

namespace {

    Amounts amountsOn(const JobRecord& job, WorkerId worker)
    {
        Amounts sum;
        for (const Placement& placement : job.placements) {
            if (placement.worker == worker)
                sum = sum + amountsOf(placement);
        }
        return sum;
    }

    // What is lost with a gang: patient work before other, little run time and
    // few accelerators before much.
    struct Cost {
        int rank { 0 };
        std::int64_t work { 0 };
        JobId job { 0 };
        bool operator<(const Cost& other) const
        {
            return std::tie(this->rank, this->work, this->job) < std::tie(other.rank, other.work, other.job);
        }
    };

    Cost costOf(const JobRecord& job, Millis now)
    {
        const int rank = -static_cast<int>(job.spec.urgency);
        return { rank, (now - job.startedAt + 1000) * (job.shape().accelerators() + 1), job.spec.job };
    }

    class Choice {
    public:
        Choice(const Engine& engine, const MayEvict& may, Millis now)
            : engine(engine)
            , may(may)
            , now(now)
        {
        }

        bool makeRoom(WorkerId worker, const Amounts& need)
        {
            const WorkerRecord& record = this->engine.workers[worker];
            Amounts room = record.room();
            std::vector<Cost> candidates;
            for (const JobId id : record.gangs) {
                const JobRecord& job = *this->engine.find(id);
                if (job.ending() || this->isChosen(id))
                    room = room + amountsOn(job, worker);
                else if (this->may(job))
                    candidates.push_back(costOf(job, this->now));
            }
            std::sort(candidates.begin(), candidates.end());
            for (const Cost& cost : candidates) {
                if (covers(room, need))
                    break;
                this->chosen.push_back(cost.job);
                room = room + amountsOn(*this->engine.find(cost.job), worker);
            }
            return covers(room, need);
        }

        std::vector<JobId> chosen;

    private:
        bool isChosen(JobId id) const { return std::find(this->chosen.begin(), this->chosen.end(), id) != this->chosen.end(); }

        const Engine& engine;
        const MayEvict& may;
        Millis now;
    };

} // namespace

Amounts roomAfter(const Engine& engine, WorkerId worker, const MayEvict& may)
{
    const WorkerRecord& record = engine.workers[worker];
    Amounts room = record.room();
    for (const JobId id : record.gangs) {
        const JobRecord& job = *engine.find(id);
        if (job.ending() || may(job))
            room = room + amountsOn(job, worker);
    }
    return room;
}

std::optional<std::vector<JobId>> chooseVictims(
    const Engine& engine, const std::vector<Placement>& placements, const MayEvict& may, Millis now)
{
    std::map<WorkerId, Amounts> needs;
    for (const Placement& placement : placements)
        needs[placement.worker] = needs[placement.worker] + amountsOf(placement);
    Choice choice(engine, may, now);
    for (const auto& [worker, need] : needs) {
        if (!choice.makeRoom(worker, need))
            return std::nullopt;
    }
    return choice.chosen;
}

} // namespace rattan::decide::detail
