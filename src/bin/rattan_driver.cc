// rattan-driver: holds leases at the workers of a failure domain and carries out
// the orders of the planner of its own instance.

#include "base/log.h"
#include "base/settings.h"
#include "base/stop_signal.h"
#include "driver/events.h"
#include "driver/service.h"
#include "rpc/server.h"

namespace {

using namespace rattan;

constexpr std::chrono::milliseconds listTimeout { 1000 };

int serve(const driver::DriverOptions& options, const StopSignal& stop)
{
    const SystemClock clock;
    platform::HttpWorkers workers;
    platform::HttpInstanceList list(options.instances, listTimeout, { .domain = options.domain, .kinds = { platform::InstanceKind::Worker } });
    driver::Runtime runtime(options, clock, workers, list);
    rpc::ServerThread server(options.rpcListen, [&runtime] {
        return kj::heap<driver::DriverService>(runtime, [&runtime] { runtime.beginDrain(); });
    });
    if (const auto error = attemptVoid([&] { return server.start(); })) {
        fmt::print(stderr, "rattan-driver: cannot listen on {}: {}\n", options.rpcListen, error->message);
        return 1;
    }
    runtime.start();
    logEvent(driver::driverStarted, { { "rpc", server.address() }, { "domain", options.domain }, { "incarnation", runtime.incarnation() } });
    stop.wait();
    logEvent(driver::driverDraining);
    runtime.beginDrain();
    runtime.waitDrained();
    server.stop();
    runtime.stop();
    logEvent(driver::driverStopped);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    driver::DriverOptions options;
    Settings settings("rattan-driver", "Holds leases at the workers of one failure domain for the planner of its instance.");
    driver::declareSettings(settings, options);
    if (const auto code = settings.parse(argc, argv))
        return *code;
    if (const std::string fault = driver::faultOf(options); !fault.empty()) {
        fmt::print(stderr, "rattan-driver: {}\n", fault);
        return Settings::badUsage;
    }
    startLog("rattan-driver", options.instance, parseLevel(options.logLevel));
    const StopSignal stop;
    return serve(options, stop);
}
