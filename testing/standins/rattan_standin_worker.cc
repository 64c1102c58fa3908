// Workers of one pool, as docs/STANDINS.md describes them, in one process; each
// has a port of its own and registers at the list as the platform would.
//
// PUT /control at a worker takes {"fail_every_start":B,"fail_starts":N,
// "speed_percent":N,"leaving":B,"lose_replies":N,"cut_holders":[...],
// "mode":"open|refuse|hang","delay_ms":N}; hang is a freeze, during which the
// leases run on. GET /control/history tells what truly ran, and when.

#include "base/random.h"
#include "base/settings.h"
#include "base/stop_signal.h"
#include "standins/standin.h"
#include "standins/worker_machine.h"

#include <fmt/format.h>
#include <set>

namespace rattan::testing {

namespace {

    constexpr std::size_t incarnationDigits = 16;

    struct WorkerOptions {
        std::string domain { "a" };
        std::string list;
        std::int64_t count { 1 };
        std::int64_t firstPort { 0 };
        std::int64_t rackSize { 8 };
        std::int64_t accelerators { 8 };
        std::int64_t cores { 128 };
        std::int64_t memoryMb { 524288 };
    };

    class WorkerStandin {
    public:
        WorkerStandin(RelayHub& hub, const std::string& listen, WorkerShape shape)
            : standin(hub, listen, 128)
            , machine(std::move(shape))
        {
            this->standin.server.route("POST", "/v1/exchange", [this](const http::Request& request) { return this->exchange(request); });
            this->standin.server.route("PUT", "/control", [this](const http::Request& request) { return this->control(request); });
            this->standin.server.route("GET", "/control", [this](const http::Request&) { return http::jsonAnswer(200, this->gate.state()); });
            this->standin.server.route("GET", "/control/history", [this](const http::Request&) { return this->history(); });
        }

        bool start() { return this->standin.start(); }

        void stop()
        {
            this->gate.release();
            this->cutGate.release();
            this->standin.server.stop();
        }

        platform::Instance instance(bool leaving) const
        {
            platform::Instance instance;
            instance.id = this->machine.identity().id;
            instance.kind = platform::InstanceKind::Worker;
            instance.domain = this->machine.identity().domain;
            instance.rack = this->machine.identity().rack;
            instance.address = this->standin.address();
            instance.leaving = leaving;
            return instance;
        }

        void leave()
        {
            const std::lock_guard lock(this->mutex);
            this->machine.faults().leaving = true;
        }

    private:
        http::Answer exchange(const http::Request& request)
        {
            if (auto refusal = this->gate.pass("worker.exchange"))
                return *refusal;
            http::Answer answer;
            const auto body = bodyOf(request, answer);
            if (!body)
                return answer;
            const auto ask = attempt([&] { return platform::parseExchange(*body); });
            if (!ask)
                return http::errorAnswer(ask.error);
            if (this->isCutFrom(ask->holder))
                return *this->cutGate.pass("worker.exchange");
            {
                const std::lock_guard lock(this->mutex);
                answer = this->answerTo(*ask);
            }
            if (this->loseReplies.take())
                markFault(answer, "drop");
            return answer;
        }

        http::Answer answerTo(const platform::WorkerExchange& ask)
        {
            const ExchangeOutcome outcome = this->machine.exchange(ask, this->clock.now());
            if (!outcome.staleEpoch)
                return http::jsonAnswer(200, platform::toJson(outcome.report));
            return http::jsonAnswer(409, { { "error", { { "code", "stale_epoch" }, { "message", "a higher epoch has been accepted" }, { "step", "worker.exchange" }, { "peer", outcome.report.worker } } }, { "epoch", outcome.report.epoch } });
        }

        bool isCutFrom(const std::string& holder)
        {
            const std::lock_guard lock(this->mutex);
            return this->cutHolders.contains(holder);
        }

