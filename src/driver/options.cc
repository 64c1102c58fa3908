#include "driver/options.h"

#include <fmt/format.h>

namespace rattan::driver {

void declareSettings(Settings& settings, DriverOptions& options)
{
    settings.text("instance", &options.instance, "NAME", "Name of this instance.", true);
    settings.text("domain", &options.domain, "NAME", "Failure domain of this instance.", true);
    settings.address("rpc-listen", &options.rpcListen, "Where the planner of this instance reaches the driver.");
    settings.address("instances", &options.instances, "The platform's instance list.");
    settings.number("period-ms", &options.keeper.period, 50, 60000, "ms", "Time between two exchanges with a busy worker.");
    settings.number("lease-ms", &options.keeper.lease, 200, 600000, "ms", "Lifetime of a lease that is not renewed.");
    settings.number("reply-ms", &options.keeper.reply, 20, 60000, "ms", "Longest wait for a worker's answer.");
    settings.number("reserve-ms", &options.keeper.reserveLimit, 50, 60000, "ms", "Longest wait for all members of a gang to reserve.");
    settings.number("start-ms", &options.keeper.startLimit, 50, 60000, "ms", "Longest wait for all members of a gang to start.");
    settings.number("exchange-threads", &options.exchangeThreads, 1, 64, "threads", "Exchanges with workers at once.");
    settings.number("list-ms", &options.listMs, 50, 60000, "ms", "Time between two looks at the instance list.");
    settings.number("drain-ms", &options.drainMs, 0, 60000, "ms", "Longest wait for another driver to take the gangs over.");
    settings.choice("log-level", &options.logLevel, { "debug", "info", "warning", "error" }, "Lowest level that is printed.");
}

std::string faultOf(const DriverOptions& options)
{
    const KeeperOptions& keeper = options.keeper;
    if (keeper.reply > keeper.period)
        return fmt::format("reply-ms {} is above period-ms {}: a late answer would cost the next turn", keeper.reply, keeper.period);
    if (keeper.lease < 3 * keeper.period)
        return fmt::format("lease-ms {} is below three times period-ms {}: one lost answer would end a gang", keeper.lease, keeper.period);
    if (keeper.startLimit > keeper.lease)
        return fmt::format("start-ms {} is above lease-ms {}", keeper.startLimit, keeper.lease);
    return "";
}

} // namespace rattan::driver
