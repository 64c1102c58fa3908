// One of two tasks that last ends by itself.

#include "site.hpp"

using namespace review;

namespace {

constexpr Millis endsAfter = 5000;
constexpr Millis lastingWork = 1000000;
constexpr Millis restartBound = 6000 + 3000; // From the end of its last run.
constexpr Capacity each { 8000, 16000, 1 };

Millis workOf(const std::string& task, const std::string&) { return withTrouble() && task.ends_with(".0") ? endsAfter : lastingWork; }

} // namespace

// LOST: for 3 s, from 6 s after its last run, a task that lasts doesn't run though there is capacity
// for it twice over and under half of the service's capacity is in use.
int main(int, char** arguments)
{
    Site site({ .executors = 4, .workOf = workOf }, arguments[1]);
    if (!site.waitUntilReady())
        site.finish(couldNotRun);
    const std::string id = jobId("lasting", 0);
    if (site.call(0, "POST", "usual", id, jobBody("lasting", 2, each, 10000, true)).status != 200)
        site.finish(couldNotRun);
    Site::sleep(endsAfter + 25000);
    const std::string state = site.stateOf(1, "usual", id);
    std::map<std::string, Millis> endedAt; // Of tasks that don't run.
    for (const Seen& seen : site.observer.all()) {
        if (seen.what == "end")
            endedAt[seen.task] = seen.at;
        if (seen.what == "start")
            endedAt.erase(seen.task);
    }
    int violations = 0;
    for (const auto& [task, at] : endedAt) {
        if (steadyNow() <= at + restartBound)
            continue;
        ++violations;
        site.note("LOST: " + task + " has not run for " + std::to_string(steadyNow() - at) + " ms; its job is " + state);
    }
    site.finishWith("LOST", violations);
}
