#include "planner/options.h"

namespace rattan::planner {

void declareSettings(Settings& settings, PlannerOptions& options)
{
    settings.text("instance", &options.instance, "NAME", "Name of this instance.", true);
    settings.text("domain", &options.domain, "NAME", "Failure domain of this instance.", true);
    settings.address("rpc-listen", &options.rpcListen, "Where the entry of this instance and peers reach the planner.");
    settings.address("rpc-announce", &options.rpcAnnounce, "The planner's address as peers see it; empty: the one listened on.");
    settings.address("entry", &options.entryAddress, "HTTP address of the entry of this instance, told to peers.");
    settings.address("driver", &options.driver, "RPC address of the driver of this instance.");
    settings.address("log", &options.log, "The platform's append-only log.");
    settings.address("instances", &options.instances, "The platform's instance list.");
    settings.addresses("peers", &options.peers, "RPC addresses of planners to greet before the instance list is read.");
    settings.number("retention-s", &options.retentionSeconds, 10, 31536000, "seconds", "Shortest time for which the log keeps a record.");
    settings.number("log-timeout-ms", &options.logTimeoutMs, 50, 60000, "ms", "Longest wait for an answer of the log.");
    settings.number("turn-ms", &options.turnMs, 5, 1000, "ms", "Longest time between two exchanges with the driver.");
    settings.number("survey-ms", &options.surveyMs, 50, 60000, "ms", "Time between two looks at the workers of the domain.");
    settings.number("seed", &options.seed, 0, 4294967295, "", "Seed of the decisions' random choices.");
    settings.choice("log-level", &options.logLevel, { "debug", "info", "warning", "error" }, "Lowest level that is printed.");
}

} // namespace rattan::planner
