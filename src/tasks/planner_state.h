#pragma once

// What a planner keeps of a unit, of a job and of a worker. See task_planner.h.

#include "tasks/crash_history.h"
#include "tasks/placement.h"
#include "tasks/progress.h"
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

// Why a unit that may stop others stopped none.
enum class EvictionRefusal {
    None,
    NoRoom, // Stopping all that it may stop makes no room.
    TooMuchLost, // The cheapest choice loses more than the unit may cost others.
};

struct Unit {
    UnitKey key;
    std::shared_ptr<const Job> job;
    UnitState state { UnitState::Waiting };
    std::int64_t run { 0 };
    std::set<std::int64_t> failedRuns; // By number: the same end may be told again by its worker.
    std::string checkpoint;
    double checkpointProgress { 0 }; // Share of the work that the checkpoint holds, 0 to 1.
    CrashHistory crashes;
    bool suspect { false }; // Its last run crashed its worker, as far as is known; it starts where nothing else runs.
    std::vector<Incarnation> workers; // Of the present run, one a member.

    // Of the present run.
    std::int64_t membersLeft { 0 }; // Members that have not ended.
    bool memberFailed { false }; // A member failed by its own fault.
    bool stopping { false };
    bool inherited { false }; // Started under an earlier planner: nobody knows when.
    bool placedRemotely { false }; // Away from its data, or over several racks.
    Millis placedAt { 0 };
    Millis startedAt { 0 }; // First start confirmed; 0: none yet.
    double progress { 0 }; // Share of the work done, as last heard; of a gang, of its member that has most left.
    double progressAtStart { 0 };
    std::optional<Millis> inheritedWork; // Its work under an earlier planner, as its progress tells.
    Millis lastReportAt { 0 };
    Millis lastProgressAt { 0 }; // When the progress of any member last changed.

    std::int64_t evictionCount { 0 }; // Runs that were stopped to make room for others.
    Millis waitingSince { 0 };
    Millis notBefore { 0 };
    WaitReason waitReason { WaitReason::NotLookedAt };
    EvictionRefusal reportedRefusal { EvictionRefusal::None }; // Last told of, so that each round need not tell it again.
    Millis waitReportedAt { 0 }; // When the log last reported what this unit waits for.
    std::vector<std::string> excludedWorkers; // Workers on which a run failed or stalled.

    const Step& step() const { return this->job->steps[static_cast<std::size_t>(this->key.step)]; }
    std::int64_t members() const { return this->key.index == wholeGang ? this->step().count : 1; }
    TaskRef task(std::int64_t member) const
    {
        return { this->key.job, this->key.occurrence, this->key.step, this->key.index == wholeGang ? member : this->key.index };
    }
};

struct StepState {
    std::int64_t unitsLeft { 0 }; // Units not done; set when the step's turn comes.
    bool started { false };
    bool done { false };
    std::vector<WorkerSpeeds::Sample> samples; // Of its tasks that ran from nothing to their end.
};

struct Occurrence {
    std::vector<StepState> steps;
    std::set<std::pair<std::int64_t, std::int64_t>> doneUnits; // Step and index.
};

struct ActiveJob {
    std::shared_ptr<const Job> job;
    std::shared_ptr<const std::string> text;
    JobState state { JobState::Queued };
    JobState recordedState { JobState::Queued }; // What instances have been told.
    bool started { false };
    std::string reason;
    std::int64_t occurrencesDone { 0 };
    std::int64_t nextOccurrence { 0 }; // Not begun yet.
    std::map<std::int64_t, Occurrence> occurrences; // Begun and not done.
    std::set<std::int64_t> doneOutOfOrder;
    bool guaranteed { false }; // Within its workspace's guarantee.
};

enum class RunPhase {
    Recording, // Not durable yet; no start was sent.
    Starting, // Sent, or perhaps sent by an earlier planner.
    Running, // Seen, or its start confirmed.
};

// A run that is listed this long after its start was confirmed has survived it.
inline constexpr Millis startSurvivalTime = 1000;

// How it is known that a run is over of which no end was reported.
enum class RunLoss {
    WorkerEnded, // Another worker is there in place of its own.
    WorkerRestarted,
    LeaseOver,
};

