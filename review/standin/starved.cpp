// A task fails once on an executor that fails all that it starts for a while. The others have no
// room for it beside tasks that last.

#include "site.hpp"

using namespace review;

namespace {

constexpr std::size_t executors = 12; // One of twelve is a share of 0.083.
constexpr Millis greyTime = 6500;
constexpr Millis work = 2500;
constexpr Millis lastingWork = 1000000;
constexpr Millis finishTime = 14000; // finish_s
constexpr Millis idleBound = 3000;
constexpr Capacity lastingEach { 64500, 64000, 0 }; // Eleven of these are 0.46 of the service's cores.
constexpr Capacity each { 64000, 64000, 0 }; // Fits twice on one executor, and not beside a lasting task.

Millis workOf(const std::string&, const std::string& spec) { return spec == "lasting" ? lastingWork : work; }

} // namespace

// LOST: for 3 s, a job has nothing running while a task's turn has come, there is capacity for it
// twice over, and under half of the service's capacity is in use.
int main(int, char** arguments)
{
    Site site({ .executors = executors, .workOf = workOf }, arguments[1]);
    if (!site.waitUntilReady())
        site.finish(couldNotRun);
    for (std::size_t i = 0; i + 1 < executors; ++i) {
        if (site.call(i % 3, "POST", "urgent", jobId("lasting", static_cast<int>(i)), jobBody("lasting", 1, lastingEach, 10000, true)).status != 200)
            site.finish(couldNotRun);
    }
    Site::sleep(2000);
    std::set<std::string> busy;
    for (const Seen& seen : site.observer.all())
        busy.insert(seen.executor);
    Executor* free = nullptr;
    for (const auto& executor : site.executors)
        free = busy.contains(executor->id) ? free : executor.get();
    if (busy.size() + 1 != executors || !free)
        site.finish(couldNotRun);
    if (withTrouble()) {
        site.note(free->id + " fails all that it starts from now on");
        free->failsRuns = true;
    }
    const std::string id = jobId("short", 0);
    if (site.call(0, "POST", "usual", id, jobBody("short", 1, each, work)).status != 200)
        site.finish(couldNotRun);
    Site::sleep(greyTime);
    free->failsRuns = false;
    if (withTrouble())
        site.note(free->id + " is sound again");
    Site::sleep(finishTime);
    const Millis from = steadyNow();
    Site::sleep(25000);
    const std::string state = site.stateOf(1, "usual", id);
    bool isRunning = false;
    Millis lastRunning = from;
    Millis idle = 0; // The longest time without a run since `from`.
    for (const Seen& seen : site.observer.all()) {
        if (!seen.task.starts_with(id))
            continue;
        if (seen.what == "start" && !isRunning)
            idle = std::max(idle, seen.at - lastRunning);
        isRunning = seen.what == "start" || (isRunning && seen.what != "end");
        lastRunning = std::max(from, seen.at);
    }
    if (!isRunning)
        idle = std::max(idle, steadyNow() - lastRunning);
    const bool isViolated = state != "completed" && state != "failed" && idle > idleBound;
    if (isViolated)
        site.note("LOST: job " + id + " is " + state + " and has had nothing running for " + std::to_string(idle) + " ms; " + free->id + " has been idle all the while");
    site.finishWith("LOST", isViolated ? 1 : 0);
}
