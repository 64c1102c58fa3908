// status and drain.

#include "ctl/command.h"
#include "ctl/domain_status.h"
#include "ctl/json_field.h"
#include "ctl/table.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::ctl {

namespace {

    constexpr std::int64_t second = 1000;
    constexpr int percent = 100;

    void print(Context& context, const std::string& title, const Table& table)
    {
        if (table.empty())
            return;
        if (!title.empty()) {
            context.console.line("");
            context.console.line(context.console.paint(Colour::Bold, title));
        }
        for (const std::string& line : table.lines())
            context.console.line(line);
    }

    std::string stateOf(const DomainStatus& domain)
    {
        if (!domain.reachable)
            return "not reachable";
        if (!domain.ready)
            return "learning";
        return domain.logReachable ? "deciding" : "deciding, log down";
    }

    std::int64_t sumOf(const DomainStatus& domain, std::int64_t WorkspaceStatus::*amount)
    {
        std::int64_t sum = 0;
        for (const WorkspaceStatus& one : domain.workspaces)
            sum += one.*amount;
        return sum;
    }

    // "7", or "6-7" while the instances differ.
    std::string versionsOf(const DomainStatus& domain)
    {
        std::int64_t lowest = domain.configVersion;
        std::int64_t highest = domain.configVersion;
        for (const InstanceStatus& one : domain.instances) {
            if (one.domain != domain.name)
                continue;
            lowest = domain.reachable ? std::min(lowest, one.configVersion) : one.configVersion;
            highest = std::max(highest, one.configVersion);
        }
        return lowest == highest ? fmt::to_string(lowest) : fmt::format("{}-{}", lowest, highest);
    }

    Table domainTable(const std::vector<DomainStatus>& domains)
    {
        const Align right = Align::Right;
        Table table({ { "DOMAIN" }, { "STATE" }, { "TEXT", right }, { "ACCEL", right }, { "FREE", right }, { "USED", right }, { "BORROWED", right },
            { "FRAG%", right }, { "RUNNING", right }, { "URGENT", right }, { "ORDINARY", right }, { "PATIENT", right }, { "QUARANTINED", right } });
        for (const DomainStatus& one : domains) {
            if (!one.reachable) {
                table.add({ one.name, stateOf(one), versionsOf(one) });
                continue;
            }
            table.add({ one.name, stateOf(one), versionsOf(one), fmt::to_string(one.accelerators()), fmt::to_string(one.free()),
                fmt::to_string(sumOf(one, &WorkspaceStatus::used)), fmt::to_string(sumOf(one, &WorkspaceStatus::borrowed)),
                fmt::format("{:.0f}", one.fragmentation * percent), fmt::to_string(sumOf(one, &WorkspaceStatus::running)),
                fmt::to_string(sumOf(one, &WorkspaceStatus::queuedUrgent)), fmt::to_string(sumOf(one, &WorkspaceStatus::queuedOrdinary)),
                fmt::to_string(sumOf(one, &WorkspaceStatus::queuedPatient)), fmt::to_string(one.quarantined.size()) });
        }
        return table;
    }

    Table workspaceTable(const std::vector<DomainStatus>& domains)
    {
        const Align right = Align::Right;
        Table table({ { "WORKSPACE" }, { "DOMAIN" }, { "GUARANTEED", right }, { "USED", right }, { "BORROWED", right }, { "RUNNING", right },
            { "URGENT", right }, { "ORDINARY", right }, { "PATIENT", right } });
        for (const DomainStatus& domain : domains) {
            for (const WorkspaceStatus& one : domain.workspaces) {
                table.add({ one.name, domain.name, fmt::to_string(one.guaranteed), fmt::to_string(one.used), fmt::to_string(one.borrowed),
                    fmt::to_string(one.running), fmt::to_string(one.queuedUrgent), fmt::to_string(one.queuedOrdinary), fmt::to_string(one.queuedPatient) });
            }
        }
        return table;
    }

    Table instanceTable(const std::vector<DomainStatus>& domains)
    {
        Table table({ { "INSTANCE" }, { "DOMAIN" }, { "TEXT", Align::Right }, { "ROLE" }, { "HEARD", Align::Right } });
        for (const DomainStatus& domain : domains) {
            for (const InstanceStatus& one : domain.instances) {
                if (one.domain != domain.name)
                    continue;
                const std::string role = one.active ? "active" : "standing by";
                table.add({ one.name, one.domain, fmt::to_string(one.configVersion), one.leaving ? "leaving" : role, fmt::format("{:.1f}s ago", static_cast<double>(one.ageMs) / second) });
            }
        }
        return table;
    }

} // namespace

ExitCode status(Context& context)
{
    const EntryReply reply = context.client.call("GET", "/v1/status");
    if (!reply.ok())
        return complain(context, reply);
    const std::vector<DomainStatus> domains = askAllDomains(context.client, reply.json);
    if (context.options.json) {
        Json list = Json::array();
        for (const DomainStatus& one : domains)
            list.push_back(one.reachable ? one.raw : Json { { "domain", one.name }, { "reachable", false } });
        printJson(context, { { "domains", std::move(list) } });
        return ExitCode::Ok;
    }
    print(context, "", domainTable(domains));
    print(context, "Workspaces", workspaceTable(domains));
    print(context, "Instances", instanceTable(domains));
    return ExitCode::Ok;
}

ExitCode drain(Context& context)
{
    if (!detail::isAddress(context.words[0]))
        return misuse(context, fmt::format("drain needs the instance's address, like 127.0.0.1:8080, and not '{}'", context.words[0]));
    const EntryReply reply = context.client.callAt(context.words[0], "POST", "/v1/drain");
    if (!reply.ok())
        return complain(context, reply);
    if (context.options.json)
        printJson(context, reply.json);
    else
        context.console.line(fmt::format("{} is leaving: it takes no new work and finishes what it has", context.words[0]));
    return ExitCode::Ok;
}

} // namespace rattan::ctl
