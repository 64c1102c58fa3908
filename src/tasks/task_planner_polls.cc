// Polls: which workers are asked, and in which order where more are due than are sent at
// once. The worker that has waited longest goes first, so that none is passed over however
// many are due: a worker that is not polled loses its leases, and the planner does not learn
// of the ends there.

#include "tasks/planner_limits.h"
#include "tasks/task_planner.h"

#include <algorithm>
#include <tuple>

namespace rattan::tasks {

using namespace detail;

namespace {

    // A poll that will show room goes ahead of others by this much.
    constexpr Millis endExpectedLead = 400;

    // Idle workers go behind others by this much: after a takeover all are due at once.
    constexpr Millis idleDelay = 300;

    constexpr Millis firstTurn = -1; // Before all others.

} // namespace

// A run whose stop was answered has an end there, or will not begin any more.
bool TaskPlanner::isEndExpected(const Worker& worker)
{
    return std::any_of(worker.placedRuns.begin(), worker.placedRuns.end(), [&](const auto& row) { return row.second.startRuledOutAt > 0 && row.second.startRuledOutAt >= worker.pollSentAt; });
}

bool TaskPlanner::isLeaseHalfOver(const Worker& worker, Millis now) const
{
    return worker.hasAnswered && worker.needsLease() && now + this->options.longestLease / 2 >= worker.leaseEndsBy;
}

// A start whose stop has been answered is settled by the next poll. One that waits
// for an end would hold up its task, so another goes beside it.
bool TaskPlanner::isBesideDue(const Worker& worker, Millis now) const
{
    if (worker.quickPollInFlight)
        return false;
    if (worker.hasAnswered && !worker.silent && this->isDoubted(worker, now))
        return true;
    if (!worker.pollInFlight)
        return false;
    return std::any_of(worker.placedRuns.begin(), worker.placedRuns.end(), [&](const auto& row) {
        const PlacedRun& placedRun = row.second;
        const bool awaitsSettling = placedRun.phase == RunPhase::Starting && placedRun.startRuledOutAt > 0 && placedRun.startRuledOutAt >= worker.pollSentAt;
        return awaitsSettling || (!worker.silent && this->isCheckDue(placedRun, now));
    });
}

bool TaskPlanner::isPollDue(const Worker& worker, Millis now) const
{
    if (worker.pollInFlight || now < worker.nextPollAt)
        return false;
    const bool calm = worker.hasAnswered && !worker.silent;
    const bool ackDue = worker.durableUpTo > worker.acknowledgedUpTo && worker.ackDueBy > 0 && now >= worker.ackDueBy;
    if (calm && !worker.needsLease() && !ackDue)
        return false;
    // An end that is not durable yet would come back at once.
    return !calm || worker.handledUpTo <= worker.durableUpTo || now + this->options.longestLease / 2 >= worker.leaseEndsBy;
}

// A lease that is over already is not renewed: the poll only asks what has become of the runs.
void TaskPlanner::poll(Worker& worker, Millis now, Orders& orders) const
{
    const bool renews = worker.hasAnswered && !worker.silent && worker.needsLease() && now < worker.leaseEndsBy;
    worker.pollInFlight = true;
    worker.pollSentAt = now;
    worker.ackInFlight = worker.isIncarnationProven() ? worker.durableUpTo : 0;
    worker.ackDueBy = 0;
    if (renews)
        this->grantLease(worker, now);
    orders.polls.push_back({ worker.description.incarnation, worker.description.address, worker.ackInFlight, renews ? pollWait : 0, renews });
}

void TaskPlanner::pollBeside(Worker& worker, Orders& orders)
{
    worker.quickPollInFlight = true;
    orders.polls.push_back({ worker.description.incarnation, worker.description.address, 0, 0, false, true });
}

void TaskPlanner::makePolls(Millis now, Orders& orders)
{
    this->duePolls.clear();
    const bool idleWanted = !this->waitingUnits.empty();
    const bool idleMayGo = idleWanted || now >= this->idlePollsFrom;
    std::size_t idle = 0;
    for (const auto& [id, worker] : this->workers) {
        if (worker.description.address.empty() || (!worker.listed && worker.placedRuns.empty()))
            continue; // Of one known only from a record, the list has to tell where it is.
        if (this->isBesideDue(worker, now))
            this->duePolls.push_back({ this->isEndExpected(worker) ? now - endExpectedLead : now, id, true });
        if (!this->isPollDue(worker, now))
            continue;
        Millis turn = worker.nextPollAt;
        if (worker.placedRuns.empty()) {
            if (!idleMayGo || (!idleWanted && idle == mostIdlePollsAtOnce))
                continue;
            ++idle;
            turn += idleDelay;
        } else if (this->isLeaseHalfOver(worker, now)) {
            turn = firstTurn;
        } else if (isEndExpected(worker)) {
            turn -= endExpectedLead;
        }
        this->duePolls.push_back({ turn, id, false });
    }
    if (idle > 0)
        this->idlePollsFrom = now + idlePollsPause;
    std::sort(this->duePolls.begin(), this->duePolls.end(), [](const DuePoll& a, const DuePoll& b) { return std::tie(b.turn, b.worker) < std::tie(a.turn, a.worker); });
    this->sendDuePolls(now, orders);
}

void TaskPlanner::sendDuePolls(Millis now, Orders& orders)
{
    while (!this->duePolls.empty() && orders.polls.size() < mostPollsAtOnce) {
        const DuePoll due = std::move(this->duePolls.back());
        this->duePolls.pop_back();
        const auto found = this->workers.find(due.worker);
        if (found == this->workers.end())
            continue;
        Worker& worker = found->second;
        if (due.beside && this->isBesideDue(worker, now))
            pollBeside(worker, orders);
        else if (!due.beside && this->isPollDue(worker, now))
            this->poll(worker, now, orders);
    }
}

Orders TaskPlanner::takePolls(Millis now)
{
    Orders orders;
    this->sendDuePolls(now, orders);
    return orders;
}

} // namespace rattan::tasks
