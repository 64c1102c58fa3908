// Polls: which workers are polled, and in which order if more polls are due than are sent per
// turn. The worker that has waited longest goes first, so that no worker starves however many
// are due: the leases of a worker that is not polled expire, and the planner does not receive
// its ends.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <tuple>

namespace rattan::tasks {

using namespace detail;

namespace {

    // How far a poll that is expected to free resources is moved ahead of others.
    constexpr Millis expectedEndLead = 400;

    // How far idle workers are moved behind others: after a takeover all polls are due at once.
    constexpr Millis idleDelay = 300;

    constexpr Millis firstSortTime = -1; // Before all others.

} // namespace

// Whether a stop was answered, or a start refused as superseded, since the last poll was sent: the
// next poll shows an end, or that the run cannot start any more.
bool TaskPlanner::isEndExpected(const Worker& worker)
{
    return std::any_of(worker.placedRuns.begin(), worker.placedRuns.end(), [&](const auto& row) { return row.second.startRuledOutAt > 0 && row.second.startRuledOutAt >= worker.pollSentAt; });
}

bool TaskPlanner::isLeaseHalfOver(const Worker& worker, Millis now) const
{
    return worker.hasAnswered && worker.needsLease() && now + this->options.maxLease / 2 >= worker.leaseEndsBy;
}

// Whether the end of a run whose stop was answered must have been listed by now, but no poll that
// was sent since then has been answered.
bool TaskPlanner::isEndOverdue(const Worker& worker, const PlacedRun& placedRun, Millis now) const
{
    const Millis endsBy = placedRun.startRuledOutAt + this->options.stopTimeout;
    return placedRun.phase == RunPhase::Running && placedRun.startRuledOutAt > 0 && now > endsBy && worker.incarnationConfirmedAt <= endsBy;
}

// Whether a poll is needed that does not wait for the pending one. The next poll settles a start
// that was refused as superseded or whose stop was answered, but the pending poll may be held open
// until a run ends, or be lost, which would delay the task. Nor does it wait for an earlier end of
// the worker to become durable.
bool TaskPlanner::isConcurrentPollDue(const Worker& worker, Millis now) const
{
    if (worker.quickPollInFlight)
        return false;
    if (worker.hasAnswered && !worker.silent && this->isInDoubtedDomain(worker, now))
        return true;
    const bool hasOverdueEnd = now >= worker.nextPollAt && std::any_of(worker.placedRuns.begin(), worker.placedRuns.end(), [&](const auto& row) { return this->isEndOverdue(worker, row.second, now); });
    if (hasOverdueEnd && !this->isPollDue(worker, now))
        return true;
    if (!worker.pollInFlight)
        return false;
    return std::any_of(worker.placedRuns.begin(), worker.placedRuns.end(), [&](const auto& row) {
        const PlacedRun& placedRun = row.second;
        const bool awaitsSettling = placedRun.phase == RunPhase::Starting && placedRun.startRuledOutAt > 0 && placedRun.startRuledOutAt >= worker.pollSentAt;
        return awaitsSettling || (!worker.silent && this->isSurvivalCheckDue(placedRun, now));
    });
}

bool TaskPlanner::isPollDue(const Worker& worker, Millis now) const
{
    if (worker.pollInFlight || now < worker.nextPollAt)
        return false;
    const bool isResponsive = worker.hasAnswered && !worker.silent;
    // Its lease can't be renewed before a record is durable, so it would answer at once again and again.
    if (isResponsive && !this->mayGrantLease(worker) && now < worker.pollSentAt + minPollBackoff)
        return false;
    const bool ackDue = worker.durableUpTo > worker.acknowledgedUpTo && worker.ackDueBy > 0 && now >= worker.ackDueBy;
    if (isResponsive && !worker.needsLease() && !ackDue)
        return false;
    // Not while an end is not durable yet, since the worker would immediately answer with it again,
    // unless the lease must be renewed.
    return !isResponsive || worker.handledUpTo <= worker.durableUpTo || now + this->options.maxLease / 2 >= worker.leaseEndsBy;
}

// Adds a poll of the worker. A lease that has expired is not renewed: the poll then only requests
// the state of the runs.
void TaskPlanner::addPoll(Worker& worker, Millis now, Orders& orders) const
{
    const bool renewsLease = worker.hasAnswered && !worker.silent && worker.needsLease() && now < worker.leaseEndsBy && this->mayGrantLease(worker);
    worker.pollInFlight = true;
    worker.pollSentAt = now;
    // What the worker has confirmed is not acknowledged again: unanswered, it would be in doubt.
    worker.ackInFlight = worker.isIncarnationProven() && worker.durableUpTo > worker.acknowledgedUpTo ? worker.durableUpTo : 0;
    worker.ackDueBy = 0;
    if (renewsLease)
        this->grantLease(worker, now);
    orders.polls.push_back({ worker.description.incarnation, worker.description.address, worker.ackInFlight, renewsLease ? longPollWait : 0, renewsLease });
}

void TaskPlanner::addConcurrentPoll(Worker& worker, Orders& orders)
{
    worker.quickPollInFlight = true;
    orders.polls.push_back({ worker.description.incarnation, worker.description.address, 0, 0, false, true });
}

void TaskPlanner::makePolls(Millis now, Orders& orders)
{
    this->duePolls.clear();
    const bool hasWaitingUnits = !this->waitingUnits.empty();
    const bool canPollIdle = hasWaitingUnits || now >= this->nextIdlePollsAt;
    std::size_t idlePolls = 0;
    for (const auto& [id, worker] : this->workers) {
        if (worker.description.address.empty() || (!worker.listed && worker.placedRuns.empty()))
            continue; // The address of a worker known only from a record comes with the list of workers.
        if (this->isConcurrentPollDue(worker, now))
            this->duePolls.push_back({ this->isEndExpected(worker) ? now - expectedEndLead : now, id, true });
        if (!this->isPollDue(worker, now))
            continue;
        Millis sortTime = worker.nextPollAt;
        if (worker.placedRuns.empty()) {
            if (!canPollIdle || (!hasWaitingUnits && idlePolls == maxIdlePollsPerTurn))
                continue;
            ++idlePolls;
            sortTime += idleDelay;
        } else if (this->isLeaseHalfOver(worker, now)) {
            sortTime = firstSortTime;
        } else if (isEndExpected(worker)) {
            sortTime -= expectedEndLead;
        }
        this->duePolls.push_back({ sortTime, id, false });
    }
    if (idlePolls > 0)
        this->nextIdlePollsAt = now + idlePollInterval;
    std::sort(this->duePolls.begin(), this->duePolls.end(), [](const DuePoll& a, const DuePoll& b) { return std::tie(b.sortTime, b.worker) < std::tie(a.sortTime, a.worker); });
    this->sendDuePolls(now, orders);
}

void TaskPlanner::sendDuePolls(Millis now, Orders& orders)
{
    while (!this->duePolls.empty() && orders.polls.size() < maxPollsPerTurn) {
        const DuePoll due = std::move(this->duePolls.back());
        this->duePolls.pop_back();
        const auto found = this->workers.find(due.worker);
        if (found == this->workers.end())
            continue;
        Worker& worker = found->second;
        if (due.concurrent && this->isConcurrentPollDue(worker, now))
            addConcurrentPoll(worker, orders);
        else if (!due.concurrent && this->isPollDue(worker, now))
            this->addPoll(worker, now, orders);
    }
}

Orders TaskPlanner::takeDuePolls(Millis now)
{
    Orders orders;
    this->sendDuePolls(now, orders);
    return orders;
}

} // namespace rattan::tasks
