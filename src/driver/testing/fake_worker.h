#pragma once

// A worker in virtual time: leases, epochs and lapsing as docs/STANDINS.md says,
// and a record of what ran. Time only grows.

#include "platform/worker.h"

#include <map>

namespace rattan::driver::testing {

struct FakeLease {
    platform::WorkerLease view;
    Millis expires { 0 };
    Millis startedAt { 0 };
    Millis savedBy { 0 }; // A checkpoint is whole then; 0: none under way.
    Millis runTime { 0 };
};

class FakeWorker {
public:
    std::string name;
    std::int64_t capacity { 8 };
    Millis checkpointTime { 500 };
    bool failsStarts { false };
    std::uint64_t epoch { 0 };
    std::map<std::string, FakeLease> leases;

    // Lets time pass: tasks end, leases lapse.
    void pass(Millis now)
    {
        for (auto& [lease, held] : this->leases) {
            if (!isHeld(held.view.state))
                continue;
            if (held.startedAt > 0 && now >= held.startedAt + held.runTime && held.startedAt + held.runTime <= held.expires) {
                held.view.state = platform::LeaseState::Done;
                held.view.result = "made by " + this->name;
            } else if (now >= held.expires) {
                held.view.state = platform::LeaseState::Lapsed;
            } else if (held.savedBy > 0 && now >= held.savedBy) {
                held.savedBy = 0;
                held.view.state = platform::LeaseState::Running;
                held.view.savedProgress = static_cast<double>(now - held.startedAt) / static_cast<double>(held.runTime);
            }
        }
    }

    Result<platform::WorkerReport> exchange(const platform::WorkerExchange& ask, Millis now)
    {
        this->pass(now);
        if (ask.epoch > 0 && ask.epoch < this->epoch)
            return fail(ErrorCode::Conflict, "worker.exchange", this->name, "stale epoch");
        this->epoch = std::max(this->epoch, ask.epoch);
        platform::WorkerReport report { .worker = this->name, .epoch = this->epoch, .accelerators = this->capacity };
        for (const platform::WorkerOp& op : ask.ops)
            report.results.push_back(this->apply(op, ask.epoch, now));
        for (auto& [lease, held] : this->leases) {
            held.view.remaining = held.expires - now;
            report.leases.push_back(held.view);
        }
        return report;
    }

    bool isRunning(const std::string& lease) const
    {
        const auto found = this->leases.find(lease);
        return found != this->leases.end()
            && (found->second.view.state == platform::LeaseState::Running || found->second.view.state == platform::LeaseState::Checkpointing);
    }

    bool isDone(const std::string& lease) const
    {
        const auto found = this->leases.find(lease);
        return found != this->leases.end() && found->second.view.state == platform::LeaseState::Done;
    }

    std::int64_t taken() const
    {
        std::int64_t sum = 0;
        for (const auto& [lease, held] : this->leases)
            sum += isHeld(held.view.state) ? held.view.accelerators : 0;
        return sum;
    }

private:
    static bool isHeld(platform::LeaseState state) { return state <= platform::LeaseState::Checkpointing; }

    platform::WorkerOpResult apply(const platform::WorkerOp& op, std::uint64_t byEpoch, Millis now)
    {
        using platform::WorkerOpKind;
        const auto found = this->leases.find(op.lease);
        if (op.kind == WorkerOpKind::Stop) {
            this->leases.erase(op.lease);
            return { true };
        }
        if (op.kind == WorkerOpKind::Reserve)
            return this->reserve(op, byEpoch, now);
        if (found == this->leases.end() || !isHeld(found->second.view.state))
            return { false, "no_lease", "" };
        FakeLease& held = found->second;
        held.view.epoch = byEpoch;
        if (op.kind == WorkerOpKind::Start && this->failsStarts)
            return { false, "start_failed", "broken" };
        if (op.kind == WorkerOpKind::Start && held.startedAt == 0) {
            held.view.state = platform::LeaseState::Running;
            held.startedAt = now;
            held.runTime = op.payload.value("run_ms", 1000);
        }
        if (op.kind == WorkerOpKind::Start || op.kind == WorkerOpKind::Renew)
            held.expires = now + op.ttl;
        if (op.kind == WorkerOpKind::Checkpoint) {
            held.view.state = platform::LeaseState::Checkpointing;
            held.savedBy = now + this->checkpointTime;
        }
        return { true };
    }

    platform::WorkerOpResult reserve(const platform::WorkerOp& op, std::uint64_t byEpoch, Millis now)
    {
        const auto found = this->leases.find(op.lease);
        if (found != this->leases.end())
            return { isHeld(found->second.view.state), "already_leased", "" };
        if (this->taken() + op.accelerators > this->capacity)
            return { false, "no_room", "" };
        FakeLease held { .expires = now + op.ttl };
        held.view = { .lease = op.lease, .epoch = byEpoch, .accelerators = op.accelerators, .note = op.note };
        this->leases[op.lease] = held;
        return { true };
    }
};

} // namespace rattan::driver::testing
