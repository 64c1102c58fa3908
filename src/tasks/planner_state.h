#pragma once

// The planner's in-memory state of units, jobs and workers. See task_planner.h.

#include "tasks/crash_history.h"
#include "tasks/forecast_coverage.h"
#include "tasks/idle_jobs.h"
#include "tasks/job_value.h"
#include "tasks/placement.h"
#include "tasks/progress.h"
#include "tasks/run_time_forecast.h"
#include "tasks/split_record.h"
#include "tasks/wait_reason.h"
#include "tasks/worker.h"
#include "tasks/worker_health.h"
#include "tasks/worker_speeds.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattan::tasks::detail {

// Why a unit that may evict others evicted none.
enum class EvictionRefusal {
    None,
    NotEnoughResources, // Evicting every unit that it may evict would not free enough resources.
    TooMuchLost, // The cheapest plan loses more work than this unit may cost others.
};

// The forecast for all units of a group.
struct GroupForecast {
    RunTimeForecast distribution;
    Millis work { 1 }; // The usual work.
    bool learned { false }; // From enough runs; otherwise only `work` is used.
    Millis validUntil { 0 };
};

struct Unit {
    UnitKey key;
    std::shared_ptr<const Job> job;
    std::shared_ptr<const QueueTerms> terms; // In force; those of its job.
    UnitState state { UnitState::Waiting };
    std::int64_t run { 0 };
    std::set<std::int64_t> failedRuns; // Run numbers, since a worker may report the same end again.
    std::string checkpoint;
    double checkpointProgress { 0 }; // The part of the work that the checkpoint covers, 0 to 1.
    CrashHistory crashes;
    bool suspect { false }; // Its last run probably crashed its worker; the next one starts where nothing else runs.
    bool recordsStarts { false }; // A worker fell silent soon after the start of this run; its record names the starts that were answered.
    std::vector<Incarnation> workers; // Of the current run, one per member.

    // State of the current run.
    std::int64_t membersLeft { 0 };
    bool memberFailed { false }; // A member failed because of the task itself.
    bool memberDone { false }; // A member of a task that runs until its job is cancelled ended as done.
    bool stopping { false };
    bool inherited { false }; // Started under an earlier planner, so the start time is unknown.
    bool borrows { false }; // Placed in resources that were reserved for other units.
    bool placedRemotely { false }; // Outside the rack of its data, or across several racks.
    Millis placedAt { 0 };
    Millis startedAt { 0 }; // When the first start was confirmed, or 0 if none was.
    double progress { 0 }; // The last reported progress, 0 to 1; for a gang, of its slowest member.
    double progressAtStart { 0 };
    std::optional<Millis> inheritedWork; // Work done under an earlier planner, estimated from the progress.
    Millis lastReportAt { 0 };
    Millis lastProgressAt { 0 }; // When the progress of any member last changed.
    std::optional<ForecastCoverage::Quantiles> forecastAtStart; // If it was learned.

    // What the members report, for worker speeds.
    struct MemberReport {
        double progress { 0 }; // 0 to 1.
        Millis at { 0 }; // When this progress was first reported, or 0 if none was.
    };
    std::vector<MemberReport> memberReports; // One per member.
    Millis allStartedAt { 0 }; // When the last start was confirmed.
    bool hasInexactStart { false }; // A start had no answer, and a poll confirmed it later.
    bool speedsLearned { false }; // The estimates of speeds contain this run.
    bool moved { false }; // A run was stopped because faster workers were free; that happens once.

    std::int64_t evictionCount { 0 }; // How often a run was evicted.
    std::int64_t rankedPriority { 0 }; // The priority at which its current run was placed; it may have been raised.
    Millis waitingSince { 0 };
    Millis idleSince { 0 }; // Since when it waits without a run that has started.
    Millis notBefore { 0 };
    int shortRuns { 0 }; // Consecutive runs of a long-running task that ended as done soon after their start.
    WaitReason waitReason { WaitReason::NotConsidered };
    Millis fitsTwiceSince { 0 }; // Since when it has been idle although it fits twice, by all that it needs, in resources that no run uses; or 0.
    Millis passedOverSince { 0 }; // As fitsTwiceSince, with workers that take no work at present. The clock of its preferences.
    Withholding withheldBy { Withholding::Other }; // What kept it from these resources when that was last examined.
    Millis passedOverReportedAt { 0 }; // When that was last logged.
    Millis fitsCheckedAt { 0 }; // When that was last examined.
    EvictionRefusal reportedRefusal { EvictionRefusal::None }; // The last one logged, so that it isn't logged again in each round.
    Millis waitReportedAt { 0 }; // When the reason for waiting was last logged.
    std::vector<std::string> excludedWorkers; // Workers on which a run failed or stalled.
    mutable std::shared_ptr<const GroupForecast> forecast; // The one of its group, possibly out of date.

