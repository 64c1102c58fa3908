#pragma once

// Structured logging: one line per event, on standard error by default.
//
//     inline constexpr Event configAccepted { 1401, "config.accepted", Level::Info,
//         "A published configuration took effect." };
//     logEvent(configAccepted, { { "version", version }, { "author", author } });
//
// prints  time=... level=info event=1401 name=config.accepted trace=... version=7 ...
// Each library declares its events in its own events.h; a test compares
// docs/EVENTS.md with these declarations. Values that are empty or contain spaces, quotes,
// backslashes, equals signs or control characters are quoted. Never log a token or a
// request body. Thread-safe; lines of different threads are not interleaved.

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

// The level with this name, or Info if there is none.
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

// Sets the program's name, the instance id and the minimum level of the lines that are
// written. Called once when the program starts.
void startLog(std::string program, std::string instance, Level minLevel);

// logInBackground() makes a separate thread write all further lines, to standard output.
// Threads that log then never wait; if the reader of standard output is too slow, lines are
// dropped. stopLog() writes the queued lines, within a time limit.
void logInBackground();
void stopLog();

// The number of lines dropped so far by background logging.
std::uint64_t droppedLogLines();

// Writes one line if the event's level is at least the minimum level. With background
// logging, the number of lines per second is limited for each pair of event and variant, so
// that a frequent variant of an event does not use up the limit of a rare one.
void logEvent(const Event&, std::initializer_list<LogField> = {}, std::string_view variant = {});

namespace detail {

    // The value as it is written to a log line, quoted if necessary.
    std::string quoted(std::string_view);

} // namespace detail

} // namespace rattan
