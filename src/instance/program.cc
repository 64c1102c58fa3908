// Threads: one for each caller's connection, which parses requests, passes them to the control
// loop and encodes the answers; the control loop; and the main thread, which waits for signals.

#include "instance/program.h"

#include "base/stop_signal.h"
#include "http/server.h"
#include "instance/caller_limits.h"
#include "instance/events.h"
#include "instance/shutdown_schedule.h"

#include <fmt/format.h>
#include <malloc.h>
#include <thread>
#include <utility>

namespace rattan::instance {

namespace {

    constexpr int badSettingsExitCode = 2;
    constexpr int startFailedExitCode = 1;

    constexpr std::int64_t maxBodyBytes = 512 * 1024; // Until the operators' configuration is read, or if it has no limit.
    constexpr std::int64_t maxProbeConnections = 16; // For the load balancer and the metrics collector.
    constexpr std::int64_t spareProbeConnections = 4;
    constexpr std::int64_t maxProbeBodyBytes = 4096; // Their requests have none.
    constexpr std::int64_t callerIdleSeconds = 20; // Longer than the idle time that the operators' configuration allows callers.

    constexpr int maxAllocatorArenas = 2; // One is enough for a core; the other one keeps the control loop from waiting.

    constexpr Millis pollInterval = 20;
    constexpr Millis probesCloseTimeout = 100; // Their answers are immediate.

    http::Answer readiness(const ControlLoop& loop)
    {
        http::Answer answer;
        answer.status = loop.isReady() ? 200 : 503;
        answer.body = loop.isReady() ? "{\"ready\":true}" : "{\"ready\":false}";
        return answer;
    }

    http::ServerOptions callerServerOptions(const InstanceSettings& settings, const ControlLoop& loop)
    {
        const CallerLimits limits = callerLimits(settings);
        return { .address = settings.callerAddress, .maxBodyBytes = maxBodyBytes, .currentMaxBodyBytes = [&loop] { return loop.maxBodyBytes(); }, .bodyBudgetBytes = limits.bodyBudgetBytes, .maxConnections = limits.maxConnections, .spareConnections = limits.spareConnections, .idleTimeoutSeconds = callerIdleSeconds };
    }

    class InstanceProgram {
    public:
        InstanceProgram(InstanceSettings settings, Protocols protocols)
            : settings(std::move(settings))
            , protocols(protocols)
            , loop(this->settings, protocols, this->clock, this->metrics)
            , callerServer(callerServerOptions(this->settings, this->loop))
            , probeServer({ .address = this->settings.readyAddress, .maxBodyBytes = maxProbeBodyBytes, .maxConnections = maxProbeConnections, .spareConnections = spareProbeConnections, .idleTimeoutSeconds = callerIdleSeconds })
        {
            this->callerServer.fallback([this](http::Request request) { return this->serve(std::move(request)); });
            this->callerServer.refusedBodies([this](http::Request request) { return this->serve(std::move(request)); });
            this->probeServer.route("GET", "/readyz", [this](const http::Request&) { return readiness(this->loop); });
            this->probeServer.route("GET", "/metrics", [this](const http::Request&) {
                this->metrics.set("rattan_body_bytes", {}, static_cast<double>(this->callerServer.reservedBodyBytes()));
                return http::Answer { .status = 200, .body = this->metrics.prometheusText(), .contentType = "text/plain; version=0.0.4" };
            });
        }

        int run(const StopSignal& signals, const ReadSettings& readSettings)
        {
            this->loop.start();
            for (http::Server* server : { &this->probeServer, &this->callerServer }) {
                if (const auto error = attemptVoid([&] { return server->start(); })) {
                    logEvent(events::startFailed, { { "step", error->step }, { "peer", error->peer }, { "why", error->message } });
                    return startFailedExitCode;
                }
            }
            logEvent(events::started, { { "callers", this->callerServer.address() }, { "ready", this->probeServer.address() }, { "store", this->settings.storeAddress } });
            while (signals.next() == Signal::Reload)
                this->reload(readSettings);
            this->drain();
            return 0;
        }

    private:
        http::Answer serve(http::Request request)
        {
            return this->protocols.callers.encode(this->loop.handleRequest(this->protocols.callers.parseRequest(std::move(request))));
        }

        void reload(const ReadSettings& readSettings)
        {
            const Attempt<InstanceSettings> newSettings = attempt([&] { return readSettings(); });
            if (!newSettings.value) {
                logEvent(events::reloadRefused, { { "why", newSettings.error.message } });
                return;
            }
            this->loop.apply(*newSettings.value);
            this->settings.stopGrace = newSettings.value->stopGrace;
            logEvent(events::reloaded, { { "store", newSettings.value->storeAddress } });
        }

        // Planned shutdown: readiness checks fail, the term is resigned, and callers are served
        // until the balancer sends no new ones; each answer closes its connection. Then the
        // requests in progress are answered.
        void drain()
        {
            logEvent(events::stopping, { { "grace_ms", this->settings.stopGrace } });
            const Millis startedAt = this->clock.now();
            const ShutdownSchedule schedule = scheduleShutdown(this->settings.stopGrace);
            this->callerServer.drain();
            this->loop.drain(startedAt + schedule.answerDeadline);
            while (this->clock.now() < startedAt + schedule.acceptUntil)
                std::this_thread::sleep_for(std::chrono::milliseconds(pollInterval));
            const http::StopReport report = this->callerServer.stop(std::max<Millis>(startedAt + schedule.closeDeadline - this->clock.now(), 0));
            this->probeServer.stop(probesCloseTimeout);
            this->loop.stop();
            logEvent(events::stopped, { { "took_ms", this->clock.now() - startedAt }, { "in_progress", report.inProgress }, { "cut", report.interrupted } });
        }

        InstanceSettings settings;
        Protocols protocols;
        SystemClock clock;
        Metrics metrics;
        ControlLoop loop;
        http::Server callerServer;
        http::Server probeServer;
    };

} // namespace

int runInstance(const ReadSettings& readSettings, Protocols protocols)
{
    // By default there are eight for each core, and each keeps what the connections' threads have freed.
    mallopt(M_ARENA_MAX, maxAllocatorArenas);
    const StopSignal signals(true);
    const Attempt<InstanceSettings> settings = attempt([&] { return readSettings(); });
    if (!settings.value) {
        fmt::print(stderr, "rattan-instance: {}\n", settings.error.message);
        return badSettingsExitCode;
    }
    startLog("rattan-instance", settings.value->name, Level::Info);
    logInBackground();
    InstanceProgram program(*settings.value, protocols);
    const int code = program.run(signals, readSettings);
    stopLog();
    return code;
}

} // namespace rattan::instance
