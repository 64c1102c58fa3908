#include "timing.h"

#include <fmt/format.h>
#include <malloc.h>

#include <array>
#include <cmath>

namespace rattan::bench {

namespace {

    constexpr std::array<std::int64_t, 4> sizes { 50, 330, 1150, 4600 };

    double heapInUse()
    {
        const auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd);
    }

    std::vector<Figure> stateSize()
    {
        constexpr decide::WorkerId workers = 4600;
        const double before = heapInUse();
        decide::Decider decider(decide::Options {});
        for (decide::WorkerId id = 0; id < workers; ++id)
            decider.step(decide::WorkerSeen { id, id / 8, { 8, 64, 131072 } }, 0);
        const double withWorkers = heapInUse();
        for (decide::JobId job = 1; job <= workers * 2; ++job)
            decider.step(decide::JobSubmitted { .job = job, .members = 4, .perMember = { 1, 1, 1024 } }, 0);
        const double withTasks = heapInUse();
        return {
            { "state_bytes_per_worker", (withWorkers - before) / workers, "bytes" },
            { "state_bytes_per_task", (withTasks - withWorkers) / (workers * 2 * 4), "bytes" },
        };
    }

} // namespace

std::vector<Figure> timeDecisions(std::uint64_t seed)
{
    std::vector<Figure> figures;
    std::vector<double> tails;
    for (const std::int64_t workers : sizes) {
        const Workload workload = makeScaled(workers, seed);
        const RunResult run = simulate(workload, { { .seed = seed }, true });
        tails.push_back(quantile(run.stepMicros, 0.99));
        figures.push_back({ fmt::format("decision_p50_us.{}", workers), quantile(run.stepMicros, 0.5), "us" });
        figures.push_back({ fmt::format("decision_p99_us.{}", workers), tails.back(), "us" });
        figures.push_back({ fmt::format("decision_max_us.{}", workers), quantile(run.stepMicros, 1), "us" });
    }
    // The exponent of growth: 1 is linear in the number of workers.
    const double growth = std::log(tails.back() / tails.front());
    figures.push_back({ "decision_p99_slope", growth / std::log(static_cast<double>(sizes.back()) / sizes.front()), "exponent" });
    for (Figure& figure : stateSize())
        figures.push_back(std::move(figure));
    return figures;
}

} // namespace rattan::bench
