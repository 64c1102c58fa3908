#include "entry/gate.h"

#include "base/random.h"
#include "entry/events.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace rattan::entry {

namespace {

    constexpr std::string_view step = "entry.admit";
    constexpr std::array<config::Urgency, 3> byUrgency { config::Urgency::Urgent, config::Urgency::Ordinary,
        config::Urgency::Patient };

    // Quarters of the waiting places that each urgency may see filled.
    constexpr std::array<std::size_t, 3> quarters { 4, 3, 2 };

    // Executors come back from a backoff without a release to wake anybody.
    constexpr std::chrono::milliseconds recheck(20);
    constexpr Millis shortestRetryAfter = 200;
    constexpr Millis noExecutorRetryAfter = 2000;

    bool lessUrgent(config::Urgency left, config::Urgency right)
    {
        return static_cast<int>(left) > static_cast<int>(right);
    }

} // namespace

Gate::Gate(std::string domain, std::size_t waitingLimit, const Clock& clock)
    : waitingLimit(waitingLimit)
    , clock(clock)
    , table(std::move(domain))
    , random(randomBelow(std::numeric_limits<std::uint64_t>::max()))
{
}

Result<Slot> Gate::acquire(const SlotRequest& request)
{
    std::unique_lock lock(this->mutex);
    this->serveWaiters();
    const bool somebodyFirst = std::any_of(this->waiters.begin(), this->waiters.end(), [&](const Waiter& waiter) {
        return waiter.request.service == request.service && !lessUrgent(waiter.request.urgency, request.urgency);
    });
    if (!somebodyFirst) {
        if (auto slot = this->take(request))
            return *slot;
    }
    if (auto refusal = this->admit(request))
        return fail(std::move(*refusal));
    Waiter& waiter = this->waiters.emplace_back();
    waiter.request = request;
    const auto self = std::prev(this->waiters.end());
    while (!waiter.slot && !waiter.refused && this->clock.now() < request.deadline) {
        waiter.changed.wait_for(lock, recheck);
        this->serveWaiters();
    }
    const std::optional<Slot> slot = std::move(waiter.slot);
    const bool refused = waiter.refused;
    this->waiters.erase(self);
    if (slot)
        return *slot;
    if (refused)
        return fail(this->overloaded(request, "more urgent requests took the places"));
    return fail(ErrorCode::Timeout, std::string(step), "", "no executor was free before the deadline",
        std::chrono::milliseconds(std::max(this->expectedWait(request), shortestRetryAfter)));
}

void Gate::release(const Slot& slot, platform::ForwardFate fate, Millis latency)
{
    const std::lock_guard lock(this->mutex);
    if (this->table.finish(slot.executor, fate, latency, this->clock.now()))
        logEvent(executorEjected, { { "executor", slot.executor }, { "address", slot.address } });
    this->serveWaiters();
}

void Gate::update(const std::vector<platform::Instance>& list)
{
    const std::lock_guard lock(this->mutex);
    this->table.update(list, this->clock.now());
    this->serveWaiters();
}

std::vector<Probe> Gate::probes() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.probes(this->clock.now());
}

void Gate::probed(const std::string& executor, bool healthy)
{
    const std::lock_guard lock(this->mutex);
    this->table.probed(executor, healthy, this->clock.now());
    if (healthy)
        logEvent(executorReturned, { { "executor", executor } });
    this->serveWaiters();
}

std::size_t Gate::waiting() const
{
    const std::lock_guard lock(this->mutex);
    return this->waiters.size();
}

ServiceLoad Gate::load(const std::string& service) const
{
    const std::lock_guard lock(this->mutex);
    return this->table.load(service);
}

std::optional<Slot> Gate::take(const SlotRequest& request)
{
    const auto id = this->table.choose(request.service, request.excluded, this->clock.now(), this->random);
    if (!id)
        return std::nullopt;
    this->table.begin(*id);
    return Slot { *id, this->table.find(*id)->instance.address };
}

void Gate::serveWaiters()
{
    while (this->serveOne((this->served + 1) % leastUrgentEvery == 0))
        ++this->served;
}

bool Gate::serveOne(bool leastUrgentFirst)
{
    auto order = byUrgency;
    if (leastUrgentFirst)
        std::reverse(order.begin(), order.end());
    for (const config::Urgency urgency : order) {
        // A service without a free slot is looked at once, not for each waiter.
        std::set<std::string> full;
        for (Waiter& waiter : this->waiters) {
            if (waiter.slot || waiter.refused || waiter.request.urgency != urgency || full.contains(waiter.request.service))
                continue;
            waiter.slot = this->take(waiter.request);
            if (waiter.slot) {
                waiter.changed.notify_one();
                return true;
            }
            if (waiter.request.excluded.empty())
                full.insert(waiter.request.service);
        }
    }
    return false;
}

std::optional<Error> Gate::admit(const SlotRequest& request)
{
    const ServiceLoad load = this->table.load(request.service);
    if (load.executors == 0)
        return Error { ErrorCode::Unavailable, std::string(step), "",
            fmt::format("no executor of service '{}' in this failure domain", request.service),
            std::chrono::milliseconds(noExecutorRetryAfter) };
    if (this->clock.now() + this->expectedWait(request) >= request.deadline)
        return this->overloaded(request, "the wait for an executor is longer than the deadline");
    const std::size_t places = this->waitingLimit * quarters.at(static_cast<std::size_t>(request.urgency)) / 4;
    if (this->waiters.size() < std::max<std::size_t>(places, 1) || this->displaceFor(request.urgency))
        return std::nullopt;
    return this->overloaded(request, "too many requests wait for an executor");
}

bool Gate::displaceFor(config::Urgency urgency)
{
    Waiter* victim = nullptr;
    for (Waiter& waiter : this->waiters) {
        if (waiter.slot || waiter.refused || !lessUrgent(waiter.request.urgency, urgency))
            continue;
        if (!victim || !lessUrgent(victim->request.urgency, waiter.request.urgency))
            victim = &waiter;
    }
    if (!victim)
        return false;
    victim->refused = true;
    victim->changed.notify_one();
    return true;
}

Millis Gate::expectedWait(const SlotRequest& request) const
{
    const ServiceLoad load = this->table.load(request.service);
    const auto ahead = std::count_if(this->waiters.begin(), this->waiters.end(), [&](const Waiter& waiter) {
        return waiter.request.service == request.service && !lessUrgent(waiter.request.urgency, request.urgency);
    });
    return static_cast<Millis>(static_cast<double>(ahead + 1) * load.latencyMs / static_cast<double>(std::max<std::int64_t>(load.share, 1)));
}

Error Gate::overloaded(const SlotRequest& request, const std::string& why) const
{
    return { ErrorCode::Overloaded, std::string(step), "", why,
        std::chrono::milliseconds(std::max(this->expectedWait(request), shortestRetryAfter)) };
}

} // namespace rattan::entry
