// The only executor with room is cut off, crashes behind the cut and starts again, and then rests.

#include "site.hpp"

using namespace review;

namespace {

constexpr std::size_t executors = 6; // One of six is a share of 0.167.
constexpr Millis cutTime = 2000;
constexpr Millis calmTime = 4000;
constexpr Millis idleBound = 3000;
constexpr Millis smallWork = 300;
constexpr Millis lastingWork = 1000000;
constexpr int smallJobs = 20;

Millis workOf(const std::string&, const std::string& spec) { return spec == "lasting" ? lastingWork : smallWork; }

} // namespace

// LOST: for 3 s, which are calm like the 4 s before them, a job has nothing running while a task's
// turn has come and there is capacity for it twice over.
int main(int, char** arguments)
{
    Site site({ .executors = executors, .workOf = workOf }, arguments[1]);
    if (!site.waitUntilReady())
        site.finish(couldNotRun);
    for (std::size_t i = 0; i + 1 < executors; ++i) {
        if (site.call(i % 3, "POST", "urgent", jobId("lasting", static_cast<int>(i)), jobBody("lasting", 1, { 128000, 64000, 0 }, 10000, true)).status != 200)
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
    for (int i = 0; i < smallJobs; ++i) {
        site.call(static_cast<std::size_t>(i % 3), "POST", "usual", jobId("small", i), jobBody("small", 1, { 1000, 1024, 0 }, smallWork));
        Site::sleep(200);
    }
    if (withTrouble()) {
        free->cut();
        Site::sleep(cutTime / 2);
        free->restart();
        Site::sleep(cutTime / 2);
        free->heal();
    }
    const Millis healedAt = steadyNow();
    const std::string id = jobId("after", 0);
    if (site.call(0, "POST", "usual", id, jobBody("small", 1, { 1000, 1024, 0 }, smallWork)).status != 200)
        site.finish(couldNotRun);
    Millis startedAt = 0;
    site.waitFor(30000, [&] {
        for (const Seen& seen : site.observer.all())
            startedAt = seen.what == "start" && seen.task.starts_with(id) ? seen.at : startedAt;
        return startedAt > 0;
    });
    const Millis idle = (startedAt > 0 ? startedAt : steadyNow()) - (healedAt + calmTime);
    if (idle > idleBound)
        site.note("LOST: job " + id + " had nothing running for " + std::to_string(idle) + " ms after 4 s of calm; " + free->id + " was idle all the while");
    site.finishWith("LOST", idle > idleBound ? 1 : 0);
}
