#include "platform/instance_list.h"

#include "base/name_lookup.h"
#include "platform/reply.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace rattan::platform {

namespace {

    constexpr std::array<std::string_view, 3> kindNames { "entry", "executor", "worker" };
    constexpr std::size_t mostInstances = 20000;
    constexpr std::size_t longestName = 200;
    constexpr int notModified = 304;

    std::string pathFor(const InstanceQuery& query)
    {
        std::vector<std::string> parts;
        if (!query.domain.empty())
            parts.push_back("domain=" + query.domain);
        std::vector<std::string_view> kinds;
        for (const InstanceKind kind : query.kinds)
            kinds.push_back(nameOf(kind));
        if (!kinds.empty())
            parts.push_back(fmt::format("kinds={}", fmt::join(kinds, ",")));
        return parts.empty() ? "/v1/instances" : fmt::format("/v1/instances?{}", fmt::join(parts, "&"));
    }

} // namespace

std::string_view nameOf(InstanceKind kind) { return kindNames.at(static_cast<std::size_t>(kind)); }

std::optional<InstanceKind> instanceKindNamed(std::string_view name)
{
    const auto index = indexOfName(kindNames, name);
    return index ? std::optional(static_cast<InstanceKind>(*index)) : std::nullopt;
}

bool wants(const InstanceQuery& query, const Instance& instance)
{
    const bool ofKind = query.kinds.empty() || std::find(query.kinds.begin(), query.kinds.end(), instance.kind) != query.kinds.end();
    return ofKind && (query.domain.empty() || query.domain == instance.domain);
}

Result<Instance> parseInstance(const Json& json, const std::string& peer)
{
    JsonReader reader(json, "instances.read", peer);
    reader.allowUnknownFields();
    Instance instance;
    instance.id = reader.text("id", 1, longestName);
    const std::string kind = reader.text("kind", 1, longestName);
    const auto known = instanceKindNamed(kind);
    if (!known)
        reader.addError("kind must be entry, executor or worker");
    instance.kind = known.value_or(InstanceKind::Entry);
    instance.domain = reader.text("domain", 1, longestName);
    instance.leaving = reader.textOr("state", "live", longestName) == "leaving";
    instance.address = reader.text("address", 1, longestName);
    instance.rpc = reader.textOr("rpc", "", longestName);
    instance.rack = reader.textOr("rack", "", longestName);
    instance.service = reader.textOr("service", "", longestName);
    instance.slots = reader.numberOr("slots", instance.slots, 1, 100000);
    instance.connections = reader.numberOr("connections", instance.connections, 1, 100000);
    return reader.finish(std::move(instance));
}

Json toJson(const Instance& instance)
{
    return { { "id", instance.id }, { "kind", nameOf(instance.kind) }, { "domain", instance.domain },
        { "state", instance.leaving ? "leaving" : "live" }, { "address", instance.address }, { "rpc", instance.rpc },
        { "rack", instance.rack }, { "service", instance.service }, { "slots", instance.slots },
        { "connections", instance.connections } };
}

HttpInstanceList::HttpInstanceList(std::string address, std::chrono::milliseconds timeout, InstanceQuery query)
    : address(std::move(address))
    , timeout(timeout)
    , query(std::move(query))
    , path(pathFor(this->query))
{
}

Result<std::vector<Instance>> HttpInstanceList::instances()
{
    http::Call call;
    call.address = this->address;
    call.path = this->path;
    call.timeout = this->timeout;
    call.maxReplyBytes = 8 << 20;
    const std::lock_guard lock(this->mutex);
    if (!this->entityTag.empty())
        call.headers.emplace_back("If-None-Match", this->entityTag);
    const http::Reply reply = this->client.send(call);
    if (!reply.error && reply.status == notModified && !this->entityTag.empty())
        return this->lastRead;
    BOOST_LEAF_AUTO(json, detail::jsonReply(reply, "instances.read", this->address));
    JsonReader reader(json, "instances.read", this->address);
    reader.allowUnknownFields();
    std::vector<Instance> instances;
    for (const Json& item : reader.array("instances", mostInstances)) {
        Attempt<Instance> instance = attempt([&] { return parseInstance(item, this->address); });
        if (instance && wants(this->query, *instance)) // An entry that cannot be parsed names no instance; the others hold.
            instances.push_back(std::move(*instance));
    }
    if (auto error = reader.error())
        return fail(std::move(*error));
    const auto tag = reply.headers.find("etag");
    this->entityTag = tag == reply.headers.end() ? "" : tag->second;
    this->lastRead = instances;
    return instances;
}

} // namespace rattan::platform
