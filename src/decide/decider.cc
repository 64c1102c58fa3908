#include "decide/decider.h"

#include "decide/check.h"
#include "decide/engine.h"
#include "decide/fragmentation.h"

#include <fmt/format.h>

#include <algorithm>

namespace rattan::decide {

namespace {

    // Why a waiting job waits, in terms that the operators' text uses.
    std::string waitsFor(const detail::Engine& engine, const detail::JobRecord& job)
    {
        const detail::GangShape shape = job.shape();
        const std::string wanted = fmt::format("{} members of {} accelerators within one {}", shape.members,
            shape.perMember.accelerators, nameOf(shape.adjacency));
        if (job.state == JobState::Claiming)
            return fmt::format("{} gangs to leave the workers that it will get",
                job.right == Right::Guaranteed ? "borrowing" : "later");
        if (engine.isPaused())
            return "the planner to learn what its workers run";
        if (!engine.withinLimit(job))
            return "other jobs of its workspace to end: its most_accelerators is reached";
        if (job.failures > 0 && !engine.mayStart(job))
            return fmt::format("its next attempt, after {} failed ones", job.failures);
        if (engine.book.of(job.spec.workspace).empty())
            return fmt::format("{} to be free; its workspace is guaranteed nothing", wanted);
        if (!job.evictable(engine.options.borrowCheckpointLimit))
            return fmt::format("{} in its workspace's guarantees or outside all guarantees: it may not borrow, as it can "
                               "be neither checkpointed in time nor stopped",
                wanted);
        return fmt::format("{} to be free, in its workspace's guarantees or to borrow", wanted);
    }

} // namespace

Decider::Decider(const Options& options)
    : inner(std::make_unique<detail::Engine>(options))
{
}

Decider::~Decider() = default;
Decider::Decider(Decider&&) noexcept = default;
Decider& Decider::operator=(Decider&&) noexcept = default;

std::vector<Action> Decider::step(const Event& event, Millis now) { return this->inner->step(event, now); }
void Decider::pause(bool hold) { this->inner->pause(hold); }
Millis Decider::nextWake() const { return this->inner->nextWake(); }

std::optional<JobStatus> Decider::job(JobId id) const
{
    const detail::JobRecord* job = this->inner->find(id);
    if (!job)
        return std::nullopt;
    JobStatus status { .job = id, .workspace = job->spec.workspace, .state = job->state, .attempt = job->attempt, .right = job->right, .submittedAt = job->spec.submittedAt };
    if (job->holds()) {
        status.placements = job->placements;
        status.startedAt = job->startedAt;
    } else {
        status.waitsFor = waitsFor(*this->inner, *job);
    }
    return status;
}

std::vector<JobId> Decider::jobsOf(WorkspaceId workspace, std::size_t limit) const
{
    std::vector<JobId> found;
    for (const auto& [id, job] : this->inner->jobs) {
        if (job.submitted && job.spec.workspace == workspace)
            found.push_back(id);
    }
    std::sort(found.begin(), found.end());
    found.resize(std::min(found.size(), limit));
    return found;
}

std::vector<WorkspaceStatus> Decider::workspaces() const
{
    std::map<WorkspaceId, WorkspaceStatus> rows;
    const auto rowOf = [&](WorkspaceId id) -> WorkspaceStatus& {
        rows[id].workspace = id;
        return rows[id];
    };
    for (const auto& [id, record] : this->inner->workspaces) {
        WorkspaceStatus& row = rowOf(id);
        row.guaranteedAccelerators = this->inner->book.unitsOf(id);
        row.usedAccelerators = record.used;
        row.borrowedAccelerators = record.borrowed;
        row.running = record.running;
    }
    for (const Urgency rank : { Urgency::Urgent, Urgency::Ordinary, Urgency::Patient }) {
        for (const auto& [id, line] : this->inner->queue.linesOf(rank))
            rowOf(id).queued.at(static_cast<std::size_t>(rank)) += static_cast<std::int64_t>(line.size());
    }
    for (const detail::SlotId id : this->inner->book.unmet())
        ++rowOf(this->inner->book.all()[id].workspace).unmetShapes;
    std::vector<WorkspaceStatus> list;
    list.reserve(rows.size());
    for (const auto& [id, row] : rows)
        list.push_back(row);
    return list;
}

std::vector<RackStatus> Decider::racks() const
{
    std::map<RackId, RackStatus> rows;
    for (const detail::WorkerRecord& worker : this->inner->workers.all()) {
        if (!worker.present)
            continue;
        RackStatus& row = rows[worker.rack];
        row.rack = worker.rack;
        ++row.workers;
        row.accelerators += worker.capacity.accelerators;
        row.free += worker.usable() ? std::max<std::int64_t>(worker.room().accelerators, 0) : 0;
        row.quarantined += worker.quarantined ? 1 : 0;
    }
    for (const auto& [id, job] : this->inner->jobs) {
        for (const Placement& placement : job.placements) {
            if (job.holds() && job.right == Right::Borrowed)
                rows[this->inner->workers[placement.worker].rack].borrowed += placement.accelerators;
        }
    }
    std::vector<RackStatus> list;
    list.reserve(rows.size());
    for (const auto& [id, row] : rows)
        list.push_back(row);
    return list;
}

std::vector<WorkerId> Decider::quarantined() const { return this->inner->health.list(); }
double Decider::fragmentation() const { return detail::fragmentationOf(*this->inner, detail::FragmentationView::Wanted); }
std::vector<std::string> Decider::violations() const { return detail::checkState(*this->inner); }

} // namespace rattan::decide
