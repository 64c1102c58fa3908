#include "ctl/text_file.h"

#include "ctl/json_field.h"

#include <fmt/format.h>
#include <fstream>

namespace rattan::ctl {

namespace {

    std::optional<std::string> readFile(const std::string& name)
    {
        std::ifstream file(name, std::ios::binary);
        std::string bytes(config::maxConfigurationBytes + 1, '\0');
        if (!file)
            return std::nullopt;
        file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        if (file.bad())
            return std::nullopt;
        bytes.resize(static_cast<std::size_t>(file.gcount()));
        return bytes;
    }

    void printFaults(Context& context, const std::string& name, const config::Faults& faults)
    {
        if (context.options.json) {
            Json list = Json::array();
            for (const config::Fault& fault : faults) {
                list.push_back({ { "line", fault.at.line }, { "column", fault.at.column }, { "path", fault.path }, { "message", fault.message },
                    { "accepted", fault.accepted } });
            }
            printJson(context, { { "valid", false }, { "faults", std::move(list) } });
            return;
        }
        for (const config::Fault& fault : faults) {
            const std::string place = fault.at.line > 0 ? fmt::format("{}:{}:{}", name, fault.at.line, fault.at.column) : name;
            const config::Fault rest { {}, fault.path, fault.message, fault.accepted };
            context.console.line(fmt::format("{}: {}", context.console.paint(Colour::Bold, place), config::describe(rest)));
        }
        context.console.remark(fmt::format("{} has {} fault{}", name, faults.size(), faults.size() == 1 ? "" : "s"));
    }

} // namespace

TextFileOutcome readTextFile(Context& context, const std::string& name)
{
    const auto yaml = readFile(name);
    if (!yaml)
        return { std::nullopt, misuse(context, fmt::format("{} cannot be read", name)) };
    config::ParseOutcome outcome = config::parse(*yaml);
    if (outcome.configuration)
        return { TextFile { *yaml, std::move(*outcome.configuration) }, ExitCode::Ok };
    printFaults(context, name, outcome.faults);
    return { std::nullopt, ExitCode::Refused };
}

TextInForce askTextInForce(Context& context)
{
    constexpr int notFound = 404;
    TextInForce force;
    const EntryReply reply = context.client.call("GET", "/v1/config");
    if (reply.status == notFound)
        return force;
    if (!reply.ok()) {
        force.code = complain(context, reply);
        return force;
    }
    force.version = numberField(reply.json, "version");
    force.author = textField(reply.json, "author");
    force.yaml = textField(reply.json, "text");
    config::ParseOutcome outcome = config::parse(force.yaml);
    if (outcome.configuration)
        force.text = std::move(*outcome.configuration);
    else if (force.version > 0)
        context.console.remark(fmt::format("version {} is in force, but this rattanctl cannot read it", force.version));
    return force;
}

} // namespace rattan::ctl
