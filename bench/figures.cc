#include "figures.h"

#include <algorithm>
#include <functional>

namespace rattan::bench {

namespace {

    using Pick = std::function<bool(const Arrival&, const JobResult&)>;

    double mean(const std::vector<double>& values)
    {
        double sum = 0;
        for (const double value : values)
            sum += value;
        return values.empty() ? 0 : sum / static_cast<double>(values.size());
    }

    double ratio(double above, double below) { return below > 0 ? above / below : 0; }

    // Jobs that ended well under every policy.
    std::vector<bool> doneByAll(const Comparison& runs)
    {
        std::vector<bool> done(runs.ours.jobs.size());
        for (std::size_t i = 0; i < done.size(); ++i)
            done[i] = runs.ours.jobs[i].done && runs.firstFit.jobs[i].done && runs.backfill.jobs[i].done;
        return done;
    }

    std::vector<double> completions(const RunResult& run, const std::vector<bool>& counted)
    {
        std::vector<double> values;
        for (std::size_t i = 0; i < counted.size(); ++i) {
            if (counted[i])
                values.push_back(static_cast<double>(run.jobs[i].completion));
        }
        return values;
    }

    std::vector<double> waits(const Workload& workload, const RunResult& run, const Pick& pick)
    {
        std::vector<double> values;
        for (std::size_t i = 0; i < run.jobs.size(); ++i) {
            if (run.jobs[i].everRan && pick(workload.arrivals[i], run.jobs[i]))
                values.push_back(static_cast<double>(run.jobs[i].firstWait) / 1000);
        }
        return values;
    }

} // namespace

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

std::vector<Figure> figuresOf(const Workload& workload, const Comparison& runs)
{
    const std::vector<bool> counted = doneByAll(runs);
    const std::vector<double> ours = completions(runs.ours, counted);
    const std::vector<double> firstFit = completions(runs.firstFit, counted);
    const std::vector<double> backfill = completions(runs.backfill, counted);
    const auto isLarge = [&](const Arrival& arrival, const JobResult&) {
        return arrival.job.members * arrival.job.perMember.accelerators >= workload.largeGang;
    };
    const auto isUrgent = [](const Arrival& arrival, const JobResult&) { return arrival.job.urgency == decide::Urgency::Urgent; };
    const auto isPatient = [](const Arrival& arrival, const JobResult&) { return arrival.job.urgency == decide::Urgency::Patient; };
    std::vector<double> reclaims;
    reclaims.reserve(runs.ours.reclaims.size());
    for (const Millis took : runs.ours.reclaims)
        reclaims.push_back(static_cast<double>(took) / 1000);
    return {
        { "jct_mean_ratio_vs_fcfs", ratio(mean(firstFit), mean(ours)), "ratio" },
        { "jct_p99_ratio_vs_fcfs", ratio(quantile(firstFit, 0.99), quantile(ours, 0.99)), "ratio" },
        { "jct_mean_ratio_vs_backfill", ratio(mean(backfill), mean(ours)), "ratio" },
        { "jct_mean_ratio_vs_bound", ratio(mean(ours), lowerBound(workload, counted)), "ratio" },
        { "jct_mean_s", mean(ours) / 1000, "s" },
        { "fragmentation_mean", runs.ours.fragmentation, "share" },
        { "fragmentation_mean_fcfs", runs.firstFit.fragmentation, "share" },
        { "fragmentation_mean_backfill", runs.backfill.fragmentation, "share" },
        { "fragmentation_strict_mean", runs.ours.strictFragmentation, "share" },
        { "fragmentation_strict_mean_fcfs", runs.firstFit.strictFragmentation, "share" },
        { "fragmentation_ratio_vs_fcfs", ratio(runs.firstFit.fragmentation, runs.ours.fragmentation), "ratio" },
        { "large_gang_wait_p99_s", quantile(waits(workload, runs.ours, isLarge), 0.99), "s" },
        { "large_gang_wait_p99_fcfs_s", quantile(waits(workload, runs.firstFit, isLarge), 0.99), "s" },
        { "large_gang_wait_p99_backfill_s", quantile(waits(workload, runs.backfill, isLarge), 0.99), "s" },
        { "urgent_start_p99_s", quantile(waits(workload, runs.ours, isUrgent), 0.99), "s" },
        { "patient_wait_max_s", quantile(waits(workload, runs.ours, isPatient), 1), "s" },
        { "reclaim_p99_s", quantile(reclaims, 0.99), "s" },
        { "guarantee_violations", static_cast<double>(runs.ours.guaranteeViolations), "count" },
        { "partial_gang_seconds", runs.ours.partialGangSeconds, "s" },
        { "evictions", static_cast<double>(runs.ours.evictions), "count" },
        { "jobs", static_cast<double>(workload.arrivals.size()), "count" },
        { "jobs_without_one_answer", static_cast<double>(runs.ours.unanswered), "count" },
    };
}

std::vector<Summary> summarize(const std::vector<std::vector<Figure>>& seeds)
{
    std::vector<Summary> summaries;
    for (std::size_t i = 0; !seeds.empty() && i < seeds.front().size(); ++i) {
        std::vector<double> values;
        values.reserve(seeds.size());
        for (const std::vector<Figure>& figures : seeds)
            values.push_back(figures[i].value);
        const Figure& first = seeds.front()[i];
        summaries.push_back({ first.name, first.unit, quantile(values, 0.5), quantile(values, 0), quantile(values, 1), values.size() });
    }
    return summaries;
}

} // namespace rattan::bench
