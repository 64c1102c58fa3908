// The order of waiting units that can't all be in time, and the records of overloaded queues. The
// decisions are in overload_order.h, fair_shares.h and admission.h.

#include "tasks/admission.h"
#include "tasks/overload_order.h"
#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>

namespace rattan::tasks {

using namespace detail;

namespace {

    // How long a unit would take all resources of its service.
    double siteMillisOf(const Unit& unit, Millis runTime, const Resources& capacity)
    {
        const Resources needed = unit.step().perTask.times(unit.members());
        const auto share = [](std::int64_t part, std::int64_t whole) { return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0; };
        return static_cast<double>(runTime) * std::max(share(needed.accelerators, capacity.accelerators), share(needed.milliCores, capacity.milliCores));
    }

} // namespace

std::map<std::string_view, Resources> TaskPlanner::capacityByService() const
{
    std::map<std::string_view, Resources> capacity;
    for (const auto& [id, worker] : this->workers) {
        if (worker.listed && !worker.silent)
            capacity[worker.description.service] += worker.description.capacity;
    }
    return capacity;
}

// The work in core-seconds until all tasks of the job are done.
double TaskPlanner::remainingWorkOf(const ActiveJob& active, Millis now) const
{
    double work = 0;
    const Job& job = *active.job;
    const auto weightOf = [](const Step& step, std::int64_t members) { return coreEquivalents(step.perTask) * static_cast<double>(members) / 1000.0; };
    for (auto next = this->units.lower_bound({ job.id, 0, 0, wholeGang }); next != this->units.end() && next->first.job == job.id; ++next) {
        const Unit& unit = next->second;
        const Millis left = unit.state == UnitState::Running ? this->expectedEnd(unit, now) - now : this->expectedRunTime(unit);
        work += weightOf(unit.step(), unit.members()) * static_cast<double>(left);
    }
    for (const auto& [number, occurrence] : active.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            if (!occurrence.steps[i].started)
                work += weightOf(job.steps[i], job.steps[i].count) * static_cast<double>(this->runTimes.forecast(job.terms.queue, job.steps[i].estimate).work);
        }
    }
    return work;
}

// The work in core-seconds of one occurrence of the job.
double TaskPlanner::wholeWorkOf(const Job& job) const
{
    double work = 0;
    for (const Step& step : job.steps)
        work += coreEquivalents(step.perTask) * static_cast<double>(step.count * this->runTimes.forecast(job.terms.queue, step.estimate).work) / 1000.0;
    return work;
}

std::map<std::string_view, double> TaskPlanner::meanWorkByQueue() const
{
    struct Sum {
        double work { 0 };
        double jobs { 0 };
    };
    std::map<std::string_view, Sum> sums;
    for (const auto& [id, active] : this->jobs) {
        Sum& sum = sums[active.job->terms.queue];
        sum.work += this->wholeWorkOf(*active.job);
        ++sum.jobs;
    }
    std::map<std::string_view, double> means;
    for (const auto& [queue, sum] : sums)
        means[queue] = sum.work / sum.jobs;
    return means;
}

FairShares TaskPlanner::sharesOf(const std::vector<Candidate>& candidates) const
{
    FairShares shares;
    for (const auto& [key, unit] : this->units) {
        if (unit.state == UnitState::Running && !this->jobs.at(key.job).guaranteed)
            shares.addUse(unit.job->workspace, coreEquivalents(unit.step().perTask) * static_cast<double>(unit.members()));
    }
    for (const Candidate& candidate : candidates)
        shares.addWaiting(candidate.unit->job->workspace);
    return shares;
}

