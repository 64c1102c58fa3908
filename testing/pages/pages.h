#pragma once

// The reference pages that are made from the code's own tables: docs/EVENTS.md
// and docs/SETTINGS.md. `docs/update` writes them; a test holds the committed
// pages against them.

#include <string>

namespace rattan::testing {

std::string eventsPage();
std::string settingsPage();

} // namespace rattan::testing
