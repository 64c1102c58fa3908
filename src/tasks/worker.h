#pragma once

// What a planner knows about workers: their addresses and capacities, from the list of
// workers, and which runs are active and have ended there, from the workers themselves.

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
    Millis remaining { 0 }; // While it is leaving, the minimum time until it stops.
};

// How a run ended.
enum class RunEnd {
    Done,
    Failed, // Because of the task itself or of the worker.
    Stopped, // By a stop order.
    LeaseExpired, // The lease was not renewed in time.
    GangMemberEnded, // Another member of its gang ended.
    GangIncomplete, // The other members of its gang did not start in time.
};

std::string_view nameOf(RunEnd);

struct RunningTask {
    RunRef run;
    std::string checkpoint; // The newest one, or empty if there is none.
    std::int64_t percent { 0 }; // Of its work that is done; for a serving task, 100 once it serves.
};

struct EndedTask {
    std::int64_t number { 0 }; // Counts up from 1 in each incarnation of the worker; used to acknowledge ends.
    RunRef run;
    RunEnd end { RunEnd::Done };
    std::string checkpoint;
};

struct WorkerReport {
    Millis clock { 0 }; // Time by the worker's clock.
    Millis born { 0 }; // When the answering incarnation of the worker started.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; // Not acknowledged yet, by number; those with the lowest numbers if the worker has more than one report lists.
    bool hasMoreEnds { false }; // There may be ends that the report doesn't list. Then a run that it doesn't list may have ended in any way.
};

// Why the effect of a poll or an order is absent or uncertain.
enum class WorkerFault {
    NoAnswer, // It may have been carried out, or may still be.
    NotSent, // It cannot have been carried out.
    OtherIncarnation, // The worker has restarted.
    Deposed, // The worker has received a call with a higher term.
};

enum class StartAnswer {
    Started, // Also if it was already running.
    NoAnswer, // The start may have been carried out, or may still be.
    NotSent,
    NotEnoughResources,
    Superseded, // The worker knows a run of this task with the same or a higher number.
    LeaseExpired, // The lease had expired when the start arrived.
    Unavailable, // The worker accepts no runs at present.
    Refused, // The task can never run there.
    InvalidTicket, // The ticket from the advice service is not valid now.
    OtherIncarnation,
    Deposed,
};

// True if this answer to one attempt also settles the outcome of all earlier attempts.
bool settlesEarlierAttempts(StartAnswer);

// Returns what is known after a start was sent twice and the second attempt had this answer.
StartAnswer answerToRepeatedStart(StartAnswer);

std::string_view nameOf(WorkerFault);
std::string_view nameOf(StartAnswer);

} // namespace rattan::tasks
