#include "decide/check.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace rattan::decide::detail {

namespace {

    class Check {
    public:
        explicit Check(const Engine& engine)
            : engine(engine)
        {
        }

        std::vector<std::string> run()
        {
            for (const auto& [id, job] : this->engine.jobs)
                this->checkJob(job);
            for (WorkerId id = 0; id < this->engine.workers.size(); ++id)
                this->checkWorker(id);
            if (this->engine.options.policy == Policy::Guaranteed)
                this->checkSlots();
            this->checkBounds();
            return std::move(this->breaches);
        }

    private:
        template <typename... Arguments>
        void breach(fmt::format_string<Arguments...> format, Arguments&&... arguments)
        {
            this->breaches.push_back(fmt::format(format, std::forward<Arguments>(arguments)...));
        }

        void checkJob(const JobRecord& job)
        {
            const JobId id = job.spec.job;
            const bool queued = this->isQueued(job);
            if (queued != (job.state == JobState::Queued))
                this->breach("lost: job {} is {} and {}in the queue", id, nameOf(job.state), queued ? "" : "not ");
            if (!job.holds())
                return;
            if (static_cast<std::int64_t>(job.placements.size()) != job.spec.members)
                this->breach("partial gang: job {} holds {} of {} members", id, job.placements.size(), job.spec.members);
            std::set<std::uint64_t> groups;
            for (const Placement& placement : job.placements) {
                this->taken[placement.worker] = this->taken[placement.worker] + amountsOf(placement);
                if (job.right == Right::Firm)
                    this->firm[placement.worker] += this->engine.workers[placement.worker].unitsOf(amountsOf(placement));
                groups.insert(job.spec.adjacency == Adjacency::Worker ? placement.worker
                        : job.spec.adjacency == Adjacency::Rack       ? this->engine.workers[placement.worker].rack
                                                                      : 0);
            }
            if (groups.size() > 1)
                this->breach("scattered: job {} lies in {} places that are not adjacent", id, groups.size());
            const bool checksRights = this->engine.options.policy == Policy::Guaranteed;
            if (checksRights && job.right == Right::Borrowed && !job.evictable(this->engine.options.borrowCheckpointLimit))
                this->breach("unreclaimable: job {} borrows and cannot be evicted", id);
        }

        bool isQueued(const JobRecord& job) const
        {
            const auto& lines = this->engine.queue.linesOf(job.rank);
            const auto line = lines.find(job.spec.workspace);
            return line != lines.end() && line->second.contains({ job.order, job.spec.job });
        }

        void checkWorker(WorkerId id)
        {
            const WorkerRecord& worker = this->engine.workers[id];
            const Amounts sum = this->taken[id];
            if (!covers(worker.capacity, sum))
                this->breach("leased twice: worker {} has {} accelerators, {} are given", id, worker.capacity.accelerators,
                    sum.accelerators);
            if (!(sum == worker.used))
                this->breach("account: worker {} counts {} accelerators, its gangs take {}", id,
                    worker.used.accelerators, sum.accelerators);
        }

        void checkSlots()
        {
            std::map<std::pair<SlotId, WorkerId>, std::int64_t> granted;
            for (const auto& [id, job] : this->engine.jobs) {
                for (const Grant& grant : job.grants)
                    granted[{ grant.slot, grant.worker }] += grant.units;
            }
            std::map<WorkerId, std::int64_t> planned;
            const auto& slots = this->engine.book.all();
            for (SlotId id = 0; id < slots.size(); ++id) {
                std::set<std::uint64_t> groups;
                for (const HomePiece& piece : slots[id].pieces) {
                    planned[piece.worker] += piece.units;
                    groups.insert(slots[id].within == Adjacency::Worker ? piece.worker
                            : slots[id].within == Adjacency::Rack       ? this->engine.workers[piece.worker].rack
                                                                        : 0);
                    if (piece.taken > piece.units || piece.taken != granted[{ id, piece.worker }])
                        this->breach("grants: slot {} counts {} of {} units taken on worker {}, its gangs have {}", id,
                            piece.taken, piece.units, piece.worker, granted[{ id, piece.worker }]);
                }
                if (groups.size() > 1)
                    this->breach("scattered: slot {} lies in {} places that are not adjacent", id, groups.size());
            }
            for (WorkerId id = 0; id < this->engine.workers.size(); ++id)
                this->checkPromises(id, planned[id]);
        }

