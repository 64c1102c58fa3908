// The policy of rattanrock.
//
// Ranks go strictly one after the other, except that patient jobs that have
// waited past a bound move up. Within a rank the workspace with the smallest
// weighted share goes first (dominant-resource fairness over accelerators), and
// within a workspace the job with the smallest order. The order of a job is its
// submit time plus a multiple of its estimated run time: short jobs go first,
// and no job is overtaken by those that come later than that. It needs no
// declared time to be right: a wrong estimate moves a job, never blocks one.
//
// A job is placed, in this order: in free homes of its workspace; in borrowed
// room, if it can be evicted; outside all homes, if it cannot; in its homes, by
// evicting who borrows them; and, if urgent or overdue, by evicting borrowed
// work that comes after it.

#include "decide/eviction.h"
#include "decide/guarantee_match.h"

#include <algorithm>
#include <queue>
#include <set>
#include <tuple>

namespace rattan::decide::detail {

namespace {

    constexpr std::size_t mostVisits = 512; // Jobs looked at in one pass.
    constexpr std::size_t mostStarts = 256; // In one pass; the rest follows at once.
    constexpr std::size_t mostOverdueClaims = 2;
    constexpr std::size_t mostMoveClaims = 4;
    constexpr int movesPerLine = 4;
    constexpr Millis moveHorizon = 10 * 60 * 1000;
    constexpr Millis restartTime = 10000;
    constexpr Millis reviewEvery = 5000; // While jobs wait.
    constexpr Millis promoteAfter = 4 * 3600 * 1000;

    class GuaranteedPolicy final : public PlacementPolicy {
    public:
        Millis orderOf(const Engine& engine, const JobRecord& job) const override
        {
            const auto stretched = static_cast<Millis>(
                engine.options.stretch * static_cast<double>(engine.estimate(job)));
            return job.spec.submittedAt + std::min(stretched, engine.options.longestOvertaking);
        }

        void dispatch(Engine&, Millis now) override;
        Millis nextWake() const override { return this->wake; }

    private:
        Millis wake { never };
    };

    // One call of dispatch.
    class Pass {
    public:
        Pass(Engine& engine, Millis now)
            : engine(engine)
            , now(now)
        {
        }

        void promote();
        void run(Urgency);
        void claimOverdue(Urgency);
        void moveForWaiting(Urgency);
        bool spent() const { return this->visits >= mostVisits || this->misses >= this->engine.options.mostAttemptsPerStep; }
        bool cutShort() const { return this->starts >= mostStarts; }

    private:
        // What a search for room depends on.
        using ShapeKey = std::tuple<bool, std::int64_t, std::int64_t, std::int64_t, std::int64_t, Adjacency>;

        bool tryPlace(JobRecord&);
        bool placeAtHome(JobRecord&, std::optional<HomeMatch>&);
        bool placeInRoom(JobRecord&);
        bool reclaim(JobRecord&, HomeMatch&);
        bool claimByEviction(JobRecord&, const MayEvict&, StopReason, bool atOnce);
        bool claimUrgent(JobRecord&);
        void moveFor(JobRecord&);
        void yieldOwnHome(const JobRecord&);
        bool evictAndClaim(JobRecord&, std::vector<Placement>, Right, std::vector<Grant>, const MayEvict&, StopReason,
            bool atOnce);
        void dropLesserClaims(const std::vector<Placement>&);
        bool evictable(const JobRecord& job) const
        {
            return job.evictable(this->engine.options.borrowCheckpointLimit) || this->engine.fault == Fault::LendToAll;
        }
        ShapeKey keyOf(const JobRecord& job) const
        {
            const Amounts& each = job.spec.perMember;
            return { this->evictable(job), job.spec.members, each.accelerators, each.cores, each.memoryMb,
                job.spec.adjacency };
        }
        double shareOf(WorkspaceId) const;

        Engine& engine;
        Millis now;
        std::size_t visits { 0 };
        std::int64_t misses { 0 };
        std::size_t starts { 0 };
        std::set<ShapeKey> noRoom;
    };

