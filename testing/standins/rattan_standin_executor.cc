// Executors of one service, as docs/STANDINS.md describes them, in one process;
// each has a port of its own and registers at the list as the platform would.
//
// An answer is {"executor","operation","request_id","run","echo"} where echo is
// the body that came in, so that a caller can tell its own answer from another's.
// PUT /control at an executor takes {"run_ms":N,"cut":N,"extra":N,"lose":N,
// "wrong_id":N,"late":N,"late_ms":N,"fail":N,"leaving":B,"mode":...,"delay_ms":N};
// cut, extra, lose, wrong_id, late and fail are for the next N runs.
// GET /control/history tells what truly ran, and when.

#include "base/settings.h"
#include "base/stop_signal.h"
#include "standins/standin.h"

#include <fmt/format.h>
#include <thread>

namespace rattan::testing {

namespace {

    constexpr std::int64_t slots = 8;
    constexpr std::int64_t connections = 64;
    constexpr std::size_t longestRecordedBody = 512;

    struct ExecutorOptions {
        std::string domain { "a" };
        std::string service { "booking" };
        std::string list;
        std::int64_t count { 1 };
        std::int64_t firstPort { 0 };
        std::int64_t runTime { 5 };
    };

    struct ExecutorFaults {
        Countdown cut;
        Countdown extra;
        Countdown lose;
        Countdown wrongId;
        Countdown late;
        Countdown fail;
        std::atomic<Millis> lateBy { 1000 };
    };

    class ExecutorStandin {
    public:
        ExecutorStandin(RelayHub& hub, const std::string& listen, std::string id, const ExecutorOptions& options)
            : standin(hub, listen, connections)
            , id(std::move(id))
            , options(options)
            , runTime(options.runTime)
        {
            http::Server& server = this->standin.server;
            server.route("POST", "/v1/run/:operation", [this](const http::Request& request) { return this->run(request); });
            server.route("GET", "/v1/health", [this](const http::Request&) { return this->health(); });
            server.route("PUT", "/control", [this](const http::Request& request) { return this->control(request); });
            server.route("GET", "/control", [this](const http::Request&) { return http::jsonAnswer(200, this->gate.state()); });
            server.route("GET", "/control/history", [this](const http::Request&) {
                return http::jsonAnswer(200, this->history.toJson(this->clock.now()));
            });
        }

        bool start() { return this->standin.start(); }

        platform::Instance instance(bool leaving) const
        {
            platform::Instance instance;
            instance.id = this->id;
            instance.kind = platform::InstanceKind::Executor;
            instance.domain = this->options.domain;
            instance.service = this->options.service;
            instance.address = this->standin.address();
            instance.leaving = leaving;
            instance.slots = slots;
            instance.connections = connections;
            return instance;
        }

        // Refuses new work; what runs goes on.
        void leave()
        {
            if (!this->leaving.exchange(true))
                registerInstance(this->options.list, this->instance(true));
        }

        void stop()
        {
            this->gate.release();
            this->standin.server.stop();
        }

    private:
        static http::Answer refusal(ErrorCode code, const std::string& message)
        {
            return http::errorAnswer({ code, "executor.run", "", message, std::chrono::seconds(1) });
        }

        http::Answer health() const
        {
            return this->leaving ? refusal(ErrorCode::Unavailable, "leaving") : http::jsonAnswer(200, Json::object());
        }

        http::Answer run(const http::Request& request)
        {
            if (auto outage = this->gate.pass("executor.run"))
                return *outage;
            if (this->leaving)
                return refusal(ErrorCode::Unavailable, "leaving");
            if (this->running.fetch_add(1) >= slots) {
                this->running.fetch_sub(1);
                return refusal(ErrorCode::Overloaded, "all slots are taken");
            }
            http::Answer answer = this->runInSlot(request);
            this->running.fetch_sub(1);
            return answer;
        }

        http::Answer runInSlot(const http::Request& request)
        {
            const std::uint64_t number = ++this->runs;
            const std::string requestId = request.header("x-request-id");
            const std::uint64_t entry = this->history.add({ { "executor", this->id }, { "service", this->options.service }, { "operation", request.parameter("operation") },
                { "request_id", requestId }, { "body", request.body.substr(0, longestRecordedBody) }, { "started", this->clock.now() },
                { "run", number } });
            std::this_thread::sleep_for(std::chrono::milliseconds(this->runTime));
            const bool failed = this->faults.fail.take();
            this->history.complete(entry, { { "ended", this->clock.now() }, { "failed", failed } });
            http::Answer answer = failed ? refusal(ErrorCode::Internal, "the operation failed") : this->resultOf(request, number);
            answer.headers.emplace_back("x-request-id", requestId);
            this->history.complete(entry, { { "fault", this->applyFaults(answer) } });
            return answer;
        }

