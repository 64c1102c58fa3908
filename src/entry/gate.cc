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

Result<Slot> Gate::acquire(const SlotRequest& wanted)
{
    std::unique_lock lock(this->mutex);
    SlotRequest request = wanted;
    // Once every executor was tried, the first ones may be asked again.
    if (static_cast<std::int64_t>(request.excluded.size()) >= this->table.load(request.service).executors)
        request.excluded.clear();
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
    // It was let in because half of its time would do. If that proves wrong it is
    // told so while there is time to ask elsewhere.
    const Millis giveUpAt = request.deadline - (request.deadline - this->clock.now()) / 2;
    while (!waiter.slot && !waiter.refused && this->clock.now() < giveUpAt) {
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
    return fail(this->overloaded(request, "no executor became free in half of the time given"));
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
    this->listRead = true;
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

bool Gate::listed() const
{
    const std::lock_guard lock(this->mutex);
    return this->listRead;
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
    this->given[request.service].at(static_cast<std::size_t>(request.urgency)).note(this->clock.now());
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
    if (this->expectedWait(request) * 2 >= request.deadline - this->clock.now())
        return this->overloaded(request, "the wait for an executor is longer than the deadline");
    const std::size_t places = this->waitingLimit * quarters.at(static_cast<std::size_t>(request.urgency)) / 4;
    if (this->waiters.size() < std::max<std::size_t>(places, 1) || this->displaceFor(request.urgency))
        return std::nullopt;
    // Patient requests keep a few places beside the others, or the slots set aside
    // for them would find nobody waiting.
    if (request.urgency == config::Urgency::Patient
        && this->countWaiting(request.service, config::Urgency::Patient, config::Urgency::Patient) < this->waitingLimit / leastUrgentEvery)
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
    const auto waitBehind = [](std::size_t ahead, double rate) { return static_cast<Millis>(static_cast<double>(ahead + 1) * 1000 / rate); };
    const Millis inTurn = waitBehind(this->countWaiting(request.service, request.urgency, config::Urgency::Urgent), this->rateLeftFor(request));
    if (request.urgency != config::Urgency::Patient)
        return inTurn;
    // Patient requests have one slot in sixteen to themselves.
    const std::size_t alike = this->countWaiting(request.service, config::Urgency::Patient, config::Urgency::Patient);
    return std::min(inTurn, waitBehind(alike, this->capacityOf(request.service) / leastUrgentEvery));
}

std::size_t Gate::countWaiting(const std::string& service, config::Urgency least, config::Urgency most) const
{
    return static_cast<std::size_t>(std::count_if(this->waiters.begin(), this->waiters.end(), [&](const Waiter& waiter) {
        return waiter.request.service == service && !lessUrgent(waiter.request.urgency, least) && !lessUrgent(most, waiter.request.urgency);
    }));
}

double Gate::capacityOf(const std::string& service) const
{
    const ServiceLoad load = this->table.load(service);
    return static_cast<double>(std::max<std::int64_t>(load.share, 1)) * 1000 / std::max(load.latencyMs, 1.0);
}

// What the executors can do in a second, less what more urgent requests have
// taken lately: those still to come will go first as well. Counting only those
// that wait now, patient requests were let in and starved to their deadlines.
double Gate::rateLeftFor(const SlotRequest& request) const
{
    const double capacity = this->capacityOf(request.service);
    double left = capacity;
    if (const auto found = this->given.find(request.service); found != this->given.end()) {
        for (std::size_t i = 0; i < static_cast<std::size_t>(request.urgency); ++i)
            left -= found->second.at(i).perSecond(this->clock.now());
    }
    return std::max(left, capacity / leastUrgentEvery);
}

Error Gate::overloaded(const SlotRequest& request, const std::string& why) const
{
    return { ErrorCode::Overloaded, std::string(step), "", why,
        std::chrono::milliseconds(std::max(this->expectedWait(request), shortestRetryAfter)) };
}

} // namespace rattan::entry
