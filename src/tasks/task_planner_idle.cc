// Jobs of which nothing runs although a task is ready, and what each of them waits for. A run
// counts as running only if its worker answers and no stop was requested: one member on a silent
// worker keeps a whole gang from starting again.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace rattan::tasks {

using namespace detail;

namespace {

    IdleCause causeOf(const WorkerState& worker, const PlacedRun& placedRun)
    {
        if (placedRun.phase == RunPhase::Recording)
            return placedRun.awaitsTicket ? IdleCause::TicketPending : IdleCause::NotRecorded;
        if (placedRun.phase == RunPhase::EndUnread)
            return IdleCause::EndUnread;
        if (placedRun.stopRequested)
            return placedRun.startRuledOutAt > 0 ? IdleCause::EndUnread : IdleCause::StopUnanswered;
        if (placedRun.phase == RunPhase::Running)
            return IdleCause::WorkerSilent;
        if (placedRun.inherited && !worker.hasAnswered)
            return IdleCause::TakeoverUnsettled;
        return placedRun.hasUnansweredStart ? IdleCause::StartUnanswered : IdleCause::StartPending;
    }

    bool isRunning(const WorkerState& worker, const PlacedRun& placedRun)
    {
        return placedRun.phase == RunPhase::Running && !placedRun.stopRequested && !worker.silent;
    }

    Withholding withholdingOf(Preference preference)
    {
        switch (preference) {
        case Preference::Unreserved:
            return Withholding::Reserved;
        case Preference::Isolation:
            return Withholding::Isolation;
        case Preference::OtherWorkers:
            return Withholding::FailedThere;
        case Preference::Rack:
            return Withholding::Rack;
        case Preference::ProvenWorkers:
            break;
        }
        return Withholding::UnprovenWorker;
    }

    // The preference that must be given up, with those before it, for the unit to start now.
    Withholding findWithholding(const Snapshot& snapshot, const PlacementRequest& request)
    {
        for (const Preference last : preferences) {
            if (snapshot.findFree(withoutPreferences(request, last)))
                return withholdingOf(last);
        }
        return Withholding::Other;
    }

    std::string countsText(const IdleJobCounts& counts)
    {
        std::string text;
        for (std::size_t i = 0; i < idleCauseNames.size(); ++i) {
            if (counts.byCause[i] > 0)
                text += fmt::format("{}{} {}", text.empty() ? "" : ", ", counts.byCause[i], idleCauseNames[i]);
        }
        return fmt::format("{}; {} beside unused resources", text, counts.besideUnusedResources);
    }

} // namespace

// The run that keeps each job from being placed: of several, the one whose worker has not
// answered for longest. A job with a run that is running has none.
std::unordered_map<std::string_view, TaskPlanner::BlockingRun> TaskPlanner::findBlockingRuns() const
{
    std::unordered_map<std::string_view, BlockingRun> found;
    for (const auto& [id, worker] : this->workers) {
        for (const auto& [run, placedRun] : worker.placedRuns) {
            if (placedRun.orphaned)
                continue;
            BlockingRun& known = found[run.task.job];
            known.isRunning = known.isRunning || isRunning(worker, placedRun);
            if (!known.worker || worker.lastAnswerAt < known.worker->lastAnswerAt) {
                known.worker = &worker;
                known.placedRun = &placedRun;
            }
        }
    }
    return found;
}