    const Step& step() const { return this->job->steps[static_cast<std::size_t>(this->key.step)]; }
    std::int64_t members() const { return this->key.index == wholeGang ? this->step().count : 1; }
    TaskRef task(std::int64_t member) const
    {
        return { this->key.job, this->key.occurrence, this->key.step, this->key.index == wholeGang ? member : this->key.index };
    }
};

struct StepState {
    std::int64_t unitsLeft { 0 }; // Units that aren't done, whether they exist yet or not; set when the step starts.
    std::int64_t unitsAdded { 0 }; // The tasks before this index have units or are done. Of the others, only those that an earlier planner has started have units.
    std::int64_t waitingUnits { 0 };
    bool started { false };
    bool done { false };
    std::vector<SpeedEstimator::Sample> progressSamples; // Of tasks that ended and were not compared yet; a few at most.
    SpeedEstimator::StepWork work; // By the comparisons so far.
    Millis comparedAt { 0 }; // When running tasks were last compared.
    std::vector<WorkerSpeeds::Sample> samples; // From tasks that ran from the beginning, not from a checkpoint, to their end.
};

struct Occurrence {
    std::vector<StepState> steps;
    std::set<std::pair<std::int64_t, std::int64_t>> doneUnits; // Step and index.
};

struct ActiveJob {
    std::shared_ptr<const Job> job;
    std::shared_ptr<const QueueTerms> terms; // In force: the newest known terms of its queue.
    std::shared_ptr<const std::string> text;
    JobState state { JobState::Queued };
    JobState recordedState { JobState::Queued }; // The last state in a record that the instances read.
    bool started { false };
    std::string reason;
    std::int64_t occurrencesDone { 0 };
    std::int64_t nextOccurrence { 0 }; // The first one that has not started.
    std::map<std::int64_t, Occurrence> occurrences; // Started and not done.
    std::set<std::int64_t> doneOutOfOrder;
    std::int64_t waitingUnits { 0 };
    bool hasTasksWithoutUnit { false }; // In steps that have started.
    bool guaranteed { false }; // The job is within its workspace's guarantee.
    Millis idleSince { 0 }; // Since when nothing of it runs although a task is ready, or 0.
    Millis heldReportedAt { 0 }; // When the run that keeps it idle was last logged.
    SplitRecord record; // Of its progress.
    JobPaths paths; // By the forecasts of `pathsAt`.
    Millis pathsAt { 0 }; // 0 if not computed yet.
};

enum class RunPhase {
    Recording, // No start was sent: its record isn't durable yet, or it waits for a ticket.
    Starting, // A start was sent, or may have been sent by an earlier planner.
    Running, // The worker listed it or confirmed its start.
    EndUnread, // It isn't running and can't start any more, but its end may be one that its worker hasn't listed yet.
};

// A run that is still listed this long after its confirmed start hasn't crashed its worker by
// starting.
inline constexpr Millis startSurvivalTime = 1300;

// Why a run whose end was not reported is known to be over.
enum class RunLoss {
    WorkerEnded, // Another worker has taken the place of its worker.
    WorkerRestarted,
    LeaseOver,
};

std::string_view nameOf(RunLoss);