        http::Answer resultOf(const http::Request& request, std::uint64_t number) const
        {
            return http::jsonAnswer(200, { { "executor", this->id }, { "operation", request.parameter("operation") }, { "request_id", request.header("x-request-id") }, { "run", number }, { "echo", request.body } });
        }

        std::string applyFaults(http::Answer& answer)
        {
            const http::Answer own = answer;
            std::string applied;
            if (this->faults.wrongId.take()) {
                applied = "wrong_id";
                answer = this->takeOtherAnswer();
            } else if (this->faults.cut.take()) {
                applied = "cut";
            } else if (this->faults.extra.take()) {
                applied = "extra";
            } else if (this->faults.lose.take()) {
                applied = "drop";
            } else if (this->faults.late.take()) {
                applied = "late";
                std::this_thread::sleep_for(std::chrono::milliseconds(this->faults.lateBy));
            }
            if (applied == "cut" || applied == "extra" || applied == "drop")
                markFault(answer, applied);
            const std::lock_guard lock(this->mutex);
            this->lastAnswer = own;
            return applied;
        }

        // The answer to the request before this one, as a crossed reply would be.
        http::Answer takeOtherAnswer()
        {
            const std::lock_guard lock(this->mutex);
            if (this->lastAnswer)
                return *this->lastAnswer;
            http::Answer answer = http::jsonAnswer(200, { { "request_id", "of-another" }, { "echo", "of another" } });
            answer.headers.emplace_back("x-request-id", "of-another");
            return answer;
        }

        http::Answer control(const http::Request& request)
        {
            http::Answer answer;
            const auto knobs = bodyOf(request, answer);
            if (!knobs)
                return answer;
            this->gate.set(*knobs);
            this->runTime = knobs->value("run_ms", this->runTime.load());
            this->faults.lateBy = knobs->value("late_ms", this->faults.lateBy.load());
            setCountdown(*knobs, "cut", this->faults.cut);
            setCountdown(*knobs, "extra", this->faults.extra);
            setCountdown(*knobs, "lose", this->faults.lose);
            setCountdown(*knobs, "wrong_id", this->faults.wrongId);
            setCountdown(*knobs, "late", this->faults.late);
            setCountdown(*knobs, "fail", this->faults.fail);
            if (knobs->value("leaving", false))
                this->leave();
            return http::jsonAnswer(200, Json::object());
        }

        static void setCountdown(const Json& knobs, const char* name, Countdown& countdown)
        {
            if (knobs.contains(name))
                countdown.set(knobs[name]);
        }

        Standin standin;
        std::string id;
        ExecutorOptions options;
        SystemClock clock;
        Gate gate;
        ExecutorFaults faults;
        History history;
        std::atomic<Millis> runTime;
        std::atomic<bool> leaving { false };
        std::atomic<std::int64_t> running { 0 };
        std::atomic<std::uint64_t> runs { 0 };
        std::mutex mutex;
        std::optional<http::Answer> lastAnswer;
    };

    int serve(const ExecutorOptions& options, const StopSignal& stop)
    {
        RelayHub hub;
        std::vector<std::unique_ptr<ExecutorStandin>> executors;
        for (std::int64_t i = 0; i < options.count; ++i) {
            const std::int64_t port = options.firstPort == 0 ? 0 : options.firstPort + i;
            const std::string id = fmt::format("{}-{}-x{:03}", options.domain, options.service, i + 1);
            executors.push_back(std::make_unique<ExecutorStandin>(hub, fmt::format("127.0.0.1:{}", port), id, options));
            if (!executors.back()->start() || !registerInstance(options.list, executors.back()->instance(false)))
                return 1;
        }
        fmt::print("ready\n");
        std::fflush(stdout);
        stop.wait();
        for (const auto& executor : executors)
            executor->leave();
        for (const auto& executor : executors) {
            executor->stop();
            removeInstance(options.list, executor->instance(true).id);
        }
        return 0;
    }

} // namespace

} // namespace rattan::testing

int main(int argc, char** argv)
{
    using namespace rattan;
    testing::ExecutorOptions options;
    Settings settings("rattan-standin-executor", "Stands in for the executors of one service in one failure domain.");
    settings.text("domain", &options.domain, "NAME", "Failure domain of the executors.", true);
    settings.text("service", &options.service, "NAME", "Service that they run.", true);
    settings.address("list", &options.list, "Instance list to register at; empty registers nowhere.");
    settings.number("count", &options.count, 1, 500, "executors", "How many executors this process is.");
    settings.number("first-port", &options.firstPort, 0, 65000, "", "Port of the first executor; 0 takes free ones.");
    settings.number("run-ms", &options.runTime, 0, 600000, "ms", "How long an operation takes.");
    if (const auto code = settings.parse(argc, argv))
        return *code;
    const StopSignal stop;
    return testing::serve(options, stop);
}
