#pragma once

// The numbered log events of the driver.

#include "base/log.h"

#include <array>

namespace rattan::driver {

inline constexpr Event driverStarted { 2000, "driver.started", Level::Info, "The driver serves its planner." };
inline constexpr Event driverDraining { 2001, "driver.draining", Level::Info,
    "The driver takes no new gangs and renews what runs until another driver has it." };
inline constexpr Event driverStopped { 2002, "driver.stopped", Level::Info, "The driver ended; gangs not taken over lapse." };
inline constexpr Event driverSuspended { 2003, "driver.suspended", Level::Warning,
    "The driver did not run for longer than half a lease; gangs that were gathering are given up." };
inline constexpr Event epochTaken { 2004, "driver.epoch_taken", Level::Info, "Leases are held under this epoch from now on." };
inline constexpr Event epochRefused { 2005, "driver.epoch_refused", Level::Warning,
    "A worker has accepted a higher epoch; all gangs are left to its owner." };
inline constexpr Event listUnreachable { 2006, "driver.list_unreachable", Level::Warning,
    "The platform's instance list gave no answer; the workers known so far are kept." };
inline constexpr Event workerSilent { 2007, "driver.worker_silent", Level::Warning, "A worker gave no answer." };
inline constexpr Event workerBack { 2008, "driver.worker_back", Level::Info, "A worker that was silent answers again." };
inline constexpr Event gangEnded { 2009, "driver.gang_ended", Level::Info, "A gang finished, failed or was stopped; no member runs." };
inline constexpr Event gangStarted { 2010, "driver.gang_started", Level::Info, "Every member of a gang runs." };
inline constexpr Event ordersRefused { 2011, "driver.orders_refused", Level::Warning, "Orders of the planner were refused whole." };

inline constexpr std::array<Event, 12> driverEvents { driverStarted, driverDraining, driverStopped, driverSuspended, epochTaken,
    epochRefused, listUnreachable, workerSilent, workerBack, gangEnded, gangStarted, ordersRefused };

} // namespace rattan::driver
