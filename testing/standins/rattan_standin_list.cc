// The platform's list of instances, as docs/STANDINS.md describes it.
//
// PUT /control takes {"mode":"open|refuse|hang","delay_ms":N,"lag_ms":N};
// registrations always pass, for they are the platform's own.

#include "base/settings.h"
#include "base/stop_signal.h"
#include "standins/instance_answer.h"
#include "standins/instance_table.h"
#include "standins/standin.h"

namespace rattan::testing {

namespace {

    struct ListOptions {
        std::string listen { "127.0.0.1:0" };
        std::int64_t lag { 500 };
    };

    class ListStandin {
    public:
        ListStandin(RelayHub& hub, const ListOptions& options)
            : standin(hub, options.listen, 512)
        {
            this->table.setLag(options.lag);
            http::Server& server = this->standin.server;
            server.route("GET", "/v1/instances", [this](const http::Request& request) { return this->list(request); });
            server.route("PUT", "/v1/instances/:id", [this](const http::Request& request) { return this->put(request); });
            server.route("DELETE", "/v1/instances/:id", [this](const http::Request& request) {
                const std::lock_guard lock(this->mutex);
                this->table.remove(request.parameter("id"), this->clock.now());
                this->history.add({ { "at", this->clock.now() }, { "removed", request.parameter("id") } });
                return http::jsonAnswer(200, Json::object());
            });
            server.route("PUT", "/control", [this](const http::Request& request) { return this->control(request); });
            server.route("GET", "/control", [this](const http::Request&) { return http::jsonAnswer(200, this->gate.state()); });
            server.route("GET", "/control/history", [this](const http::Request&) {
                return http::jsonAnswer(200, this->history.toJson(this->clock.now()));
            });
        }

        bool start() { return this->standin.start(); }

        void stop()
        {
            this->gate.release();
            this->standin.server.stop();
        }

    private:
        http::Answer list(const http::Request& request)
        {
            if (auto refusal = this->gate.pass("instances.read"))
                return *refusal;
            const std::lock_guard lock(this->mutex);
            return instancesAnswer(this->table.visible(this->clock.now()), request);
        }

        http::Answer put(const http::Request& request)
        {
            http::Answer answer;
            const auto body = bodyOf(request, answer);
            if (!body)
                return answer;
            const auto instance = attempt([&] { return platform::parseInstance(*body, request.peer); });
            if (!instance)
                return http::errorAnswer(instance.error);
            if (instance->id != request.parameter("id"))
                return http::errorAnswer({ ErrorCode::BadInput, "instances.put", request.peer, "the id differs from the path", {} });
            const std::lock_guard lock(this->mutex);
            if (!this->table.put(*instance, this->clock.now()))
                return http::errorAnswer({ ErrorCode::Overloaded, "instances.put", "", "the table is full", std::chrono::seconds(1) });
            this->history.add({ { "at", this->clock.now() }, { "put", *body } });
            return http::jsonAnswer(200, Json::object());
        }

        http::Answer control(const http::Request& request)
        {
            http::Answer answer;
            const auto knobs = bodyOf(request, answer);
            if (!knobs)
                return answer;
            this->gate.set(*knobs);
            const std::lock_guard lock(this->mutex);
            this->table.setLag(knobs->value("lag_ms", this->table.currentLag()));
            return http::jsonAnswer(200, Json::object());
        }

        Standin standin;
        SystemClock clock;
        Gate gate;
        History history;
        std::mutex mutex;
        InstanceTable table;
    };

} // namespace

} // namespace rattan::testing

int main(int argc, char** argv)
{
    using namespace rattan;
    testing::ListOptions options;
    Settings settings("rattan-standin-list", "Stands in for the platform's list of instances.");
    settings.address("listen", &options.listen, "Address to serve on.");
    settings.number("lag-ms", &options.lag, 0, 600000, "ms", "How far the list lags behind the truth.");
    if (const auto code = settings.parse(argc, argv))
        return *code;
    const StopSignal stop;
    testing::RelayHub hub;
    testing::ListStandin standin(hub, options);
    if (!standin.start())
        return 1;
    stop.wait();
    standin.stop();
    return 0;
}