    void GuaranteedPolicy::dispatch(Engine& engine, Millis now)
    {
        Pass pass(engine, now);
        pass.promote();
        for (const Urgency rank : { Urgency::Urgent, Urgency::Ordinary, Urgency::Patient })
            pass.run(rank);
        for (const Urgency rank : { Urgency::Ordinary, Urgency::Patient })
            pass.claimOverdue(rank);
        for (const Urgency rank : { Urgency::Ordinary, Urgency::Patient })
            pass.moveForWaiting(rank);
        this->wake = never;
        if (engine.queue.size() > 0)
            this->wake = pass.cutShort() ? now : now + reviewEvery;
    }

    // The bound on how long patient work waits behind ordinary work.
    void Pass::promote()
    {
        for (int i = 0; i < 16; ++i) {
            JobRecord* due = nullptr;
            for (const auto& [workspace, line] : this->engine.queue.linesOf(Urgency::Patient)) {
                if (line.begin()->order + promoteAfter <= this->now) {
                    due = this->engine.find(line.begin()->job);
                    break;
                }
            }
            if (!due)
                return;
            this->engine.changeRank(*due, Urgency::Ordinary);
        }
    }

    double Pass::shareOf(WorkspaceId workspace) const
    {
        const auto found = this->engine.workspaces.find(workspace);
        const double used = found == this->engine.workspaces.end() ? 0 : static_cast<double>(found->second.used);
        const double evenShare = static_cast<double>(this->engine.workers.capacity())
            / static_cast<double>(std::max<std::size_t>(this->engine.workspaces.size(), 1));
        return used / (static_cast<double>(this->engine.book.unitsOf(workspace)) + evenShare + 1);
    }

    void Pass::run(Urgency rank)
    {
        struct Turn {
            double share { 0 };
            WorkspaceId workspace { 0 };
            QueueEntry after; // The last one looked at.
            bool operator>(const Turn& other) const
            {
                return std::tie(this->share, this->workspace) > std::tie(other.share, other.workspace);
            }
        };
        std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
        const JobQueue::Lines& lines = this->engine.queue.linesOf(rank);
        for (const auto& [workspace, line] : lines)
            turns.push({ this->shareOf(workspace), workspace, { std::numeric_limits<Millis>::min(), 0 } });
        while (!turns.empty() && !this->spent() && !this->cutShort()) {
            Turn turn = turns.top();
            turns.pop();
            const auto line = lines.find(turn.workspace);
            if (line == lines.end())
                continue;
            const auto entry = line->second.upper_bound(turn.after);
            if (entry == line->second.end())
                continue;
            turn.after = *entry;
            ++this->visits;
            JobRecord& job = this->engine.jobs.at(entry->job);
            if (this->engine.mayStart(job) && this->tryPlace(job))
                ++this->starts;
            turn.share = this->shareOf(turn.workspace);
            turns.push(turn);
        }
    }

    bool Pass::tryPlace(JobRecord& job)
    {
        std::optional<HomeMatch> home;
        if (this->placeAtHome(job, home) || this->placeInRoom(job))
            return true;
        if (job.spec.urgency == Urgency::Urgent && this->claimUrgent(job))
            return true;
        if (home && this->reclaim(job, *home))
            return true;
        if (job.spec.urgency == Urgency::Urgent)
            this->yieldOwnHome(job);
        return false;
    }

    bool Pass::placeAtHome(JobRecord& job, std::optional<HomeMatch>& home)
    {
        const WorkspaceId workspace = job.spec.workspace;
        home = matchHomes(this->engine.book, this->engine.workers, workspace, job.shape());
        if (home && !home->free && home->slot
            && tradeForFree(this->engine.book, this->engine.workers, *home->slot, job.shape(), this->engine.random()))
            home = matchHomes(this->engine.book, this->engine.workers, workspace, job.shape());
        if (!home || !home->free)
            return false;
        this->engine.start(job, std::move(home->placements), Right::Guaranteed, std::move(home->grants));
        return true;
    }

