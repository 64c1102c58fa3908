// The executor that runs a job is cut off, crashes behind the cut and starts again, a few times.

#include "site.hpp"

using namespace review;

namespace {

constexpr std::size_t executors = 6; // One of six is a share of 0.167.
constexpr int cuts = 6;
constexpr Millis runTime = 2000; // From a start until the executor is cut off.
constexpr Millis cutTime = 2000;
constexpr Millis work = 8000;

Millis workOf(const std::string&, const std::string&) { return work; }

} // namespace

// LOST: a job is shown as `failed` without cause; only ends `failed` count as attempts.
int main(int, char** arguments)
{
    Site site({ .executors = executors, .workOf = workOf }, arguments[1]);
    if (!site.waitUntilReady())
        site.finish(couldNotRun);
    const std::string id = jobId("reborn", 1);
    if (site.call(0, "POST", "usual", id, jobBody("work", 1, { 52000, 270000, 8 }, work)).status != 200)
        site.finish(couldNotRun);
    const auto rows = [&](const std::string& what) {
        std::vector<Seen> found;
        for (const Seen& seen : site.observer.all()) {
            if (seen.what == what && seen.task.starts_with(id))
                found.push_back(seen);
        }
        return found;
    };
    for (int i = 0; i < cuts && withTrouble(); ++i) {
        const auto isStarted = [&] { return rows("start").size() > static_cast<std::size_t>(i); };
        if (!site.waitFor(8000, isStarted))
            break;
        Site::sleep(runTime);
        Executor* executor = nullptr;
        for (const auto& candidate : site.executors)
            executor = candidate->id == rows("start").back().executor ? candidate.get() : executor;
        executor->cut();
        Site::sleep(cutTime / 2);
        executor->restart();
        Site::sleep(cutTime / 2);
        executor->heal();
    }
    site.note("no more cuts");
    std::string state;
    site.waitFor(30000, [&] {
        Site::sleep(1000);
        state = site.stateOf(1, "usual", id);
        return state == "failed" || state == "completed";
    });
    const auto ended = rows("end");
    const auto failures = std::count_if(ended.begin(), ended.end(), [](const Seen& seen) { return seen.how == "failed"; });
    const bool isViolated = state == "failed" && failures < site.options.maxAttempts;
    if (isViolated)
        site.note("LOST: job " + id + " is shown as failed; ends `failed`: " + std::to_string(failures) + ", max_attempts " + std::to_string(site.options.maxAttempts));
    site.finishWith("LOST", isViolated ? 1 : 0);
}