std::string_view nameOf(RunLoss);

// A run on a worker, from the decision to place it until it surely takes no room.
struct PlacedRun {
    RunRef run;
    UnitKey unit;
    bool orphaned { false }; // Its unit has gone on without it.
    bool inherited { false }; // Started, if at all, by an earlier planner.
    bool hasBegun { false }; // Surely.
    Resources resources;
    RunPhase phase { RunPhase::Recording };
    bool stopRequested { false };
    Millis stopRequestedAt { 0 };
    bool stopInFlight { false };
    Millis nextStopAt { 0 }; // Not sent again before then.
    Millis stopBackoff { 0 }; // After a stop without an answer.
    int startsSent { 0 };
    bool hasUnansweredStart { false }; // One of them had no answer, and may be carried out yet.
    Millis startRuledOutAt { 0 }; // The worker will not start it any more, as a stop or a start was answered.
    Millis confirmedAt { 0 };
    Millis lastListedAt { 0 }; // When its worker last told of it.
    double progress { 0 }; // As last heard, 0 to 1.

    void requestStop(Millis now)
    {
        this->stopRequestedAt = this->stopRequested ? this->stopRequestedAt : now;
        this->stopRequested = true;
    }

    // It has been alive for so long that it is not going to crash its worker by starting.
    bool hasSurvivedStart() const { return this->phase == RunPhase::Running && this->lastListedAt - this->confirmedAt >= startSurvivalTime; }
};

struct WorkerState {
    WorkerDescription description;
    bool listed { true };
    bool hasAnswered { false }; // Has answered a poll of this term.
    bool silent { false }; // The last call had no answer.
    Millis lastAnswerAt { 0 }; // Its last answer.
    Millis leaseEndsBy { 0 }; // No run can be alive there later without a new lease.
    bool pollInFlight { false };
    bool quickPollInFlight { false }; // One beside a poll that waits.
    Millis pollSentAt { 0 };
    Millis nextPollAt { 0 };
    Millis pollBackoff { 0 }; // After a poll without an answer.
    Millis ackDueBy { 0 }; // Ends are durable and not acknowledged yet; 0: none.
    Millis leavesAt { 0 }; // While leaving: not before then.
    std::int64_t handledUpTo { 0 }; // Ends up to this number are in the planner's state,
    std::int64_t durableUpTo { 0 }; // in the log,
    std::int64_t acknowledgedUpTo { 0 }; // and known to be so at the worker.
    std::int64_t ackInFlight { 0 };
    Millis ackUnansweredAt { 0 }; // When a poll that acknowledged ends last got no answer; it may be carried out late.
    Millis placementBlockedUntil { 0 }; // Ends there could be acknowledged unread.
    std::map<RunRef, Millis> unansweredStarts; // When a start had no answer; it may be carried out late, by a later incarnation too.
    Millis incarnationConfirmedAt { 0 }; // When the last poll was sent that was answered by this incarnation.
    Millis lastStartAt { 0 }; // When a start was last sent there, or answered.
    Resources used;
    std::map<RunRef, PlacedRun> placedRuns;
    WorkerHealth health;

    // A run may be alive there, and needs a lease.
    bool needsLease() const
    {
        return std::any_of(this->placedRuns.begin(), this->placedRuns.end(), [](const auto& entry) { return entry.second.phase != RunPhase::Recording; });
    }

    // Whether the ends that are acknowledged are surely of the incarnation that is asked. A
    // worker that has started again under its id numbers its ends anew, and forgets
    // those that were acknowledged to its earlier incarnation: a task then runs a second
    // time, for nobody has read that it ended. It has no ends before it was sent a
    // start, so the incarnation is sure if a poll sent after the last start showed it.
    bool isIncarnationProven() const
    {
        const bool awaitsStart = std::any_of(this->placedRuns.begin(), this->placedRuns.end(), [](const auto& entry) { return entry.second.phase == RunPhase::Starting; });
        return !awaitsStart && this->incarnationConfirmedAt > this->lastStartAt;
    }
};

} // namespace rattan::tasks::detail
