// A task that starts on an executor of another kind, after that has restarted.
//
//     case-kind PROGRAM DIRECTORY RECORD TROUBLE
//
// One executor of kind "a" runs a task that asks for this kind, beside executors of kind "b". It
// crashes and starts again under its id as one of kind "b" with half of the capacity.

#include "site.hpp"

using namespace review;

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    const bool hasTrouble = std::string(argv[4]) != "0";
    constexpr Millis firstBeat = 700; // Its entry is written every 1,500 ms, and so less than that after a restart.
    Record record(argv[3]);
    Site site({ .program = argv[1], .directory = argv[2] }, record);
    const Json half { { "cpu", 64000 }, { "mem_mb", 262144 }, { "gpu", 4 } };
    Executor& special = site.addExecutor("i-0000000000");
    for (int i = 1; i < 8; ++i)
        site.addExecutor("i-000000000" + std::to_string(i), half, { "b", "r1" });
    site.putConfiguration(Json::array({ Site::route("patient", 2) }));
    site.startInstances();
    if (!site.awaitReady(15000))
        site.finish(2);
    const std::string job = "00000000000000bb";
    site.kinds[job + ".0"] = { .work = 8000 };
    const Json steps = Json::array({ { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 1000 }, { "gpu", 8 }, { "estimate_ms", 8000 }, { "requirements", "a" } } });
    if (site.client(0, "POST", "patient", job, Json { { "spec", "text" }, { "steps", steps } }.dump()).status != 200)
        site.finish(2);
    sleepFor(4000);
    std::atomic<int> wrongStarts { 0 };
    site.onStart = [&](const Executor& executor, const Json& order) {
        if (executor.labels.front() == "a")
            return;
        ++wrongStarts;
        record.line("ROUTE, LIMIT: " + order["task"].get<std::string>() + ", which asks for label a and 8 GPUs, begins on " + executor.id + ", which is of kind " + executor.labels.front() + " and has " + executor.capacity.dump());
    };
    if (hasTrouble) {
        {
            const std::lock_guard lock(site.mutex);
            special.crash();
            special.labels = { "b", "r1" };
            special.capacity = half;
            special.listed = false;
        }
        special.server->closeConnections();
        sleepFor(firstBeat);
        {
            const std::lock_guard lock(site.mutex);
            special.listed = true;
        }
        site.store.write("keyed.servers", special.id, special.entry().dump());
        record.line("executor " + special.id + ": writes its entry as kind b");
        sleepFor(6000);
        record.line("result: starts on an executor without the label: " + std::to_string(wrongStarts));
        site.finish(wrongStarts > 0 ? 1 : 0);
    }
    sleepFor(6000);
    const std::string state = site.state(1, "patient", job);
    record.line("result: the job is shown as " + state);
    site.finish(state == "completed" ? 0 : 2);
}