    bool Pass::placeInRoom(JobRecord& job)
    {
        if (this->noRoom.contains(this->keyOf(job)))
            return false;
        const bool borrows = this->evictable(job);
        GangShape shape = job.shape();
        if (this->engine.fault == Fault::IgnoreAdjacency)
            shape.adjacency = Adjacency::Domain;
        const Amounts& each = job.spec.perMember;
        const WorkerTable& workers = this->engine.workers;
        const bool ignoresPlan = borrows || this->engine.fault == Fault::IgnorePlan;
        const FitsOn fits = [&](WorkerId worker, std::int64_t limit) {
            const WorkerRecord& record = workers[worker];
            limit = timesInto(record.room(), each, limit);
            const std::int64_t units = record.unitsOf(each);
            if (!ignoresPlan && units > 0)
                limit = std::min(limit, std::max<std::int64_t>(record.unpromised(), 0) / units);
            return limit;
        };
        const RoomIndex& index = ignoresPlan ? workers.room() : workers.unpromised();
        std::optional<std::vector<Placement>> places;
        // A second failure elsewhere tells a bad job from a bad worker.
        if (!job.failedOn.empty()) {
            const FitsOn elsewhere = [&](WorkerId worker, std::int64_t limit) {
                const bool failedHere = std::find(job.failedOn.begin(), job.failedOn.end(), worker) != job.failedOn.end();
                return failedHere ? 0 : fits(worker, limit);
            };
            places = findPlaces(index, shape, elsewhere, this->engine.random());
        }
        if (!places)
            places = findPlaces(index, shape, fits, this->engine.random());
        if (!places) {
            this->noRoom.insert(this->keyOf(job));
            ++this->misses;
            return false;
        }
        this->engine.start(job, std::move(*places), borrows ? Right::Borrowed : Right::Firm, {});
        return true;
    }

    bool Pass::reclaim(JobRecord& job, HomeMatch& home)
    {
        this->dropLesserClaims(home.placements);
        const MayEvict borrowed = [](const JobRecord& victim) { return victim.right == Right::Borrowed; };
        return this->evictAndClaim(
            job, std::move(home.placements), Right::Guaranteed, std::move(home.grants), borrowed, StopReason::Reclaimed, job.spec.urgency == Urgency::Urgent);
    }

    // A guarantee goes before a claim that is none.
    void Pass::dropLesserClaims(const std::vector<Placement>& placements)
    {
        for (const Placement& placement : placements) {
            const std::vector<JobId> claims = this->engine.workers[placement.worker].claims;
            for (const JobId id : claims) {
                JobRecord& other = this->engine.jobs.at(id);
                if (other.state == JobState::Claiming && other.right != Right::Guaranteed)
                    this->engine.dropClaim(other);
            }
        }
    }

    bool Pass::evictAndClaim(JobRecord& job, std::vector<Placement> places, Right right, std::vector<Grant> grants,
        const MayEvict& may, StopReason reason, bool atOnce)
    {
        const auto victims = chooseVictims(this->engine, places, may, this->now);
        if (!victims) {
            ++this->misses;
            return false;
        }
        for (const JobId id : *victims)
            this->engine.evict(this->engine.jobs.at(id), reason, atOnce);
        this->engine.claim(job, std::move(places), right, std::move(grants));
        return true;
    }

    bool Pass::claimByEviction(JobRecord& job, const MayEvict& may, StopReason reason, bool atOnce)
    {
        if (!this->evictable(job) || static_cast<std::int64_t>(this->engine.claiming.size()) >= this->engine.options.mostClaims)
            return false;
        const WorkerTable& workers = this->engine.workers;
        const FitsOn fits = [&](WorkerId worker, std::int64_t limit) {
            return timesInto(roomAfter(this->engine, worker, may), job.spec.perMember, limit);
        };
        auto places = job.spec.urgency == Urgency::Urgent
            ? findPlaces(workers.reclaimable(), job.shape(), fits, this->engine.random())
            : findRoomiest(workers.room(), job.shape(), fits, this->engine.random());
        return places && this->evictAndClaim(job, std::move(*places), Right::Borrowed, {}, may, reason, atOnce);
    }

    // Urgent work cannot wait for a checkpoint: it takes the place of work that
    // stops at once, if there is any.
    bool Pass::claimUrgent(JobRecord& job)
    {
        const MayEvict lesser = [&](const JobRecord& victim) {
            return victim.right == Right::Borrowed && victim.spec.urgency != Urgency::Urgent && !victim.ending();
        };
        const MayEvict atOnce = [&](const JobRecord& victim) { return victim.stoppable() && lesser(victim); };
        return this->claimByEviction(job, atOnce, StopReason::Preempted, true)
            || this->claimByEviction(job, lesser, StopReason::Preempted, true);
    }

