#include "driver/runtime.h"

#include "base/random.h"
#include "driver/events.h"

#include <algorithm>

namespace rattan::driver {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t incarnationDigits = 16;

    std::vector<platform::Instance> workersOf(const std::vector<platform::Instance>& instances, const std::string& domain)
    {
        std::vector<platform::Instance> workers;
        std::copy_if(instances.begin(), instances.end(), std::back_inserter(workers), [&domain](const platform::Instance& instance) {
            return instance.kind == platform::InstanceKind::Worker && instance.domain == domain;
        });
        return workers;
    }

} // namespace

Runtime::Runtime(DriverOptions options, const Clock& clock, platform::Workers& workers, platform::InstanceList& list)
    : options(std::move(options))
    , clock(clock)
    , workers(workers)
    , list(list)
    , ownIncarnation(randomHex(incarnationDigits))
    , keeper(this->options.keeper)
    , asks(static_cast<std::size_t>(this->options.exchangeThreads))
{
}

Runtime::~Runtime() { this->stop(); }

void Runtime::start()
{
    this->threads.emplace_back([this] { this->schedule(); });
    this->threads.emplace_back([this] { this->readList(); });
    for (std::int64_t i = 0; i < this->options.exchangeThreads; ++i)
        this->threads.emplace_back([this] { this->exchange(); });
}

Result<std::vector<GangEvent>> Runtime::take(const std::string& planner, std::uint64_t epoch, std::uint64_t acknowledged,
    const std::vector<GangOrder>& orders)
{
    const std::lock_guard lock(this->mutex);
    const std::uint64_t before = this->keeper.currentEpoch();
    BOOST_LEAF_CHECK(this->keeper.take(planner, epoch, acknowledged, orders, this->clock.now()));
    if (this->keeper.currentEpoch() != before)
        logEvent(epochTaken, { { "epoch", epoch }, { "planner", planner } });
    if (!orders.empty()) {
        this->nudged = true;
        this->changed.notify_all();
    }
    return this->keeper.events();
}

Result<Survey> Runtime::survey(const std::string& planner, std::uint64_t epoch)
{
    const std::lock_guard lock(this->mutex);
    const std::uint64_t before = this->keeper.currentEpoch();
    BOOST_LEAF_AUTO(survey, this->keeper.survey(planner, epoch, this->clock.now()));
    if (this->keeper.currentEpoch() != before)
        logEvent(epochTaken, { { "epoch", epoch }, { "planner", planner } });
    this->nudged = true;
    this->changed.notify_all();
    return survey;
}

void Runtime::beginDrain()
{
    const std::lock_guard lock(this->mutex);
    this->draining = true;
    this->keeper.drain();
}

void Runtime::waitDrained()
{
    std::unique_lock lock(this->mutex);
    this->drained.wait_for(lock, milliseconds(this->options.drainMs), [this] { return this->keeper.gangCount() == 0 || this->stopping; });
}

void Runtime::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->ended.notify_all();
    this->drained.notify_all();
    this->asks.close();
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void Runtime::schedule()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const Millis now = this->clock.now();
        if (const Millis gap = this->keeper.advance(now); gap > 0)
            logEvent(driverSuspended, { { "for_ms", gap } });
        this->pushAsks(now);
        this->logNewEvents();
        this->nudged = false;
        this->changed.wait_for(lock, milliseconds(GangKeeper::scanPeriod), [this] { return this->stopping || this->nudged; });
    }
}

// Only as many as the exchange threads can take at once, so that an exchange is
// built from the newest state and not long before it is sent.
void Runtime::pushAsks(Millis now)
{
    const auto room = static_cast<std::size_t>(this->options.exchangeThreads);
    while (this->asks.size() < room) {
        auto ask = this->keeper.nextAsk(now);
        if (!ask)
            return;
        const WorkerAsk copy = *ask;
        if (!this->asks.tryPush(std::move(*ask)))
            this->keeper.failed(copy, Error { ErrorCode::Unavailable, "driver.exchange", copy.worker, "stopping", {} }, now);
    }
}

void Runtime::exchange()
{
    while (auto ask = this->asks.pop()) {
        const Millis left = ask->validUntil - this->clock.now();
        // A process that was suspended here would send a renewal whose lifetime
        // was worked out long ago; nothing of it is sent.
        if (left <= 0) {
            this->settle(*ask, { std::nullopt, Error { ErrorCode::Unavailable, "driver.exchange", ask->worker, "out of date", {} } });
            continue;
        }
        this->settle(*ask, attempt([&] { return this->workers.exchange(ask->address, ask->exchange, milliseconds(left)); }));
    }
}

void Runtime::settle(const WorkerAsk& ask, Attempt<platform::WorkerReport> report)
{
    const std::lock_guard lock(this->mutex);
    const Millis now = this->clock.now();
    const bool wasReachable = this->keeper.isReachable(ask.worker);
    if (report)
        this->keeper.answered(ask, *report, now);
    else
        this->keeper.failed(ask, report.error, now);
    if (wasReachable && !report && report.error.code != ErrorCode::Conflict)
        logEvent(workerSilent, { { "worker", ask.worker }, { "message", report.error.message } });
    else if (!wasReachable && report)
        logEvent(workerBack, { { "worker", ask.worker } });
    // What the answer led to goes out from here: waking the scheduler for each
    // answer costs more than the work it would find.
    this->pushAsks(now);
    if (this->draining && this->keeper.gangCount() == 0)
        this->drained.notify_all();
}

void Runtime::readList()
{
    bool reachable = true;
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        const auto instances = attempt([this] { return this->list.instances(); });
        lock.lock();
        if (instances) {
            this->keeper.listWorkers(workersOf(*instances, this->options.domain), this->clock.now());
            this->nudged = true;
            this->changed.notify_all();
        } else if (reachable) {
            logEvent(listUnreachable, { { "peer", instances.error.peer }, { "message", instances.error.message } });
        }
        reachable = instances.value.has_value();
        this->ended.wait_for(lock, milliseconds(this->options.listMs), [this] { return this->stopping; });
    }
}

void Runtime::logNewEvents()
{
    if (this->keeper.lastEvent() <= this->loggedEvent)
        return;
    for (const GangEvent& event : this->keeper.events()) {
        if (event.number <= this->loggedEvent)
            continue;
        this->loggedEvent = event.number;
        if (event.kind == GangEventKind::EpochRefused)
            logEvent(epochRefused, { { "worker", event.worker }, { "reason", event.reason } });
        else if (event.kind == GangEventKind::Started)
            logEvent(gangStarted, { { "lease", leaseName(event.id) } });
        else if (event.kind != GangEventKind::Progress && event.kind != GangEventKind::Usage)
            logEvent(gangEnded, { { "lease", leaseName(event.id) }, { "outcome", nameOf(event.kind) }, { "worker", event.worker }, { "reason", event.reason } });
    }
}

} // namespace rattan::driver
