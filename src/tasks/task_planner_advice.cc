// Queues with an external policy: an advice service decides which workers may run a step, and
// each start on them carries a ticket. The service handles one request at a time, and its time
// grows with each worker in the request. So requests name a few dozen workers, first those that
// could run the step immediately, and end once the step is placed.
//
// A run is placed and recorded by the verdict alone. Its start is sent when the record is durable
// and the ticket is valid. If the ticket has expired, a new one is requested, and the start is sent
// as soon as the answer arrives. So a ticket need only last for the transmission of a start,
// however long records and answers take.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace rattan::tasks {

using namespace detail;

namespace {

    StepKey stepOf(const UnitKey& unit) { return { unit.job, unit.occurrence, unit.step }; }

} // namespace

// Whether the starts of the unit need tickets.
bool TaskPlanner::hasPolicy(const Unit& unit) const { return this->options.hasAdviceService && unit.terms->advice.ticketValidity > 0; }

StepAdvice* TaskPlanner::findAdvice(const TaskRef& task)
{
    const auto found = this->adviceByStep.find({ task.job, task.occurrence, task.step });
    return found == this->adviceByStep.end() ? nullptr : &found->second;
}

// The newest ticket for the worker, valid or not, or null.
const std::string* TaskPlanner::ticketOf(const Unit& unit, const Worker& worker) const
{
    const auto found = this->adviceByStep.find(stepOf(unit.key));
    return found == this->adviceByStep.end() ? nullptr : found->second.ticketOf(worker.description.incarnation);
}

std::set<std::string> TaskPlanner::allowedWorkers(const StepAdvice& stepAdvice, const Snapshot& snapshot, Millis now) const
{
    std::set<std::string> allowed;
    for (const SnapshotWorker& worker : snapshot.workers) {
        if (stepAdvice.allows(this->workers.at(worker.id).description.incarnation, now, startDeliveryTime))
            allowed.insert(worker.id);
    }
    return allowed;
}

// Workers that could run a member and for which an answer is needed first.
std::vector<AdviceCandidate> TaskPlanner::adviceCandidates(const StepAdvice& stepAdvice, const Snapshot& snapshot, const PlacementRequest& request, Millis now) const
{
    std::vector<AdviceCandidate> candidates;
    PlacementRequest anywhere = request;
    anywhere.allowedWorkers = nullptr;
    for (const SnapshotWorker& worker : snapshot.workers) {
        const Incarnation& incarnation = this->workers.at(worker.id).description.incarnation;
        if (!snapshot.isEligible(worker, anywhere) || !request.perMember.fitsIn(worker.capacity) || !stepAdvice.needsRequest(incarnation, now + startDeliveryTime))
            continue;
        candidates.push_back({ &worker, worker.rack == request.rack, request.perMember.fitsIn(worker.free) && request.perMember.fitsIn(worker.freeAfterStops) });
    }
    return candidates;
}

// Whether the step may send a request now; if so, counts it as sent in this pass. A few steps that
// may run on few workers would use all requests and starve the steps after them. Therefore each
// step sends at most one request per pass over all steps. Rounds of urgent units are exempt.
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
        std::vector<std::string> named;
        for (std::size_t i = 0; i < std::min(candidates.size(), maxWorkersPerAdviceRequest); ++i)
            named.push_back(candidates[i].worker->id);
        this->requestAdvice(unit, named, now);
    }
    return false;
}

void TaskPlanner::requestAdvice(const Unit& unit, const std::vector<std::string>& named, Millis now)
{
    StepAdvice& stepAdvice = this->adviceByStep[stepOf(unit.key)];
    for (const std::string& id : named)
        stepAdvice.requestedWorkers.push_back(this->workers.at(id).description.incarnation);
    ++this->pendingAdviceRequests;
    ++stepAdvice.requests;
    stepAdvice.requestedAt = now;
    this->adviceOrders.push_back({ .step = stepOf(unit.key), .terms = unit.terms->advice, .workers = named });
}

// Whether a start that is sent now needs no other ticket.
bool TaskPlanner::hasTicket(const Unit& unit, const Worker& worker, Millis now) const
{
    if (!this->hasPolicy(unit))
        return true;
    const auto found = this->adviceByStep.find(stepOf(unit.key));
    return found != this->adviceByStep.end() && found->second.hasTicket(worker.description.incarnation, now, startDeliveryTime);
}