    // Has a less urgent gang of the same workspace give up its guarantee. The
    // urgent job, first in line, finds the home idle once that gang has gone; it
    // must hold it by guarantee, or the gang would reclaim it in turn.
    void Pass::yieldOwnHome(const JobRecord& job)
    {
        JobRecord* victim = nullptr;
        for (const SlotId id : this->engine.book.of(job.spec.workspace)) {
            for (const HomePiece& piece : this->engine.book.all()[id].pieces) {
                for (const JobId other : this->engine.workers[piece.worker].gangs) {
                    JobRecord& gang = this->engine.jobs.at(other);
                    const bool own = gang.spec.workspace == job.spec.workspace && gang.right == Right::Guaranteed;
                    if (!own || gang.spec.urgency <= job.spec.urgency || gang.shape().accelerators() < job.shape().accelerators())
                        continue;
                    if (gang.ending())
                        return; // On its way out already.
                    if (gang.evictable(this->engine.options.borrowCheckpointLimit) && (!victim || gang.stoppable() > victim->stoppable()))
                        victim = &gang;
                }
            }
        }
        if (victim)
            this->engine.evict(*victim, StopReason::Preempted, true);
    }

    // Jobs whose turn has come and that find no room get some from borrowed work
    // that stands behind them, a few at a time.
    void Pass::claimOverdue(Urgency rank)
    {
        std::vector<QueueEntry> heads;
        for (const auto& [workspace, line] : this->engine.queue.linesOf(rank)) {
            if (line.begin()->order <= this->now)
                heads.push_back(*line.begin());
        }
        std::sort(heads.begin(), heads.end());
        for (const QueueEntry& head : heads) {
            if (this->engine.claiming.size() >= mostOverdueClaims || this->spent())
                return;
            JobRecord& job = this->engine.jobs.at(head.job);
            if (!this->engine.mayStart(job))
                continue;
            const MayEvict behind = [&](const JobRecord& victim) {
                return victim.right == Right::Borrowed && victim.spec.urgency >= rank && victim.order > job.order
                    && victim.evictions < this->engine.options.mostEvictionsPerJob && victim.state == JobState::Running;
            };
            this->claimByEviction(job, behind, StopReason::Preempted, false);
        }
    }

    // A gang for which enough is free, but scattered, gets a place by moving a
    // little work that can be saved; that work finds other holes at once.
    void Pass::moveForWaiting(Urgency rank)
    {
        if (!this->engine.options.moves)
            return;
        std::vector<QueueEntry> waiting;
        for (const auto& [workspace, line] : this->engine.queue.linesOf(rank)) {
            auto entry = line.begin();
            for (int i = 0; i < movesPerLine && entry != line.end(); ++i, ++entry)
                waiting.push_back(*entry);
        }
        std::sort(waiting.begin(), waiting.end());
        for (const QueueEntry& entry : waiting) {
            if (this->engine.claiming.size() >= mostMoveClaims || this->spent())
                return;
            JobRecord& job = this->engine.jobs.at(entry.job);
            if (this->engine.mayStart(job) && this->engine.workers.room().total() >= job.shape().accelerators())
                this->moveFor(job);
        }
    }

    // The move is worth it while the accelerator time lost to saving and starting
    // again stays below what the gang would lose by waiting a while.
    void Pass::moveFor(JobRecord& job)
    {
        const std::int64_t size = job.shape().accelerators();
        const double worth = static_cast<double>(size) * static_cast<double>(std::min(this->engine.estimate(job), moveHorizon));
        const MayEvict movable = [&](const JobRecord& victim) {
            const std::int64_t victimSize = victim.shape().accelerators();
            const auto cost = static_cast<double>(victimSize * (victim.spec.checkpointTime + restartTime));
            return victim.right == Right::Borrowed && victim.spec.urgency != Urgency::Urgent
                && victim.state == JobState::Running && victim.savable(this->engine.options.borrowCheckpointLimit)
                && victim.evictions < this->engine.options.mostEvictionsPerJob && 2 * victimSize <= size && cost < worth;
        };
        if (this->engine.mayMove() && this->claimByEviction(job, movable, StopReason::Moved, false))
            this->engine.markMove();
    }

} // namespace

std::unique_ptr<PlacementPolicy> makeGuaranteed() { return std::make_unique<GuaranteedPolicy>(); }

} // namespace rattan::decide::detail
