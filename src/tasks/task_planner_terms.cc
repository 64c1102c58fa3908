// The terms in force. A job is accepted under the terms of its queue at that time, and the queue may
// change before its tasks start. The terms with the highest configuration version decide, wherever
// they come from: the catalog, the record of another job of the queue, or the progress recorded by
// the previous planner. So a planner with an old catalog never sends a queue back.
//
// A run continues on its service, and its task moves to the queue's service when it restarts. A queue
// that the catalog no longer has keeps its last terms, so that its accepted jobs still run.

#include "tasks/task_planner.h"

#include <fmt/format.h>
#include <utility>

namespace rattan::tasks {

using namespace detail;

void TaskPlanner::applyCatalog(std::shared_ptr<const Catalog> newCatalog)
{
    this->catalog = std::move(newCatalog);
    std::erase_if(this->queueTerms, [&](const auto& row) { return row.second->version <= this->catalog->version; });
    for (const Queue& queue : this->catalog->queues) {
        if (!this->queueTerms.contains(queue.terms.queue))
            this->queueTerms.emplace(queue.terms.queue, std::make_shared<const QueueTerms>(queue.terms));
    }
    this->updateTerms();
    this->pacer.markChanged();
}

// Remembers terms that are newer than the catalog. Returns whether other jobs of the queue need them.
bool TaskPlanner::learnTerms(const std::shared_ptr<const QueueTerms>& terms)
{
    if (terms->version <= this->catalog->version)
        return false;
    std::shared_ptr<const QueueTerms>& known = this->queueTerms[terms->queue];
    if (known && known->version >= terms->version)
        return false;
    known = terms;
    return true;
}

void TaskPlanner::updateTerms()
{
    struct Move {
        std::string from;
        std::string to;
        std::int64_t jobs { 0 };
    };
    std::map<std::string_view, Move> moves; // By queue.
    for (auto& [id, active] : this->jobs) {
        const std::string from = active.terms->service;
        if (!this->updateTerms(active))
            continue;
        Move& move = moves[active.job->terms.queue];
        move = { from, active.terms->service, move.jobs + 1 };
    }
    for (const auto& [queue, move] : moves)
        this->emit(PlanEventKind::QueueMoved, {}, 0, "", fmt::format("queue {}, {} jobs, from service {} to {}", queue, move.jobs, move.from, move.to));
}

// Returns whether the service has changed.
bool TaskPlanner::updateTerms(ActiveJob& active)
{
    const auto known = this->queueTerms.find(active.terms->queue);
    if (isFinal(active.state) || known == this->queueTerms.end() || known->second->version <= active.terms->version || !movesWork(*active.terms, *known->second))
        return false;
    const std::shared_ptr<const QueueTerms> former = std::exchange(active.terms, known->second);
    const bool changesService = former->service != active.terms->service;
    this->markDirty(active.job->id);
    for (auto next = this->units.lower_bound({ active.job->id, 0, 0, wholeGang }); next != this->units.end() && next->first.job == active.job->id; ++next) {
        Unit& unit = next->second;
        unit.terms = active.terms;
        if (changesService)
            unit.fitsTwiceSince = unit.passedOverSince = 0; // Counted on the former service's workers.
        if (unit.state != UnitState::Waiting || former->priority == active.terms->priority)
            continue;
        this->dequeue(unit.key);
        this->enqueue(unit);
    }
    return changesService;
}

// The service whose resources the unit uses, or will use when it starts.
const std::string& TaskPlanner::serviceOf(const Unit& unit) const
{
    if (unit.state == UnitState::Running && !unit.workers.empty()) {
        const auto worker = this->workers.find(unit.workers.front().id);
        if (worker != this->workers.end() && !worker->second.description.service.empty())
            return worker->second.description.service;
    }
    return unit.terms->service;
}

} // namespace rattan::tasks