// Whether a start that has waited for its ticket may still be sent. One that is repeated may be sent to a
// worker that did not answer the first attempt.
bool TaskPlanner::canTakeWaitingStart(const Unit& unit, const WaitingStart& start) const
{
    const Worker& worker = *start.worker;
    const auto found = this->adviceByStep.find(stepOf(unit.key));
    if (this->hasPolicy(unit) && found != this->adviceByStep.end() && found->second.denies(worker.description.incarnation))
        return false;
    const bool takesWork = worker.listed && !worker.description.leaving && (!worker.silent || start.placedRun->phase == RunPhase::Starting) && worker.description.service == unit.terms->service;
    return takesWork && isWithinCapacity(worker) && !this->isEvacuated(worker) && this->mayGrantLease(worker);
}

// The runs of the unit whose starts wait for tickets; none if the unit is being stopped.
std::vector<TaskPlanner::WaitingStart> TaskPlanner::waitingStartsOf(const UnitKey& key, Millis now)
{
    std::vector<WaitingStart> waiting;
    const Unit* unit = this->find(key);
    if (!unit || unit->state != UnitState::Running || unit->stopping)
        return waiting;
    for (std::size_t member = 0; member < unit->workers.size(); ++member) {
        Worker* worker = this->find(unit->workers[member]);
        const RunRef run { unit->task(static_cast<std::int64_t>(member)), unit->run };
        const auto found = worker ? worker->placedRuns.find(run) : std::map<RunRef, PlacedRun>::iterator();
        if (worker && found != worker->placedRuns.end() && found->second.isWaitingStart())
            waiting.push_back({ worker, &found->second, this->hasTicket(*unit, *worker, now) });
    }
    return waiting;
}

// The start is sent as soon as it has a ticket, possibly at once.
void TaskPlanner::awaitTicket(PlacedRun& placedRun)
{
    placedRun.awaitsTicket = true;
    this->unitsAwaitingTickets.insert(placedRun.unit);
    this->pacer.markChanged();
}

// Sends the unit's starts that have their tickets. The members of a gang wait for each other on their
// workers, so their starts are sent together, unless no single answer can have the tickets of all.
void TaskPlanner::sendTicketedStarts(const UnitKey& key, Millis now)
{
    const std::vector<WaitingStart> waiting = this->waitingStartsOf(key, now);
    if (waiting.empty()) {
        this->unitsAwaitingTickets.erase(key);
        return;
    }
    const Unit& unit = this->units.at(key);
    const auto withdrawn = std::find_if(waiting.begin(), waiting.end(), [&](const WaitingStart& start) { return !this->canTakeWaitingStart(unit, start); });
    if (withdrawn != waiting.end())
        return this->withdrawStart(*withdrawn->worker, withdrawn->placedRun->run, now); // Stops the whole unit.
    const bool lacksTickets = std::any_of(waiting.begin(), waiting.end(), [](const WaitingStart& start) { return !start.hasTicket; });
    if (lacksTickets && waiting.size() <= maxWorkersPerTicketRequest)
        return;
    for (const WaitingStart& start : waiting) {
        if (!start.hasTicket)
            continue;
        start.placedRun->awaitsTicket = false;
        start.placedRun->phase = RunPhase::Starting;
        this->sendStart(*start.worker, *start.placedRun, unit, now);
    }
    if (!lacksTickets)
        this->unitsAwaitingTickets.erase(key);
}

// Sends the starts that have their tickets, and requests tickets for the others. They come before
// requests for steps that are not placed, since their runs hold resources.
void TaskPlanner::updateWaitingStarts(Millis now)
{
    for (const UnitKey& key : std::vector<UnitKey>(this->unitsAwaitingTickets.begin(), this->unitsAwaitingTickets.end()))
        this->sendTicketedStarts(key, now);
    auto next = this->unitsAwaitingTickets.begin();
    while (next != this->unitsAwaitingTickets.end() && this->pendingAdviceRequests < maxPendingAdviceRequests) {
        const StepKey step = stepOf(*next);
        const Unit& unit = this->units.at(*next);
        std::set<std::string> named;
        for (; next != this->unitsAwaitingTickets.end() && stepOf(*next) == step; ++next)
            this->nameWaitingWorkers(*next, named, now);
        if (this->adviceByStep[step].requestedWorkers.empty() && !named.empty())
            this->requestAdvice(unit, { named.begin(), named.end() }, now);
    }
}

