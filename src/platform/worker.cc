#include "platform/worker.h"

#include "base/name_lookup.h"
#include "platform/reply.h"

#include <array>
#include <fmt/format.h>

namespace rattan::platform {

namespace {

    constexpr std::array<std::string_view, 6> opNames { "reserve", "start", "renew", "checkpoint", "throttle", "stop" };
    constexpr std::array<std::string_view, 6> stateNames { "reserved", "running", "checkpointing", "done", "failed", "lapsed" };
    constexpr std::string_view step = "worker.exchange";
    constexpr int statusConflict = 409;
    constexpr std::size_t longestName = 200;
    constexpr std::size_t longestText = 1 << 16;
    constexpr std::size_t mostOps = 10000;
    constexpr std::int64_t highestAmount = std::int64_t { 1 } << 40;

    template <std::size_t count>
    std::size_t indexOf(const std::array<std::string_view, count>& names, const std::string& name, JsonReader& reader)
    {
        const auto index = indexOfName(names, name);
        if (!index)
            reader.addError("'" + name + "' is not a known name");
        return index.value_or(0);
    }

    double fraction(const Json& json, const char* name)
    {
        const auto found = json.find(name);
        return found != json.end() && found->is_number() ? found->template get<double>() : 0;
    }

    Json toJson(const WorkerOp& op)
    {
        Json json { { "op", nameOf(op.kind) }, { "lease", op.lease } };
        switch (op.kind) {
        case WorkerOpKind::Reserve:
            json["accelerators"] = op.accelerators;
            json["cores"] = op.cores;
            json["memory_mb"] = op.memoryMb;
            json["ttl_ms"] = op.ttl;
            json["note"] = op.note;
            break;
        case WorkerOpKind::Start:
            json["payload"] = op.payload;
            json["ttl_ms"] = op.ttl;
            break;
        case WorkerOpKind::Renew:
            json["ttl_ms"] = op.ttl;
            break;
        case WorkerOpKind::Throttle:
            json["share_percent"] = op.sharePercent;
            break;
        case WorkerOpKind::Checkpoint:
        case WorkerOpKind::Stop:
            break;
        }
        return json;
    }

    Result<WorkerOp> parseOp(const Json& json)
    {
        JsonReader reader(json, "worker.exchange");
        WorkerOp op;
        op.kind = static_cast<WorkerOpKind>(indexOf(opNames, reader.text("op", 1, longestName), reader));
        op.lease = reader.text("lease", 1, longestName);
        op.accelerators = reader.numberOr("accelerators", 0, 0, highestAmount);
        op.cores = reader.numberOr("cores", 0, 0, highestAmount);
        op.memoryMb = reader.numberOr("memory_mb", 0, 0, highestAmount);
        op.ttl = reader.numberOr("ttl_ms", 0, 0, highestAmount);
        op.note = reader.anyOr("note", Json());
        op.payload = reader.anyOr("payload", Json());
        op.sharePercent = reader.numberOr("share_percent", 100, 1, 100);
        return reader.finish(std::move(op));
    }

    Json toJson(const WorkerLease& lease)
    {
        return { { "lease", lease.lease }, { "epoch", lease.epoch }, { "state", nameOf(lease.state) },
            { "accelerators", lease.accelerators }, { "cores", lease.cores }, { "memory_mb", lease.memoryMb },
            { "remaining_ms", lease.remaining }, { "note", lease.note }, { "progress", lease.progress },
            { "saved_progress", lease.savedProgress }, { "result", lease.result }, { "failure", lease.failure },
            { "used_accelerators", lease.usedAccelerators }, { "used_memory_mb", lease.usedMemoryMb } };
    }

