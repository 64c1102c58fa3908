#pragma once

// Seeded workloads: a cluster, a text and what arrives when. The truth about a
// job (how long it runs, whether it fails) is the simulation's; the decisions see
// only what its caller declares, which is off by up to ten times either way.

#include "decide/event.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::bench {

enum class WorkloadKind {
    Kitami, // 50 workers of 8 accelerators at 85% load, bursty.
    Laurentide, // Likewise, wider gangs and a rush before a council's deadline.
    Letter, // 4,600 workers, 5,900 accelerators, 540 workspaces, 11,000 jobs in a day.
    Burst, // Kitami's cluster; 10,000 small and 200 large gangs come at once.
};

inline constexpr std::array<WorkloadKind, 4> workloadKinds { WorkloadKind::Kitami, WorkloadKind::Laurentide,
    WorkloadKind::Letter, WorkloadKind::Burst };

std::string_view nameOf(WorkloadKind);

struct Arrival {
    decide::JobSubmitted job;
    Millis runTime { 0 };
    bool alwaysFails { false };
    Millis cancelAt { 0 }; // 0: never.
};

struct Outage {
    decide::WorkerId worker { 0 };
    Millis from { 0 };
    Millis until { 0 };
};

struct Workload {
    std::vector<decide::WorkerSeen> workers;
    decide::TextChanged text;
    std::vector<Arrival> arrivals; // By time.
    std::vector<Outage> outages;
    std::vector<decide::WorkerId> broken; // Fail everything they start.
    std::int64_t accelerators { 0 };
    std::int64_t largeGang { 0 }; // Accelerators from which a gang counts as large.
};

Workload makeWorkload(WorkloadKind, std::uint64_t seed);

// The letter's mix on fewer or as many workers, for timing decisions.
Workload makeScaled(std::int64_t workers, std::uint64_t seed);

// Mean completion time in milliseconds that no policy can beat on these jobs:
// the larger of the mean run time and the mean flow time of shortest remaining
// work first on one resource of the whole cluster's speed, which is optimal
// where jobs can be cut and spread at will.
double lowerBound(const Workload&, const std::vector<bool>& counted);

} // namespace rattan::bench