        http::Answer control(const http::Request& request)
        {
            http::Answer answer;
            const auto knobs = bodyOf(request, answer);
            if (!knobs)
                return answer;
            this->gate.set(*knobs);
            this->cutGate.set({ { "mode", "hang" } });
            if (knobs->contains("lose_replies"))
                this->loseReplies.set((*knobs)["lose_replies"]);
            const std::lock_guard lock(this->mutex);
            // Progress until now was made at the speed until now.
            this->machine.advance(this->clock.now());
            WorkerFaults& faults = this->machine.faults();
            faults.failEveryStart = knobs->value("fail_every_start", faults.failEveryStart);
            faults.failStarts = knobs->value("fail_starts", faults.failStarts);
            faults.speedPercent = knobs->value("speed_percent", faults.speedPercent);
            faults.leaving = knobs->value("leaving", faults.leaving);
            if (knobs->contains("cut_holders"))
                this->cutHolders = (*knobs)["cut_holders"].get<std::set<std::string>>();
            return http::jsonAnswer(200, Json::object());
        }

        http::Answer history()
        {
            const std::lock_guard lock(this->mutex);
            const Millis now = this->clock.now();
            this->machine.advance(now);
            Json runs = Json::array();
            for (const TaskRun& run : this->machine.runs()) {
                Json entry = toJson(run);
                entry["worker"] = this->machine.identity().id;
                runs.push_back(std::move(entry));
            }
            return http::jsonAnswer(200, { { "now", now }, { "entries", std::move(runs) } });
        }

        Standin standin;
        SystemClock clock;
        Gate gate;
        Gate cutGate;
        Countdown loseReplies;
        std::mutex mutex;
        WorkerMachine machine;
        std::set<std::string> cutHolders;
    };

    WorkerShape shapeOf(const WorkerOptions& options, std::int64_t index)
    {
        WorkerShape shape;
        shape.id = fmt::format("{}-w{:03}", options.domain, index + 1);
        shape.incarnation = randomHex(incarnationDigits);
        shape.rack = fmt::format("{}-r{:02}", options.domain, index / options.rackSize + 1);
        shape.domain = options.domain;
        shape.accelerators = options.accelerators;
        shape.cores = options.cores;
        shape.memoryMb = options.memoryMb;
        return shape;
    }

    int serve(const WorkerOptions& options, const StopSignal& stop)
    {
        RelayHub hub;
        std::vector<std::unique_ptr<WorkerStandin>> workers;
        for (std::int64_t i = 0; i < options.count; ++i) {
            const std::int64_t port = options.firstPort == 0 ? 0 : options.firstPort + i;
            workers.push_back(std::make_unique<WorkerStandin>(hub, fmt::format("127.0.0.1:{}", port), shapeOf(options, i)));
            if (!workers.back()->start() || !registerInstance(options.list, workers.back()->instance(false)))
                return 1;
        }
        fmt::print("ready\n");
        std::fflush(stdout);
        stop.wait();
        for (const auto& worker : workers) {
            worker->leave();
            removeInstance(options.list, worker->instance(true).id);
            worker->stop();
        }
        return 0;
    }

} // namespace

} // namespace rattan::testing

int main(int argc, char** argv)
{
    using namespace rattan;
    testing::WorkerOptions options;
    Settings settings("rattan-standin-worker", "Stands in for the platform's workers of one failure domain.");
    settings.text("domain", &options.domain, "NAME", "Failure domain of the workers.", true);
    settings.address("list", &options.list, "Instance list to register at; empty registers nowhere.");
    settings.number("count", &options.count, 1, 500, "workers", "How many workers this process is.");
    settings.number("first-port", &options.firstPort, 0, 65000, "", "Port of the first worker; 0 takes free ones.");
    settings.number("rack-size", &options.rackSize, 1, 1000, "workers", "Workers in a rack.");
    settings.number("accelerators", &options.accelerators, 0, 1024, "accelerators", "Accelerators of each worker.");
    settings.number("cores", &options.cores, 1, 4096, "cores", "Processor cores of each worker.");
    settings.number("memory-mb", &options.memoryMb, 1, 67108864, "MB", "Memory of each worker.");
    if (const auto code = settings.parse(argc, argv))
        return *code;
    const StopSignal stop;
    return testing::serve(options, stop);
}
