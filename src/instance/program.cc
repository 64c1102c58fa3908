// Threads: one for each caller's connection, which decodes, asks the control loop
// and encodes; the control loop; and this one, which waits for signals.

#include "instance/program.h"

#include "base/stop_signal.h"
#include "http/server.h"
#include "instance/events.h"

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

    // From the signal to stop until no new connection comes: the balancer asks once
    // a second and acts on the second miss.
    constexpr Millis balancerNotices = 2600;
    constexpr Millis pollStep = 20;
    constexpr Millis graceKept = 1200; // Left of the grace for ending.

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
            , callers({ .address = this->settings.callerAddress, .bodyLimit = mostBody, .connectionLimit = mostCallers, .idleSeconds = callerIdleSeconds, .stopSeconds = 1 })
            , probes({ .address = this->settings.readyAddress, .connectionLimit = mostProbes, .idleSeconds = callerIdleSeconds, .stopSeconds = 1 })
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
            const CallerRequest asked = this->protocols.callers.parseRequest(request);
            http::Answer answer = this->protocols.callers.encode(this->loop.ask(asked));
            if (this->draining)
                answer.headers.emplace_back("Connection", "close"); // The next request of this caller goes elsewhere.
            return answer;
        }

        void reload(const ReadSettings& read)
        {
            const Attempt<InstanceSettings> fresh = attempt([&] { return read(); });
            if (!fresh.value) {
                logEvent(events::reloadRefused, { { "why", fresh.error.message } });
                return;
            }
            this->loop.apply(*fresh.value);
            logEvent(events::reloaded, { { "store", fresh.value->storeAddress } });
        }

        // A planned stop: the balancer is told, the term is handed over, and callers
        // are served until none comes any more.
        void drain()
        {
            logEvent(events::stopping, { { "grace_ms", this->settings.grace } });
            this->draining = true;
            this->loop.drain();
            const Millis begun = this->clock.now();
            const Millis until = begun + std::min(balancerNotices, std::max<Millis>(this->settings.grace - graceKept, 0));
            while (this->clock.now() < until)
                std::this_thread::sleep_for(std::chrono::milliseconds(pollStep * 5));
            this->callers.stop();
            this->probes.stop();
            this->loop.stop();
            logEvent(events::stopped, { { "took_ms", this->clock.now() - begun } });
        }

        InstanceSettings settings;
        Protocols protocols;
        SystemClock clock;
        Metrics metrics;
        ControlLoop loop;
        http::Server callers;
        http::Server probes;
        std::atomic<bool> draining { false };
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
