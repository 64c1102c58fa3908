#include "workload.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace rattan::bench {

namespace {

    using decide::Adjacency;
    using decide::Urgency;

    constexpr Millis second = 1000;
    constexpr Millis minute = 60 * second;
    constexpr Millis hour = 60 * minute;
    constexpr double load = 0.85;

    // One kind of job of a workload.
    struct Kind {
        double share { 0 }; // Of the jobs.
        Urgency urgency { Urgency::Patient };
        std::vector<std::int64_t> members;
        std::int64_t accelerators { 1 };
        Adjacency adjacency { Adjacency::Domain };
        Millis median { minute };
        double sigma { 1 }; // Of the logarithm of the run time.
        double checkpointable { 0.7 };
        double stoppable { 0.8 };
    };

    class Maker {
    public:
        explicit Maker(std::uint64_t seed)
            : random(seed)
        {
        }

        void addWorkers(std::int64_t count, const decide::Amounts& capacity)
        {
            for (std::int64_t i = 0; i < count; ++i)
                this->addWorker(capacity);
        }

        void addWorker(const decide::Amounts& capacity)
        {
            const auto id = static_cast<decide::WorkerId>(this->load.workers.size());
            this->load.workers.push_back({ id, id / 8, capacity });
            this->load.accelerators += capacity.accelerators;
        }

        void addWorkspace(std::vector<decide::GuaranteedShape> shapes)
        {
            const auto id = static_cast<decide::WorkspaceId>(this->load.text.workspaces.size());
            this->load.text.workspaces.push_back({ .workspace = id, .guarantees = std::move(shapes) });
        }

        // Jobs of these kinds until they fill the given share of the cluster.
        void fill(const std::vector<Kind>& kinds, Millis horizon, double wanted)
        {
            const double budget = wanted * static_cast<double>(this->load.accelerators) * static_cast<double>(horizon);
            double work = 0;
            while (work < budget) {
                const Arrival arrival = this->draw(kinds, this->burstyTime(horizon));
                work += static_cast<double>(arrival.runTime * arrival.job.members * arrival.job.perMember.accelerators);
                this->load.arrivals.push_back(arrival);
            }
        }

        void addMany(const Kind& kind, int count, Millis at, Millis within)
        {
            for (int i = 0; i < count; ++i)
                this->load.arrivals.push_back(this->draw({ kind }, at + this->below(within)));
        }

        // A wave of callers who change their minds.
        void cancelSome(double share, Millis at)
        {
            for (Arrival& arrival : this->load.arrivals) {
                if (arrival.job.submittedAt < at && this->chance(share))
                    arrival.cancelAt = at + this->below(10 * second);
            }
        }

        void breakSome(int broken, int outages, Millis horizon)
        {
            const auto count = static_cast<Millis>(this->load.workers.size());
            for (int i = 0; i < broken; ++i)
                this->load.broken.push_back(static_cast<decide::WorkerId>(this->below(count)));
            for (int i = 0; i < outages; ++i) {
                const Millis from = this->below(horizon);
                this->load.outages.push_back({ static_cast<decide::WorkerId>(this->below(count)), from, from + 10 * minute });
            }
        }

        Workload finish()
        {
            auto& arrivals = this->load.arrivals;
            std::stable_sort(arrivals.begin(), arrivals.end(),
                [](const Arrival& a, const Arrival& b) { return a.job.submittedAt < b.job.submittedAt; });
            for (std::size_t i = 0; i < arrivals.size(); ++i)
                arrivals[i].job.job = i;
            return std::move(this->load);
        }

        std::mt19937_64 random;
        Workload load;

    private:
        Millis below(Millis bound) { return static_cast<Millis>(this->random() % static_cast<std::uint64_t>(bound)); }
        double unit() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
        bool chance(double share) { return this->unit() < share; }

        // A fifth of the time is busy, and half of all jobs come then.
        Millis burstyTime(Millis horizon)
        {
            constexpr Millis cycle = 2 * hour;
            const Millis start = this->below(horizon / cycle) * cycle;
            return start + (this->chance(0.5) ? this->below(cycle / 5) : this->below(cycle));
        }