// Takes candidates in the usual order.
void TaskPlanner::orderExcess(std::vector<Candidate>& candidates, Millis now) const
{
    const auto capacity = this->capacityByService();
    std::vector<WaitingWork> waiting;
    waiting.reserve(candidates.size());
    const Unit* previous = nullptr;
    for (const Candidate& candidate : candidates) {
        const Unit& unit = *candidate.unit;
        const auto found = capacity.find(unit.terms->service);
        if (candidate.queueKey.guaranteed || candidate.queueKey.isTooLate || found == capacity.end())
            continue;
        WaitingWork work { unit.terms->service, unit.terms->priority, candidate.latestStarts.inTime, 0 };
        const bool isSibling = previous && previous->job == unit.job && previous->key.step == unit.key.step;
        work.siteMillis = isSibling ? waiting.back().siteMillis : siteMillisOf(unit, this->expectedRunTime(unit), found->second);
        waiting.push_back(work);
        previous = &unit;
    }
    const Excess excess = Excess::detect(waiting, now);
    if (excess.empty())
        return;
    const FairShares shares = this->sharesOf(candidates);
    struct JobSize {
        double remainingWork { 0 };
        double value { 1 };
    };
    std::map<const Job*, JobSize> sizes;
    const std::map<std::string_view, double> meanWork = this->meanWorkByQueue();
    for (Candidate& candidate : candidates) {
        const Unit& unit = *candidate.unit;
        const QueueTerms& terms = *unit.terms;
        if (candidate.queueKey.guaranteed || candidate.queueKey.isTooLate || !excess.isBacklogged(terms.service, terms.priority))
            continue;
        const ActiveJob& active = this->jobs.at(unit.key.job);
        const bool isLate = excess.isLate(terms.service, terms.priority);
        const auto [size, isFirstUnit] = sizes.try_emplace(unit.job.get());
        if (isFirstUnit && isLate)
            size->second = { this->remainingWorkOf(active, now), jobValueOf(this->wholeWorkOf(*unit.job), meanWork.at(terms.queue)) };
        if (isLate)
            candidate.queueKey.valueOrder = valueOrderOf({ candidate.latestStarts, candidate.waitingSince, size->second.remainingWork, unit.evictionCount, now, size->second.value });
        if (isFirstUnit && !active.started && isFirstStartDue(candidate.waitingSince, candidate.latestStarts.inTime, now)) {
            candidate.queueKey.priority = raisedPriority(terms.priority);
            candidate.queueKey.valueOrder = std::numeric_limits<std::int64_t>::min();
        }
        candidate.queueKey.valueClass = valueClassOf(candidate.queueKey.valueOrder);
        candidate.queueKey.exceedsShare = shares.exceedsShare(unit.job->workspace);
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.queueKey < b.queueKey; });
}

// Compares the work of equal or higher priority with the room, for each queue with waiting jobs.
// Work that needs a label or a rack is left out: others don't wait behind it. So is work that is of
// no use any more, which goes last.
void TaskPlanner::updateLoads(const std::vector<Candidate>& candidates, Millis now, Millis wall)
{
    if (now < this->lastLoadCheckAt + loadRecordInterval || (candidates.empty() && this->overloadedQueues.empty()))
        return;
    this->lastLoadCheckAt = now;
    struct ServiceWork {
        Resources capacity;
        Resources used;
        std::map<std::int64_t, double> siteMillis; // By priority.
    };
    std::map<std::string_view, ServiceWork> services;
    for (const auto& [service, capacity] : this->capacityByService())
        services[service].capacity = capacity;
    for (const auto& [key, unit] : this->units) {
        if (unit.state != UnitState::Running)
            continue;
        ServiceWork& service = services[this->serviceOf(unit)];
        service.used += unit.step().perTask.times(unit.members());
        if (!unit.step().longRunning)
            service.siteMillis[unit.terms->priority] += siteMillisOf(unit, this->expectedEnd(unit, now) - now, service.capacity);
    }
    struct QueueWork {
        const QueueTerms* terms { nullptr };
        Millis usefulSlack { 0 };
    };
    std::map<std::string_view, QueueWork> queues;
    for (const Candidate& candidate : candidates) {
        const Unit& unit = *candidate.unit;
        if (unit.state != UnitState::Waiting || candidate.queueKey.isTooLate || !unit.step().label.empty() || !unit.step().dataRack.empty())
            continue;
        ServiceWork& service = services[unit.terms->service];
        service.siteMillis[unit.terms->priority] += siteMillisOf(unit, this->expectedRunTime(unit), service.capacity);
        QueueWork& queue = queues[unit.job->terms.queue];
        queue.terms = unit.terms.get();
        queue.usefulSlack = std::max(queue.usefulSlack, candidate.latestStarts.useful - candidate.waitingSince);
    }
    const auto share = [](std::int64_t part, std::int64_t whole) { return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0; };
    std::set<std::string> overloaded;
    for (const auto& [name, queue] : queues) {
        const ServiceWork& service = services.at(queue.terms->service);
        QueueBacklog backlog { .usefulSlack = queue.usefulSlack };
        for (const auto& [priority, siteMillis] : service.siteMillis)
            backlog.waitMillis += priority <= queue.terms->priority ? siteMillis : 0;
        backlog.usedShare = std::max(share(service.used.accelerators, service.capacity.accelerators), share(service.used.milliCores, service.capacity.milliCores));
        const std::string queueName(name);
        if (const auto drain = forecastDrain(backlog, this->overloadedQueues.contains(queueName))) {
            overloaded.insert(queueName);
            this->loadsToRecord[loadKeyOf(name)] = encodeLoad({ *drain, wall, queue.terms->service });
        }
    }
    for (const std::string& queue : this->overloadedQueues) {
        if (!overloaded.contains(queue))
            this->loadsToRecord[loadKeyOf(queue)] = "";
    }
    this->overloadedQueues = std::move(overloaded);
}

} // namespace rattan::tasks
