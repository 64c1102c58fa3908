#pragma once

// Errors that are passed between libraries and finally returned to a caller.
//
// A function that can fail returns Result<T>, a Boost.LEAF result. It fails by
// returning fail(...), which carries one Error: a code from a closed list, the
// step that failed, the peer involved (empty if none), a human-readable
// sentence, and the time to wait before a retry (zero if a retry cannot help).
//
//     Result<int> parsePort(std::string_view text);
//
//     const Attempt<int> port = attempt([&] { return parsePort(text); });
//     if (!port.value)
//         logEvent(..., { { "step", port.error.step } });
//
// Errors are plain values and may be copied between threads. The mapping from
// errors to HTTP responses is in http/answer.h.

#include <boost/leaf.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace rattan {

template <typename T>
using Result = boost::leaf::result<T>;

enum class ErrorCode {
    BadInput, // The request is invalid; sending it again unchanged cannot succeed.
    Unauthorized, // The token is missing or unknown.
    Forbidden, // The caller is authenticated but lacks the permission.
    NotFound,
    MethodNotAllowed,
    TooLarge,
    Conflict, // A concurrent change was applied first.
    Infeasible, // The request is well formed, but can never run here.
    Overloaded, // A limit is reached; a later retry may succeed.
    Unavailable, // A peer or the platform is down; the operation was not done.
    Timeout, // The deadline passed; the operation may or may not have been done.
    Interrupted, // The peer was reached, but its response was incomplete.
    Internal, // A bug in this program.
};

// The code's name in JSON responses and logs, for example "bad_input".
std::string_view nameOf(ErrorCode);

struct Error {
    ErrorCode code { ErrorCode::Internal };
    std::string step; // The operation that failed, e.g. "log.append".
    std::string peer; // Address or id of the peer; may be empty.
    std::string message; // One human-readable sentence.
    // The time to wait before a retry; zero if a retry cannot help.
    std::chrono::milliseconds retryAfter { 0 };
};

// Creates the failed result of a function that returns Result<T>.
inline boost::leaf::error_id fail(Error error) { return boost::leaf::new_error(std::move(error)); }

inline boost::leaf::error_id fail(ErrorCode code, std::string step, std::string peer, std::string message,
    std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0))
{
    return fail(Error { code, std::move(step), std::move(peer), std::move(message), retryAfter });
}

// Holds the value of a successful call or the error of a failed one. `error` is
// meaningful only if `value` is empty.
template <typename T>
struct Attempt {
    std::optional<T> value;
    Error error;

    explicit operator bool() const { return this->value.has_value(); }
    T& operator*() { return *this->value; }
    const T& operator*() const { return *this->value; }
    T* operator->() { return &*this->value; }
    const T* operator->() const { return &*this->value; }
};

// Calls a function that returns Result<T> and returns its value or error as a plain
// object. LEAF keeps an error object only while a handler is on the stack, so code
// outside of a Result function calls Result functions only through attempt() or
// attemptVoid().
template <typename Function>
auto attempt(Function&& function)
{
    using T = std::decay_t<decltype(function().value())>;
    Attempt<T> outcome;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            auto result = function();
            if (!result)
                return result.error();
            outcome.value.emplace(std::move(result.value()));
            return {};
        },
        [&](const Error& error) { outcome.error = error; },
        [&] { outcome.error = Error { ErrorCode::Internal, "unknown", "", "an error of no known kind", {} }; });
    return outcome;
}

// Calls a function that returns Result<void>, and returns its error or, on success,
// nullopt.
template <typename Function>
std::optional<Error> attemptVoid(Function&& function)
{
    std::optional<Error> failure;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> { return function(); },
        [&](const Error& error) { failure = error; },
        [&] { failure = Error { ErrorCode::Internal, "unknown", "", "an error of no known kind", {} }; });
    return failure;
}

} // namespace rattan
