#include "http/answer.h"

#include <fmt/format.h>

namespace rattan::http {

namespace {

    std::string valueOrEmpty(const std::map<std::string, std::string>& map, const std::string& name)
    {
        const auto entry = map.find(name);
        return entry == map.end() ? std::string() : entry->second;
    }

} // namespace

std::string Request::header(const std::string& lowerCaseName) const { return valueOrEmpty(this->headers, lowerCaseName); }

std::string Request::parameter(const std::string& name) const { return valueOrEmpty(this->parameters, name); }

Answer jsonAnswer(int status, const Json& json)
{
    // Callers can send bytes that are not UTF-8; these are replaced instead of throwing.
    return { status, json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n", "application/json", {} };
}

Answer errorAnswer(const Error& error)
{
    const Json json = { { "error", { { "code", nameOf(error.code) }, { "message", error.message }, { "step", error.step }, { "peer", error.peer } } } };
    Answer answer = jsonAnswer(statusOf(error.code), json);
    if (error.retryAfter.count() > 0)
        answer.headers.emplace_back("Retry-After", fmt::to_string((error.retryAfter.count() + 999) / 1000));
    return answer;
}

int statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadInput:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::Forbidden:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::MethodNotAllowed:
        return 405;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::Conflict:
        return 409;
    case ErrorCode::Infeasible:
        return 422;
    case ErrorCode::Overloaded:
        return 429;
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::Timeout:
        return 504;
    case ErrorCode::Interrupted:
        return 502;
    case ErrorCode::Internal:
        break;
    }
    return 500;
}

} // namespace rattan::http