        void checkPromises(WorkerId id, std::int64_t planned)
        {
            const WorkerRecord& worker = this->engine.workers[id];
            if (worker.usable() && planned + this->firm[id] > worker.capacity.accelerators)
                this->breach("guarantee: worker {} has {} accelerators, {} promised and {} firm", id,
                    worker.capacity.accelerators, planned, this->firm[id]);
        }

        void checkBounds()
        {
            const auto most = static_cast<std::size_t>(this->engine.options.mostJobs);
            if (this->engine.jobs.size() > most)
                this->breach("memory: {} jobs are held, {} may be", this->engine.jobs.size(), most);
            if (this->engine.claiming.size() > most)
                this->breach("memory: {} jobs claim", this->engine.claiming.size());
        }

        const Engine& engine;
        std::map<WorkerId, Amounts> taken;
        std::map<WorkerId, std::int64_t> firm;
        std::vector<std::string> breaches;
    };

    // Puts shapes one unit count at a time onto workers, trying everything.
    class Exhaustive {
    public:
        explicit Exhaustive(const Engine& engine)
            : engine(engine)
        {
            for (WorkerId id = 0; id < engine.workers.size(); ++id) {
                const WorkerRecord& worker = engine.workers[id];
                this->left.push_back(worker.usable() ? worker.capacity.accelerators : 0);
            }
            for (const auto& [id, job] : engine.jobs) {
                if (!job.holds() || job.right != Right::Firm)
                    continue;
                for (const Placement& placement : job.placements)
                    this->left[placement.worker] -= engine.workers[placement.worker].unitsOf(amountsOf(placement));
            }
            for (const Slot& slot : engine.book.all()) {
                if (!slot.retired)
                    this->addSlot(slot);
            }
        }

        bool meets()
        {
            // No assignment gives more than there is.
            std::int64_t missing = 0;
            for (const Wanted& wanted : this->shapes)
                missing += wanted.units;
            for (const std::int64_t units : this->left)
                missing -= std::max<std::int64_t>(units, 0);
            return missing <= 0 && this->place(0);
        }

    private:
        struct Wanted {
            std::int64_t units { 0 };
            Adjacency within { Adjacency::Worker };
            std::optional<std::uint64_t> bound; // Where its gangs already are.
        };

        void addSlot(const Slot& slot)
        {
            Wanted wanted { slot.units, slot.within, std::nullopt };
            for (const HomePiece& piece : slot.pieces) {
                if (piece.taken == 0)
                    continue;
                this->left[piece.worker] -= piece.taken;
                wanted.units -= piece.taken;
                wanted.bound = this->groupOf(piece.worker, slot.within);
            }
            if (wanted.units > 0)
                this->shapes.push_back(wanted);
        }

        std::uint64_t groupOf(WorkerId worker, Adjacency within) const
        {
            return within == Adjacency::Worker ? worker
                : within == Adjacency::Rack    ? this->engine.workers[worker].rack
                                               : 0;
        }

        bool place(std::size_t index)
        {
            if (index == this->shapes.size())
                return true;
            const Wanted& wanted = this->shapes[index];
            std::set<std::uint64_t> groups;
            for (WorkerId id = 0; id < this->left.size(); ++id)
                groups.insert(this->groupOf(id, wanted.within));
            return std::any_of(groups.begin(), groups.end(), [&](std::uint64_t group) {
                return (!wanted.bound || *wanted.bound == group) && this->spread(index, group, 0, wanted.units);
            });
        }

        // Every way to take `units` from the group's workers from `id` on.
        bool spread(std::size_t index, std::uint64_t group, WorkerId id, std::int64_t units)
        {
            if (units == 0)
                return this->place(index + 1);
            if (id == this->left.size())
                return false;
            const bool member = this->groupOf(id, this->shapes[index].within) == group;
            const std::int64_t most = member ? std::min(this->left[id], units) : 0;
            for (std::int64_t take = std::max<std::int64_t>(most, 0); take >= 0; --take) {
                this->left[id] -= take;
                const bool met = this->spread(index, group, id + 1, units - take);
                this->left[id] += take;
                if (met)
                    return true;
            }
            return false;
        }

        const Engine& engine;
        std::vector<std::int64_t> left;
        std::vector<Wanted> shapes;
    };

} // namespace

std::vector<std::string> checkState(const Engine& engine) { return Check(engine).run(); }

bool referenceMeets(const Engine& engine) { return Exhaustive(engine).meets(); }

} // namespace rattan::decide::detail
