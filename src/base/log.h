#pragma once

// Structured logs: one line an event on standard error.
//
//     inline constexpr Event configAccepted { 1401, "config.accepted", Level::Info,
//         "A published text became the one in force." };
//     logEvent(configAccepted, { { "version", version }, { "author", author } });
//
// prints  time=... level=info event=1401 name=config.accepted trace=... version=7 ...
// Each library lists its events in its own events.h; docs/EVENTS.md is held
// against those lists by a test. Values are quoted when they hold spaces,
// quotes or control characters. Never pass a token or a request body.
// Thread-safe; a line is written whole.

#include <cstdint>
#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace rattan {

enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view nameOf(Level);

// The level of that name; Info for any other text.
Level parseLevel(std::string_view);

struct Event {
    std::uint16_t number;
    std::string_view name;
    Level level;
    std::string_view meaning;
};

struct LogField {
    std::string_view key;
    std::string value;

    template <typename T>
    LogField(std::string_view key, const T& value)
        : key(key)
        , value(fmt::to_string(value))
    {
    }
};

// Set once at start: the program's name and instance id, and the lowest level
// that is printed.
void startLog(std::string program, std::string instance, Level minLevel);

// From now on lines go to standard output by a thread of their own: whoever logs
// never waits, and lines are lost when nobody reads them. stopLog() writes what
// waits, within a bound.
void logInBackground();
void stopLog();

// Lines that were left out so far.
std::uint64_t droppedLogLines();

//
// In the background each event may have a bounded number of lines a second. Lines with a
// variant of their own are counted by themselves, so that a rare one is not left out because
// of a common one.
void logEvent(const Event&, std::initializer_list<LogField> = {}, std::string_view variant = {});

namespace detail {

    // The value as it stands in a log line, quoted if it has to be.
    std::string quoted(std::string_view);

} // namespace detail

} // namespace rattan
