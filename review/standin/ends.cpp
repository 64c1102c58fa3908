// Many small tasks end on one executor while the store is down.

#include "site.hpp"

using namespace review;

namespace {

constexpr Millis outage = 4000;
constexpr int jobs = 62;
constexpr std::int64_t tasksPerJob = 20;
constexpr Millis shortestWork = 9000;
constexpr Millis longestWork = 12000;

Millis workOf(const std::string& task, const std::string&)
{
    return shortestWork + static_cast<Millis>(std::hash<std::string> {}(task) % (longestWork - shortestWork));
}

// TWICE: a start after a run of the task has ended `done`, if that end is taken note of then or
// later and the lease did not lapse in between; or two runs of a task at the same time.
int countViolations(Site& site)
{
    struct Task {
        bool done { false };
        std::vector<Seen> startsAfterDone;
        std::map<std::string, std::int64_t> running; // By executor.
    };
    std::map<std::string, Task> tasks;
    int violations = 0;
    for (const Seen& seen : site.observer.all()) {
        Task& task = tasks[seen.task];
        if (seen.what == "start") {
            if (task.done)
                task.startsAfterDone.push_back(seen);
            if (!task.running.empty()) {
                ++violations;
                site.note("TWICE: two runs of " + seen.task + " at the same time");
            }
            task.running[seen.executor] = seen.run;
        }
        if (seen.what == "end") {
            task.running.erase(seen.executor);
            task.done = task.done || seen.how == "done";
        }
    }
    for (const Seen& seen : site.observer.all()) {
        if (seen.what != "acknowledged" || seen.how != "done" || seen.lapsed)
            continue;
        for (const Seen& start : tasks[seen.task].startsAfterDone) {
            if (start.run <= seen.run)
                continue;
            ++violations;
            site.note("TWICE: run " + std::to_string(start.run) + " of " + seen.task + " started at " + std::to_string(start.at - site.startedAt) + " on " + start.executor + " after run " + std::to_string(seen.run) + " had ended done; that end was taken note of at " + std::to_string(seen.at - site.startedAt));
        }
    }
    return violations;
}

} // namespace

int main(int, char** arguments)
{
    Site site({ .executors = 2, .workOf = workOf }, arguments[1]);
    if (!site.waitUntilReady())
        site.finish(couldNotRun);
    int accepted = 0;
    for (int i = 0; i < jobs; ++i)
        accepted += site.call(static_cast<std::size_t>(i % 3), "POST", "usual", jobId("ends", i), jobBody("small", tasksPerJob, { 200, 512, 0 }, 10000)).status == 200 ? 1 : 0;
    const auto count = [&](const char* what) {
        const std::vector<Seen> seen = site.observer.all();
        return std::count_if(seen.begin(), seen.end(), [&](const Seen& row) { return row.what == what; });
    };
    if (accepted != jobs || !site.waitFor(20000, [&] { return count("end") > 0; }))
        site.finish(couldNotRun);
    site.note("started before the first end: " + std::to_string(count("start")));
    if (withTrouble()) {
        site.note("store: answers 503 from now on");
        site.store.busy = true;
        Site::sleep(outage);
        site.store.busy = false;
        site.note("store: serves again");
    }
    Site::sleep(30000);
    site.finishWith("TWICE", countViolations(site));
}
