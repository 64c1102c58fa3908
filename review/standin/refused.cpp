// The only executor with free capacity refuses all starts for a while.

#include "site.hpp"

using namespace review;

namespace {

constexpr std::size_t executors = 12; // One of twelve is a share of 0.083.
constexpr Millis greyTime = 6500;
constexpr Millis longWork = 30000;
constexpr Millis shortWork = 2500;
constexpr int shortJobs = 1;
constexpr Millis pendingBound = 3000 + 2000; // visible_ms and 2 s
constexpr Millis askTime = 20000;
constexpr Capacity whole { 15000, 44000, 8 };

Millis workOf(const std::string&, const std::string& spec) { return spec == "long" ? longWork : shortWork; }

} // namespace

// MIXED: a machine in touch gives as `pending` under half of the jobs that were accepted over
// visible_ms + 2 s before and haven't begun.
int main(int, char** arguments)
{
    Site site({ .executors = executors, .workOf = workOf }, arguments[1]);
    if (!site.waitUntilReady())
        site.finish(couldNotRun);
    for (std::size_t i = 0; i + 1 < executors; ++i) {
        if (site.call(i % 3, "POST", "urgent", jobId("long", static_cast<int>(i)), jobBody("long", 1, whole, longWork)).status != 200)
            site.finish(couldNotRun);
    }
    const auto hasStarted = [&](const std::string& job) {
        const std::vector<Seen> seen = site.observer.all();
        return std::any_of(seen.begin(), seen.end(), [&](const Seen& row) { return row.what == "start" && row.task.starts_with(job); });
    };
    Site::sleep(2000);
    std::set<std::string> busy;
    for (const Seen& seen : site.observer.all())
        busy.insert(seen.executor);
    Executor* free = nullptr;
    for (const auto& executor : site.executors)
        free = busy.contains(executor->id) ? free : executor.get();
    if (busy.size() + 1 != executors || !free)
        site.finish(couldNotRun);
    const Millis greyUntil = steadyNow() + greyTime;
    if (withTrouble()) {
        site.note(free->id + " refuses starts from now on");
        free->isUnhealthy = true;
    }
    std::vector<std::pair<std::string, Millis>> accepted; // Job and time.
    for (int i = 0; i < shortJobs; ++i) {
        const Answer answer = site.call(static_cast<std::size_t>(i % 3), "POST", "usual", jobId("short", i), jobBody("short", 1, whole, shortWork));
        if (answer.status == 200)
            accepted.emplace_back(jobId("short", i), answer.answeredAt);
    }
    if (accepted.size() != shortJobs)
        site.finish(couldNotRun);
    int violations = 0;
    const Millis end = steadyNow() + askTime;
    while (steadyNow() < end) {
        Site::sleep(250);
        if (withTrouble() && free->isUnhealthy && steadyNow() >= greyUntil) {
            free->isUnhealthy = false;
            site.note(free->id + " takes starts again");
        }
        const Answer answer = site.call(static_cast<std::size_t>(steadyNow() / 250 % 3), "GET", "usual", "", "");
        const Json body = Json::parse(answer.body, nullptr, false);
        std::int64_t waiting = 0; // Without a start when the answer had come.
        for (const auto& [job, at] : accepted)
            waiting += answer.sentAt > at + pendingBound && !hasStarted(job) ? 1 : 0;
        if (answer.status != 200 || !body.is_object() || body.value("pending", std::int64_t { 0 }) * 2 >= waiting)
            continue;
        ++violations;
        site.note("MIXED: pending is given as " + body.dump() + ", but " + std::to_string(waiting) + " jobs that were accepted over 5 s before haven't begun");
    }
    site.finishWith("MIXED", violations);
}
