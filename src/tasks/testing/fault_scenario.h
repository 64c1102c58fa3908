#pragma once

// A sequence of overlapping faults on a site of several hundred workers whose planner has
// infrequent turns. Before its end the traffic stops and all faults are over.
//
//     FaultScenario scenario({ .seed = 7, .plannerInterval = 250 });
//     scenario.run();
//     ... scenario.site.violations

#include "tasks/testing/virtual_site.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace rattan::tasks::testing {

class FaultScenario {
public:
    struct Options {
        std::uint64_t seed { 1 };
        int workers { 200 };
        Millis plannerInterval { 250 };
        Millis roundDuration { 0 };
        bool pollsBetweenTurns { true };
        Millis until { 58000 };
        double load { 0.5 }; // Share of all accelerators used by the regular jobs, without the burst of low-priority jobs.
    };

    explicit FaultScenario(Options);

    void run();

    VirtualSite site;

private:
    void schedule();
    void scheduleEvenly(Millis from, Millis until, int times, const std::function<void(int)>& event);
    void scheduleFaults();
    void submitRandomJob();
    void submitLowPriorityJob(int number);
    Job createJob(std::int64_t priority);
    Millis randomBelow(Millis bound) { return static_cast<Millis>(this->random() % static_cast<std::uint64_t>(bound)); }
    std::string workerId(int number) const;
    void ensurePlanner();

    Options options;
    std::mt19937_64 random;
    std::multimap<Millis, std::function<void()>> events;
    std::uint64_t jobs { 0 };
    std::vector<std::string> cancellableJobs;
};

} // namespace rattan::tasks::testing