void TaskPlanner::updateIdleJobs(Millis now)
{
    if (now < this->idleCheckedAt + idleCheckInterval)
        return;
    const Millis previousCheckAt = std::exchange(this->idleCheckedAt, now);
    const std::unordered_map<std::string_view, BlockingRun> blockingRuns = this->findBlockingRuns();
    this->idleCounts = {};
    const ActiveJob* longestIdle = nullptr;
    for (auto& [id, active] : this->jobs) {
        const auto blocking = blockingRuns.find(id);
        const auto unit = this->units.lower_bound({ id, 0, 0, wholeGang });
        const bool hasUnits = unit != this->units.end() && unit->first.job == id;
        if (isFinal(active.state) || !hasUnits || (blocking != blockingRuns.end() && blocking->second.isRunning)) {
            active.idleSince = 0;
            continue;
        }
        if (active.idleSince == 0) // It may have become idle just after the previous check.
            active.idleSince = std::clamp(unit->second.waitingSince, previousCheckAt, now);
        if (now - active.idleSince < IdleJobCounts::minIdleTime)
            continue;
        const IdleCause cause = blocking == blockingRuns.end() ? IdleCause::NotPlaced : causeOf(*blocking->second.worker, *blocking->second.placedRun);
        ++this->idleCounts.byCause[static_cast<std::size_t>(cause)];
        if (blocking != blockingRuns.end())
            this->reportHeldJob(active, blocking->second, now);
        if (const Unit* passedOver = this->findPassedOverUnit(active, now))
            ++this->idleCounts.passedOver[static_cast<std::size_t>(passedOver->withheldBy)];
        this->idleCounts.besideUnusedResources += this->fitsTwiceSince(active) > 0 ? 1 : 0;
        if (!longestIdle || active.idleSince < longestIdle->idleSince)
            longestIdle = &active;
    }
    if (!longestIdle)
        return;
    this->idleCounts.longest = now - longestIdle->idleSince;
    if (now < this->nextIdleReportAt)
        return;
    this->nextIdleReportAt = now + waitReportInterval;
    const auto blocking = blockingRuns.find(longestIdle->job->id);
    if (blocking == blockingRuns.end())
        this->reportUnplacedJob(*longestIdle, now);
    else
        this->reportBlockedJob(*longestIdle, blocking->second, now);
}

void TaskPlanner::reportUnplacedJob(const ActiveJob& active, Millis now)
{
    const Unit& unit = this->units.lower_bound({ active.job->id, 0, 0, wholeGang })->second;
    const Millis fitsSince = this->fitsTwiceSince(active);
    const std::string unused = fitsSince > 0 ? fmt::format("fits twice in unused resources for {} ms", now - fitsSince) : "does not fit twice in unused resources";
    this->emit(PlanEventKind::JobIdle, unit.key, unit.run, "", fmt::format("for {} ms, {}, {}, {}{}; idle jobs: {}", now - active.idleSince, nameOf(IdleCause::NotPlaced), nameOf(unit.waitReason), unused, this->adviceText(unit, now), countsText(this->idleCounts)));
}

std::string TaskPlanner::blockingRunText(const BlockingRun& blocking, Millis now) const
{
    const Worker& worker = *blocking.worker;
    const PlacedRun& placedRun = *blocking.placedRun;
    const std::string poll = worker.pollInFlight ? fmt::format("poll in flight for {} ms", now - worker.pollSentAt) : fmt::format("next poll in {} ms", worker.nextPollAt - now);
    const std::string stop = placedRun.stopRequested ? fmt::format("stop requested {} ms ago", now - placedRun.stopRequestedAt) : "no stop requested";
    return fmt::format("{}, worker {}, last answer {} ms ago, lease ends in {} ms, {}, {}", nameOf(causeOf(worker, placedRun)), worker.silent ? "silent" : "not silent",
        now - std::max(worker.lastAnswerAt, this->termStartedAt), worker.leaseEndsBy - now, poll, stop);
}

void TaskPlanner::reportBlockedJob(const ActiveJob& active, const BlockingRun& blocking, Millis now)
{
    const PlacedRun& placedRun = *blocking.placedRun;
    this->emit(PlanEventKind::JobIdle, placedRun.unit, placedRun.run.run, blocking.worker->description.incarnation.id,
        fmt::format("for {} ms, {}; idle jobs: {}", now - active.idleSince, this->blockingRunText(blocking, now), countsText(this->idleCounts)));
}

void TaskPlanner::reportHeldJob(ActiveJob& active, const BlockingRun& blocking, Millis now)
{
    if (now < active.heldReportedAt + waitReportInterval)
        return;
    active.heldReportedAt = now;
    const PlacedRun& placedRun = *blocking.placedRun;
    this->emit(PlanEventKind::JobHeld, placedRun.unit, placedRun.run.run, blocking.worker->description.incarnation.id, fmt::format("for {} ms, {}", now - active.idleSince, this->blockingRunText(blocking, now)));
}