    Result<WorkerLease> parseLease(const Json& json, const std::string& peer)
    {
        JsonReader reader(json, "worker.report", peer);
        reader.allowUnknownFields();
        WorkerLease lease;
        lease.lease = reader.text("lease", 1, longestName);
        lease.epoch = static_cast<std::uint64_t>(reader.numberOr("epoch", 0, 0, std::numeric_limits<std::int64_t>::max()));
        lease.state = static_cast<LeaseState>(indexOf(stateNames, reader.text("state", 1, longestName), reader));
        lease.accelerators = reader.numberOr("accelerators", 0, 0, highestAmount);
        lease.cores = reader.numberOr("cores", 0, 0, highestAmount);
        lease.memoryMb = reader.numberOr("memory_mb", 0, 0, highestAmount);
        lease.remaining = reader.numberOr("remaining_ms", 0, -highestAmount, highestAmount);
        lease.note = reader.anyOr("note", Json());
        lease.progress = fraction(json, "progress");
        lease.savedProgress = fraction(json, "saved_progress");
        lease.result = reader.textOr("result", "", longestText);
        lease.failure = reader.textOr("failure", "", longestText);
        lease.usedAccelerators = reader.numberOr("used_accelerators", 0, 0, highestAmount);
        lease.usedMemoryMb = reader.numberOr("used_memory_mb", 0, 0, highestAmount);
        return reader.finish(std::move(lease));
    }

} // namespace

std::string_view nameOf(WorkerOpKind kind) { return opNames.at(static_cast<std::size_t>(kind)); }

std::string_view nameOf(LeaseState state) { return stateNames.at(static_cast<std::size_t>(state)); }

Json toJson(const WorkerExchange& exchange)
{
    Json ops = Json::array();
    for (const WorkerOp& op : exchange.ops)
        ops.push_back(toJson(op));
    return { { "holder", exchange.holder }, { "epoch", exchange.epoch }, { "ops", std::move(ops) } };
}

Result<WorkerExchange> parseExchange(const Json& json)
{
    JsonReader reader(json, "worker.exchange");
    WorkerExchange exchange;
    exchange.holder = reader.text("holder", 0, longestName);
    exchange.epoch = static_cast<std::uint64_t>(reader.number("epoch", 0, std::numeric_limits<std::int64_t>::max()));
    for (const Json& item : reader.array("ops", mostOps)) {
        BOOST_LEAF_AUTO(op, parseOp(item));
        exchange.ops.push_back(std::move(op));
    }
    return reader.finish(std::move(exchange));
}

Json toJson(const WorkerReport& report)
{
    Json results = Json::array();
    for (const WorkerOpResult& result : report.results)
        results.push_back({ { "ok", result.ok }, { "code", result.code }, { "message", result.message } });
    Json leases = Json::array();
    for (const WorkerLease& lease : report.leases)
        leases.push_back(toJson(lease));
    return { { "worker", report.worker }, { "incarnation", report.incarnation }, { "rack", report.rack },
        { "domain", report.domain }, { "epoch", report.epoch }, { "leaving", report.leaving },
        { "capacity", { { "accelerators", report.accelerators }, { "cores", report.cores }, { "memory_mb", report.memoryMb } } },
        { "results", std::move(results) }, { "leases", std::move(leases) } };
}

Result<WorkerReport> parseReport(const Json& json, const std::string& peer)
{
    JsonReader reader(json, "worker.report", peer);
    reader.allowUnknownFields();
    WorkerReport report;
    report.worker = reader.text("worker", 1, longestName);
    report.incarnation = reader.textOr("incarnation", "", longestName);
    report.rack = reader.textOr("rack", "", longestName);
    report.domain = reader.textOr("domain", "", longestName);
    report.epoch = static_cast<std::uint64_t>(reader.number("epoch", 0, std::numeric_limits<std::int64_t>::max()));
    report.leaving = reader.flagOr("leaving", false);
    const Json none = Json::object();
    JsonReader capacity(reader.anyOr("capacity", none), "worker.report", peer);
    report.accelerators = capacity.numberOr("accelerators", 0, 0, highestAmount);
    report.cores = capacity.numberOr("cores", 0, 0, highestAmount);
    report.memoryMb = capacity.numberOr("memory_mb", 0, 0, highestAmount);
    for (const Json& item : reader.array("results", mostOps)) {
        JsonReader result(item, "worker.report", peer);
        result.allowUnknownFields();
        report.results.push_back({ result.flagOr("ok", false), result.textOr("code", "", longestName), result.textOr("message", "", longestText) });
    }
    for (const Json& item : reader.array("leases", mostOps)) {
        BOOST_LEAF_AUTO(lease, parseLease(item, peer));
        report.leases.push_back(std::move(lease));
    }
    return reader.finish(std::move(report));
}

Result<WorkerReport> HttpWorkers::exchange(const std::string& address, const WorkerExchange& exchange,
    std::chrono::milliseconds timeout)
{
    http::Client& client = this->clients[std::hash<std::string>()(address) % clientCount].client;
    http::Call call;
    call.method = "POST";
    call.address = address;
    call.path = "/v1/exchange";
    call.body = platform::toJson(exchange).dump(-1, ' ', false, Json::error_handler_t::replace);
    call.timeout = timeout;
    call.canResend = true;
    const http::Reply reply = client.send(call);
    // Of the epochs that the worker knows of a repeat tells as well as any other.
    if (reply.wasResent() && !reply.error && !reply.ok() && reply.status != statusConflict)
        return fail(ErrorCode::Interrupted, std::string(step), address, fmt::format("a repeat was rejected with status {}; the exchange before it may have been carried out", reply.status));
    BOOST_LEAF_AUTO(json, detail::jsonReply(reply, std::string(step), address));
    return parseReport(json, address);
}

} // namespace rattan::platform
