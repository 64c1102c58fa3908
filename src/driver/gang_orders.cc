// What each kind of order does to the gangs that the keeper holds.

#include "driver/gang_keeper.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::driver {

namespace {

    constexpr std::size_t mostRecent = 8192;
    constexpr std::size_t mostOrphans = 1024; // At one worker.

} // namespace

void GangKeeper::apply(const GangOrder& order, Millis now)
{
    const auto held = this->gangs.find(order.id);
    switch (order.kind) {
    case OrderKind::StartGang:
        this->startGang(order, now);
        break;
    case OrderKind::AdoptGang:
        this->adoptGang(order, now);
        break;
    case OrderKind::StopGang:
        this->stopGang(order, now);
        break;
    case OrderKind::ReleaseOrphan:
        this->releaseOrphan(order, now);
        break;
    case OrderKind::CheckpointGang:
        if (held == this->gangs.end())
            this->stopGang(order, now);
        else
            held->second.gang.save(order.reason, now);
        break;
    case OrderKind::ThrottleGang:
        if (held != this->gangs.end())
            held->second.gang.throttle(std::clamp<std::int64_t>(order.sharePercent, 1, 100));
        break;
    }
    this->pump(order.id, now);
}

void GangKeeper::startGang(const GangOrder& order, Millis now)
{
    if (this->gangs.contains(order.id) || this->recent.contains(order.id))
        return;
    if (order.members.empty() || this->draining) {
        this->log.add({ .kind = GangEventKind::Failed, .id = order.id, .reason = this->draining ? "reserve_refused: the driver is draining" : "reserve_refused: the gang has no members" });
        return;
    }
    this->hold(Gang::start(order, this->options, now), now);
}

void GangKeeper::adoptGang(const GangOrder& order, Millis now)
{
    if (const Gang* known = this->find(order.id)) {
        if (known->phase() == GangPhase::Running)
            this->log.add({ .kind = GangEventKind::Started, .id = order.id });
        return;
    }
    GangOrder whole = order;
    if (whole.members.empty())
        whole.members = this->book.membersOf(order.id);
    if (whole.members.empty()) {
        this->sayUnknown(order);
        return;
    }
    Gang gang = Gang::adopt(whole, this->options, now);
    const std::size_t size = this->book.sizeOf(order.id);
    if (gang.members().size() < size)
        gang.failIncomplete(fmt::format("member_lost: only {} of {} members were found", gang.members().size(), size), now);
    this->hold(std::move(gang), now);
}

// A planner that starts with nothing may stop a gang that it has not adopted.
void GangKeeper::stopGang(const GangOrder& order, Millis now)
{
    if (!this->gangs.contains(order.id)) {
        GangOrder found = order;
        if (found.members.empty())
            found.members = this->book.membersOf(order.id);
        if (found.members.empty() || this->recent.contains(order.id)) {
            this->sayUnknown(order);
            return;
        }
        this->hold(Gang::adopt(found, this->options, now), now);
    }
    const auto held = this->gangs.find(order.id);
    if (held != this->gangs.end())
        held->second.gang.stop(order.reason, now);
}

void GangKeeper::releaseOrphan(const GangOrder& order, Millis now)
{
    std::vector<GangMember> places = order.members;
    if (places.empty())
        places = this->book.membersOf(parseLeaseName(order.lease).value_or(order.id));
    for (const GangMember& place : places) {
        WorkerRecord* record = this->book.obtain(place.worker, place.address);
        if (!record || record->orphans.size() >= mostOrphans || order.lease.empty())
            continue;
        record->orphans.insert(order.lease);
        this->book.markDue(*record, now);
    }
}

void GangKeeper::hold(Gang gang, Millis now)
{
    const GangId id = gang.id();
    for (const MemberState& state : gang.members()) {
        WorkerRecord* record = this->book.obtain(state.member.worker, state.member.address);
        if (!record) {
            this->log.add({ .kind = GangEventKind::Failed, .id = id, .worker = state.member.worker, .reason = "reserve_refused: too many workers are known" });
            return;
        }
    }
    for (const MemberState& state : gang.members())
        this->book.find(state.member.worker)->gangs.insert(id);
    this->gangs.emplace(id, Held { std::move(gang) });
    this->pump(id, now);
}

void GangKeeper::pump(GangId id, Millis now)
{
    const auto held = this->gangs.find(id);
    if (held == this->gangs.end())
        return;
    Gang& gang = held->second.gang;
    for (GangEvent& event : gang.takeEvents()) {
        if (event.kind == GangEventKind::Finished)
            held->second.finishedEvent = this->log.nextNumber();
        this->log.add(std::move(event));
    }
    const bool hurry = gang.takeHurry();
    const bool gone = gang.phase() == GangPhase::Gone;
    if (!hurry && !gone)
        return;
    for (const MemberState& state : gang.members()) {
        WorkerRecord* record = this->book.find(state.member.worker);
        if (record && gone)
            record->gangs.erase(id);
        else if (record && hurry)
            this->book.markDue(*record, now);
    }
    if (!gone)
        return;
    this->gangs.erase(held);
    this->recent.insert(id);
    this->recentOrder.push_back(id);
    if (this->recentOrder.size() > mostRecent) {
        this->recent.erase(this->recentOrder.front());
        this->recentOrder.pop_front();
    }
}

// Leases of a finished gang are kept at the workers until its planner has the
// result, so that a planner that takes over meanwhile still finds it.
void GangKeeper::forgetAcknowledged(Millis now)
{
    std::vector<GangId> known;
    for (const auto& [id, held] : this->gangs) {
        if (held.finishedEvent > 0 && held.finishedEvent <= this->log.acknowledgedNumber())
            known.push_back(id);
    }
    for (const GangId id : known) {
        this->gangs.at(id).gang.forget(now);
        this->pump(id, now);
    }
}

void GangKeeper::sayUnknown(const GangOrder& order)
{
    this->log.add({ .kind = GangEventKind::Stopped, .id = order.id, .reason = "no worker knows the gang" });
}

} // namespace rattan::driver
