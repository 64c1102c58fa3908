#pragma once

// What a planner learns of workers: where they are and what they have (from the
// list of workers), and what runs and has ended there (from the workers).

#include "tasks/job.h"
#include "tasks/progress.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattan::tasks {

struct WorkerDescription {
    Incarnation incarnation;
    std::string address; // IP:PORT
    std::string service;
    std::string domain; // Failure domain.
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool leaving { false };
    Millis remaining { 0 }; // While leaving: it stays at least this long.
};

// How a run ended.
enum class RunEnd {
    Done,
    Failed, // By the task's own fault or the worker's.
    Stopped, // On order.
    LeaseExpired, // Its lease was not renewed in time.
    GangMemberEnded, // Another member of its gang ended.
    GangIncomplete, // The other members of its gang did not come in time.
};

std::string_view nameOf(RunEnd);

struct RunningTask {
    RunRef run;
    std::string checkpoint; // The newest one; empty: none.
    std::int64_t percent { 0 }; // Of its work that is done; of a serving task: 100 once it serves.
};

struct EndedTask {
    std::int64_t number { 0 }; // Counts up from 1 in each incarnation of the worker.
    RunRef run;
    RunEnd end { RunEnd::Done };
    std::string checkpoint;
};

struct WorkerReport {
    Millis clock { 0 }; // The worker's own.
    Millis born { 0 }; // Of the incarnation that answers.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; // Those not acknowledged yet, at most a bounded number at once.
};

// Why a poll or an order had no effect that can be relied on.
enum class WorkerFault {
    NoAnswer, // It may have been carried out, or may be later.
    NotSent, // It cannot have been carried out.
    OtherIncarnation, // The worker has started again.
    Deposed, // A planner with a higher term has called there.
};

enum class StartAnswer {
    Started, // Also if it ran already.
    NoAnswer, // May have been carried out, or may be later.
    NotSent,
    NoRoom,
    Superseded, // A run at least as high was there.
    LeaseExpired, // Its lease was over on arrival.
    Unavailable, // The worker takes nothing at present.
    Refused, // It can never run there.
    InvalidTicket, // The advice on it does not hold any more.
    OtherIncarnation,
    Deposed,
};

// Whether the answer to one try tells what became of all tries before it as well.
bool settlesEarlierAttempts(StartAnswer);

// What is known once a start was sent twice and this is the answer to the second.
StartAnswer answerToRepeatedStart(StartAnswer);

std::string_view nameOf(WorkerFault);
std::string_view nameOf(StartAnswer);

} // namespace rattan::tasks
