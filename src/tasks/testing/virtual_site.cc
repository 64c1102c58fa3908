// Jobs, the planner and the network between it and workers. The workers themselves
// are in virtual_site_workers.cc.

#include "tasks/testing/virtual_site.h"

namespace rattan::tasks::testing {

void VirtualSite::newPlanner()
{
    this->disturb();
    this->planner.reset();
    ++this->term;
    ++this->generation;
    PlannerOptions planning;
    planning.longestLease = this->options.lease;
    planning.stopTimeout = this->options.stopTime;
    planning.advised = true;
    this->planner = std::make_unique<TaskPlanner>(planning, this->table, this->plans, this->now, this->now);
    this->planner->applyCatalog(this->catalog);
    this->planner->workersSeen(this->sightings(), this->now);
}

void VirtualSite::killPlanner()
{
    this->planner.reset();
    ++this->generation;
}

void VirtualSite::submit(Job job)
{
    job.acceptedAt = this->now;
    this->jobs[job.id] = job;
    this->write(formatKey({ RecordKind::Job, job.id }), encodeJob(job));
    if (this->planner)
        this->planner->jobAccepted(this->table.find(job.id)->job, this->now, this->now);
}

void VirtualSite::cancel(const std::string& id)
{
    this->cancelled.insert(id);
    this->write(formatKey({ RecordKind::Cancel, id }), encodeCancel());
    if (this->planner)
        this->planner->jobCancelled(id, this->now);
}

void VirtualSite::run(Millis until)
{
    while (this->now < until) {
        this->advance();
        this->now += stepMillis;
    }
}

bool VirtualSite::runUntilOver(Millis until)
{
    while (this->now < until) {
        if (this->allOver())
            return true;
        this->advance();
        this->now += stepMillis;
    }
    return this->allOver();
}

bool VirtualSite::allOver() const
{
    for (const auto& [id, job] : this->jobs) {
        if (!isFinal(this->stateOf(id)))
            return false;
    }
    return true;
}

JobState VirtualSite::stateOf(const std::string& id) const
{
    const JobEntry* entry = this->table.find(id);
    return entry ? entry->visibleState() : JobState::Queued;
}

std::int64_t VirtualSite::runsOf(const std::string& id) const
{
    const auto found = this->starts.find(id);
    return found == this->starts.end() ? 0 : found->second;
}

std::string VirtualSite::hostOf(const std::string& job, std::int64_t index) const
{
    for (const auto& [id, worker] : this->workers) {
        for (const auto& [ref, run] : worker.running) {
            if (ref.task == TaskRef { job, 0, 0, index })
                return id;
        }
    }
    return "";
}

std::int64_t VirtualSite::countEnds(RunEnd end) const
{
    const auto found = this->ends.find(end);
    return found == this->ends.end() ? 0 : found->second;
}

void VirtualSite::relist()
{
    if (this->planner)
        this->planner->workersSeen(this->sightings(), this->now);
}

void VirtualSite::advise(const AdviceOrder& order)
{
    this->adviceAsked += static_cast<std::int64_t>(order.workers.size());
    const Millis takes = order.terms.perRequest + order.terms.perWorker * static_cast<Millis>(order.workers.size());
    const bool isLost = this->chance() < this->options.lostAdvice;
    this->at(this->now + takes, [this, order, isLost, mine = this->generation] {
        if (mine != this->generation || !this->planner)
            return;
        if (isLost)
            return this->planner->adviceFailed(order.step, this->now);
        std::vector<AllowedWorker> allowed;
        for (const std::string& worker : order.workers) {
            if ((worker.back() - '0') % 2 == 0)
                allowed.push_back({ worker, this->ticketOf(order.step, worker) });
        }
        this->planner->adviceAnswered(order.step, allowed, this->now);
    });
}

void VirtualSite::advance()
{
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
        const std::function<void()> event = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        event();
    }
    for (auto& [id, worker] : this->workers)
        this->work(id, worker);
    this->judgeLostWork();
    if (this->planner && this->now >= this->nextTurn)
        this->plan();
    else if (this->planner && this->pollsBetweenTurns && this->planner->hasPollsLeft())
        this->pollLeftOver();
}

