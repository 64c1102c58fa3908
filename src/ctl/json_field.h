#pragma once

// Fields of answers, read leniently: a newer or broken entry must not end
// rattanctl.

#include "base/json.h"

#include <string>

namespace rattan::ctl {

// The fallback when the field is absent or of another type.
template <typename T>
T field(const Json& json, const char* name, T fallback = {})
{
    if (!json.is_object() || !json.contains(name))
        return fallback;
    try {
        return json[name].get<T>();
    } catch (const Json::exception&) {
        return fallback;
    }
}

inline std::string textField(const Json& json, const char* name) { return field<std::string>(json, name); }

inline std::int64_t numberField(const Json& json, const char* name) { return field<std::int64_t>(json, name); }

inline const Json& arrayField(const Json& json, const char* name)
{
    static const Json none = Json::array();
    return json.is_object() && json.contains(name) && json[name].is_array() ? json[name] : none;
}

} // namespace rattan::ctl
