#pragma once

// Events that rattan-planner logs; docs/EVENTS.md is held against this list.

#include "base/log.h"

#include <array>

namespace rattan::planner::events {

inline constexpr Event started { 3000, "planner.started", Level::Info, "The planner serves; its addresses are given." };
inline constexpr Event stopping { 3001, "planner.stopping", Level::Info, "A stop signal came; the planner hands over." };
inline constexpr Event stopped { 3002, "planner.stopped", Level::Info, "The planner has ended gracefully." };
inline constexpr Event logUnreachable { 3010, "planner.log_unreachable", Level::Warning, "The job stream cannot be read; decisions go on with what is known." };
inline constexpr Event logReachableAgain { 3011, "planner.log_reachable", Level::Info, "The job stream can be read again." };
inline constexpr Event recordsTrimmed { 3012, "planner.records_trimmed", Level::Info, "The log no longer holds records that were not read here; reading goes on at the first kept." };
inline constexpr Event recordPassedOver { 3013, "planner.record_passed_over", Level::Warning, "A job record is malformed and has no effect." };
inline constexpr Event appendFailed { 3014, "planner.append_failed", Level::Warning, "Job records could not be appended; they are kept and appended again." };
inline constexpr Event activated { 3020, "planner.activated", Level::Info, "This planner begins to take over its failure domain." };
inline constexpr Event deciding { 3021, "planner.deciding", Level::Info, "The leases are learnt; this planner decides for its failure domain." };
inline constexpr Event stoodDown { 3022, "planner.stood_down", Level::Info, "This planner no longer decides; the reason is given." };
inline constexpr Event driverUnreachable { 3023, "planner.driver_unreachable", Level::Warning, "The driver of this instance does not answer." };
inline constexpr Event bookFetched { 3024, "planner.book_fetched", Level::Info, "The log is down; a peer told the jobs that it knows." };
inline constexpr Event jobEnded { 3030, "planner.job_ended", Level::Info, "A job got its final answer." };
inline constexpr Event gangOrdered { 3031, "planner.gang_ordered", Level::Info, "A gang is to start on the workers named." };
inline constexpr Event gangStopOrdered { 3032, "planner.gang_stop_ordered", Level::Info, "A gang is to stop; the reason is given." };
inline constexpr Event workerQuarantined { 3040, "planner.worker_quarantined", Level::Warning, "A worker failed too many starts and gets no work but probes." };
inline constexpr Event textInForce { 3050, "planner.text_in_force", Level::Info, "Decisions follow this version of the operators' text." };

inline constexpr std::array plannerEvents { started, stopping, stopped, logUnreachable, logReachableAgain, recordsTrimmed,
    recordPassedOver, appendFailed, activated, deciding, stoodDown, driverUnreachable, bookFetched, jobEnded, gangOrdered,
    gangStopOrdered, workerQuarantined, textInForce };

} // namespace rattan::planner::events