void VirtualSite::pollLeftOver()
{
    for (const PollOrder& order : this->planner->takePolls(this->now).polls)
        this->poll(order);
}

void VirtualSite::plan()
{
    this->nextTurn = this->now + this->turnGap;
    this->planner->step(this->now, this->now);
    if (this->planner->lastRound().kind == RoundKind::Full)
        this->planner->stepTook(this->roundTime, this->now + this->roundTime);
    Orders orders = this->planner->take(this->now);
    this->planEvents.insert(this->planEvents.end(), orders.events.begin(), orders.events.end());
    for (const RecordBatch& batch : orders.batches)
        this->record(batch);
    for (const StopOrder& order : orders.stops)
        this->stop(order);
    for (const StartOrder& order : orders.starts)
        this->start(order);
    for (const PollOrder& order : orders.polls)
        this->poll(order);
    for (const AdviceOrder& order : orders.advice)
        this->advise(order);
    for (const std::string& problem : this->planner->violations())
        this->broken.push_back("planner: " + problem);
    if (this->planner->deposed())
        this->killPlanner();
}

void VirtualSite::record(const RecordBatch& batch)
{
    const int mine = this->generation;
    const Millis jobsAt = this->now + this->recordsWait + this->between(5, 20);
    const Millis plansAt = this->now + this->recordsWait + this->between(5, 20);
    this->at(jobsAt, [this, batch, mine] {
        for (const auto& [key, value] : batch.jobs) {
            if (mine != this->generation)
                continue; // Its epoch was fenced before it arrived.
            this->write(key, value);
            const auto parsed = attempt([&, text = key] { return parseKey(text); });
            if (parsed.value && parsed.value->kind == RecordKind::State && this->stateOf(parsed.value->job) == JobState::Failed)
                this->judgeFailed(parsed.value->job);
        }
    });
    this->at(plansAt, [this, batch, mine] {
        for (const auto& [key, value] : batch.plans) {
            if (mine == this->generation)
                this->plans.apply(key, value, this->offset++);
        }
    });
    this->at(std::max(jobsAt, plansAt) + 1, [this, batch, mine] {
        if (mine == this->generation)
            this->planner->recorded(batch.number, this->now);
    });
}

template <typename Carry, typename Answer>
void VirtualSite::send(const std::string& id, Carry carry, Answer answer)
{
    constexpr Millis timeout = 230;
    const int mine = this->generation;
    const auto told = [this, mine, answer](auto reply, Millis when) {
        this->at(when, [this, mine, answer, reply] {
            if (mine == this->generation && this->planner)
                answer(reply);
        });
    };
    using Reply = decltype(carry());
    const double luck = this->chance();
    Worker& worker = this->workers.at(id);
    const double lost = this->options.lostOrders;
    const double deaf = lost + this->options.lostAnswers;
    const double late = deaf + this->options.lateOrders;
    if (worker.crashed) {
        constexpr Millis refusedAfter = 5;
        told(Reply(), this->now + (worker.replaced ? refusedAfter : timeout));
    } else if (worker.cut || luck < lost) {
        told(Reply(), this->now + timeout);
    } else if (luck < deaf) {
        this->at(this->now + this->between(1, 8), [this, id, carry] {
            if (!this->workers.at(id).crashed)
                carry();
        });
        told(Reply(), this->now + timeout);
    } else if (luck < late) {
        // It waits at the worker, and is gone if that crashes meanwhile.
        this->at(this->now + this->between(2000, 12000), [this, id, carry, born = worker.born] {
            this->disturb();
            if (this->workers.at(id).born == born && !this->workers.at(id).crashed)
                carry();
        });
        told(Reply(), this->now + timeout);
    } else {
        this->at(this->now + this->between(1, 8), [this, id, carry, told] {
            if (!this->workers.at(id).cut && !this->workers.at(id).crashed)
                told(carry(), this->now + this->between(1, 8));
            else
                told(Reply(), this->now + timeout);
        });
    }
}