        Arrival draw(const std::vector<Kind>& kinds, Millis at)
        {
            double pick = this->unit();
            std::size_t index = 0;
            while (index + 1 < kinds.size() && pick >= kinds[index].share)
                pick -= kinds[index++].share;
            const Kind& kind = kinds[index];
            Arrival arrival;
            const double drawn = std::lognormal_distribution<double>(std::log(static_cast<double>(kind.median)), kind.sigma)(this->random);
            arrival.runTime = std::clamp<Millis>(static_cast<Millis>(drawn), second, 12 * hour);
            decide::JobSubmitted& job = arrival.job;
            job.workspace = static_cast<decide::WorkspaceId>(this->below(static_cast<Millis>(this->load.text.workspaces.size())));
            job.jobClass = static_cast<decide::ClassId>(index);
            job.urgency = kind.urgency;
            job.members = kind.members[this->below(static_cast<Millis>(kind.members.size()))];
            job.perMember = { kind.accelerators, 2 * kind.accelerators, 4096 * kind.accelerators };
            job.adjacency = kind.adjacency;
            job.declaredRunTime = static_cast<Millis>(static_cast<double>(arrival.runTime) * std::pow(10.0, 2 * this->unit() - 1));
            job.checkpointable = this->chance(kind.checkpointable);
            job.stoppable = this->chance(kind.stoppable);
            job.checkpointTime = 20 * second;
            job.submittedAt = at;
            arrival.alwaysFails = this->chance(0.005);
            return arrival;
        }
    };

    Workload makeKitami(std::uint64_t seed, bool burst)
    {
        Maker maker(seed);
        maker.addWorkers(50, { 8, 128, 524288 });
        maker.addWorkspace({ { 2, 32, Adjacency::Rack } });
        maker.addWorkspace({ { 4, 8, Adjacency::Worker } });
        maker.addWorkspace({ { 16, 1, Adjacency::Worker } });
        maker.addWorkspace({});
        const std::vector<Kind> kinds {
            { 0.10, Urgency::Urgent, { 1 }, 1, Adjacency::Worker, 20 * second, 0.5, 0, 1 },
            { 0.60, Urgency::Patient, { 1 }, 1, Adjacency::Worker, 8 * minute, 1.2 }, // Photo sorting.
            { 0.25, Urgency::Patient, { 1, 2, 4 }, 4, Adjacency::Rack, 25 * minute, 1.0 }, // Route maps.
            { 0.05, Urgency::Ordinary, { 4, 8 }, 8, Adjacency::Domain, 40 * minute, 0.8, 1.0 }, // Wide renders.
        };
        maker.load.largeGang = 32;
        const Millis horizon = 12 * hour;
        maker.fill(kinds, burst ? 4 * hour : horizon, burst ? 0.3 : load);
        if (burst) {
            maker.addMany({ 1, Urgency::Patient, { 1 }, 1, Adjacency::Worker, 2 * minute, 1.2 }, 10000, hour, minute);
            maker.addMany({ 1, Urgency::Ordinary, { 4, 6, 8 }, 8, Adjacency::Domain, 30 * minute, 0.6, 1.0 }, 200, hour, minute);
        }
        maker.cancelSome(0.02, 6 * hour);
        maker.breakSome(1, 2, horizon);
        return maker.finish();
    }

    Workload makeLaurentide(std::uint64_t seed)
    {
        Maker maker(seed);
        maker.addWorkers(50, { 8, 64, 131072 });
        maker.addWorkspace({ { 4, 16, Adjacency::Rack } });
        maker.addWorkspace({ { 8, 8, Adjacency::Worker } });
        maker.addWorkspace({ { 2, 32, Adjacency::Rack } });
        maker.addWorkspace({ { 16, 1, Adjacency::Worker } });
        const std::vector<Kind> kinds {
            { 0.05, Urgency::Urgent, { 1 }, 1, Adjacency::Worker, 30 * second, 0.5, 0, 1 }, // Proofs.
            { 0.60, Urgency::Patient, { 1 }, 1, Adjacency::Worker, 5 * minute, 1.0 }, // Lettering checks.
            { 0.20, Urgency::Ordinary, { 1, 2 }, 8, Adjacency::Rack, 30 * minute, 0.9 },
            { 0.15, Urgency::Patient, { 4 }, 4, Adjacency::Rack, 60 * minute, 0.8, 1.0 }, // Engraving renders.
        };
        maker.load.largeGang = 16;
        const Millis horizon = 12 * hour;
        maker.fill(kinds, horizon, load - 0.03);
        // A parks clerk's batch before the council's deadline.
        maker.addMany({ 1, Urgency::Ordinary, { 1 }, 1, Adjacency::Worker, 4 * minute, 0.6 }, 400, 7 * hour, minute);
        maker.addMany({ 1, Urgency::Ordinary, { 2 }, 8, Adjacency::Rack, 20 * minute, 0.5 }, 15, 7 * hour, minute);
        maker.cancelSome(0.02, 6 * hour);
        maker.breakSome(1, 2, horizon);
        return maker.finish();
    }

