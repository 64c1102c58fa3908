// Baseline: jobs start strictly in the order in which they came, each on the
// first workers, by id, that can take it. The first that finds no room holds
// back all behind it. Guarantees are not looked at.

#include "decide/engine.h"

#include <algorithm>
#include <optional>

namespace rattan::decide::detail {

namespace {

    // Members from worker `first` on, until one no longer is `adjacent` to it.
    std::optional<std::vector<Placement>> firstFit(const Engine& engine, const GangShape& shape)
    {
        std::map<std::uint64_t, std::vector<Placement>> partial; // By what is adjacent.
        for (WorkerId id = 0; id < engine.workers.size(); ++id) {
            const WorkerRecord& worker = engine.workers[id];
            if (!worker.usable())
                continue;
            const std::uint64_t group = shape.adjacency == Adjacency::Worker ? id
                : shape.adjacency == Adjacency::Rack                         ? worker.rack
                                                                             : 0;
            std::vector<Placement>& places = partial[group];
            const std::int64_t missing = shape.members - static_cast<std::int64_t>(places.size());
            places.insert(places.end(), timesInto(worker.room(), shape.perMember, missing), placementOn(id, shape.perMember));
            if (static_cast<std::int64_t>(places.size()) == shape.members)
                return places;
        }
        return std::nullopt;
    }

    class FirstFit final : public PlacementPolicy {
    public:
        Millis orderOf(const Engine&, const JobRecord& job) const override { return job.spec.submittedAt; }

        void dispatch(Engine& engine, Millis) override
        {
            while (JobRecord* job = this->oldest(engine)) {
                if (!engine.mayStart(*job))
                    return;
                auto places = firstFit(engine, job->shape());
                if (!places)
                    return;
                engine.start(*job, std::move(*places), Right::Borrowed, {});
            }
        }

        Millis nextWake() const override { return never; }

    private:
        JobRecord* oldest(Engine& engine) const
        {
            std::optional<QueueEntry> first;
            for (const Urgency rank : { Urgency::Urgent, Urgency::Ordinary, Urgency::Patient }) {
                for (const auto& [workspace, line] : engine.queue.linesOf(rank)) {
                    if (!first || *line.begin() < *first)
                        first = *line.begin();
                }
            }
            return first ? engine.find(first->job) : nullptr;
        }
    };

} // namespace

std::unique_ptr<PlacementPolicy> makeFirstFit() { return std::make_unique<FirstFit>(); }

} // namespace rattan::decide::detail
