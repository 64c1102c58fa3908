#include "entry/options.h"

namespace rattan::entry {

void declareSettings(Settings& settings, EntryOptions& options)
{
    settings.text("instance", &options.instance, "ID", "Id of this instance, as in the platform's list.", true);
    settings.text("domain", &options.domain, "NAME", "Failure domain of this instance.", true);
    settings.address("listen", &options.listen, "Address for callers and operators (HTTP).", true);
    settings.address("rpc-listen", &options.rpcListen, "Address for other entries (Cap'n Proto).", true);
    settings.address("planner", &options.planner, "RPC address of this instance's planner.", true);
    settings.address("log", &options.log, "Address of the platform's log.", true);
    settings.address("instances", &options.instances, "Address of the platform's instance list.", true);
    settings.text("operator-token-sha256", &options.operatorTokenSha256, "HEX",
        "SHA-256 of the token that may publish while no text is in force.");
    settings.address("otlp", &options.otlp, "Address of an OTLP/HTTP collector for spans.");
    settings.choice("log-level", &options.logLevel, { "debug", "info", "warning", "error" }, "Lowest level that is logged.");
    settings.number("body-limit", &options.bodyLimit, 1024, 16777216, "bytes", "Largest body taken from a caller.");
    settings.number("body-memory", &options.bodyMemory, 65536, 4294967296, "bytes", "Memory for all bodies above 8 KB together; a larger body is read if it is the only one.");
    settings.number("connection-limit", &options.connectionLimit, 8, 10000, "connections", "Connections of callers open at once. The last eighth is for new ones, which close those that wait longest for their callers.");
    settings.number("waiting-limit", &options.waitingLimit, 1, 10000, "requests", "Requests that wait for an executor at once.");
    settings.number("deadline-limit-ms", &options.deadlineLimitMs, 100, 600000, "ms", "Longest deadline a caller may ask for.");
    settings.number("claim-window-ms", &options.claimWindowMs, 1000, 86400000, "ms",
        "Age up to which a caller's key is taken; well under the log's retention.");
    settings.number("claims-kept", &options.claimsKept, 100, 1000000, "keys", "Claims held in memory; older keys are refused.");
    settings.number("tickets-kept", &options.ticketsKept, 100, 1000000, "tickets", "Used tickets held in memory.");
    settings.number("ticket-ttl-ms", &options.ticketTtlMs, 1000, 86400000, "ms", "How long a ticket may be used.");
    settings.number("retry-percent", &options.retryPercent, 0, 100, "percent", "Retries allowed as a share of requests.");
    settings.number("stop-notice-ms", &options.stopNoticeMs, 0, 60000, "ms", "How long health says 503 before connections are refused at a stop.");
    settings.number("stop-grace-ms", &options.stopGraceMs, 0, 600000, "ms", "Longest time that requests in flight get at a stop.");
}

} // namespace rattan::entry