    Workload makeLetter(std::int64_t workers, Millis horizon, std::uint64_t seed)
    {
        Maker maker(seed);
        // 4,600 workers with 5,900 accelerators: some have two, most have one.
        for (std::int64_t i = 0; i < workers; ++i) {
            const std::int64_t accelerators = (i + 1) * 1300 / 4600 > i * 1300 / 4600 ? 2 : 1;
            maker.addWorker({ accelerators, 32, 131072 });
        }
        const std::int64_t workspaces = std::max<std::int64_t>(4, 540 * workers / 4600);
        for (std::int64_t i = 0; i < workspaces; ++i) {
            if (i % 10 == 0)
                maker.addWorkspace({ { 1, 16, Adjacency::Domain } });
            else if (i % 2 == 0)
                maker.addWorkspace({ { 1, 6, Adjacency::Rack } });
            else
                maker.addWorkspace({ { 4, 1, Adjacency::Worker } });
        }
        const std::int64_t wide = std::min<std::int64_t>(512, workers / 4);
        const std::vector<Kind> kinds {
            { 0.05, Urgency::Urgent, { 1 }, 1, Adjacency::Worker, 2 * minute, 0.8, 0, 1 },
            { 0.65, Urgency::Patient, { 1, 1, 2 }, 1, Adjacency::Domain, 100 * minute, 0.9 },
            { 0.20, Urgency::Ordinary, { 2, 4, 6 }, 1, Adjacency::Rack, 2 * hour, 0.7 },
            { 0.094, Urgency::Patient, { 8, 16, 32 }, 1, Adjacency::Domain, 2 * hour, 0.7, 1.0 },
            { 0.006, Urgency::Ordinary, { wide / 4, wide / 2, wide }, 1, Adjacency::Domain, 90 * minute, 0.5, 1.0 },
        };
        maker.load.largeGang = 64;
        maker.fill(kinds, horizon, load);
        maker.breakSome(static_cast<int>(workers / 1000 + 1), static_cast<int>(43 * workers / 4600), horizon);
        return maker.finish();
    }

    struct Remaining {
        double work { 0 };
        Millis arrived { 0 };
        bool operator>(const Remaining& other) const { return this->work > other.work; }
    };

} // namespace

std::string_view nameOf(WorkloadKind kind)
{
    constexpr std::array<std::string_view, 4> names { "kitami", "laurentide", "letter", "burst" };
    return names.at(static_cast<std::size_t>(kind));
}

Workload makeWorkload(WorkloadKind kind, std::uint64_t seed)
{
    switch (kind) {
    case WorkloadKind::Kitami:
        return makeKitami(seed, false);
    case WorkloadKind::Laurentide:
        return makeLaurentide(seed);
    case WorkloadKind::Letter:
        return makeLetter(4600, 24 * hour, seed);
    case WorkloadKind::Burst:
        break;
    }
    return makeKitami(seed, true);
}

Workload makeScaled(std::int64_t workers, std::uint64_t seed) { return makeLetter(workers, 6 * hour, seed); }

double lowerBound(const Workload& workload, const std::vector<bool>& counted)
{
    std::priority_queue<Remaining, std::vector<Remaining>, std::greater<>> open;
    const auto speed = static_cast<double>(workload.accelerators);
    double time = 0;
    double flow = 0;
    double runTimes = 0;
    std::size_t jobs = 0;
    const auto runUntil = [&](double end) {
        while (!open.empty() && time < end) {
            Remaining first = open.top();
            open.pop();
            const double needs = first.work / speed;
            if (time + needs <= end) {
                time += needs;
                flow += time - static_cast<double>(first.arrived);
                continue;
            }
            first.work -= (end - time) * speed;
            time = end;
            open.push(first);
        }
        time = std::max(time, end);
    };
    for (std::size_t i = 0; i < workload.arrivals.size(); ++i) {
        const Arrival& arrival = workload.arrivals[i];
        if (!counted[i])
            continue;
        ++jobs;
        runTimes += static_cast<double>(arrival.runTime);
        runUntil(static_cast<double>(arrival.job.submittedAt));
        open.push({ static_cast<double>(arrival.runTime * arrival.job.members * arrival.job.perMember.accelerators),
            arrival.job.submittedAt });
    }
    runUntil(1e18);
    return jobs == 0 ? 0 : std::max(runTimes, flow) / static_cast<double>(jobs);
}

} // namespace rattan::bench
