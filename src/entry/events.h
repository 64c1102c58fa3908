#pragma once

// The numbered log events of rattan-entry; docs/EVENTS.md is held against them.

#include "base/log.h"

#include <array>

namespace rattan::entry {

inline constexpr Event entryStarted { 4000, "entry.started", Level::Info,
    "The program listens for callers and for its peers." };
inline constexpr Event entryStopping { 4001, "entry.stopping", Level::Info,
    "A stop was asked for; health answers 503 and requests in flight finish." };
inline constexpr Event entryStopped { 4002, "entry.stopped", Level::Info,
    "Every request in flight was answered, or the stated time for them ran out." };
inline constexpr Event entryNotStarted { 4003, "entry.not_started", Level::Error,
    "An address cannot be listened on; the program exits with 1." };
inline constexpr Event entryDraining { 4004, "entry.draining", Level::Info,
    "An operator asked this instance to leave; health answers 503." };
inline constexpr Event configInForce { 4010, "entry.config_in_force", Level::Info,
    "The planner gave a newer text and this entry works by it." };
inline constexpr Event configRefused { 4011, "entry.config_refused", Level::Error,
    "The planner gave a text that this program cannot read; the one before stays." };
inline constexpr Event plannerUnreachable { 4012, "entry.planner_unreachable", Level::Warning,
    "The planner of this instance stopped answering; the text in hand stays in force." };
inline constexpr Event plannerReachable { 4013, "entry.planner_reachable", Level::Info,
    "The planner of this instance answers again." };
inline constexpr Event listUnreachable { 4020, "entry.list_unreachable", Level::Warning,
    "The platform's instance list stopped answering; the last one stays in use." };
inline constexpr Event listReachable { 4021, "entry.list_reachable", Level::Info,
    "The platform's instance list answers again." };
inline constexpr Event executorEjected { 4022, "entry.executor_ejected", Level::Warning,
    "An executor failed several requests in a row and gets only probes for a while." };
inline constexpr Event executorReturned { 4023, "entry.executor_returned", Level::Info,
    "An ejected executor answered a probe and gets requests again." };
inline constexpr Event requestFinished { 4030, "entry.request_finished", Level::Debug,
    "A request was answered; outcome, operation and time are given." };
inline constexpr Event answerRejected { 4031, "entry.answer_rejected", Level::Warning,
    "An executor's answer was crossed, cut short or too long and was not passed on." };
inline constexpr Event claimsCaughtUp { 4040, "entry.claims_caught_up", Level::Info,
    "The claims stream was read to its end; requests with a key are taken." };
inline constexpr Event claimsGap { 4041, "entry.claims_gap", Level::Warning,
    "Claims were trimmed before this instance read them; older keys are refused." };
inline constexpr Event claimsUnreachable { 4042, "entry.claims_unreachable", Level::Warning,
    "The claims stream cannot be read; requests with a key are refused for now." };
inline constexpr Event claimReleased { 4043, "entry.claim_released", Level::Info,
    "A claim was given up before anything was dispatched under it." };
inline constexpr Event spansDropped { 4050, "entry.spans_dropped", Level::Warning,
    "The collector takes spans too slowly or not at all; some were dropped." };

inline constexpr std::array entryEvents { entryStarted, entryStopping, entryStopped, entryNotStarted, entryDraining,
    configInForce, configRefused, plannerUnreachable, plannerReachable, listUnreachable, listReachable, executorEjected,
    executorReturned, requestFinished, answerRejected, claimsCaughtUp, claimsGap, claimsUnreachable, claimReleased,
    spansDropped };

} // namespace rattan::entry
