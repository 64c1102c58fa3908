// Evacuations of failure domains: what operators ask for, and which orders it forbids.

#include "instance/control_loop.h"
#include "instance/events.h"

namespace rattan::instance {

namespace {

    // The part of the bound after which a read of the operators' requests is too old to start
    // tasks. The rest is the time that a start needs to reach its worker.
    constexpr double maxRequestAgeShare = 0.8;

} // namespace

void ControlLoop::handleEvacuationRecord(const std::string& domain, const StoreRecord& record, Millis now)
{
    if (!record.value.empty()) {
        if (!this->evacuatedDomains.request(domain, record.offset, now))
            return;
        logEvent(events::evacuationBegun, { { "domain", domain }, { "offset", record.offset } });
        return this->evacuationsChanged(now);
    }
    const auto active = this->evacuatedDomains.all().find(domain);
    const Millis since = active == this->evacuatedDomains.all().end() ? now : active->second;
    if (!this->evacuatedDomains.withdraw(domain, record.offset))
        return;
    this->endEvacuation(domain, since, now);
    this->evacuationsChanged(now);
}

void ControlLoop::endEvacuation(const std::string& domain, Millis since, Millis now)
{
    logEvent(events::evacuationEnded, { { "domain", domain }, { "in_force_ms", now - since } });
    this->metrics.set("rattan_evacuated_runs", { { "domain", domain } }, 0);
}

void ControlLoop::endEvacuationLoad(Millis now)
{
    if (!this->evacuatedDomains.isLoading())
        return;
    const auto before = this->evacuatedDomains.all();
    const std::vector<std::string> ended = this->evacuatedDomains.endLoad();
    for (const std::string& domain : ended)
        this->endEvacuation(domain, before.at(domain), now);
    if (!ended.empty())
        this->evacuationsChanged(now);
}

void ControlLoop::evacuationsChanged(Millis now)
{
    this->metrics.set("rattan_evacuated_domains", {}, static_cast<double>(this->evacuatedDomains.all().size()));
    if (this->leadership)
        this->leadership->setEvacuatedDomains(this->evacuatedDomains, now);
}

// Whether this instance has read the operators' requests recently enough to start tasks. Always
// true where operators make no such requests.
bool ControlLoop::areEvacuationsKnown(Millis now) const
{
    const Millis bound = this->settings.evacuationBound;
    return bound == 0 || now - this->configurationReader.confirmedAt() <= static_cast<Millis>(static_cast<double>(bound) * maxRequestAgeShare);
}

// Checked when an order leaves for its worker, since it may have waited behind others or been in
// transit while a request arrived.
bool ControlLoop::maySend(const delivery::WorkerCall& call) const
{
    const auto* start = std::get_if<tasks::StartOrder>(&call.order);
    return !start || (this->areEvacuationsKnown(this->clock.now()) && !this->evacuatedDomains.contains(start->domain));
}

} // namespace rattan::instance
