// Two tasks of a step with max_per_server 1 on one executor.
//
//     case-apart PROGRAM DIRECTORY RECORD TROUBLE
//
// Three of six executors have the label that a step of four tasks asks for. One is cut off and runs
// on: its task ends `done` behind the cut, is counted as lost when the lease is over, and begins
// again elsewhere. When the cut heals, the second run is stopped, and the fourth task begins.

#include "site.hpp"

using namespace review;

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    const bool hasTrouble = std::string(argv[4]) != "0";
    Record record(argv[3]);
    Site site({ .program = argv[1], .directory = argv[2], .maxHold = 6000, .stopTimeout = 400 }, record);
    const Json capacity { { "cpu", 64000 }, { "mem_mb", 131072 }, { "gpu", 8 } };
    for (int i = 0; i < 6; ++i)
        site.addExecutor("i-000000000" + std::to_string(i), capacity, { i < 3 ? "a" : "b", "r1" });
    site.putConfiguration(Json::array({ Site::route("patient", 2) }));
    site.startInstances();
    if (!site.awaitReady(15000))
        site.finish(2);
    const std::string job = "00000000000000bb";
    site.kinds[job + ".0"] = { .work = 5000, .workOf = { { 1, 9000 }, { 2, 15000 }, { 3, 4000 } } };
    const Json steps = Json::array({ { { "count", 4 }, { "cpu", 1000 }, { "mem_mb", 1000 }, { "gpu", 1 }, { "estimate_ms", 5000 }, { "requirements", "a" }, { "max_per_server", 1 } } });
    std::atomic<Millis> lastHold { 0 };
    std::atomic<int> crowded { 0 };
    for (int i = 0; i < 3; ++i) {
        Executor& executor = *site.executors[static_cast<std::size_t>(i)];
        executor.before = [&](const Request& request) -> std::optional<Response> {
            const std::lock_guard lock(site.mutex);
            const bool hasFirst = !executor.runs.empty() && executor.runs.front().task == job + ".0.0.0";
            if (request.path == "/hold" && hasFirst && request.body.find("until_ms") != std::string::npos)
                lastHold = steadyNow();
            return std::nullopt;
        };
    }
    site.onStart = [&](const Executor& executor, const Json& order) {
        for (const Run& run : executor.runs) {
            ++crowded;
            record.line("ROUTE: " + order["task"].get<std::string>() + " begins on " + executor.id + ", where " + run.task + "/" + std::to_string(run.number) + " runs");
        }
    };
    if (site.client(0, "POST", "patient", job, Json { { "spec", "text" }, { "steps", steps } }.dump()).status != 200)
        site.finish(2);
    Executor* first = nullptr;
    for (const Millis until = steadyNow() + 5000; !first && steadyNow() < until; sleepFor(20)) {
        const std::lock_guard lock(site.mutex);
        for (const auto& executor : site.executors) {
            if (!executor->runs.empty() && executor->runs.front().task == job + ".0.0.0")
                first = executor.get();
        }
    }
    if (!first)
        site.finish(2);
    const Millis startedAt = steadyNow();
    while (steadyNow() < startedAt + 1800 || steadyNow() - lastHold < 1700)
        sleepFor(10);
    if (hasTrouble) {
        record.line("executor " + first->id + ": is cut off and runs on");
        first->server->setSilent(true);
        {
            // The second task ends just before the cut does, after the first one is counted as lost.
            const std::lock_guard lock(site.mutex);
            site.kinds[job + ".0"].workOf[1] = steadyNow() - startedAt + 5100;
        }
        sleepFor(5500);
        first->server->setSilent(false);
        record.line("executor " + first->id + ": is reachable again");
    }
    std::string state;
    for (const Millis until = steadyNow() + 60000; steadyNow() < until && state != "completed" && state != "failed" && state != "cancelled";) {
        sleepFor(1500);
        state = site.state(1, "patient", job);
    }
    record.line("result: the job is shown as " + state + "; starts beyond max_per_server: " + std::to_string(crowded));
    site.finish(crowded > 0 ? 1 : state == "completed" ? 0
                                                       : 2);
}