void VirtualSite::start(const StartOrder& order)
{
    if (this->startsKeptBack > 0) {
        --this->startsKeptBack;
        this->at(this->now + 5, [this, order, mine = this->generation] {
            if (mine == this->generation && this->planner)
                this->planner->startAnswered(order.worker, order.run, StartAnswer::NotSent, this->now);
        });
        return;
    }
    if (this->startsWait == 0)
        return this->sendStart(order);
    this->at(this->now + this->startsWait, [this, order, mine = this->generation] {
        if (mine == this->generation && this->planner)
            this->sendStart(order);
    });
}

void VirtualSite::sendStart(const StartOrder& order)
{
    this->tell(order.run, order.worker.id, "start sent");
    const std::int64_t term = this->term;
    const Millis until = order.decidedAt + this->options.lease;
    if (const Millis wait = std::exchange(this->nextStartLate, 0); wait > 0) {
        constexpr Millis timeout = 230;
        this->at(this->now + wait, [this, order, term, until] {
            this->disturb();
            this->carryStart(order, term, until);
        });
        this->at(this->now + timeout, [this, order, mine = this->generation] {
            if (mine == this->generation && this->planner)
                this->planner->startAnswered(order.worker, order.run, StartAnswer::NoAnswer, this->now);
        });
        return;
    }
    const Millis again = std::exchange(this->nextStartTwice, 0);
    if (again > 0) {
        this->at(this->now + again, [this, order, term, until] {
            this->disturb();
            this->carryStart(order, term, until);
        });
    }
    this->send(
        order.worker.id, [this, order, term, until] { return std::optional(this->carryStart(order, term, until)); },
        [this, order, again](const std::optional<StartAnswer>& answer) {
            const StartAnswer without = this->workers.at(order.worker.id).replaced ? StartAnswer::OtherIncarnation : StartAnswer::NoAnswer;
            const StartAnswer heard = answer.value_or(without);
            this->planner->startAnswered(order.worker, order.run, again > 0 ? answerToRepeatedStart(heard) : heard, this->now);
        });
}

void VirtualSite::tell(const RunRef& run, const std::string& worker, const char* what)
{
    if (run.task.job == this->traced)
        this->trace.push_back(fmt::format("{} ms: {} {}.{} run {} on {}", this->now, what, run.task.step, run.task.index, run.run, worker));
}

void VirtualSite::stop(const StopOrder& order)
{
    const std::int64_t term = this->term;
    this->send(
        order.worker.id,
        [this, order, term] {
            Worker& worker = this->workers.at(order.worker.id);
            this->tell(order.run, order.worker.id, "stop arrives");
            if (term < worker.token)
                return std::optional(false);
            worker.token = term;
            std::int64_t& ceiling = worker.ceilings[order.run.task];
            ceiling = std::max(ceiling, order.run.run);
            const auto found = worker.running.find(order.run);
            if (found != worker.running.end() && found->second.stopAt == 0)
                found->second.stopAt = this->now + this->between(0, this->options.stopTime);
            return std::optional(true);
        },
        [this, order](const std::optional<bool>& taken) { this->planner->stopAnswered(order.worker, order.run, taken.value_or(false), this->now); });
}

void VirtualSite::poll(const PollOrder& order)
{
    const Millis sentAt = this->now;
    const std::int64_t term = this->term;
    const Millis until = order.renews ? this->now + this->options.lease : 0;
    // A waiting poll is acted out by its answer alone: it is given after 100 ms.
    constexpr Millis shortWait = 100;
    this->at(this->now + (order.wait > 0 ? shortWait : 0), [this, order, term, until, sentAt, mine = this->generation] {
        if (mine != this->generation)
            return;
        this->send(
            order.worker.id, [this, order, term, until] { return this->carryPoll(order, term, until); },
            [this, order, sentAt](const std::optional<WorkerReport>& report) {
                if (report) {
                    this->noteListed(*report);
                    this->planner->pollAnswered(order.worker, sentAt, order.beside, *report, this->now);
                } else {
                    this->planner->pollFailed(order.worker, order.beside, this->workers.at(order.worker.id).replaced ? WorkerFault::OtherIncarnation : WorkerFault::NoAnswer, this->now);
                }
            });
    });
}

} // namespace rattan::tasks::testing