// Since when a unit of an idle job has fitted twice in unused resources, or 0 if none does.
Millis TaskPlanner::fitsTwiceSince(const ActiveJob& active) const
{
    Millis earliest = 0;
    for (auto next = this->units.lower_bound({ active.job->id, 0, 0, wholeGang }); next != this->units.end() && next->first.job == active.job->id; ++next) {
        const Millis since = next->second.fitsTwiceSince;
        if (since > 0 && (earliest == 0 || since < earliest))
            earliest = since;
    }
    return earliest > 0 ? std::max(earliest, active.idleSince) : 0;
}

// Examines whether the unit is idle although it fits twice in resources that no run uses, by all that
// it needs. Done at an interval, since it visits every worker.
void TaskPlanner::updateUnusedResources(Unit& unit, const Snapshot& snapshot, const PlacementRequest& request, Millis now)
{
    const Millis idleSince = this->idleSinceOf(unit);
    if (idleSince == 0)
        unit.fitsTwiceSince = unit.passedOverSince = 0;
    if (idleSince == 0 || now < unit.fitsCheckedAt + unusedCheckInterval)
        return;
    const Millis earliest = std::max(idleSince, std::exchange(unit.fitsCheckedAt, now));
    const UnusedMembers unused = snapshot.countUnusedMembers(request);
    // The clock begins at two fits and runs on while there is one: a run that has ended occupies
    // resources until that is read, so that on a full site the number often falls below two.
    const auto update = [&](Millis& since, std::int64_t members) {
        constexpr std::int64_t twice = 2;
        if (members < request.members)
            since = 0;
        else if (members >= twice * request.members && (since < idleSince || since == 0))
            since = earliest; // Resources may have become free just after the previous check.
    };
    update(unit.fitsTwiceSince, unused.available);
    update(unit.passedOverSince, unused.available + unused.unavailable);
    if (unit.passedOverSince > 0 && unit.passedOverSince >= idleSince)
        this->reportPassedOver(unit, snapshot, request, unused, now);
}

void TaskPlanner::reportPassedOver(Unit& unit, const Snapshot& snapshot, const PlacementRequest& request, const UnusedMembers& unused, Millis now)
{
    if (now < unit.passedOverSince + IdleJobCounts::minIdleTime || now < unit.passedOverReportedAt + waitReportInterval)
        return;
    unit.passedOverReportedAt = now;
    unit.withheldBy = unused.available >= request.members ? findWithholding(snapshot, request) : Withholding::UnavailableWorker;
    const Step& step = unit.step();
    this->emit(PlanEventKind::JobPassedOver, unit.key, unit.run, "",
        fmt::format("for {} ms, idle for {} ms, withheld by {}, {} members with {} accelerators, priority {}{}{}", now - unit.passedOverSince, now - this->idleSinceOf(unit), nameOf(unit.withheldBy), unit.members(),
            step.perTask.accelerators, unit.terms->priority, step.sameRack ? ", same rack" : "", step.dataRack.empty() ? "" : ", data in rack " + step.dataRack));
}

// The unit of an idle job that has been passed over for longest, at least for the minimum time, or null.
const TaskPlanner::Unit* TaskPlanner::findPassedOverUnit(const ActiveJob& active, Millis now) const
{
    const Unit* found = nullptr;
    for (auto next = this->units.lower_bound({ active.job->id, 0, 0, wholeGang }); next != this->units.end() && next->first.job == active.job->id; ++next) {
        const Unit& unit = next->second;
        const bool isPassedOver = unit.state == UnitState::Waiting && unit.passedOverSince >= this->idleSinceOf(unit) && now - unit.passedOverSince >= IdleJobCounts::minIdleTime;
        if (isPassedOver && (!found || unit.passedOverSince < found->passedOverSince))
            found = &unit;
    }
    return found;
}

} // namespace rattan::tasks
