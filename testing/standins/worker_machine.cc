// Every exchange first brings all leases up to date, so a lapsed lease is gone
// before anything is asked of it, and only then looks at the epoch and at the
// operations. Progress grows with time, at the speed that throttling leaves.

#include "standins/worker_machine.h"

#include <algorithm>
#include <cmath>

namespace rattan::testing {

using platform::LeaseState;
using platform::WorkerOp;
using platform::WorkerOpKind;
using platform::WorkerOpResult;

namespace {

    constexpr Millis defaultRunTime = 1000;
    constexpr double percent = 100;
    // Progress is a sum of fractions; without this a task could end 1 ms late.
    constexpr double roundingSlack = 1e-6;

    WorkerOpResult refused(const char* code, std::string message) { return { false, code, std::move(message) }; }

    const WorkerOpResult accepted { true, "", "" };

    Millis millisOf(const Json& payload, const char* name, Millis fallback)
    {
        const auto found = payload.is_object() ? payload.find(name) : payload.end();
        return payload.is_object() && found != payload.end() && found->is_number() ? std::max<Millis>(found->get<Millis>(), 0) : fallback;
    }

    std::string textOf(const Json& payload, const char* name)
    {
        const auto found = payload.is_object() ? payload.find(name) : payload.end();
        return payload.is_object() && found != payload.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    bool flagOf(const Json& payload, const char* name)
    {
        const auto found = payload.is_object() ? payload.find(name) : payload.end();
        return payload.is_object() && found != payload.end() && found->is_boolean() && found->get<bool>();
    }

} // namespace

Json toJson(const TaskRun& run)
{
    return { { "lease", run.lease }, { "epoch", run.epoch }, { "holder", run.holder }, { "tag", run.tag },
        { "accelerators", run.accelerators }, { "started", run.started }, { "ended", run.ended }, { "how", run.how } };
}

ExchangeOutcome WorkerMachine::exchange(const platform::WorkerExchange& ask, Millis now)
{
    this->advance(now);
    ExchangeOutcome outcome;
    const bool readsOnly = ask.epoch == 0 && ask.ops.empty();
    outcome.staleEpoch = !readsOnly && ask.epoch < this->highestEpoch;
    if (!outcome.staleEpoch) {
        this->highestEpoch = std::max(this->highestEpoch, ask.epoch);
        for (const WorkerOp& op : ask.ops)
            outcome.report.results.push_back(this->apply(op, ask, now));
        this->advance(now);
    }
    platform::WorkerReport& report = outcome.report;
    report.worker = this->shape.id;
    report.incarnation = this->shape.incarnation;
    report.rack = this->shape.rack;
    report.domain = this->shape.domain;
    report.epoch = this->highestEpoch;
    report.leaving = this->faultSettings.leaving;
    report.accelerators = this->shape.accelerators;
    report.cores = this->shape.cores;
    report.memoryMb = this->shape.memoryMb;
    for (const auto& [id, lease] : this->leases)
        report.leases.push_back(this->view(lease, now));
    return outcome;
}

void WorkerMachine::advance(Millis now)
{
    for (auto it = this->leases.begin(); it != this->leases.end();) {
        this->advanceLease(it->second, now);
        if (!this->holds(it->second) && it->second.ended + keptAfterEnd <= now)
            it = this->leases.erase(it);
        else
            ++it;
    }
}

WorkerOpResult WorkerMachine::apply(const WorkerOp& op, const platform::WorkerExchange& ask, Millis now)
{
    switch (op.kind) {
    case WorkerOpKind::Reserve:
        return this->reserve(op, ask.epoch, now);
    case WorkerOpKind::Start:
        return this->start(op, ask, now);
    case WorkerOpKind::Renew:
    case WorkerOpKind::Checkpoint:
    case WorkerOpKind::Throttle:
        return this->onLive(op, ask.epoch, now);
    case WorkerOpKind::Stop:
        break;
    }
    return this->stop(op.lease, now);
}

WorkerOpResult WorkerMachine::reserve(const WorkerOp& op, std::uint64_t epoch, Millis now)
{
    if (const auto found = this->leases.find(op.lease); found != this->leases.end()) {
        Lease& lease = found->second;
        const bool same = lease.accelerators == op.accelerators && lease.cores == op.cores && lease.memoryMb == op.memoryMb;
        if (!same || !this->holds(lease))
            return refused("already_leased", "lease " + op.lease + " exists with other amounts or has ended");
        lease.expires = now + op.ttl;
        lease.epoch = epoch;
        return accepted;
    }
    if (op.ttl <= 0)
        return refused("bad_op", "ttl_ms must be above zero");
    if (this->faultSettings.leaving)
        return refused("no_room", "the worker is leaving");
    if (op.accelerators > this->shape.accelerators || op.cores > this->shape.cores || op.memoryMb > this->shape.memoryMb)
        return refused("no_room", "more than the worker has");
    if (!this->fits(op) || this->leases.size() >= mostLeases)
        return refused("already_leased", "what is asked for is leased to others");
    Lease lease;
    lease.id = op.lease;
    lease.epoch = epoch;
    lease.accelerators = op.accelerators;
    lease.cores = op.cores;
    lease.memoryMb = op.memoryMb;
    lease.expires = now + op.ttl;
    lease.note = op.note;
    this->leases.emplace(op.lease, std::move(lease));
    return accepted;
}

WorkerOpResult WorkerMachine::start(const WorkerOp& op, const platform::WorkerExchange& ask, Millis now)
{
    const auto found = this->leases.find(op.lease);
    if (found == this->leases.end() || !this->holds(found->second))
        return refused("no_lease", "no live lease " + op.lease);
    Lease& lease = found->second;
    if (op.ttl > 0)
        lease.expires = now + op.ttl;
    if (this->runsTask(lease))
        return accepted;
    lease.epoch = ask.epoch;
    if (this->faultSettings.failEveryStart || this->faultSettings.failStarts > 0) {
        this->faultSettings.failStarts = std::max<std::int64_t>(this->faultSettings.failStarts - 1, 0);
        lease.failure = "the task could not be started";
        this->end(lease, LeaseState::Failed, now, "");
        return refused("start_failed", lease.failure);
    }
    lease.state = LeaseState::Running;
    lease.started = now;
    lease.countedTo = now;
    lease.runTime = millisOf(op.payload, "run_ms", defaultRunTime);
    lease.checkpointTime = millisOf(op.payload, "checkpoint_ms", 0);
    lease.failsAtEnd = flagOf(op.payload, "fail");
    lease.resultText = textOf(op.payload, "result");
    lease.run = this->firstRun + this->taskRuns.size();
    this->taskRuns.push_back({ op.lease, ask.epoch, ask.holder, lease.resultText, lease.accelerators, now, 0, "" });
    if (this->taskRuns.size() > mostRuns) {
        this->taskRuns.pop_front();
        ++this->firstRun;
    }
    return accepted;
}

WorkerOpResult WorkerMachine::onLive(const WorkerOp& op, std::uint64_t epoch, Millis now)
{
    const auto found = this->leases.find(op.lease);
    if (found == this->leases.end() || !this->holds(found->second))
        return refused("no_lease", "no live lease " + op.lease);
    Lease& lease = found->second;
    if (op.kind == WorkerOpKind::Renew) {
        lease.expires = now + op.ttl;
        lease.epoch = epoch;
    } else if (op.kind == WorkerOpKind::Throttle) {
        lease.sharePercent = op.sharePercent;
    } else if (lease.state == LeaseState::Running) {
        lease.state = LeaseState::Checkpointing;
        lease.progressAtCheckpoint = lease.progress;
        lease.checkpointEnds = now + lease.checkpointTime;
    }
    return accepted;
}

WorkerOpResult WorkerMachine::stop(const std::string& id, Millis now)
{
    const auto found = this->leases.find(id);
    if (found == this->leases.end())
        return accepted;
    if (this->runsTask(found->second))
        this->recordEnd(found->second, now, "stopped");
    this->leases.erase(found);
    return accepted;
}

bool WorkerMachine::fits(const WorkerOp& op) const
{
    std::int64_t accelerators = op.accelerators;
    std::int64_t cores = op.cores;
    std::int64_t memoryMb = op.memoryMb;
    for (const auto& [id, lease] : this->leases) {
        if (!this->holds(lease))
            continue;
        accelerators += lease.accelerators;
        cores += lease.cores;
        memoryMb += lease.memoryMb;
    }
    return accelerators <= this->shape.accelerators && cores <= this->shape.cores && memoryMb <= this->shape.memoryMb;
}

bool WorkerMachine::holds(const Lease& lease) const { return lease.state == LeaseState::Reserved || this->runsTask(lease); }

bool WorkerMachine::runsTask(const Lease& lease) const
{
    return lease.state == LeaseState::Running || lease.state == LeaseState::Checkpointing;
}

double WorkerMachine::speed(const Lease& lease) const
{
    return static_cast<double>(lease.sharePercent) / percent * static_cast<double>(this->faultSettings.speedPercent) / percent;
}

void WorkerMachine::advanceLease(Lease& lease, Millis now)
{
    if (!this->holds(lease))
        return;
    const Millis until = std::min(now, lease.expires);
    if (this->runsTask(lease)) {
        const double work = lease.runTime > 0 ? static_cast<double>(lease.runTime) : 1;
        const double left = (1 - lease.progress) * work;
        const double rate = this->speed(lease);
        const Millis finishes = rate > 0 ? lease.countedTo + static_cast<Millis>(std::ceil(left / rate - roundingSlack)) : until + 1;
        lease.progress = std::min(1.0, lease.progress + static_cast<double>(until - lease.countedTo) * rate / work);
        lease.countedTo = until;
        if (lease.state == LeaseState::Checkpointing && lease.checkpointEnds <= until) {
            lease.savedProgress = lease.progressAtCheckpoint;
            lease.state = LeaseState::Running;
        }
        if (finishes <= until) {
            lease.result = lease.failsAtEnd ? "" : lease.resultText;
            lease.failure = lease.failsAtEnd ? "the task failed" : "";
            this->end(lease, lease.failsAtEnd ? LeaseState::Failed : LeaseState::Done, finishes, lease.failsAtEnd ? "failed" : "done");
            return;
        }
    }
    if (lease.expires <= now)
        this->end(lease, LeaseState::Lapsed, lease.expires, "lapsed");
}

void WorkerMachine::end(Lease& lease, LeaseState state, Millis at, const std::string& how)
{
    if (this->runsTask(lease))
        this->recordEnd(lease, at, how);
    lease.state = state;
    lease.ended = at;
}

void WorkerMachine::recordEnd(const Lease& lease, Millis at, const std::string& how)
{
    if (lease.run < this->firstRun)
        return;
    TaskRun& run = this->taskRuns[lease.run - this->firstRun];
    run.ended = at;
    run.how = how;
}

platform::WorkerLease WorkerMachine::view(const Lease& lease, Millis now) const
{
    platform::WorkerLease view;
    view.lease = lease.id;
    view.epoch = lease.epoch;
    view.state = lease.state;
    view.accelerators = lease.accelerators;
    view.cores = lease.cores;
    view.memoryMb = lease.memoryMb;
    view.remaining = this->holds(lease) ? lease.expires - now : 0;
    view.note = lease.note;
    view.progress = lease.progress;
    view.savedProgress = lease.savedProgress;
    view.result = lease.result;
    view.failure = lease.failure;
    if (this->runsTask(lease) && now - lease.started >= usageLag) {
        view.usedAccelerators = lease.accelerators;
        view.usedMemoryMb = lease.memoryMb;
    }
    return view;
}

} // namespace rattan::testing
