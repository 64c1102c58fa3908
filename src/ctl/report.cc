// How every command prints answers and failures.

#include "base/trace.h"
#include "ctl/command.h"
#include "ctl/json_field.h"

#include <chrono>
#include <fmt/format.h>
#include <thread>

namespace rattan::ctl {

namespace {

    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    constexpr int gatewayTimeout = 504;

    ExitCode codeFor(const EntryReply& reply)
    {
        const std::string outcome = textField(reply.json, "outcome");
        // That nothing ran is told of the last try only.
        if (outcome == "unknown" || (outcome != "done" && reply.mayHaveActed) || (outcome.empty() && reply.status == gatewayTimeout))
            return ExitCode::Unknown;
        if (reply.status == 0 || reply.status == tooManyRequests || reply.status == unavailable)
            return ExitCode::Unavailable;
        return ExitCode::Refused;
    }

} // namespace

void SleepingPause::wait(Millis time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

void printJson(Context& context, const Json& json)
{
    context.console.line(json.dump(2, ' ', false, Json::error_handler_t::replace));
}

ExitCode complain(Context& context, const EntryReply& reply)
{
    const ExitCode code = codeFor(reply);
    if (context.options.json) {
        Json json = reply.json.is_object() ? reply.json : Json::object();
        if (!json.contains("error"))
            json["error"] = { { "code", nameOf(reply.error.code) }, { "message", reply.error.message }, { "step", reply.error.step }, { "peer", reply.error.peer } };
        if (code == ExitCode::Unknown && json.contains("outcome"))
            json["outcome"] = "unknown";
        json["trace"] = currentSpan().traceId;
        json["exit_code"] = static_cast<int>(code);
        printJson(context, json);
        return code;
    }
    std::string text = fmt::format("{} (at {}, step {}, trace {})", reply.error.message, reply.error.peer.empty() ? "no peer" : reply.error.peer, reply.error.step,
        currentSpan().traceId);
    if (code == ExitCode::Unknown)
        text += "; it may have been done";
    constexpr std::int64_t second = 1000;
    if (reply.error.retryAfter.count() > 0)
        text += fmt::format("; come back in {} s", (reply.error.retryAfter.count() + second - 1) / second);
    context.console.remark(text);
    return code;
}

ExitCode misuse(Context& context, std::string_view message)
{
    context.console.remark(message);
    return ExitCode::Usage;
}

} // namespace rattan::ctl
