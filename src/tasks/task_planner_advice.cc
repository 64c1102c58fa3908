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
    const auto found = this->advice.find(stepOf(unit));
    return found == this->advice.end() ? nullptr : found->second.ticketFor(incarnation, now);
}

std::set<std::string> TaskPlanner::allowedWorkers(const StepAdvice& known, const Snapshot& snapshot, Millis now) const
{
    std::set<std::string> allowed;
    for (const SnapshotWorker& worker : snapshot.workers) {
        if (known.ticketFor(this->workers.at(worker.id).description.incarnation, now + ticketSpare))
            allowed.insert(worker.id);
    }
    return allowed;
}

// Workers that could take a member and of which it is not known whether they may.
std::vector<AdviceCandidate> TaskPlanner::askable(const StepAdvice& known, const Snapshot& snapshot, const PlacementRequest& request, Millis now) const
{
    std::vector<AdviceCandidate> open;
    PlacementRequest anywhere = request;
    anywhere.allowedWorkers = nullptr;
    for (const SnapshotWorker& worker : snapshot.workers) {
        const Incarnation& incarnation = this->workers.at(worker.id).description.incarnation;
        if (!snapshot.isEligible(worker, anywhere) || !request.perMember.fitsIn(worker.capacity) || !known.needsRequest(incarnation, now + ticketSpare))
            continue;
        open.push_back({ &worker, worker.rack == request.rack, request.perMember.fitsIn(worker.free) && request.perMember.fitsIn(worker.freeAfterStops) });
    }
    return open;
}

// Tickets run out, so a step whose workers are busy asks again and again; a few of those
// would take all questions, and steps after them would never have one. So who has asked lets
// all others go first. Rounds of urgent units come between and need not wait.
bool TaskPlanner::isAdviceTurn(StepAdvice& known)
{
    const bool takesTurns = this->round.kind == RoundKind::Full;
    if (takesTurns && known.lastPass == this->advicePass)
        return false;
    if (this->adviceUnderWay >= mostAdviceUnderWay) {
        this->isAdviceLeft = true;
        return false;
    }
    if (takesTurns)
        known.lastPass = this->advicePass;
    return true;
}

// Whether the unit can be placed, or waited for, on the workers that `request.allowed`
// holds; else the advice service is asked about others.
bool TaskPlanner::isAdvised(const Unit& unit, const Snapshot& snapshot, PlacementRequest& request, Millis now)
{
    StepAdvice& known = this->advice[stepOf(unit.key)];
    if (snapshot.findFree(request))
        return true;
    std::vector<AdviceCandidate> open = this->askable(known, snapshot, request, now);
    if (open.empty() && known.requestedWorkers.empty() && !snapshot.fitsWhenEmpty(request)) {
        request.excludedWorkers = nullptr; // Its policy leaves no others.
        open = this->askable(known, snapshot, request, now);
    }
    if (!request.rack.empty() && std::none_of(open.begin(), open.end(), [](const AdviceCandidate& candidate) { return candidate.nearData; }) && !snapshot.fitsWhenEmpty(request))
        request.rack.clear(); // None of its rack may run it.
    if (snapshot.findFree(request))
        return true;
    if (open.empty())
        return known.requestedWorkers.empty();
    std::stable_sort(open.begin(), open.end(), [](const AdviceCandidate& a, const AdviceCandidate& b) { return std::pair(a.nearData, a.fitsNow) > std::pair(b.nearData, b.fitsNow); });
    if (known.requestedWorkers.empty() && now >= known.notBefore && this->isAdviceTurn(known)) {
        AdviceOrder order { .step = stepOf(unit.key), .terms = unit.job->terms.advice, .workers = {} };
        for (std::size_t i = 0; i < std::min(open.size(), mostWorkersAdvised); ++i) {
            order.workers.push_back(open[i].worker->id);
            known.requestedWorkers.push_back(this->workers.at(open[i].worker->id).description.incarnation);
        }
        ++this->adviceUnderWay;
        this->adviceOrders.push_back(std::move(order));
    }
    return false;
}

void TaskPlanner::adviceAnswered(const StepKey& step, const std::vector<AllowedWorker>& allowed, Millis now)
{
    --this->adviceUnderWay;
    this->pacer.markChanged();
    const auto found = this->advice.find(step);
    const auto job = this->jobs.find(step.job);
    if (found == this->advice.end() || job == this->jobs.end())
        return; // The job is over.
    StepAdvice& known = found->second;
    for (const Incarnation& incarnation : known.requestedWorkers) {
        const auto row = std::find_if(allowed.begin(), allowed.end(), [&](const AllowedWorker& worker) { return worker.id == incarnation.id; });
        if (row == allowed.end())
            known.deny(incarnation);
        else
            known.allow(incarnation, row->ticket, now + job->second.job->terms.advice.ticketValidity);
    }
    known.requestedWorkers.clear();
}

void TaskPlanner::adviceFailed(const StepKey& step, Millis now)
{
    --this->adviceUnderWay;
    const auto found = this->advice.find(step);
    if (found == this->advice.end())
        return;
    found->second.requestedWorkers.clear();
    found->second.notBefore = now + advicePause;
}

void TaskPlanner::forgetAdvice(const std::string& job)
{
    auto next = this->advice.lower_bound({ job, 0, 0 });
    while (next != this->advice.end() && next->first.job == job)
        next = this->advice.erase(next);
}

} // namespace rattan::tasks
