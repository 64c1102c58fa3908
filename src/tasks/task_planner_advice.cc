// Queues whose policy lies outside: which workers may run a step has to be asked, and
// each start there carries a ticket. A question takes the service time for every worker
// named, and it answers one at a time. So the workers that could take the step at once are
// asked first, a few dozen at a time, and no more once the step has a place.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>

namespace rattan::tasks {

using namespace detail;

namespace {

    StepKey stepOf(const UnitKey& unit) { return { unit.job, unit.occurrence, unit.step }; }

} // namespace

const std::string* TaskPlanner::ticketFor(const UnitKey& unit, const Incarnation& incarnation, Millis now) const
{
    const auto found = this->adviceByStep.find(stepOf(unit));
    return found == this->adviceByStep.end() ? nullptr : found->second.ticketFor(incarnation, now);
}

std::set<std::string> TaskPlanner::allowedWorkers(const StepAdvice& stepAdvice, const Snapshot& snapshot, Millis now) const
{
    std::set<std::string> allowed;
    for (const SnapshotWorker& worker : snapshot.workers) {
        if (stepAdvice.ticketFor(this->workers.at(worker.id).seen.incarnation, now + minTicketValidity))
            allowed.insert(worker.id);
    }
    return allowed;
}

// Workers that could take a member and of which it is not known whether they may.
std::vector<Askable> TaskPlanner::adviceCandidates(const StepAdvice& stepAdvice, const Snapshot& snapshot, const PlacementRequest& request, Millis now) const
{
    std::vector<Askable> candidates;
    PlacementRequest anywhere = request;
    anywhere.allowed = nullptr;
    for (const SnapshotWorker& worker : snapshot.workers) {
        const Incarnation& incarnation = this->workers.at(worker.id).seen.incarnation;
        if (!snapshot.suits(worker, anywhere) || !request.each.within(worker.capacity) || !stepAdvice.isOpen(incarnation, now + minTicketValidity))
            continue;
        candidates.push_back({ &worker, worker.rack == request.rack, request.each.within(worker.free) && request.each.within(worker.afterStops) });
    }
    return candidates;
}

// Tickets run out, so a step whose workers are busy asks again and again; a few of those
// would take all questions, and steps after them would never have one. So who has asked lets
// all others go first. Rounds of urgent units come between and need not wait.
bool TaskPlanner::claimAdviceTurn(StepAdvice& stepAdvice)
{
    const bool isWholeRound = this->round.kind == RoundKind::Whole;
    if (isWholeRound && stepAdvice.askedIn == this->advicePass)
        return false;
    if (this->pendingAdviceRequests >= maxPendingAdviceRequests) {
        this->hasDeferredAdvice = true;
        return false;
    }
    if (isWholeRound)
        stepAdvice.askedIn = this->advicePass;
    return true;
}

// Whether the unit can be placed, or waited for, on the workers that `request.allowed`
// holds; else the advice service is asked about others.
bool TaskPlanner::resolveAdvice(const Unit& unit, const Snapshot& snapshot, PlacementRequest& request, Millis now)
{
    StepAdvice& stepAdvice = this->adviceByStep[stepOf(unit.key)];
    if (snapshot.findFree(request))
        return true;
    std::vector<Askable> candidates = this->adviceCandidates(stepAdvice, snapshot, request, now);
    if (candidates.empty() && stepAdvice.underWay.empty() && !snapshot.couldEverFit(request)) {
        request.avoid = nullptr; // Its policy leaves no others.
        candidates = this->adviceCandidates(stepAdvice, snapshot, request, now);
    }
    if (!request.rack.empty() && std::none_of(candidates.begin(), candidates.end(), [](const Askable& candidate) { return candidate.near; }) && !snapshot.couldEverFit(request))
        request.rack.clear(); // None of its rack may run it.
    if (snapshot.findFree(request))
        return true;
    if (candidates.empty())
        return stepAdvice.underWay.empty();
    std::stable_sort(candidates.begin(), candidates.end(), [](const Askable& a, const Askable& b) { return std::pair(a.near, a.free) > std::pair(b.near, b.free); });
    if (stepAdvice.underWay.empty() && now >= stepAdvice.notBefore && this->claimAdviceTurn(stepAdvice)) {
        AdviceOrder order { .step = stepOf(unit.key), .terms = unit.job->terms.advice, .workers = {} };
        for (std::size_t i = 0; i < std::min(candidates.size(), maxWorkersPerAdviceRequest); ++i) {
            order.workers.push_back(candidates[i].worker->id);
            stepAdvice.underWay.push_back(this->workers.at(candidates[i].worker->id).seen.incarnation);
        }
        ++this->pendingAdviceRequests;
        this->adviceOrders.push_back(std::move(order));
    }
    return false;
}

void TaskPlanner::adviceAnswered(const StepKey& step, const std::vector<AllowedWorker>& allowed, Millis now)
{
    --this->pendingAdviceRequests;
    this->pacer.changed();
    const auto found = this->adviceByStep.find(step);
    const auto job = this->jobs.find(step.job);
    if (found == this->adviceByStep.end() || job == this->jobs.end())
        return; // The job is over.
    StepAdvice& stepAdvice = found->second;
    for (const Incarnation& incarnation : stepAdvice.underWay) {
        const auto row = std::find_if(allowed.begin(), allowed.end(), [&](const AllowedWorker& worker) { return worker.id == incarnation.id; });
        if (row == allowed.end())
            stepAdvice.deny(incarnation);
        else
            stepAdvice.allow(incarnation, row->ticket, now + job->second.job->terms.advice.valid);
    }
    stepAdvice.underWay.clear();
}

void TaskPlanner::adviceFailed(const StepKey& step, Millis now)
{
    --this->pendingAdviceRequests;
    const auto found = this->adviceByStep.find(step);
    if (found == this->adviceByStep.end())
        return;
    found->second.underWay.clear();
    found->second.notBefore = now + adviceRetryDelay;
}

void TaskPlanner::forgetAdvice(const std::string& job)
{
    auto next = this->adviceByStep.lower_bound({ job, 0, 0 });
    while (next != this->adviceByStep.end() && next->first.job == job)
        next = this->adviceByStep.erase(next);
}

} // namespace rattan::tasks
