#pragma once

// Values between Lua and JSON. A Lua table with entries 1..n becomes an array,
// any other an object; an empty table is an object. Depth is bounded.

#include "base/json.h"

struct lua_State;

namespace rattan::testing {

// Throws std::runtime_error for what JSON cannot hold.
Json fromLua(lua_State*, int index);
void pushToLua(lua_State*, const Json&);

} // namespace rattan::testing
