// A gang's life as a small state machine.
//
// Why no part runs for long without the rest: a renewal carries the end of its
// round as its lifetime, and a round opens only when every member has confirmed
// the round before. When a member is lost, no further round opens, so every
// other lease ends with the round that was open, however often a renewal is
// sent again within it. Stopping is the faster way; lapsing is the certain one.

#include "driver/gang.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace rattan::driver {

namespace {

    constexpr std::array<std::string_view, 8> phaseNames { "reserving", "starting", "adopting", "running", "saving", "finished",
        "stopping", "gone" };
    constexpr Millis progressPeriod = 250;

    std::vector<MemberState> mergedByWorker(const std::vector<GangMember>& members)
    {
        std::vector<MemberState> states;
        for (const GangMember& member : members) {
            const auto same = std::find_if(states.begin(), states.end(),
                [&member](const MemberState& state) { return state.member.worker == member.worker; });
            if (same == states.end()) {
                states.push_back({ .member = member });
                continue;
            }
            same->member.accelerators += member.accelerators;
            same->member.cores += member.cores;
            same->member.memoryMb += member.memoryMb;
        }
        return states;
    }

    bool isReady(const MemberState& state)
    {
        return state.phase == MemberPhase::Reserved || state.phase == MemberPhase::Running || state.phase == MemberPhase::Done;
    }

    bool hasStarted(const MemberState& state) { return state.phase == MemberPhase::Running || state.phase == MemberPhase::Done; }

    bool isDone(const MemberState& state) { return state.phase == MemberPhase::Done; }

    bool hasSaved(const MemberState& state)
    {
        return isDone(state) || (state.saveTaken && state.reportedState == platform::LeaseState::Running);
    }

} // namespace

std::string_view nameOf(GangPhase phase) { return phaseNames.at(static_cast<std::size_t>(phase)); }

Gang Gang::start(const GangOrder& order, const KeeperOptions& options, Millis now)
{
    Gang gang;
    gang.gangId = order.id;
    gang.options = options;
    gang.key = order.key;
    gang.workspace = order.workspace;
    gang.payload = order.payload;
    gang.states = mergedByWorker(order.members);
    gang.since = now;
    gang.lastUsage = now;
    return gang;
}

Gang Gang::adopt(const GangOrder& order, const KeeperOptions& options, Millis now)
{
    Gang gang = Gang::start(order, options, now);
    gang.gangPhase = GangPhase::Adopting;
    // Whoever started the gang may have reached any member; each counts as
    // running until its worker says otherwise or was silent for long enough.
    for (MemberState& state : gang.states) {
        state.touched = true;
        state.startSent = true;
        state.lapsesBy = now + options.foreignSilence();
    }
    return gang;
}

void Gang::openRound(Millis now)
{
    if (this->gangPhase != GangPhase::Running && this->gangPhase != GangPhase::Saving)
        return;
    this->tellUsage(now);
    if (!this->roundConfirmed()) {
        this->late = true;
        return;
    }
    this->late = false;
    this->earlierRoundStart = this->roundStart;
    this->roundStart = now;
    ++this->round;
}

void Gang::checkLimits(Millis now, Millis provenAt)
{
    this->provenAt = provenAt;
    const auto lacking = [this](auto&& holds) {
        const auto found = std::find_if_not(this->states.begin(), this->states.end(), holds);
        return found == this->states.end() ? std::string() : found->member.worker;
    };
    switch (this->gangPhase) {
    case GangPhase::Reserving:
        if (now - this->since > this->options.reserveLimit)
            this->endWith(GangEventKind::Failed, lacking(isReady), "reserve_refused: the worker did not reserve in time", now);
        break;
    case GangPhase::Starting:
        if (now - this->since > this->options.startLimit)
            this->endWith(GangEventKind::Failed, lacking(hasStarted), "start_failed: the worker did not start in time", now);
        break;
    case GangPhase::Adopting:
        if (now - this->since > this->options.lease)
            this->endWith(GangEventKind::Failed, lacking(hasStarted), "member_lost: the worker did not show the lease in time", now);
        break;
    case GangPhase::Saving:
        if (now - this->since > this->options.saveLimit)
            this->endWith(GangEventKind::Stopped, "", "stopped before its checkpoint was whole", now);
        [[fallthrough]];
    case GangPhase::Running: {
        // Once the last confirmed round is over, a member that has not
        // confirmed a later one may have lapsed.
        const bool confirmed = this->roundConfirmed();
        const Millis held = confirmed ? this->roundStart : this->earlierRoundStart;
        const auto renewed = [this](const MemberState& state) { return isDone(state) || state.confirmedRound >= this->round; };
        if (now >= held + this->options.lease)
            this->endWith(GangEventKind::Failed, lacking(renewed), "lease_lapsed: the lease was not renewed in time", now);
        break;
    }
    case GangPhase::Finished:
        if (now - this->since > this->options.forgetLimit)
            this->forget(now);
        break;
    case GangPhase::Stopping:
        this->settleStopping(now);
        break;
    case GangPhase::Gone:
        break;
    }
}

