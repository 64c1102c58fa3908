// Baseline: best fit with conservative backfill (Mu'alem and Feitelson, 2001).
// Jobs are gone through in the order in which they came. Each is given the
// earliest time at which enough accelerators are free for as long as it declares
// to run, beside all that were given theirs before it; those whose time is now
// start, best fit. Declared times are believed, and a gang that runs over its
// own is expected to end a minute from now. Guarantees are not looked at.

#include "decide/engine.h"

#include <algorithm>
#include <map>

namespace rattan::decide::detail {

namespace {

    constexpr std::size_t depth = 100; // Jobs that are given a time.
    constexpr Millis overrun = 60000;
    constexpr Millis undeclared = 600000;

    Millis declared(const JobRecord& job)
    {
        return job.spec.declaredRunTime > 0 ? job.spec.declaredRunTime : undeclared;
    }

    // Free accelerators over time: changes by their time.
    class Profile {
    public:
        Profile(const Engine& engine, Millis now)
        {
            this->changes[now] = engine.workers.room().total();
            for (const auto& [id, job] : engine.jobs) {
                if (job.holds())
                    this->changes[std::max(job.startedAt + declared(job), now + overrun)] += job.shape().accelerators();
            }
        }

        // The earliest time with `need` free for `length`.
        Millis earliest(std::int64_t need, Millis length) const
        {
            Millis candidate = never;
            std::int64_t free = 0;
            for (const auto& [time, change] : this->changes) {
                if (candidate != never && time >= candidate + length)
                    return candidate;
                free += change;
                if (free < need)
                    candidate = never;
                else if (candidate == never)
                    candidate = time;
            }
            return candidate;
        }

        void reserve(Millis from, Millis length, std::int64_t need)
        {
            this->changes[from] -= need;
            this->changes[from + length] += need;
        }

    private:
        std::map<Millis, std::int64_t> changes;
    };

    class Backfill final : public PlacementPolicy {
    public:
        Millis orderOf(const Engine&, const JobRecord& job) const override { return job.spec.submittedAt; }

        void dispatch(Engine& engine, Millis now) override
        {
            this->wake = never;
            if (engine.queue.size() == 0)
                return;
            Profile profile(engine, now);
            for (const QueueEntry& entry : this->inOrder(engine)) {
                JobRecord& job = engine.jobs.at(entry.job);
                if (engine.mayStart(job))
                    this->consider(engine, job, profile, now);
            }
        }

        Millis nextWake() const override { return this->wake; }

    private:
        void consider(Engine& engine, JobRecord& job, Profile& profile, Millis now)
        {
            const GangShape shape = job.shape();
            const Millis length = declared(job);
            Millis at = profile.earliest(shape.accelerators(), length);
            if (at == never)
                return;
            if (at <= now) {
                const FitsOn fits = [&](WorkerId worker, std::int64_t limit) {
                    return timesInto(engine.workers[worker].room(), shape.perMember, limit);
                };
                if (auto places = findPlaces(engine.workers.room(), shape, fits, engine.random()))
                    engine.start(job, std::move(*places), Right::Borrowed, {});
                at = now; // Enough is free but scattered: its place in line is kept.
            }
            profile.reserve(at, length, shape.accelerators());
            if (at > now)
                this->wake = std::min(this->wake, at);
        }

        std::vector<QueueEntry> inOrder(const Engine& engine) const
        {
            std::vector<QueueEntry> entries;
            for (const Urgency rank : { Urgency::Urgent, Urgency::Ordinary, Urgency::Patient }) {
                for (const auto& [workspace, line] : engine.queue.linesOf(rank)) {
                    auto at = line.begin();
                    for (std::size_t i = 0; i < depth && at != line.end(); ++i)
                        entries.push_back(*at++);
                }
            }
            std::sort(entries.begin(), entries.end());
            entries.resize(std::min(entries.size(), depth));
            return entries;
        }

        Millis wake { never };
    };

} // namespace

std::unique_ptr<PlacementPolicy> makeBackfill() { return std::make_unique<Backfill>(); }

} // namespace rattan::decide::detail