// Adds the workers for which the unit needs tickets, as far as one request can name them. A gang needs
// tickets that are valid at one time, so it requests those of all members if one request can name them.
void TaskPlanner::nameWaitingWorkers(const UnitKey& key, std::set<std::string>& named, Millis now)
{
    const std::vector<WaitingStart> waiting = this->waitingStartsOf(key, now);
    const StepAdvice& stepAdvice = this->adviceByStep[stepOf(key)];
    const bool needsAll = waiting.size() <= maxWorkersPerTicketRequest;
    const auto isDue = [&](const WaitingStart& start) { return now >= stepAdvice.nextTicketAt(start.worker->description.incarnation); };
    if (needsAll && !std::all_of(waiting.begin(), waiting.end(), isDue))
        return;
    for (const WaitingStart& start : waiting) {
        if ((needsAll || !start.hasTicket) && isDue(start) && named.size() < maxWorkersPerTicketRequest)
            named.insert(start.worker->description.incarnation.id);
    }
}

// As waitingStartsOf(), to be used while runs are removed.
std::vector<std::pair<TaskPlanner::Worker*, RunRef>> TaskPlanner::waitingRunsOf(const UnitKey& key, Millis now)
{
    std::vector<std::pair<Worker*, RunRef>> runs;
    for (const WaitingStart& start : this->waitingStartsOf(key, now))
        runs.emplace_back(start.worker, start.placedRun->run);
    return runs;
}

// Withdraws the step's starts that wait for tickets: no ticket can be expected soon, and other jobs can
// use their resources.
void TaskPlanner::withdrawWaitingStarts(const StepKey& step, Millis now)
{
    for (const UnitKey& key : std::vector<UnitKey>(this->unitsAwaitingTickets.begin(), this->unitsAwaitingTickets.end())) {
        if (stepOf(key) != step)
            continue;
        for (const auto& [worker, run] : this->waitingRunsOf(key, now))
            this->withdrawStart(*worker, run, now);
        this->unitsAwaitingTickets.erase(key);
    }
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
    stepAdvice.isFailing = false;
    // The earliest time of the issue: the answer may have been on its way for long, or may have waited for
    // this planner's turn.
    const AdviceTerms& terms = job->second.terms->advice;
    const Millis duration = terms.perRequest + terms.perWorker * static_cast<Millis>(stepAdvice.requestedWorkers.size());
    const Millis issuedAt = std::min(now, stepAdvice.requestedAt + duration);
    for (const Incarnation& incarnation : stepAdvice.requestedWorkers) {
        const auto row = std::find_if(allowed.begin(), allowed.end(), [&](const AllowedWorker& worker) { return worker.id == incarnation.id; });
        if (row == allowed.end())
            stepAdvice.deny(incarnation);
        else
            stepAdvice.allow(incarnation, row->ticket, now, issuedAt + terms.ticketValidity);
    }
    stepAdvice.requestedWorkers.clear();
    for (const UnitKey& key : std::vector<UnitKey>(this->unitsAwaitingTickets.begin(), this->unitsAwaitingTickets.end())) {
        if (stepOf(key) == step)
            this->sendTicketedStarts(key, now);
    }
}

void TaskPlanner::adviceFailed(const StepKey& step, Millis now)
{
    --this->pendingAdviceRequests;
    const auto found = this->adviceByStep.find(step);
    if (found == this->adviceByStep.end())
        return;
    found->second.requestedWorkers.clear();
    found->second.notBefore = now + adviceRetryDelay;
    found->second.isFailing = true;
    this->withdrawWaitingStarts(step, now);
}

// What is known of the workers that may run the unit's step, for the log; empty if its queue has no policy.
std::string TaskPlanner::adviceText(const Unit& unit, Millis now) const
{
    const auto found = this->adviceByStep.find(stepOf(unit.key));
    if (found == this->adviceByStep.end())
        return "";
    const StepAdvice& stepAdvice = found->second;
    const StepAdvice::Counts counts = stepAdvice.count(now + startDeliveryTime);
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
