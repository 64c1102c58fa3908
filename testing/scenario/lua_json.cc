#include "scenario/lua_json.h"

#include <lua.hpp>
#include <stdexcept>

namespace rattan::testing {

namespace {

    constexpr int deepest = 40;

    Json tableFromLua(lua_State* lua, int index, int depth);

    Json valueFromLua(lua_State* lua, int index, int depth)
    {
        if (depth > deepest)
            throw std::runtime_error("the value is nested too deep");
        switch (lua_type(lua, index)) {
        case LUA_TNIL:
            return nullptr;
        case LUA_TBOOLEAN:
            return lua_toboolean(lua, index) != 0;
        case LUA_TNUMBER:
            if (lua_isinteger(lua, index))
                return lua_tointeger(lua, index);
            return lua_tonumber(lua, index);
        case LUA_TSTRING: {
            std::size_t length = 0;
            const char* text = lua_tolstring(lua, index, &length);
            return std::string(text, length);
        }
        case LUA_TTABLE:
            return tableFromLua(lua, lua_absindex(lua, index), depth);
        default:
            throw std::runtime_error("only plain values can be passed");
        }
    }

    Json tableFromLua(lua_State* lua, int index, int depth)
    {
        const auto length = static_cast<lua_Integer>(lua_rawlen(lua, index));
        if (length > 0) {
            Json array = Json::array();
            for (lua_Integer i = 1; i <= length; ++i) {
                lua_rawgeti(lua, index, i);
                array.push_back(valueFromLua(lua, -1, depth + 1));
                lua_pop(lua, 1);
            }
            return array;
        }
        Json object = Json::object();
        lua_pushnil(lua);
        while (lua_next(lua, index) != 0) {
            if (lua_type(lua, -2) != LUA_TSTRING)
                throw std::runtime_error("keys must be texts");
            object[lua_tostring(lua, -2)] = valueFromLua(lua, -1, depth + 1);
            lua_pop(lua, 1);
        }
        return object;
    }

} // namespace

Json fromLua(lua_State* lua, int index) { return valueFromLua(lua, index, 0); }

void pushToLua(lua_State* lua, const Json& json)
{
    luaL_checkstack(lua, 4, "the value is nested too deep");
    if (json.is_boolean()) {
        lua_pushboolean(lua, json.get<bool>());
    } else if (json.is_number_integer()) {
        lua_pushinteger(lua, json.get<lua_Integer>());
    } else if (json.is_number()) {
        lua_pushnumber(lua, json.get<double>());
    } else if (json.is_string()) {
        const std::string& text = json.get_ref<const std::string&>();
        lua_pushlstring(lua, text.data(), text.size());
    } else if (json.is_array()) {
        lua_createtable(lua, static_cast<int>(json.size()), 0);
        lua_Integer index = 1;
        for (const Json& item : json) {
            pushToLua(lua, item);
            lua_rawseti(lua, -2, index++);
        }
    } else if (json.is_object()) {
        lua_createtable(lua, 0, static_cast<int>(json.size()));
        for (const auto& [key, value] : json.items()) {
            pushToLua(lua, value);
            lua_setfield(lua, -2, key.c_str());
        }
    } else {
        lua_pushnil(lua);
    }
}

} // namespace rattan::testing
