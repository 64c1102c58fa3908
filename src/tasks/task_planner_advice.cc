// Queues with an external policy: an advice service decides which workers may run a step, and
// each start on them carries a ticket. The service handles one request at a time, and its time
// grows with each worker in the request. So requests name a few dozen workers, first those that
// could run the step immediately, and end once the step is placed.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>

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
        if (stepAdvice.ticketFor(this->workers.at(worker.id).description.incarnation, now + minTicketValidity))
            allowed.insert(worker.id);
    }
    return allowed;
}

// Workers that could run a member and for which no valid verdict is known.
std::vector<AdviceCandidate> TaskPlanner::adviceCandidates(const StepAdvice& stepAdvice, const Snapshot& snapshot, const PlacementRequest& request, Millis now) const
{
    std::vector<AdviceCandidate> candidates;
    PlacementRequest anywhere = request;
    anywhere.allowedWorkers = nullptr;
    for (const SnapshotWorker& worker : snapshot.workers) {
        const Incarnation& incarnation = this->workers.at(worker.id).description.incarnation;
        if (!snapshot.isEligible(worker, anywhere) || !request.perMember.fitsIn(worker.capacity) || !stepAdvice.needsRequest(incarnation, now + minTicketValidity))
            continue;
        candidates.push_back({ &worker, worker.rack == request.rack, request.perMember.fitsIn(worker.free) && request.perMember.fitsIn(worker.freeAfterStops) });
    }
    return candidates;
}

// Whether the step may send a request now; if so, counts it as sent in this pass. Tickets expire,
// so a step whose workers are busy requests advice repeatedly, and a few such steps would use all
// requests and starve the steps after them. Therefore each step sends at most one request per
// pass over all steps. Rounds of urgent units are exempt.
bool TaskPlanner::claimAdviceTurn(StepAdvice& stepAdvice)
{
    const bool isFullRound = this->round.kind == RoundKind::Full;
    if (isFullRound && stepAdvice.lastPass == this->advicePass)
        return false;
    if (this->pendingAdviceRequests >= maxPendingAdviceRequests) {
        this->hasDeferredAdvice = true;
        return false;
    }
    if (isFullRound)
        stepAdvice.lastPass = this->advicePass;
    return true;
}

// Returns whether the unit can be placed on, or can wait for, the workers in
// `request.allowedWorkers`. Otherwise requests advice on further workers, if a request can be
// sent now.
bool TaskPlanner::resolveAdvice(const Unit& unit, const Snapshot& snapshot, PlacementRequest& request, Millis now)
{
    StepAdvice& stepAdvice = this->adviceByStep[stepOf(unit.key)];
    if (snapshot.findFree(request))
        return true;
    std::vector<AdviceCandidate> candidates = this->adviceCandidates(stepAdvice, snapshot, request, now);
    if (candidates.empty() && stepAdvice.requestedWorkers.empty() && !snapshot.fitsWhenEmpty(request)) {
        request.excludedWorkers = nullptr; // The policy allows too few other workers.
        candidates = this->adviceCandidates(stepAdvice, snapshot, request, now);
    }
    if (!request.rack.empty() && std::none_of(candidates.begin(), candidates.end(), [](const AdviceCandidate& candidate) { return candidate.nearData; }) && !snapshot.fitsWhenEmpty(request))
        request.rack.clear(); // No worker of the rack is allowed.
    if (snapshot.findFree(request))
        return true;
    if (candidates.empty())
        return stepAdvice.requestedWorkers.empty();
    std::stable_sort(candidates.begin(), candidates.end(), [](const AdviceCandidate& a, const AdviceCandidate& b) { return std::pair(a.nearData, a.fitsNow) > std::pair(b.nearData, b.fitsNow); });
    if (stepAdvice.requestedWorkers.empty() && now >= stepAdvice.notBefore && this->claimAdviceTurn(stepAdvice)) {
        AdviceOrder order { .step = stepOf(unit.key), .terms = unit.terms->advice, .workers = {} };
        for (std::size_t i = 0; i < std::min(candidates.size(), maxWorkersPerAdviceRequest); ++i) {
            order.workers.push_back(candidates[i].worker->id);
            stepAdvice.requestedWorkers.push_back(this->workers.at(candidates[i].worker->id).description.incarnation);
        }
        ++this->pendingAdviceRequests;
        ++stepAdvice.requests;
        this->adviceOrders.push_back(std::move(order));
    }
    return false;
}

void TaskPlanner::adviceAnswered(const StepKey& step, const std::vector<AllowedWorker>& allowed, Millis now)
{
    --this->pendingAdviceRequests;
    this->pacer.markChanged();
    const auto found = this->adviceByStep.find(step);
    const auto job = this->jobs.find(step.job);
    if (found == this->adviceByStep.end() || job == this->jobs.end())
        return; // The job is final.
    StepAdvice& stepAdvice = found->second;
    stepAdvice.answeredAt = now;
    for (const Incarnation& incarnation : stepAdvice.requestedWorkers) {
        const auto row = std::find_if(allowed.begin(), allowed.end(), [&](const AllowedWorker& worker) { return worker.id == incarnation.id; });
        if (row == allowed.end())
            stepAdvice.deny(incarnation);
        else
            stepAdvice.allow(incarnation, row->ticket, now + job->second.terms->advice.ticketValidity);
    }
    stepAdvice.requestedWorkers.clear();
}

void TaskPlanner::adviceFailed(const StepKey& step, Millis now)
{
    --this->pendingAdviceRequests;
    const auto found = this->adviceByStep.find(step);
    if (found == this->adviceByStep.end())
        return;
    found->second.requestedWorkers.clear();
    found->second.notBefore = now + adviceRetryDelay;
}

// What is known of the workers that may run the unit's step, for the log; empty if its queue has no policy.
std::string TaskPlanner::adviceText(const Unit& unit, Millis now) const
{
    const auto found = this->adviceByStep.find(stepOf(unit.key));
    if (found == this->adviceByStep.end())
        return "";
    const StepAdvice& stepAdvice = found->second;
    const StepAdvice::Counts counts = stepAdvice.count(now + minTicketValidity);
    const std::string answered = stepAdvice.answeredAt > 0 ? fmt::format("the last answer {} ms ago", now - stepAdvice.answeredAt) : "no answer";
    return fmt::format(", advice: {} workers allowed, {} with a usable ticket, tickets valid for {} ms, {} requests, {}", counts.allowed, counts.ticketed, unit.terms->advice.ticketValidity, stepAdvice.requests, answered);
}

void TaskPlanner::forgetAdvice(const std::string& job)
{
    auto next = this->adviceByStep.lower_bound({ job, 0, 0 });
    while (next != this->adviceByStep.end() && next->first.job == job)
        next = this->adviceByStep.erase(next);
}

} // namespace rattan::tasks
