#pragma once

// Why nothing of a job runs although a task of it is ready, as a planner sees it. For the log and
// the metrics: these causes call for different answers by an operator, and none of them shows in
// the state of the job.

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace rattan::tasks {

enum class IdleCause {
    NotPlaced, // All its ready tasks wait to be placed.
    NotRecorded, // The record of a run is not durable yet, so its start was not sent.
    TicketPending, // A start waits for a ticket of the advice service.
    StartPending, // A start was sent and may still be answered.
    StartUnanswered, // A start had no answer and may still be carried out.
    TakeoverUnsettled, // An earlier planner may have sent a start, and its worker has not answered this planner.
    StopUnanswered, // A stop has not been answered.
    EndUnread, // A stop was answered, and no poll has shown the end yet.
    WorkerSilent, // The run may be alive on a worker that does not answer.
};

inline constexpr std::array<std::string_view, 9> idleCauseNames { "not_placed", "not_recorded", "ticket_pending", "start_pending", "start_unanswered", "takeover_unsettled", "stop_unanswered", "end_unread", "worker_silent" };

inline constexpr std::string_view nameOf(IdleCause cause) { return idleCauseNames.at(static_cast<std::size_t>(cause)); }

// What keeps a job from unused resources in which a unit of it fits twice by all that it needs.
enum class Withholding {
    Other, // They are committed to units that wait for stops, or kept for another job's suspect units.
    Reserved, // They are reserved for other units.
    Isolation, // The unit is suspected of crashing workers, and other work runs on all of these.
    FailedThere, // A run of the unit failed on their workers.
    Rack, // They are in other racks than that of its data, or not in one rack.
    UnprovenWorker, // Their workers are probed by one run after a quarantine.
    UnavailableWorker, // Their workers answer but take no work at present.
};

inline constexpr std::array<std::string_view, 7> withholdingNames { "other", "reserved", "isolation", "failed_there", "rack", "unproven_worker", "unavailable_worker" };

inline constexpr std::string_view nameOf(Withholding withholding) { return withholdingNames.at(static_cast<std::size_t>(withholding)); }

// The jobs that have been idle for at least `minIdleTime`.
struct IdleJobCounts {
    static constexpr Millis minIdleTime = 1500;

    std::array<std::int64_t, idleCauseNames.size()> byCause {}; // Indexed by IdleCause.
    std::array<std::int64_t, withholdingNames.size()> passedOver {}; // Jobs of which a unit has fitted twice for that long; indexed by Withholding.
    std::int64_t besideUnusedResources { 0 }; // Of these, jobs of which a unit fits twice in resources that no run uses.
    Millis longest { 0 }; // How long the job has been idle that has been so for longest, in milliseconds.
};

} // namespace rattan::tasks
