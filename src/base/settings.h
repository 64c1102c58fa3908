#pragma once

// Settings of a program: flags and environment variables, checked at start.
//
//     Options options;                       // plain struct with defaults
//     Settings settings("rattan-entry", "Serves callers and operators.");
//     settings.text("domain", &options.domain, "NAME", "Failure domain of this instance.");
//     settings.number("body-limit", &options.bodyLimit, 1, 16777216, "bytes", "Largest body taken.");
//     if (const auto code = settings.parse(argc, argv))
//         return *code;                      // --help, --version or a bad value
//
// A setting "body-limit" of rattan-entry is read from --body-limit, else from
// RATTAN_ENTRY_BODY_LIMIT, else from RATTAN_BODY_LIMIT, else keeps the value
// the target holds. A bad value prints one line naming setting, value and what
// is accepted, and parse returns 2. Not thread-safe; used once, before threads.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattan {

struct SettingInfo {
    std::string name;
    std::string placeholder;
    std::string accepted; // For example "1 to 16777216 bytes".
    std::string fallback; // The default, as text.
    std::string meaning;
};

class Settings {
public:
    static constexpr int badUsage = 2;

    Settings(std::string program, std::string description);

    // Any text; empty is refused where required is true.
    void text(const std::string& name, std::string* target, const std::string& placeholder, const std::string& meaning,
        bool required = false);

    // A whole number within [minValue, maxValue].
    void number(const std::string& name, std::int64_t* target, std::int64_t minValue, std::int64_t maxValue,
        const std::string& unit, const std::string& meaning);

    // HOST:PORT with an IP number; port 0 is allowed where a free one may be chosen.
    void address(const std::string& name, std::string* target, const std::string& meaning, bool required = false);

    // Comma-separated HOST:PORT list; may be empty.
    void addresses(const std::string& name, std::vector<std::string>* target, const std::string& meaning);

    // One word out of a list.
    void choice(const std::string& name, std::string* target, const std::vector<std::string>& choices,
        const std::string& meaning);

    // Fills the targets. Empty means "go on"; else the exit code.
    std::optional<int> parse(int argc, const char* const* argv);

    // What docs/SETTINGS.md is held against.
    const std::vector<SettingInfo>& list() const { return this->infos; }
    std::string environmentName(const std::string& setting) const;

private:
    // Takes a text and fills the target, or says what would be accepted.
    using Setter = std::function<bool(const std::string&)>;

    void add(SettingInfo, Setter);
    std::optional<std::string> fromEnvironment(const std::string& setting) const;
    std::string help() const;

    std::string program;
    std::string description;
    std::vector<SettingInfo> infos;
    std::vector<Setter> setters;
};

namespace detail {

    bool isAddress(const std::string&);

} // namespace detail

} // namespace rattan
