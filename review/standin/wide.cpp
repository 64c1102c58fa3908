// One wide job comes beside small ones.

#include "site.hpp"

using namespace review;

namespace {

constexpr std::int64_t wideTasks = 5000;
constexpr Millis smallWork = 1000;
constexpr Millis wideWork = 8000;
constexpr int smallJobs = 10;

Millis workOf(const std::string&, const std::string& spec) { return spec == "wide" ? wideWork : smallWork; }

} // namespace

// LOST: for 3 s, an accepted job has nothing running while there is capacity for it twice over and
// under half of the service's capacity is in use.
int main(int, char** arguments)
{
    Site site({ .executors = 8, .workOf = workOf }, arguments[1]);
    if (!site.waitUntilReady())
        site.finish(couldNotRun);
    if (withTrouble() && site.call(0, "POST", "patient", jobId("wide", 0), jobBody("wide", wideTasks, { 200, 512, 0 }, wideWork)).status != 200)
        site.finish(couldNotRun);
    std::vector<std::string> accepted;
    for (int i = 0; i < smallJobs; ++i) {
        Site::sleep(1000);
        if (site.call(static_cast<std::size_t>(i % 3), "POST", "urgent", jobId("small", i), jobBody("small", 1, { 1000, 1024, 0 }, smallWork)).status == 200)
            accepted.push_back(jobId("small", i));
    }
    Site::sleep(40000);
    int violations = 0;
    for (const std::string& id : accepted) {
        const std::vector<Seen> seen = site.observer.all();
        const bool started = std::any_of(seen.begin(), seen.end(), [&](const Seen& row) { return row.what == "start" && row.task.starts_with(id); });
        violations += started ? 0 : 1;
        if (!started)
            site.note("LOST: accepted job " + id + " was never started");
    }
    site.note("records refused by the store: " + std::to_string(site.store.oversizedRecords) + ", largest " + std::to_string(site.store.largestRecord));
    site.finishWith("LOST", violations);
}
