// validate, diff, publish and plan.

#include "ctl/command.h"
#include "ctl/domain_status.h"
#include "ctl/json_field.h"
#include "ctl/text_diff.h"
#include "ctl/text_file.h"
#include "ctl/text_plan.h"

#include <fmt/format.h>

namespace rattan::ctl {

namespace {

    constexpr int conflict = 409;

    std::string summaryOf(const config::Configuration& text)
    {
        return fmt::format("'{}': {} workspaces, {} services, {} job classes", text.name, text.workspaces.size(), text.services.size(), text.jobClasses.size());
    }

    Colour colourOf(Difference::Kind kind)
    {
        if (kind == Difference::Kind::Changed)
            return Colour::Yellow;
        return kind == Difference::Kind::Added ? Colour::Green : Colour::Red;
    }

    Json toJson(const std::vector<Difference>& differences)
    {
        Json list = Json::array();
        for (const Difference& one : differences)
            list.push_back({ { "kind", nameOf(one.kind) }, { "path", one.path }, { "before", one.before }, { "after", one.after } });
        return list;
    }

    void printDifferences(Context& context, const std::vector<Difference>& differences)
    {
        for (const Difference& one : differences)
            context.console.line(context.console.paint(colourOf(one.kind), describe(one)));
    }

    ExitCode printPublished(Context& context, std::int64_t version)
    {
        if (context.options.json)
            printJson(context, { { "version", version } });
        else
            context.console.line(fmt::format("version {} is in force", version));
        return ExitCode::Ok;
    }

    ExitCode printWinner(Context& context, const EntryReply& reply)
    {
        if (context.options.json || !reply.json.contains("winner"))
            return complain(context, reply);
        const Json& winner = reply.json["winner"];
        context.console.remark(fmt::format("not published: version {} by '{}' came first; see `rattanctl diff` and publish with --amends {}",
            numberField(winner, "version"), textField(winner, "author"), numberField(winner, "version")));
        return ExitCode::Refused;
    }

    // A publish whose answer got lost goes out again, and then loses against
    // itself. An operator who believed that would publish the text a second time.
    bool isOwnText(Context& context, std::int64_t amends, const std::string& yaml)
    {
        const EntryReply reply = context.client.call("GET", "/v1/config");
        return reply.ok() && numberField(reply.json, "version") == amends + 1 && textField(reply.json, "text") == yaml;
    }

    void printGuarantees(Context& context, const TextPlan& plan)
    {
        for (const GuaranteeChange& change : plan.changes) {
            const bool grows = change.after > change.before;
            context.console.line(context.console.paint(grows ? Colour::Green : Colour::Yellow,
                fmt::format("guarantee of '{}' {}: {} -> {} accelerators in each failure domain", change.workspace, grows ? "grows" : "shrinks", change.before,
                    change.after)));
        }
        for (const Reclaim& one : plan.reclaims) {
            context.console.line(context.console.paint(Colour::Red,
                fmt::format("{}: up to {} accelerators that '{}' uses beyond its guarantee would be reclaimed", one.domain, one.most, one.workspace)));
        }
    }

    Json toJson(const TextPlan& plan)
    {
        Json changes = Json::array();
        for (const GuaranteeChange& one : plan.changes)
            changes.push_back({ { "workspace", one.workspace }, { "before", one.before }, { "after", one.after } });
        Json reclaims = Json::array();
        for (const Reclaim& one : plan.reclaims)
            reclaims.push_back({ { "domain", one.domain }, { "workspace", one.workspace }, { "most", one.most } });
        return { { "guarantees", std::move(changes) }, { "reclaims", std::move(reclaims) } };
    }

} // namespace

ExitCode validate(Context& context)
{
    const TextFileOutcome outcome = readTextFile(context, context.words[0]);
    if (!outcome.file)
        return outcome.code;
    if (context.options.json)
        printJson(context, { { "valid", true }, { "faults", Json::array() } });
    else
        context.console.line(fmt::format("{} is sound: {}", context.words[0], summaryOf(outcome.file->text)));
    return ExitCode::Ok;
}

ExitCode diff(Context& context)
{
    const TextFileOutcome outcome = readTextFile(context, context.words[0]);
    if (!outcome.file)
        return outcome.code;
    const TextInForce force = askTextInForce(context);
    if (force.code != ExitCode::Ok)
        return force.code;
    const std::vector<Difference> differences = differencesBetween(force.text, outcome.file->text);
    if (context.options.json) {
        printJson(context, { { "version", force.version }, { "differences", toJson(differences) } });
        return ExitCode::Ok;
    }
    if (differences.empty())
        context.console.line(fmt::format("no difference to version {}", force.version));
    printDifferences(context, differences);
    return ExitCode::Ok;
}

ExitCode publish(Context& context)
{
    const TextFileOutcome outcome = readTextFile(context, context.words[0]);
    if (!outcome.file)
        return outcome.code;
    std::int64_t amends = context.options.amends;
    if (amends < 0) {
        const TextInForce force = askTextInForce(context);
        if (force.code != ExitCode::Ok)
            return force.code;
        amends = force.version;
    }
    Json body { { "amends", amends }, { "text", outcome.file->yaml } };
    if (!context.options.author.empty())
        body["author"] = context.options.author;
    const EntryReply reply = context.client.call("POST", "/v1/config", body);
    if (reply.ok())
        return printPublished(context, numberField(reply.json, "version"));
    if (reply.status != conflict)
        return complain(context, reply);
    if (reply.mayHaveActed && isOwnText(context, amends, outcome.file->yaml))
        return printPublished(context, amends + 1);
    return printWinner(context, reply);
}

ExitCode plan(Context& context)
{
    const TextFileOutcome outcome = readTextFile(context, context.words[0]);
    if (!outcome.file)
        return outcome.code;
    const TextInForce force = askTextInForce(context);
    if (force.code != ExitCode::Ok)
        return force.code;
    const EntryReply reply = context.client.call("GET", "/v1/status");
    if (!reply.ok())
        return complain(context, reply);
    const TextPlan plan = planFor(force.text, outcome.file->text, askAllDomains(context.client, reply.json));
    const std::vector<Difference> differences = differencesBetween(force.text, outcome.file->text);
    if (context.options.json) {
        Json json = toJson(plan);
        json["amends"] = force.version;
        json["differences"] = toJson(differences);
        printJson(context, json);
        return ExitCode::Ok;
    }
    context.console.line(fmt::format("would amend version {} by '{}'", force.version, force.author));
    printGuarantees(context, plan);
    printDifferences(context, differences);
    if (differences.empty())
        context.console.line("nothing would change");
    return ExitCode::Ok;
}

} // namespace rattan::ctl
