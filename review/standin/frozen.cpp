// An instance freezes; a client leaves it without an answer and cancels its job at another one.

#include "site.hpp"

using namespace review;

namespace {

constexpr Millis freezeTime = 4000;
constexpr Millis patience = 300; // After which the client leaves, well before its deadline.
constexpr Millis cancelBound = 3000; // cancel_ms
constexpr Millis work = 8000;
constexpr int jobs = 3;

Millis workOf(const std::string&, const std::string&) { return work; }

} // namespace

// UNASKED: a machine in touch starts a task later than cancel_ms after the job's cancelling was
// acknowledged.
int main(int, char** arguments)
{
    Site site({ .executors = 4, .workOf = workOf }, arguments[1]);
    if (!site.waitUntilReady())
        site.finish(couldNotRun);
    const std::size_t leader = site.leader();
    const std::size_t frozen = (leader + 1) % site.instances.size();
    const std::size_t other = (leader + 2) % site.instances.size();
    site.note("leads: " + site.instances[leader].name);
    if (withTrouble())
        site.signalInstance(frozen, SIGSTOP, "SIGSTOP");
    const Millis frozenAt = steadyNow();
    std::vector<Answer> cancels(jobs);
    std::vector<std::thread> clients;
    for (int i = 0; i < jobs; ++i) {
        clients.emplace_back([&, i] {
            site.call(frozen, "POST", "usual", jobId("frozen", i), jobBody("work", 1, { 15000, 44000, 1 }, work), patience);
            cancels[static_cast<std::size_t>(i)] = site.call(other, "DELETE", "usual", jobId("frozen", i), "");
        });
    }
    for (std::thread& client : clients)
        client.join();
    Site::sleep(std::max<Millis>(frozenAt + freezeTime - steadyNow(), 0));
    if (withTrouble())
        site.signalInstance(frozen, SIGCONT, "SIGCONT");
    Site::sleep(15000);
    int violations = 0;
    for (int i = 0; i < jobs; ++i) {
        const std::string id = jobId("frozen", i);
        const Answer& cancel = cancels[static_cast<std::size_t>(i)];
        site.stateOf(other, "usual", id);
        for (const Seen& seen : site.observer.all()) {
            const bool isAcknowledged = (cancel.status >= 200 && cancel.status < 300) || cancel.status == 410;
            const Millis startedAt = seen.at - site.startedAt;
            if (!isAcknowledged || seen.what != "start" || !seen.task.starts_with(id) || startedAt <= cancel.answeredAt + cancelBound)
                continue;
            ++violations;
            site.note("UNASKED: " + seen.task + " started at " + std::to_string(startedAt) + "; its job's cancelling was answered with " + std::to_string(cancel.status) + " at " + std::to_string(cancel.answeredAt));
        }
    }
    site.finishWith("UNASKED", violations);
}
