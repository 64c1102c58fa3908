// submit request, outcome and ticket.

#include "base/timed_key.h"
#include "base/trace.h"
#include "ctl/command.h"
#include "ctl/json_field.h"

#include <fmt/format.h>

namespace rattan::ctl {

namespace {

    Json bodyOf(const std::string& text)
    {
        Json json = Json::parse(text, nullptr, false);
        return json.is_discarded() ? Json(text) : json;
    }

    void printAnswer(Context& context, const Json& json)
    {
        std::string answer = textField(json, "answer");
        if (!answer.empty() && answer.back() == '\n')
            answer.pop_back();
        const std::string encoded = textField(json, "answer_base64");
        if (!encoded.empty())
            answer = "base64: " + encoded;
        if (!answer.empty())
            context.console.line(answer);
        if (!field(json, "answer_kept", true))
            context.console.remark("it ran, but its answer was too large or too old to keep");
    }

    ExitCode printOutcome(Context& context, const EntryReply& reply, const std::string& key)
    {
        if (!reply.ok()) {
            const ExitCode code = complain(context, reply);
            if (code == ExitCode::Unknown && !key.empty())
                context.console.remark(fmt::format("ask again with `rattanctl outcome {}`", key));
            return code;
        }
        if (context.options.json) {
            Json json = reply.json;
            if (json.is_object())
                json["trace"] = currentSpan().traceId;
            printJson(context, json);
            return ExitCode::Ok;
        }
        context.console.line(fmt::format("{}: status {}{}, trace {}", context.console.paint(Colour::Green, textField(reply.json, "outcome")),
            numberField(reply.json, "status"), key.empty() ? "" : ", key " + key, currentSpan().traceId));
        printAnswer(context, reply.json);
        return ExitCode::Ok;
    }

} // namespace

ExitCode submitRequest(Context& context)
{
    const Options& options = context.options;
    if (!options.key.empty() && !options.ticket.empty())
        return misuse(context, "--key and --ticket exclude each other");
    Json body { { "service", context.words[0] }, { "operation", context.words[1] } };
    // Whether the operation may run twice is in the text, which a caller cannot
    // read; a key does no harm where it is not needed. It stays the same at each
    // entry that is tried, or the request could run once for each.
    const std::string key = options.key.empty() && options.ticket.empty() ? mintKey(context.clock.wall()) : options.key;
    body[options.ticket.empty() ? "key" : "ticket"] = options.ticket.empty() ? key : options.ticket;
    if (options.deadlineMs > 0)
        body["deadline_ms"] = options.deadlineMs;
    if (!options.body.empty())
        body["body"] = bodyOf(options.body);
    return printOutcome(context, context.client.call("POST", "/v1/requests", body), key);
}

ExitCode outcome(Context& context)
{
    const std::string& key = context.words[0];
    return printOutcome(context, context.client.call("GET", "/v1/requests/" + key), key);
}

ExitCode ticket(Context& context)
{
    const EntryReply reply = context.client.call("POST", "/v1/tickets", { { "count", context.options.count } });
    if (!reply.ok())
        return complain(context, reply);
    if (context.options.json) {
        printJson(context, reply.json);
        return ExitCode::Ok;
    }
    for (const Json& one : arrayField(reply.json, "tickets"))
        context.console.line(one.is_string() ? one.get<std::string>() : one.dump());
    return ExitCode::Ok;
}

} // namespace rattan::ctl