void Gang::stop(const std::string& reason, Millis now) { this->endWith(GangEventKind::Stopped, "", reason, now); }

void Gang::failIncomplete(const std::string& reason, Millis now)
{
    this->incomplete = true;
    this->endWith(GangEventKind::Failed, "", reason, now);
}

void Gang::save(const std::string& reason, Millis now)
{
    if (this->gangPhase == GangPhase::Saving)
        return;
    if (this->gangPhase != GangPhase::Running) {
        this->stop(reason, now);
        return;
    }
    this->ending.reason = reason;
    for (MemberState& state : this->states)
        state.saveTaken = false;
    this->enter(GangPhase::Saving, now);
}

void Gang::throttle(std::int64_t sharePercent)
{
    this->share = sharePercent;
    for (MemberState& state : this->states)
        state.throttleTaken = false;
    this->hurry = true;
}

void Gang::resumed(Millis now)
{
    if (this->gangPhase == GangPhase::Reserving || this->gangPhase == GangPhase::Starting)
        this->endWith(GangEventKind::Failed, "", "reserve_refused: the driver was suspended while the gang gathered", now);
}

void Gang::forget(Millis now)
{
    if (this->gangPhase != GangPhase::Finished)
        return;
    this->enter(GangPhase::Stopping, now);
    this->settleStopping(now);
}

std::vector<GangEvent> Gang::takeEvents() { return std::exchange(this->newEvents, {}); }

bool Gang::takeHurry() { return std::exchange(this->hurry, false); }

void Gang::enter(GangPhase phase, Millis now)
{
    this->gangPhase = phase;
    this->since = now;
    this->hurry = true;
}

void Gang::settle(Millis now)
{
    const auto all = [this](auto&& holds) { return std::all_of(this->states.begin(), this->states.end(), holds); };
    if (this->gangPhase == GangPhase::Reserving) {
        this->tellProgress(now);
        if (!all(isReady))
            return;
        this->enter(GangPhase::Starting, now);
        this->round = 1;
        this->roundStart = this->earlierRoundStart = now;
    } else if (this->gangPhase == GangPhase::Starting && all(hasStarted)) {
        this->enter(GangPhase::Running, now);
        this->tell(GangEventKind::Started);
    } else if (this->gangPhase == GangPhase::Adopting && all(hasStarted)) {
        Millis firstLapse = now + this->options.lease;
        for (const MemberState& state : this->states) {
            if (!isDone(state))
                firstLapse = std::min(firstLapse, state.lapsesBy);
        }
        this->enter(GangPhase::Running, now);
        this->round = 1;
        this->roundStart = now;
        this->earlierRoundStart = firstLapse - this->options.lease;
        this->tell(GangEventKind::Started);
    }
    if ((this->gangPhase == GangPhase::Running || this->gangPhase == GangPhase::Saving) && all(isDone))
        this->finish(now);
    else if (this->gangPhase == GangPhase::Saving && all(hasSaved))
        this->endWith(GangEventKind::Stopped, "", this->ending.reason, now);
    else if (this->gangPhase == GangPhase::Stopping)
        this->settleStopping(now);
    else if (this->late && this->roundConfirmed())
        this->catchUp(now);
}

