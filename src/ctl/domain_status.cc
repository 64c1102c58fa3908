#include "ctl/domain_status.h"

#include "ctl/entry_client.h"
#include "ctl/json_field.h"

#include <map>

namespace rattan::ctl {

namespace {

    constexpr int entriesAskedPerDomain = 2;

    WorkspaceStatus parseWorkspace(const Json& json)
    {
        return { textField(json, "workspace"), numberField(json, "guaranteed_accelerators"), numberField(json, "used_accelerators"),
            numberField(json, "borrowed_accelerators"), numberField(json, "queued_urgent"), numberField(json, "queued_ordinary"),
            numberField(json, "queued_patient"), numberField(json, "running") };
    }

    RackStatus parseRack(const Json& json)
    {
        return { textField(json, "rack"), numberField(json, "workers"), numberField(json, "accelerators"),
            numberField(json, "free"), numberField(json, "quarantined") };
    }

    InstanceStatus parseInstance(const Json& json)
    {
        return { textField(json, "instance"), textField(json, "domain"), textField(json, "entry"),
            numberField(json, "config_version"), numberField(json, "age_ms"), field<bool>(json, "leaving"), field<bool>(json, "active_planner") };
    }

    DomainStatus askDomain(EntryClient& client, const std::string& name, const std::vector<InstanceStatus>& instances)
    {
        int asked = 0;
        for (const InstanceStatus& instance : instances) {
            if (instance.entry.empty() || instance.leaving || asked == entriesAskedPerDomain)
                continue;
            ++asked;
            const EntryReply reply = client.callAt(instance.entry, "GET", "/v1/status");
            if (reply.ok())
                return parseDomainStatus(reply.json);
        }
        DomainStatus domain;
        domain.name = name;
        domain.reachable = false;
        domain.instances = instances;
        return domain;
    }

} // namespace

std::int64_t DomainStatus::accelerators() const
{
    std::int64_t sum = 0;
    for (const RackStatus& rack : this->racks)
        sum += rack.accelerators;
    return sum;
}

std::int64_t DomainStatus::free() const
{
    std::int64_t sum = 0;
    for (const RackStatus& rack : this->racks)
        sum += rack.free;
    return sum;
}

DomainStatus parseDomainStatus(const Json& json)
{
    DomainStatus domain;
    domain.name = textField(json, "domain");
    domain.configVersion = numberField(json, "config_version");
    domain.activeInstance = textField(json, "active_instance");
    domain.epoch = numberField(json, "epoch");
    domain.ready = field<bool>(json, "ready");
    domain.logReachable = field<bool>(json, "log_reachable");
    domain.fragmentation = field<double>(json, "fragmentation");
    for (const Json& item : arrayField(json, "workspaces"))
        domain.workspaces.push_back(parseWorkspace(item));
    for (const Json& item : arrayField(json, "racks"))
        domain.racks.push_back(parseRack(item));
    for (const Json& item : arrayField(json, "instances"))
        domain.instances.push_back(parseInstance(item));
    domain.quarantined = field<std::vector<std::string>>(json, "quarantined");
    domain.raw = json;
    return domain;
}

std::vector<DomainStatus> askAllDomains(EntryClient& client, const Json& first)
{
    const DomainStatus own = parseDomainStatus(first);
    std::map<std::string, std::vector<InstanceStatus>> others;
    for (const InstanceStatus& instance : own.instances) {
        if (!instance.domain.empty() && instance.domain != own.name)
            others[instance.domain].push_back(instance);
    }
    std::map<std::string, DomainStatus> all { { own.name, own } };
    for (const auto& [name, instances] : others)
        all[name] = askDomain(client, name, instances);
    std::vector<DomainStatus> domains;
    domains.reserve(all.size());
    for (auto& [name, domain] : all)
        domains.push_back(std::move(domain));
    return domains;
}

} // namespace rattan::ctl
