#pragma once

// The numbered log events of the peers library.

#include "base/log.h"

#include <array>

namespace rattan::peers {

inline constexpr Event configInForce { 1600, "peers.config_in_force", Level::Info, "A version of the text came into force here." };
inline constexpr Event configRestated { 1601, "peers.config_restated", Level::Info,
    "The text in force was written again before the log trims it." };
inline constexpr Event configLogDown { 1602, "peers.config_log_down", Level::Warning,
    "The configuration stream cannot be read; newer texts come from peers." };
inline constexpr Event configLogBack { 1603, "peers.config_log_back", Level::Info, "The configuration stream can be read again." };
inline constexpr Event activeChanged { 1604, "peers.active_changed", Level::Info,
    "Another instance, or this one, is the active planner of the domain." };
inline constexpr Event listDown { 1605, "peers.list_down", Level::Warning,
    "The platform's instance list gave no answer; heartbeats go on." };

inline constexpr std::array<Event, 6> peersEvents { configInForce, configRestated, configLogDown, configLogBack, activeChanged,
    listDown };

} // namespace rattan::peers
