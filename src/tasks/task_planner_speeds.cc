// Speeds of workers: what progress reports and ends of runs tell about them, which workers a unit
// prefers, and which late urgent runs move to faster workers. Preferences and moves are in effect
// only while the site is found to be heterogeneous.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <utility>

namespace rattan::tasks {

using namespace detail;

namespace {

    // A run time that is extrapolated from this progress is off by at most 4%, since progress is
    // reported in percent.
    constexpr double minProgress = 0.25;

    // Of a gang that ended, less progress is enough, as there will be no later report.
    constexpr double minProgressAtEnd = 0.1;

    // Running tasks of a step are compared once most of them have this progress. The first to reach
    // it are those on fast workers, and compared with each other they would all appear usual.
    constexpr double minSiblingProgress = 0.1;

    // Each comparison visits all tasks of the step.
    constexpr Millis siblingInterval = 400;

    // Ended tasks are compared in groups of this size, or fewer at the end of the step.
    constexpr std::size_t siblingGroup = 8;

    // A search for late runs visits all units, and a snapshot is needed for each service.
    constexpr Millis moveCheckInterval = 150;

    // A guaranteed job has to have all tasks started within 2,700 ms of its acceptance, which includes
    // the start after a move.
    constexpr Millis maxGuaranteedMoveDelay = 2000;

    // While records are not confirmed, the store may be unreachable, and a run that is stopped could
    // not start again.
    constexpr Millis maxRecordWait = 1000;

    // More units would compete for the same free resources before the first of them starts again.
    constexpr std::size_t maxMovesPerCheck = 4;

} // namespace

// The run time of a member, extrapolated from its progress. All members of a gang begin when the
// last of them has started. A member that has done all of its work has no sample, because it may
// have been done long before its report.
std::optional<SpeedEstimator::Sample> TaskPlanner::speedSampleOf(const Unit& unit, std::size_t member, double minProgress)
{
    if (member >= unit.memberReports.size() || unit.hasInexactStart || unit.inherited)
        return std::nullopt;
    const Unit::MemberReport& report = unit.memberReports[member];
    const double done = report.progress - unit.progressAtStart;
    if (done < minProgress || report.progress >= 1 || report.at <= unit.allStartedAt || unit.allStartedAt == 0)
        return std::nullopt;
    return SpeedEstimator::Sample { unit.workers[member].id, static_cast<double>(report.at - unit.allStartedAt) / done };
}

std::vector<SpeedEstimator::Sample> TaskPlanner::speedSamplesOf(const Unit& unit, double minProgress)
{
    std::vector<SpeedEstimator::Sample> samples;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        if (auto sample = speedSampleOf(unit, member, minProgress))
            samples.push_back(std::move(*sample));
    }
    return samples;
}

// Members of a gang are compared once, when all of them have progressed enough, and tasks of one
// step as soon as there are enough of them.
void TaskPlanner::noteProgress(Unit& unit, const TaskRef& task, double progress, Millis now)
{
    const bool isGang = unit.key.index == wholeGang;
    const auto member = static_cast<std::size_t>(isGang ? task.index : 0);
    if (member >= unit.memberReports.size())
        return;
    unit.memberReports[member] = { progress, now };
    if (unit.speedsLearned || unit.placedRemotely || unit.step().longRunning)
        return;
    if (isGang) {
        if (unit.progress - unit.progressAtStart < minProgress)
            return;
        unit.speedsLearned = true;
        SpeedEstimator::StepWork work;
        this->workerSpeeds.addProgress(speedSamplesOf(unit, minProgress), work);
    } else if (unit.step().count > 1 && progress - unit.progressAtStart >= minProgress) {
        this->compareRunningSiblings(unit, now);
    }
}

StepState& TaskPlanner::stepStateOf(const Unit& unit)
{
    return this->jobs.at(unit.key.job).occurrences.at(unit.key.occurrence).steps[static_cast<std::size_t>(unit.key.step)];
}

