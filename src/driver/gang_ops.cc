// What a gang sends to a member, and what it learns from the answer.
//
// A lease's latest end is tracked pessimistically: when an operation that
// extends it is sent, it counts as arriving just before the lease would have
// ended; the answer then gives the true figure. A lost answer leaves the
// pessimistic one.

#include "driver/gang.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::driver {

using platform::LeaseState;
using platform::WorkerOpKind;

namespace {

    std::string refusal(std::string_view reason, const platform::WorkerOpResult& result)
    {
        return fmt::format("{}: {} {}", reason, result.code, result.message);
    }

    bool extendsLease(WorkerOpKind kind)
    {
        return kind == WorkerOpKind::Reserve || kind == WorkerOpKind::Start || kind == WorkerOpKind::Renew;
    }

} // namespace

std::vector<GangOp> Gang::opsFor(std::size_t member, Millis now)
{
    MemberState& state = this->states[member];
    const Millis left = this->roundStart + this->options.lease - now;
    std::vector<GangOp> ops;
    const auto add = [&](WorkerOpKind kind, Millis ttl) { ops.push_back({ this->makeOp(kind, member, ttl), this->round }); };
    switch (this->gangPhase) {
    case GangPhase::Reserving:
        if (state.phase == MemberPhase::Wanted)
            add(WorkerOpKind::Reserve, this->options.reservation());
        break;
    case GangPhase::Starting:
        if (state.phase == MemberPhase::Reserved && left > 0)
            add(WorkerOpKind::Start, left);
        break;
    case GangPhase::Running:
    case GangPhase::Saving:
        if (state.phase != MemberPhase::Running)
            break;
        if (state.confirmedRound < this->round && left > 0)
            add(WorkerOpKind::Renew, left);
        if (!state.throttleTaken)
            add(WorkerOpKind::Throttle, 0);
        if (this->gangPhase == GangPhase::Saving && !state.saveTaken)
            add(WorkerOpKind::Checkpoint, 0);
        break;
    case GangPhase::Stopping:
        if (state.phase != MemberPhase::Gone)
            add(WorkerOpKind::Stop, 0);
        break;
    case GangPhase::Adopting:
    case GangPhase::Finished:
    case GangPhase::Gone:
        break;
    }
    for (const GangOp& sent : ops) {
        state.touched = true;
        state.startSent = state.startSent || sent.op.kind == WorkerOpKind::Start;
        if (extendsLease(sent.op.kind))
            state.lapsesBy = std::max(state.lapsesBy, std::max(state.knownLapse, now + this->options.reply) + sent.op.ttl);
    }
    return ops;
}

void Gang::opAnswered(std::size_t member, const GangOp& sent, const platform::WorkerOpResult& result, Millis now)
{
    MemberState& state = this->states[member];
    if (result.ok && extendsLease(sent.op.kind))
        state.knownLapse = state.lapsesBy = now + sent.op.ttl;
    switch (sent.op.kind) {
    case WorkerOpKind::Reserve:
        if (!result.ok)
            this->loseMember(member, refusal("reserve_refused", result), now);
        else if (this->gangPhase == GangPhase::Reserving)
            state.phase = MemberPhase::Reserved;
        break;
    case WorkerOpKind::Start:
        if (!result.ok) {
            this->loseMember(member, refusal("start_failed", result), now);
        } else if (this->gangPhase == GangPhase::Starting) {
            state.phase = MemberPhase::Running;
            state.confirmedRound = sent.round;
        }
        break;
    case WorkerOpKind::Renew:
        // A member that is done refuses to be renewed; its report decides.
        if (result.ok)
            state.confirmedRound = std::max(state.confirmedRound, sent.round);
        break;
    case WorkerOpKind::Throttle:
        state.throttleTaken = true;
        break;
    case WorkerOpKind::Checkpoint:
        state.saveTaken = true;
        break;
    case WorkerOpKind::Stop:
        if (result.ok && this->gangPhase == GangPhase::Stopping)
            state.phase = MemberPhase::Gone;
        break;
    }
    this->settle(now);
}

void Gang::opUnanswered(std::size_t member, const GangOp& sent, bool mayHaveActed, Millis)
{
    MemberState& state = this->states[member];
    if (!mayHaveActed && extendsLease(sent.op.kind))
        state.lapsesBy = state.knownLapse;
}

void Gang::reported(std::size_t member, const platform::WorkerLease* lease, Millis now)
{
    MemberState& state = this->states[member];
    const bool expected = state.phase == MemberPhase::Reserved || state.phase == MemberPhase::Running
        || this->gangPhase == GangPhase::Adopting;
    if (!lease) {
        if (this->gangPhase == GangPhase::Stopping)
            state.phase = MemberPhase::Gone;
        else if (expected)
            this->loseMember(member, "member_lost: the worker does not know the lease", now);
        this->settle(now);
        return;
    }
    state.reportedState = lease->state;
    state.progress = lease->progress;
    state.savedProgress = lease->savedProgress;
    state.usedAccelerators = lease->usedAccelerators;
    state.usedMemoryMb = lease->usedMemoryMb;
    switch (lease->state) {
    case LeaseState::Reserved:
        if (state.phase == MemberPhase::Running || this->gangPhase == GangPhase::Adopting)
            this->loseMember(member, "member_lost: the lease was reserved and never started", now);
        break;
    case LeaseState::Running:
    case LeaseState::Checkpointing:
        if (this->gangPhase == GangPhase::Adopting) {
            state.phase = MemberPhase::Running;
            state.knownLapse = state.lapsesBy = now + lease->remaining;
        }
        break;
    case LeaseState::Done:
        if (this->gangPhase < GangPhase::Finished && state.startSent) {
            state.phase = MemberPhase::Done;
            state.result = lease->result;
        }
        break;
    case LeaseState::Failed:
        this->loseMember(member, "task_failed: " + (lease->failure.empty() ? std::string("the task failed") : lease->failure), now);
        break;
    case LeaseState::Lapsed:
        this->loseMember(member, "lease_lapsed: the lease lapsed", now);
        break;
    }
    this->settle(now);
}

platform::WorkerOp Gang::makeOp(WorkerOpKind kind, std::size_t member, Millis ttl) const
{
    const GangMember& wanted = this->states[member].member;
    platform::WorkerOp op { .kind = kind, .lease = leaseName(this->gangId), .ttl = ttl };
    if (kind == WorkerOpKind::Reserve) {
        op.accelerators = wanted.accelerators;
        op.cores = wanted.cores;
        op.memoryMb = wanted.memoryMb;
        op.note = this->note(member);
    } else if (kind == WorkerOpKind::Start) {
        op.payload = this->payload;
    } else if (kind == WorkerOpKind::Throttle) {
        op.sharePercent = this->share;
    }
    return op;
}

// Every report brings the notes of all leases back, so a note has a constant
// size: the members are found by the lease's name over all workers, and `size`
// tells whether all of them were found.
Json Gang::note(std::size_t member) const
{
    return { { "job", this->gangId.job }, { "attempt", this->gangId.attempt }, { "key", this->key }, { "workspace", this->workspace },
        { "size", this->states.size() }, { "index", member } };
}

} // namespace rattan::driver
