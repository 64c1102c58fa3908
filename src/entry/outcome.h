#pragma once

// How a request ended, as every answer states it.

#include "base/error.h"

#include <array>
#include <string>
#include <string_view>

namespace rattan::entry {

enum class OutcomeKind {
    Done, // The whole answer is there.
    NotRun, // Proved: nothing was dispatched.
    Unknown, // It may have run.
};

inline std::string_view nameOf(OutcomeKind kind)
{
    constexpr std::array<std::string_view, 3> names { "done", "not_run", "unknown" };
    return names.at(static_cast<std::size_t>(kind));
}

struct Outcome {
    OutcomeKind kind { OutcomeKind::Unknown };
    int status { 0 }; // Of the executor's answer, when done.
    std::string answer; // Its body, when done and kept.
    bool answerKept { true }; // False: it ran, but the body was too large or too old to keep.
    Error error; // Unless done: why, and when to ask again.
};

inline Outcome notRun(Error error) { return { OutcomeKind::NotRun, 0, {}, true, std::move(error) }; }
inline Outcome unknown(Error error) { return { OutcomeKind::Unknown, 0, {}, true, std::move(error) }; }

} // namespace rattan::entry
