// Threads: one for each caller's connection, which decodes, asks the control loop
// and encodes; the control loop; and this one, which waits for signals.

#include "instance/program.h"

#include "base/stop_signal.h"
#include "http/server.h"
#include "instance/events.h"
#include "instance/stop_plan.h"

#include <fmt/format.h>
#include <thread>

namespace rattan::instance {

namespace {

    constexpr int badSettings = 2;
    constexpr int cannotServe = 1;

    constexpr std::int64_t mostBody = 512 * 1024; // Bytes; the operators' configuration allows less, and is checked first.
    constexpr std::int64_t mostCallers = 400; // Connections, each with a thread of about 60 KB: 24 MB.
    constexpr std::int64_t mostProbes = 16; // Connections of the balancer and of who reads metrics.
    constexpr std::int64_t callerIdleSeconds = 20; // Longer than the operators' configuration lets a caller be idle.

    constexpr Millis pollStep = 20;
    constexpr Millis probesClosed = 100; // Their answers need no waiting.

    http::Answer readiness(const ControlLoop& loop)
    {
        http::Answer answer;
        answer.status = loop.ready() ? 200 : 503;
        answer.body = loop.ready() ? "{\"ready\":true}" : "{\"ready\":false}";
        return answer;
    }

    class InstanceProgram {
    public:
        InstanceProgram(InstanceSettings settings, Protocols protocols)
            : settings(std::move(settings))
            , protocols(protocols)
            , loop(this->settings, protocols, this->clock, this->metrics)
            , callers({ .address = this->settings.callerAddress, .maxBodyBytes = mostBody, .maxConnections = mostCallers, .idleTimeoutSeconds = callerIdleSeconds })
            , probes({ .address = this->settings.readyAddress, .maxConnections = mostProbes, .idleTimeoutSeconds = callerIdleSeconds })
        {
            this->callers.fallback([this](const http::Request& request) { return this->serve(request); });
            this->probes.route("GET", "/readyz", [this](const http::Request&) { return readiness(this->loop); });
            this->probes.route("GET", "/metrics", [this](const http::Request&) {
                return http::Answer { .status = 200, .body = this->metrics.prometheusText(), .contentType = "text/plain; version=0.0.4" };
            });
        }

        int run(const StopSignal& signals, const ReadSettings& read)
        {
            this->loop.start();
            for (http::Server* server : { &this->probes, &this->callers }) {
                if (const auto error = attemptVoid([&] { return server->start(); })) {
                    logEvent(events::startFailed, { { "step", error->step }, { "peer", error->peer }, { "why", error->message } });
                    return cannotServe;
                }
            }
            logEvent(events::started, { { "callers", this->callers.address() }, { "ready", this->probes.address() }, { "store", this->settings.storeAddress } });
            while (signals.next() == Signal::Reload)
                this->reload(read);
            this->drain();
            return 0;
        }

    private:
        http::Answer serve(const http::Request& request)
        {
            return this->protocols.callers.encode(this->loop.ask(this->protocols.callers.parseRequest(request)));
        }

        void reload(const ReadSettings& read)
        {
            const Attempt<InstanceSettings> fresh = attempt([&] { return read(); });
            if (!fresh.value) {
                logEvent(events::reloadRefused, { { "why", fresh.error.message } });
                return;
            }
            this->loop.apply(*fresh.value);
            this->settings.grace = fresh.value->grace;
            logEvent(events::reloaded, { { "store", fresh.value->storeAddress } });
        }

        // A planned stop: the balancer is told, the term is handed over, and callers are
        // served until no new one comes; each answer ends its connection. Then what is in
        // progress is answered.
        void drain()
        {
            logEvent(events::stopping, { { "grace_ms", this->settings.grace } });
            const Millis begun = this->clock.now();
            const StopPlan plan = planStop(this->settings.grace);
            this->callers.drain();
            this->loop.drain(begun + plan.answeredAt);
            while (this->clock.now() < begun + plan.noticedAt)
                std::this_thread::sleep_for(std::chrono::milliseconds(pollStep));
            const http::StopReport report = this->callers.stop(std::max<Millis>(begun + plan.closedAt - this->clock.now(), 0));
            this->probes.stop(probesClosed);
            this->loop.stop();
            logEvent(events::stopped, { { "took_ms", this->clock.now() - begun }, { "in_progress", report.inProgress }, { "cut", report.interrupted } });
        }

        InstanceSettings settings;
        Protocols protocols;
        SystemClock clock;
        Metrics metrics;
        ControlLoop loop;
        http::Server callers;
        http::Server probes;
    };

} // namespace

int runInstance(const ReadSettings& read, Protocols protocols)
{
    const StopSignal signals(true);
    const Attempt<InstanceSettings> settings = attempt([&] { return read(); });
    if (!settings.value) {
        fmt::print(stderr, "rattan-instance: {}\n", settings.error.message);
        return badSettings;
    }
    startLog("rattan-instance", settings.value->name, Level::Info);
    logInBackground();
    InstanceProgram program(*settings.value, protocols);
    const int code = program.run(signals, read);
    stopLog();
    return code;
}

} // namespace rattan::instance
