// Jobs that are shown as failed, though no task of them has ended `failed`.
//
//     case-flap PROGRAM DIRECTORY RECORD TROUBLE
//
// Seven of eight executors run the tasks of one long job. A second job of one task finds room on the
// eighth only, which goes down and up by turns for some seconds, loses what it ran each time, and is
// sound from then on. The same happens to a job whose task lasts until it is cancelled.

#include "site.hpp"

using namespace review;

namespace {

constexpr Millis period = 1400; // Of a down and an up.
constexpr Millis trouble = 7000;
constexpr const char* queue = "patient";

// Goes down and up by turns, and keeps its id.
void flap(Site& site, Executor& executor)
{
    for (const Millis until = steadyNow() + trouble; steadyNow() < until;) {
        {
            const std::lock_guard lock(site.mutex);
            executor.crash();
        }
        executor.server->setDown(true);
        sleepFor(period / 2);
        {
            const std::lock_guard lock(site.mutex);
            executor.crash();
        }
        executor.server->setDown(false);
        site.store.write("keyed.servers", executor.id, executor.entry().dump());
        site.record.line("executor " + executor.id + ": is up again");
        sleepFor(period / 2);
    }
}

// Submits a job of one task, and returns its state when it is final or has been sound for a while.
std::string play(Site& site, Executor& free, const std::string& job, bool lasts, bool hasTrouble)
{
    site.kinds[job + ".0"] = { .work = 3000, .lasts = lasts };
    Json step { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 1000 }, { "gpu", 8 }, { "estimate_ms", 3000 } };
    if (lasts)
        step["long_running"] = true;
    if (site.client(1, "POST", queue, job, Json { { "spec", "text" }, { "steps", Json::array({ step }) } }.dump()).status != 200)
        return "rejected";
    sleepFor(400);
    if (hasTrouble)
        flap(site, free);
    std::string state;
    for (const Millis until = steadyNow() + 15000; steadyNow() < until && state != "completed" && state != "failed";) {
        sleepFor(1000);
        state = site.state(2, queue, job);
    }
    return state;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    const bool hasTrouble = std::string(argv[4]) != "0";
    Record record(argv[3]);
    Site site({ .program = argv[1], .directory = argv[2] }, record);
    for (int i = 0; i < 8; ++i)
        site.addExecutor("i-000000000" + std::to_string(i));
    site.putConfiguration(Json::array({ Site::route(queue, 2) }));
    site.startInstances();
    if (!site.awaitReady(15000))
        site.finish(2);
    const std::string longJob = "00000000000000aa";
    site.kinds[longJob + ".0"] = { .work = 200000 };
    const Json longSteps = Json::array({ { { "count", 7 }, { "cpu", 1000 }, { "mem_mb", 1000 }, { "gpu", 8 }, { "estimate_ms", 200000 } } });
    if (site.client(0, "POST", queue, longJob, Json { { "spec", "long" }, { "steps", longSteps } }.dump()).status != 200)
        site.finish(2);
    sleepFor(3000);
    Executor* free = nullptr;
    {
        const std::lock_guard lock(site.mutex);
        for (const auto& executor : site.executors) {
            if (executor->runs.empty())
                free = executor.get();
        }
    }
    if (!free)
        site.finish(2);
    const std::string ending = play(site, *free, "00000000000000bb", false, hasTrouble);
    const std::string lasting = play(site, *free, "00000000000000cc", true, hasTrouble);
    const int failedEnds = site.endCounts["failed"];
    record.line("result: the job is shown as " + ending + ", the one that lasts as " + lasting + "; ends `failed` of any task: " + std::to_string(failedEnds));
    if (failedEnds == 0 && (ending == "failed" || lasting == "failed"))
        site.finish(1);
    site.finish(ending == "completed" && lasting == "running" ? 0 : 2);
}
