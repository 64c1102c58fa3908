// A line is formatted completely in memory, and then written by one fwrite or queued for
// the background writer while a mutex is held, so lines of different threads are not
// interleaved.

#include "base/log.h"

#include "base/clock.h"
#include "base/log_writer.h"
#include "base/trace.h"

#include <array>
#include <cstdio>
#include <memory>
#include <mutex>
#include <unistd.h>

namespace rattan {

namespace {

    struct LogState {
        std::unique_ptr<LogWriter> writer; // If null, lines are written to standard error.
        std::mutex mutex;
        std::string program { "rattan" };
        std::string instance;
        Level minLevel { Level::Info };
    };

    LogState& logState()
    {
        static LogState state;
        return state;
    }

} // namespace

std::string_view nameOf(Level level)
{
    constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
    return names.at(static_cast<std::size_t>(level));
}

Level parseLevel(std::string_view name)
{
    for (const Level level : { Level::Debug, Level::Info, Level::Warning, Level::Error }) {
        if (nameOf(level) == name)
            return level;
    }
    return Level::Info;
}

void startLog(std::string program, std::string instance, Level minLevel)
{
    LogState& state = logState();
    const std::lock_guard lock(state.mutex);
    state.program = std::move(program);
    state.instance = std::move(instance);
    state.minLevel = minLevel;
}

void logEvent(const Event& event, std::initializer_list<LogField> fields, std::string_view variant)
{
    LogState& state = logState();
    const std::lock_guard lock(state.mutex);
    if (event.level < state.minLevel)
        return;
    std::string line = fmt::format("time={} level={} event={} name={} program={}", SystemClock().wall(),
        nameOf(event.level), event.number, event.name, state.program);
    if (!state.instance.empty())
        line += fmt::format(" instance={}", detail::quoted(state.instance));
    if (const std::string trace = currentSpan().traceId; !trace.empty())
        line += fmt::format(" trace={}", trace);
    for (const LogField& field : fields)
        line += fmt::format(" {}={}", field.key, detail::quoted(field.value));
    line += '\n';
    if (state.writer)
        state.writer->write({ event.number, std::string(variant) }, std::move(line));
    else
        std::fwrite(line.data(), 1, line.size(), stderr);
}

void logInBackground()
{
    LogState& state = logState();
    const std::lock_guard lock(state.mutex);
    state.writer = std::make_unique<LogWriter>(STDOUT_FILENO, LogWriterOptions {});
}

void stopLog()
{
    LogState& state = logState();
    const std::lock_guard lock(state.mutex);
    state.writer.reset();
}

std::uint64_t droppedLogLines()
{
    LogState& state = logState();
    const std::lock_guard lock(state.mutex);
    return state.writer ? state.writer->droppedLines() : 0;
}

namespace detail {

    std::string quoted(std::string_view value)
    {
        bool isPlain = !value.empty();
        for (const char c : value)
            isPlain = isPlain && static_cast<unsigned char>(c) > ' ' && c != '"' && c != '\\' && c != '=' && c != 0x7f;
        if (isPlain)
            return std::string(value);
        std::string text = "\"";
        for (const char c : value) {
            if (c == '"' || c == '\\')
                text += fmt::format("\\{}", c);
            else if (static_cast<unsigned char>(c) < ' ' || c == 0x7f)
                text += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
            else
                text += c;
        }
        return text + '"';
    }

} // namespace detail

} // namespace rattan
