#include "entry/executor_table.h"

#include <algorithm>

namespace rattan::entry {

namespace {

    constexpr double newSampleWeight = 0.2;

    // How far a smoothed latency moves to the service's mean with every list, so
    // that an executor which was slow once is tried again.
    constexpr double forgetting = 0.05;

} // namespace

ExecutorTable::ExecutorTable(std::string domain)
    : domain(std::move(domain))
{
}

void ExecutorTable::update(const std::vector<platform::Instance>& list, Millis now)
{
    std::set<std::string> listed;
    std::int64_t liveEntries = 0;
    for (const platform::Instance& instance : list) {
        if (instance.domain != this->domain)
            continue;
        if (instance.kind == platform::InstanceKind::Entry && !instance.leaving)
            ++liveEntries;
        if (instance.kind != platform::InstanceKind::Executor)
            continue;
        listed.insert(instance.id);
        ExecutorState& state = this->executors[instance.id];
        // A replacement under the same id starts without its predecessor's record.
        if (state.instance.address != instance.address) {
            const std::int64_t inFlight = state.inFlight;
            state = ExecutorState {};
            state.inFlight = inFlight;
            state.probeAt = now;
        }
        state.instance = instance;
    }
    this->entries = std::max<std::int64_t>(liveEntries, 1);
    for (auto item = this->executors.begin(); item != this->executors.end();) {
        if (listed.contains(item->first)) {
            const double mean = this->load(item->second.instance.service).latencyMs;
            item->second.latencyMs += forgetting * (mean - item->second.latencyMs);
            ++item;
        } else if (item->second.inFlight > 0) {
            item->second.instance.leaving = true;
            ++item;
        } else {
            item = this->executors.erase(item);
        }
    }
}

std::optional<std::string> ExecutorTable::choose(const std::string& service, const std::set<std::string>& excluded,
    Millis now, std::mt19937_64& random) const
{
    std::vector<const ExecutorState*> candidates;
    for (const auto& [id, state] : this->executors) {
        if (state.instance.service == service && !state.instance.leaving && !state.ejected && state.backoffUntil <= now
            && state.inFlight < this->shareOf(state) && !excluded.contains(id))
            candidates.push_back(&state);
    }
    if (candidates.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const ExecutorState* first = candidates[any(random)];
    const ExecutorState* second = candidates[any(random)];
    const auto cost = [](const ExecutorState& state) { return static_cast<double>(state.inFlight + 1) * state.latencyMs; };
    return cost(*second) < cost(*first) ? second->instance.id : first->instance.id;
}

void ExecutorTable::begin(const std::string& id)
{
    if (const auto found = this->executors.find(id); found != this->executors.end())
        ++found->second.inFlight;
}

bool ExecutorTable::finish(const std::string& id, platform::ForwardFate fate, Millis latency, Millis now)
{
    const auto found = this->executors.find(id);
    if (found == this->executors.end())
        return false;
    ExecutorState& state = found->second;
    state.inFlight = std::max<std::int64_t>(state.inFlight - 1, 0);
    if (fate == platform::ForwardFate::Refused) {
        state.backoffUntil = now + refusalBackoff;
        return false;
    }
    // A request that timed out tells a latency too; one that was not sent does not.
    if (fate != platform::ForwardFate::NotSent)
        state.latencyMs += newSampleWeight * (static_cast<double>(std::max<Millis>(latency, 1)) - state.latencyMs);
    if (fate == platform::ForwardFate::Answered) {
        state.failuresInRow = 0;
        return false;
    }
    ++state.failuresInRow;
    if (state.ejected || state.failuresInRow < failuresToEject || !this->mayEject(state.instance.service))
        return false;
    state.ejected = true;
    state.ejectedFor = firstEjection;
    state.probeAt = now + state.ejectedFor;
    return true;
}

std::vector<Probe> ExecutorTable::probes(Millis now) const
{
    std::vector<Probe> due;
    for (const auto& [id, state] : this->executors) {
        if (state.ejected && !state.instance.leaving && state.probeAt <= now)
            due.push_back({ id, state.instance.address });
    }
    return due;
}

void ExecutorTable::probed(const std::string& id, bool healthy, Millis now)
{
    const auto found = this->executors.find(id);
    if (found == this->executors.end() || !found->second.ejected)
        return;
    ExecutorState& state = found->second;
    if (healthy) {
        state.ejected = false;
        // One more failure ejects it again: a healthy answer is not yet work done.
        state.failuresInRow = failuresToEject - 1;
        return;
    }
    state.ejectedFor = std::min(state.ejectedFor * 2, longestEjection);
    state.probeAt = now + state.ejectedFor;
}

ServiceLoad ExecutorTable::load(const std::string& service) const
{
    ServiceLoad load;
    double sum = 0;
    for (const auto& [id, state] : this->executors) {
        if (state.instance.service != service || state.instance.leaving || state.ejected)
            continue;
        ++load.executors;
        load.share += this->shareOf(state);
        sum += state.latencyMs;
    }
    load.latencyMs = load.executors == 0 ? 0 : sum / static_cast<double>(load.executors);
    return load;
}

const ExecutorState* ExecutorTable::find(const std::string& id) const
{
    const auto found = this->executors.find(id);
    return found == this->executors.end() ? nullptr : &found->second;
}

std::int64_t ExecutorTable::shareOf(const ExecutorState& state) const
{
    return (state.instance.slots + this->entries - 1) / this->entries;
}

// When most executors of a service fail, the fault lies elsewhere (a cut link, a
// bad release); ejecting all of them would turn a bad service into none.
bool ExecutorTable::mayEject(const std::string& service) const
{
    std::int64_t all = 0;
    std::int64_t ejected = 0;
    for (const auto& [id, state] : this->executors) {
        if (state.instance.service != service || state.instance.leaving)
            continue;
        ++all;
        ejected += state.ejected ? 1 : 0;
    }
    return (ejected + 1) * 2 <= all;
}

} // namespace rattan::entry
