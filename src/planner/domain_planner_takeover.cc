// How a planner comes to decide, and how it watches workers come and go.
//
// Epochs are unique: the low 16 bits come from the planner's incarnation, the
// rest counts up. Two planners that take over at the same moment from the same
// survey therefore get different epochs, and the workers prefer one of them.

#include "planner/domain_planner.h"

#include "base/log.h"
#include "planner/events.h"

#include <algorithm>
#include <functional>

namespace rattan::planner {

namespace {

    constexpr int epochCounterShift = 16;
    constexpr std::uint64_t epochOwnerMask = 0xffff;

    std::uint64_t epochAbove(std::uint64_t highest, const std::string& incarnation)
    {
        const std::uint64_t owner = std::hash<std::string>()(incarnation) & epochOwnerMask;
        return (((highest >> epochCounterShift) + 1) << epochCounterShift) | owner;
    }

    // How many members of the gang one worker's lease stands for.
    std::int64_t membersIn(const OrderMember& lease, const records::JobSpec& spec)
    {
        std::int64_t count = 1;
        if (spec.accelerators > 0)
            count = lease.accelerators / spec.accelerators;
        else if (spec.cores > 0)
            count = lease.cores / spec.cores;
        else if (spec.memoryMb > 0)
            count = lease.memoryMb / spec.memoryMb;
        return std::clamp<std::int64_t>(count, 1, spec.members);
    }

    bool holdsResources(const std::string& leaseState) { return leaseState != "failed" && leaseState != "lapsed"; }

} // namespace

void DomainPlanner::learn(const Survey& survey, Millis now)
{
    if (this->ownEpoch == 0) {
        this->ownEpoch = epochAbove(this->highestEpochSeen, this->options.incarnation);
        return;
    }
    this->found.clear();
    for (const SurveyedWorker& worker : survey.workers) {
        if (worker.reachable && worker.epoch == this->ownEpoch)
            this->collectGangs(worker);
    }
    this->adoptWholeGangs();
    if (survey.complete) {
        this->watchWorkers(survey, now);
        this->beginDeciding(now);
    }
}

void DomainPlanner::collectGangs(const SurveyedWorker& worker)
{
    for (const SurveyedLease& lease : worker.leases) {
        this->attemptsFound[lease.job] = std::max(this->attemptsFound[lease.job], lease.attempt);
        FoundGang& gang = this->found[{ lease.job, lease.attempt }];
        gang.job = lease.job;
        gang.attempt = lease.attempt;
        gang.size = lease.gangSize;
        gang.key = lease.key;
        gang.workspace = lease.workspace;
        gang.broken = gang.broken || !holdsResources(lease.state);
        gang.members.push_back({ worker.worker, worker.address, lease.accelerators, lease.cores, lease.memoryMb });
    }
}

// Leases run out within seconds, so a gang is taken over as soon as it is whole
// and not only when the last worker has answered.
void DomainPlanner::adoptWholeGangs()
{
    for (auto& [id, gang] : this->found) {
        const bool whole = static_cast<std::int64_t>(gang.members.size()) == gang.size && !gang.broken;
        if (!whole)
            continue;
        Order order = this->orderFor(OrderKind::AdoptGang, gang.job, gang.attempt, "");
        order.members = gang.members;
        order.key = gang.key;
        order.workspace = gang.workspace;
        this->orders.push_back(std::move(order));
        gang.adopted = true;
    }
}

void DomainPlanner::beginDeciding(Millis now)
{
    decide::Options decideOptions;
    decideOptions.seed = this->options.seed;
    this->decider.emplace(decideOptions);
    this->decider->pause(true);
    this->feed(this->textForDecider(), now);
    for (const auto& [name, facts] : this->workers) {
        if (facts.reachable)
            this->feed(decide::WorkerSeen { this->workerNames.idOf(name), this->rackNames.idOf(facts.rack), facts.capacity }, now);
        if (facts.reachable && facts.leaving)
            this->feed(decide::WorkerLeaving { this->workerNames.idOf(name) }, now);
    }
    for (const auto& [id, gang] : this->found)
        this->feed(this->learnedGang(gang), now);
    for (const std::uint64_t id : this->book.open())
        this->submitToDecider(*this->book.find(id), now);
    this->found.clear();
    this->currentStage = Stage::Deciding;
    this->decider->pause(false);
    this->feed(decide::Tick {}, now);
    logEvent(events::deciding, { { "domain", this->options.domain }, { "epoch", this->ownEpoch }, { "workers", this->workers.size() }, { "open_jobs", this->book.openCount() } });
}

// A worker holds one lease for all members of a gang that it runs, and the
// decisions count a placement for each member. Without the split, a gang taken
// over would seem to use less than it does.
decide::GangLearned DomainPlanner::learnedGang(const FoundGang& gang)
{
    decide::GangLearned learned { gang.job, gang.attempt, {}, gang.adopted, this->workspaceNames.idOf(gang.workspace) };
    const Job* job = this->book.find(gang.job);
    for (const OrderMember& member : gang.members) {
        const std::int64_t count = job ? membersIn(member, job->spec) : 1;
        const decide::Placement share { this->workerNames.idOf(member.worker), member.accelerators / count, member.cores / count, member.memoryMb / count };
        learned.placements.insert(learned.placements.end(), static_cast<std::size_t>(count), share);
    }
    return learned;
}

void DomainPlanner::watchWorkers(const Survey& survey, Millis now)
{
    std::set<std::string> listed;
    for (const SurveyedWorker& seen : survey.workers) {
        listed.insert(seen.worker);
        WorkerFacts& facts = this->workers[seen.worker];
        const WorkerFacts before = facts;
        // An unreachable worker keeps the address and size it had.
        if (seen.reachable) {
            facts.rack = seen.rack;
            facts.capacity = { seen.accelerators, seen.cores, seen.memoryMb };
        }
        facts.address = seen.address;
        facts.leaving = seen.leaving;
        facts.reachable = seen.reachable;
        if (!this->decider)
            continue;
        const decide::WorkerId id = this->workerNames.idOf(seen.worker);
        const bool resized = !(facts.capacity == before.capacity) || facts.rack != before.rack;
        if (facts.reachable && (!before.reachable || resized || (before.leaving && !facts.leaving)))
            this->feed(decide::WorkerSeen { id, this->rackNames.idOf(facts.rack), facts.capacity }, now);
        if (!facts.reachable && before.reachable)
            this->feed(decide::WorkerLost { id }, now);
        if (facts.reachable && facts.leaving && !before.leaving)
            this->feed(decide::WorkerLeaving { id }, now);
    }
    for (auto entry = this->workers.begin(); entry != this->workers.end();) {
        if (listed.contains(entry->first)) {
            ++entry;
            continue;
        }
        if (this->decider && entry->second.reachable)
            this->feed(decide::WorkerLost { this->workerNames.idOf(entry->first) }, now);
        entry = this->workers.erase(entry);
    }
}

} // namespace rattan::planner