// A run on a worker, from its placement until it certainly occupies no resources.
struct PlacedRun {
    RunRef run;
    UnitKey unit;
    bool orphaned { false }; // Its unit no longer depends on it.
    bool inherited { false }; // Started by an earlier planner, if it was started.
    bool hasBegun { false }; // This planner knows that it began soon after its start was sent, or an earlier one recorded that.
    Resources resources;
    RunPhase phase { RunPhase::Recording };
    bool stopRequested { false };
    Millis stopRequestedAt { 0 };
    bool stopInFlight { false };
    Millis nextStopAt { 0 }; // The earliest time at which another stop is sent.
    Millis stopBackoff { 0 }; // The delay after a stop without an answer.
    bool awaitsTicket { false }; // Its start is sent when the advice service has answered.
    int startsSent { 0 };
    bool hasUnansweredStart { false }; // A start had no answer and may still be carried out.
    Millis startRuledOutAt { 0 }; // When the answer to a stop or a start showed that the worker won't start it later.
    Millis confirmedAt { 0 };
    Millis lastListedAt { 0 }; // When its worker last listed it as running.
    double progress { 0 }; // As last reported, 0 to 1.

    void requestStop(Millis now)
    {
        this->stopRequestedAt = this->stopRequested ? this->stopRequestedAt : now;
        this->stopRequested = true;
    }

    // True if its start waits for a ticket and is still wanted.
    bool isWaitingStart() const { return this->awaitsTicket && !this->stopRequested && (this->phase == RunPhase::Recording || this->phase == RunPhase::Starting); }

    // True if it has run for long enough that its start won't crash its worker.
    bool hasSurvivedStart() const { return this->phase == RunPhase::Running && this->lastListedAt - this->confirmedAt >= startSurvivalTime; }
};

struct WorkerState {
    WorkerDescription description;
    bool listed { true };
    bool hasAnswered { false }; // A poll of this term was answered.
    bool silent { false }; // The last call was not answered.
    Millis silentSince { 0 }; // Meaningful while silent.
    Millis lastAnswerAt { 0 };
    Millis leaseEndsBy { 0 }; // Without a new lease, no run is alive there after this time.
    bool pollInFlight { false };
    bool quickPollInFlight { false }; // In addition to a long poll.
    Millis pollSentAt { 0 };
    Millis nextPollAt { 0 };
    Millis pollBackoff { 0 }; // The delay after a poll without an answer.
    Millis ackDueBy { 0 }; // When ends that are durable must be acknowledged; 0 if there are none.
    Millis leavesAt { 0 }; // The earliest time at which a leaving worker leaves.
    bool hasMoreEnds { false }; // Its last report may not list all of its ends.
    std::int64_t handledUpTo { 0 }; // Ends up to this number are in the planner's state.
    std::int64_t durableUpTo { 0 }; // Ends up to this number are in the log.
    std::int64_t acknowledgedUpTo { 0 }; // The worker has confirmed an acknowledgement up to this number.
    std::int64_t ackInFlight { 0 }; // The acknowledgement in the poll in flight, or 0.
    Millis ackUnansweredAt { 0 }; // When a poll with an acknowledgement last had no answer; it may be carried out late.
    Millis placementBlockedUntil { 0 }; // Until then, an end on this worker could be acknowledged before it is read.
    std::map<RunRef, Millis> unansweredStarts; // By run, when a start had no answer; it may be carried out late, also by a later incarnation.
    Millis incarnationConfirmedAt { 0 }; // When the last poll that this incarnation answered was sent.
    Millis lastStartAt { 0 }; // When a start was last sent or answered.
    Resources used;
    std::map<RunRef, PlacedRun> placedRuns;
    WorkerHealth health;

    // True if a run may be alive there, which needs a lease, or may have ended without its end being read.
    bool needsLease() const
    {
        return std::any_of(this->placedRuns.begin(), this->placedRuns.end(), [](const auto& entry) { return entry.second.phase != RunPhase::Recording; });
    }

    // True if an acknowledgement sent now certainly refers to ends of the current incarnation.
    // A worker that has restarted under the same id numbers its ends from 1 again. An
    // acknowledgement meant for its earlier incarnation makes it drop ends that were never
    // read, and their tasks run a second time. A worker has no ends before it receives a
    // start, so its incarnation is certain if it answered a poll sent after the last start.
    bool isIncarnationProven() const
    {
        const bool awaitsStart = std::any_of(this->placedRuns.begin(), this->placedRuns.end(), [](const auto& entry) { return entry.second.phase == RunPhase::Starting; });
        return !awaitsStart && this->incarnationConfirmedAt > this->lastStartAt;
    }
};

} // namespace rattan::tasks::detail