void TaskPlanner::compareRunningSiblings(const Unit& unit, Millis now)
{
    StepState& step = this->stepStateOf(unit);
    if (now < step.comparedAt + siblingInterval)
        return;
    step.comparedAt = now;
    std::vector<Unit*> compared;
    std::vector<SpeedEstimator::Sample> samples;
    std::size_t behind = 0;
    for (auto next = this->units.lower_bound({ unit.key.job, unit.key.occurrence, unit.key.step, 0 }); next != this->units.end(); ++next) {
        Unit& sibling = next->second;
        if (sibling.key.job != unit.key.job || sibling.key.occurrence != unit.key.occurrence || sibling.key.step != unit.key.step)
            break;
        if (sibling.state != UnitState::Running || sibling.speedsLearned || sibling.placedRemotely || sibling.hasInexactStart || sibling.inherited)
            continue;
        const auto sample = speedSampleOf(sibling, 0, minSiblingProgress);
        if (sample) {
            samples.push_back(*sample);
            compared.push_back(&sibling);
        } else if (sibling.progress < 1) {
            ++behind;
        }
    }
    if (behind * 4 > samples.size())
        return;
    for (Unit* sibling : compared)
        sibling->speedsLearned = true;
    this->workerSpeeds.addProgress(samples, step.work);
}

// The end of a gang shows the speed of its slowest member, and if siblings have only been compared
// with each other, it ties the speeds of the whole gang to those of other workers.
void TaskPlanner::learnSpeedsAtEnd(const Unit& unit, Millis took)
{
    if (unit.key.index != wholeGang) {
        const SpeedEstimator::Sample sample { unit.workers.front().id, static_cast<double>(took) };
        if (unit.step().count == 1)
            return this->workerSpeeds.addProgress(sample, this->runTimes.forecast(unit.job->terms.queue, unit.step().estimate));
        StepState& step = this->stepStateOf(unit);
        if (!unit.speedsLearned)
            step.progressSamples.push_back(sample);
        if (step.progressSamples.size() >= siblingGroup)
            this->workerSpeeds.addProgress(std::exchange(step.progressSamples, {}), step.work);
        return;
    }
    if (!unit.speedsLearned) {
        SpeedEstimator::StepWork work;
        this->workerSpeeds.addProgress(speedSamplesOf(unit, minProgressAtEnd), work);
    }
    const auto slowest = std::min_element(unit.workers.begin(), unit.workers.end(), [&](const Incarnation& a, const Incarnation& b) { return this->workerSpeeds.heterogeneous().of(a.id).median < this->workerSpeeds.heterogeneous().of(b.id).median; });
    this->workerSpeeds.addProgress({ slowest->id, static_cast<double>(took) }, this->runTimes.forecast(unit.job->terms.queue, unit.step().estimate));
}

SpeedPreference TaskPlanner::speedPreferenceOf(const Candidate& candidate, const PlacementRequest& request, Millis now) const
{
    if (!this->workerSpeeds.areHeterogeneous())
        return SpeedPreference::None;
    const auto demand = this->recentUrgentDemand.find(candidate.unit->terms->service);
    const bool urgentExpected = demand != this->recentUrgentDemand.end() && demand->second.accelerators >= 1;
    return speedPreferenceFor({ request.urgent, urgentExpected, request.expectedRunTime, candidate.queueKey.latestStart + request.expectedRunTime - now });
}

Millis TaskPlanner::acceptanceOf(const Unit& unit, Millis now, Millis wall)
{
    return now - (wall - (unit.job->repeats > 0 ? unit.job->dueAt(unit.key.occurrence) : unit.job->acceptedAt));
}

// When the unit should end so that the rest of its job can meet the job's objective.
Millis TaskPlanner::objectiveOf(const Unit& unit, Millis now, Millis wall) const
{
    const Job& job = *unit.job;
    std::vector<Millis> following(job.steps.size(), 0); // The longest chain of steps that depend on each step.
    Millis criticalPath = 0;
    for (std::size_t i = job.steps.size(); i-- > 0;) {
        const Millis withThis = following[i] + this->runTimes.forecast(job.terms.queue, job.steps[i].estimate).work;
        criticalPath = std::max(criticalPath, withThis);
        for (const std::int64_t earlier : job.steps[i].dependsOn)
            following[static_cast<std::size_t>(earlier)] = std::max(following[static_cast<std::size_t>(earlier)], withThis);
    }
    return acceptanceOf(unit, now, wall) + static_cast<Millis>(job.terms.stretch * static_cast<double>(criticalPath)) + job.terms.latencyTarget - following[static_cast<std::size_t>(unit.key.step)];
}

