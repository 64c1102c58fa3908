// A task that lasts and isn't started again on its restarted executor.
//
//     case-rest PROGRAM DIRECTORY RECORD TROUBLE
//
// One of eight executors has the label that a lasting task and a stream of short ones ask for. It
// crashes and starts again at once, under its id.

#include "site.hpp"

using namespace review;

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    const bool hasTrouble = std::string(argv[4]) != "0";
    constexpr Millis allowedPause = 9000; // Six seconds after its last run, and three with nothing running.
    Record record(argv[3]);
    Site site({ .program = argv[1], .directory = argv[2] }, record);
    for (int i = 0; i < 8; ++i)
        site.addExecutor("i-000000000" + std::to_string(i), { { "cpu", 128000 }, { "mem_mb", 524288 }, { "gpu", 8 } }, { i < 1 ? "a" : "b", "r1" });
    site.putConfiguration(Json::array({ Site::route("patient", 2) }));
    site.startInstances();
    if (!site.awaitReady(15000))
        site.finish(2);
    const std::string lasting = "00000000000000bb";
    const std::string shortTasks = "00000000000000aa";
    site.kinds[lasting + ".0"] = { .work = 500, .lasts = true };
    site.kinds[shortTasks + ".0"] = { .work = 1000 };
    Json step { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 1000 }, { "gpu", 1 }, { "estimate_ms", 1000 }, { "requirements", "a" }, { "long_running", true } };
    if (site.client(0, "POST", "patient", lasting, Json { { "spec", "text" }, { "steps", Json::array({ step }) } }.dump()).status != 200)
        site.finish(2);
    step["long_running"] = false;
    step["count"] = 12;
    if (site.client(0, "POST", "patient", shortTasks, Json { { "spec", "text" }, { "steps", Json::array({ step }) } }.dump()).status != 200)
        site.finish(2);
    Executor& executor = *site.executors.front();
    sleepFor(4500); // The short tasks have ended by then.
    if (hasTrouble) {
        {
            const std::lock_guard lock(site.mutex);
            executor.crash();
        }
        executor.server->closeConnections();
        site.store.write("keyed.servers", executor.id, executor.entry().dump());
    }
    Millis idleSince = steadyNow();
    Millis longestPause = 0;
    for (const Millis until = steadyNow() + 25000; steadyNow() < until; sleepFor(50)) {
        const std::lock_guard lock(site.mutex);
        const bool runs = std::any_of(executor.runs.begin(), executor.runs.end(), [&](const Run& run) { return run.task.starts_with(lasting); });
        if (runs)
            idleSince = steadyNow();
        longestPause = std::max(longestPause, steadyNow() - idleSince);
    }
    const std::string state = site.state(1, "patient", lasting);
    record.line("result: the job is shown as " + state + "; longest time without a run: " + std::to_string(longestPause) + " ms");
    site.finish(longestPause > allowedPause ? 1 : state == "running" ? 0
                                                                     : 2);
}