// Lost answers kept the last period from opening a round. Waiting for the next
// one would leave the gang a single try before its leases end.
void Gang::catchUp(Millis now)
{
    this->openRound(now);
    this->hurry = true;
}

// An end is told only once no member can be running: a planner that hears it
// may start the job again elsewhere, and a member still running would then do
// the same work beside the new attempt. That a lease lapsed is certain only if
// nobody else renews it: a driver that was suspended, and replaced meanwhile,
// would else report jobs as failed that its successor keeps running.
void Gang::settleStopping(Millis now)
{
    const Millis certain = std::min(now, this->provenAt);
    const auto over = [this, certain](const MemberState& state) {
        return state.phase == MemberPhase::Gone || certain >= state.lapsesBy + this->options.clockMargin;
    };
    const bool allKnown = !this->incomplete || this->provenAt > 0;
    const bool nobodyRuns = allKnown && std::all_of(this->states.begin(), this->states.end(), [&over](const MemberState& state) { return !state.startSent || over(state); });
    if (nobodyRuns && !this->endingTold) {
        this->endingTold = true;
        this->ending.progress = this->keptProgress();
        this->newEvents.push_back(this->ending);
    }
    if (this->endingTold && std::all_of(this->states.begin(), this->states.end(), over))
        this->gangPhase = GangPhase::Gone;
}

void Gang::endWith(GangEventKind kind, const std::string& worker, const std::string& reason, Millis now)
{
    if (this->gangPhase >= GangPhase::Finished)
        return;
    this->ending = { .kind = kind, .id = this->gangId, .worker = worker, .reason = reason };
    for (MemberState& state : this->states) {
        if (!state.touched)
            state.phase = MemberPhase::Gone;
    }
    this->enter(GangPhase::Stopping, now);
    this->settleStopping(now);
}

void Gang::loseMember(std::size_t member, const std::string& reason, Millis now)
{
    this->endWith(GangEventKind::Failed, this->states[member].member.worker, reason, now);
}

void Gang::finish(Millis now)
{
    this->enter(GangPhase::Finished, now);
    this->endingTold = true;
    this->tell(GangEventKind::Finished);
    this->newEvents.back().progress = 1;
    const auto said = std::find_if(this->states.begin(), this->states.end(), [](const MemberState& state) { return !state.result.empty(); });
    if (said != this->states.end())
        this->newEvents.back().result = said->result;
}

void Gang::tell(GangEventKind kind, const std::string& worker, const std::string& reason)
{
    this->newEvents.push_back({ .kind = kind, .id = this->gangId, .worker = worker, .reason = reason, .membersReady = static_cast<std::uint32_t>(this->readyMembers()) });
}

void Gang::tellUsage(Millis now)
{
    if (now - this->lastUsage < this->options.usagePeriod)
        return;
    this->lastUsage = now;
    this->tell(GangEventKind::Usage);
    GangEvent& event = this->newEvents.back();
    event.progress = this->keptProgress();
    for (const MemberState& state : this->states) {
        event.usedAccelerators += state.usedAccelerators;
        event.usedMemoryMb += state.usedMemoryMb;
    }
}

void Gang::tellProgress(Millis now)
{
    const auto ready = static_cast<std::uint32_t>(this->readyMembers());
    if (ready == this->readyTold || (now - this->lastProgress < progressPeriod && ready < this->states.size()))
        return;
    this->readyTold = ready;
    this->lastProgress = now;
    this->tell(GangEventKind::Progress);
}

bool Gang::roundConfirmed() const
{
    return std::all_of(this->states.begin(), this->states.end(),
        [this](const MemberState& state) { return isDone(state) || state.confirmedRound >= this->round; });
}

std::size_t Gang::readyMembers() const
{
    return static_cast<std::size_t>(std::count_if(this->states.begin(), this->states.end(), isReady));
}

double Gang::keptProgress() const
{
    double kept = 1;
    for (const MemberState& state : this->states)
        kept = std::min(kept, state.savedProgress);
    return this->states.empty() ? 0 : kept;
}

} // namespace rattan::driver