// Of a member without progress, the speed of its worker shows when it will end if it is known.
// The work of a member follows from its progress and the speed of its worker. If a run takes long
// on a worker that is known to be fast, the work is long, and moving it does not help.
RunOutlook TaskPlanner::outlookOf(const Unit& unit, Millis now, Millis wall) const
{
    const bool resumes = unit.step().savesProgress;
    RunOutlook outlook { .expectedEnd = 0, .objective = this->objectiveOf(unit, now, wall), .remainingWork = resumes ? 0 : static_cast<double>(this->expectedRunTime(unit)) };
    if (unit.allStartedAt == 0)
        return outlook;
    for (std::size_t member = 0; member < unit.workers.size(); ++member) {
        const WorkerSpeed speed = this->workerSpeeds.estimateOf(unit.workers[member].id);
        auto sample = speedSampleOf(unit, member, minProgress);
        if (!sample && (!speed.isKnown() || unit.memberReports[member].progress >= 1))
            continue;
        if (!sample)
            sample = { unit.workers[member].id, static_cast<double>(this->expectedRunTime(unit)) / speed.median };
        const Millis end = unit.allStartedAt + static_cast<Millis>(sample->duration * (1 - unit.progressAtStart));
        outlook.expectedEnd = std::max(outlook.expectedEnd, end);
        const double left = resumes ? static_cast<double>(std::max<Millis>(end - now, 0)) : sample->duration * (1 - unit.checkpointProgress);
        outlook.remainingWork = std::max(outlook.remainingWork, left * speed.median);
    }
    return outlook;
}

void TaskPlanner::moveLateRuns(Millis now, Millis wall)
{
    if (!this->workerSpeeds.areHeterogeneous() || now < this->movesCheckedAt + moveCheckInterval)
        return;
    if (this->isBatchPending && now >= this->batchCreatedAt + maxRecordWait)
        return;
    this->movesCheckedAt = now;
    std::map<std::string, Snapshot> snapshots;
    std::vector<UnitKey> unitsToMove;
    for (const auto& [key, unit] : this->units) {
        const bool canMove = unit.state == UnitState::Running && unit.terms->priority == 0 && !unit.stopping && !unit.moved && !unit.suspect && !unit.inherited && !unit.step().longRunning && unit.terms->advice.ticketValidity == 0;
        if (!canMove || (this->jobs.at(key.job).guaranteed && now > acceptanceOf(unit, now, wall) + maxGuaranteedMoveDelay))
            continue;
        const double speed = speedToMoveFor(this->outlookOf(unit, now, wall), now);
        if (speed == 0)
            continue;
        const std::string& service = unit.terms->service;
        auto snapshot = snapshots.find(service);
        if (snapshot == snapshots.end())
            snapshot = snapshots.emplace(service, this->makeSnapshot(service, now)).first;
        PlacementRequest request = this->requestOf(unit);
        request.minSpeed = speed;
        request.speedPreference = SpeedPreference::BestChance;
        request.speedTiers.last = maxKnownTier;
        const auto places = snapshot->second.findFree(request);
        if (!places)
            continue;
        snapshot->second.allocate(request, *places);
        unitsToMove.push_back(key);
        if (unitsToMove.size() >= maxMovesPerCheck)
            break;
    }
    for (const UnitKey& key : unitsToMove) {
        Unit& unit = this->units.at(key);
        this->emit(PlanEventKind::UnitEvicted, key, unit.run, "", "would miss its objective, faster workers are free");
        unit.moved = true;
        this->stopUnit(unit, now);
    }
}

} // namespace rattan::tasks
