#pragma once

// Settings of a program, read from flags and environment variables and validated at start.
//
//     Options options;                       // a struct that holds the defaults
//     Settings settings("rattan-entry", "Serves callers and operators.");
//     settings.text("domain", &options.domain, "NAME", "Failure domain of this instance.");
//     settings.number("body-limit", &options.bodyLimit, 1, 16777216, "bytes", "Maximum body size.");
//     if (const auto code = settings.parse(argc, argv))
//         return *code;                      // --help, --version or an invalid value
//
// The setting "body-limit" of rattan-entry is read from --body-limit, else from
// RATTAN_ENTRY_BODY_LIMIT, else from RATTAN_BODY_LIMIT; if none of them is set, the
// target keeps its value, which is validated as well. For an invalid value, parse() prints
// one line with the setting, the value and the accepted values, and returns 2. Not
// thread-safe; used once, before other threads start.

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
    std::string fallback; // The default value, as text.
    std::string meaning;
};

class Settings {
public:
    // The exit code for an invalid command line or value.
    static constexpr int badUsage = 2;

    Settings(std::string program, std::string description);

    // Any text. If `required` is true, an empty text is rejected.
    void text(const std::string& name, std::string* target, const std::string& placeholder, const std::string& meaning,
        bool required = false);

    // An integer within [minValue, maxValue].
    void number(const std::string& name, std::int64_t* target, std::int64_t minValue, std::int64_t maxValue,
        const std::string& unit, const std::string& meaning);

    // IP:PORT. Port 0 is accepted, for targets that may use any free port. If `required` is true,
    // an empty text is rejected.
    void address(const std::string& name, std::string* target, const std::string& meaning, bool required = false);

    // A comma-separated list of IP:PORT; may be empty.
    void addresses(const std::string& name, std::vector<std::string>* target, const std::string& meaning);

    // One of the given words.
    void choice(const std::string& name, std::string* target, const std::vector<std::string>& choices,
        const std::string& meaning);

    // Parses the command line and the environment and sets the targets. Returns the exit code
    // if the program should end, else nullopt.
    std::optional<int> parse(int argc, const char* const* argv);

    // All settings. A test compares docs/SETTINGS.md with them.
    const std::vector<SettingInfo>& list() const { return this->infos; }

    // The environment variable of a setting, specific to this program.
    std::string environmentName(const std::string& setting) const;

private:
    // Parses a text into the target. Returns false if the text is not accepted.
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

    // Whether the text is IP:PORT, with an IPv4 or IPv6 address.
    bool isAddress(const std::string&);

} // namespace detail

} // namespace rattan
