// submit job, jobs, explain and cancel.

#include "ctl/command.h"
#include "ctl/job_story.h"
#include "ctl/job_view.h"
#include "ctl/json_field.h"
#include "ctl/table.h"

#include "base/timed_key.h"
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace rattan::ctl {

namespace {

    // A job's key needs no time, but the same form does for both.
    std::string keyFor(Context& context) { return context.options.key.empty() ? mintKey(context.clock.wall()) : context.options.key; }

    Colour colourOf(const JobView& view)
    {
        if (view.isDone())
            return Colour::Green;
        return view.isFinal() ? Colour::Red : Colour::Yellow;
    }

} // namespace

ExitCode submitJob(Context& context)
{
    const Options& options = context.options;
    if (options.jobClass.empty())
        return misuse(context, "submit job needs --class");
    Json body { { "key", keyFor(context) }, { "class", options.jobClass }, { "members", options.members }, { "accelerators", options.accelerators },
        { "cores", options.cores }, { "memory_mb", options.memoryMb }, { "adjacent", options.adjacent }, { "run_ms", options.runMs } };
    if (!options.payload.empty()) {
        body["payload"] = Json::parse(options.payload, nullptr, false);
        if (body["payload"].is_discarded())
            return misuse(context, "--payload is not JSON");
    }
    const EntryReply reply = context.client.call("POST", "/v1/jobs", body);
    if (!reply.ok()) {
        const ExitCode code = complain(context, reply);
        if (code == ExitCode::Unknown || code == ExitCode::Unavailable)
            context.console.remark(fmt::format("submitting again with --key {} is safe", textField(body, "key")));
        return code;
    }
    if (context.options.json)
        printJson(context, reply.json);
    else
        context.console.line(fmt::format("{} {}", textField(reply.json, "key"), textField(reply.json, "state")));
    return ExitCode::Ok;
}

ExitCode jobs(Context& context)
{
    const EntryReply reply = context.client.call("GET", fmt::format("/v1/jobs?limit={}", context.options.limit));
    if (!reply.ok())
        return complain(context, reply);
    if (context.options.json) {
        printJson(context, reply.json);
        return ExitCode::Ok;
    }
    Table table({ { "KEY" }, { "CLASS" }, { "GANG", Align::Right }, { "STATE" } });
    for (const Json& item : arrayField(reply.json, "jobs")) {
        const JobView view = parseJobView(item);
        table.add({ view.key, view.jobClass, fmt::format("{}x{}", view.members, view.accelerators), describe(view) });
    }
    for (const std::string& line : table.lines())
        context.console.line(line);
    return ExitCode::Ok;
}

namespace {

    ExitCode explainFromLogs(Context& context)
    {
        JobStory story(context.words[0]);
        std::istringstream names(context.options.logs);
        for (std::string name; std::getline(names, name, ',');) {
            std::ifstream file(name);
            if (!file)
                return misuse(context, name + " cannot be read");
            for (std::string line; std::getline(file, line);)
                story.read(line);
        }
        if (story.empty()) {
            context.console.remark("no line of these logs names " + context.words[0]);
            return ExitCode::Refused;
        }
        for (const std::string& sentence : story.sentences())
            context.console.line(sentence);
        return ExitCode::Ok;
    }

} // namespace

ExitCode explain(Context& context)
{
    if (!context.options.logs.empty())
        return explainFromLogs(context);
    const EntryReply reply = context.client.call("GET", "/v1/jobs/" + context.words[0]);
    if (!reply.ok())
        return complain(context, reply);
    if (context.options.json) {
        printJson(context, reply.json);
        return ExitCode::Ok;
    }
    const JobView view = parseJobView(reply.json);
    context.console.line(fmt::format("{}: class {}, {} members with {} accelerators each", view.key, view.jobClass, view.members, view.accelerators));
    context.console.line(context.console.paint(colourOf(view), describe(view)));
    return ExitCode::Ok;
}

ExitCode cancel(Context& context)
{
    const EntryReply reply = context.client.call("DELETE", "/v1/jobs/" + context.words[0]);
    if (!reply.ok())
        return complain(context, reply);
    if (context.options.json)
        printJson(context, reply.json);
    else
        context.console.line(fmt::format("{} is being cancelled", context.words[0]));
    return ExitCode::Ok;
}

} // namespace rattan::ctl
