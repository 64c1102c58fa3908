// Two planners may run this at once; what keeps that harmless is elsewhere:
// workers refuse the lower epoch, and the first final record of a job counts.
// So nothing here asks whether this planner is the only one.

#include "planner/domain_planner.h"

#include "base/log.h"
#include "planner/events.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace rattan::planner {

using records::JobOutcome;
using records::JobRecord;
using records::JobRecordKind;

namespace {

    constexpr std::size_t restatesPerTick = 50;
    constexpr Millis restateCheckPeriod = 1000;

    decide::Adjacency adjacencyOf(const std::string& name)
    {
        if (name == "worker")
            return decide::Adjacency::Worker;
        return name == "rack" ? decide::Adjacency::Rack : decide::Adjacency::Domain;
    }

    decide::FailureReason failureOf(const std::string& reason)
    {
        if (reason.starts_with("start_failed"))
            return decide::FailureReason::StartFailed;
        if (reason.starts_with("reserve_refused"))
            return decide::FailureReason::ReserveRefused;
        if (reason.starts_with("member_lost"))
            return decide::FailureReason::MemberLost;
        if (reason.starts_with("task_failed"))
            return decide::FailureReason::StartFailed;
        if (reason.starts_with("lease_lapsed"))
            return decide::FailureReason::LeaseLapsed;
        return decide::FailureReason::Other;
    }

    JobOutcome outcomeOf(decide::Outcome outcome)
    {
        switch (outcome) {
        case decide::Outcome::Done:
            return JobOutcome::Done;
        case decide::Outcome::Cancelled:
            return JobOutcome::Cancelled;
        case decide::Outcome::Refused:
            return JobOutcome::Refused;
        case decide::Outcome::Failed:
            break;
        }
        return JobOutcome::Failed;
    }

} // namespace

std::string_view nameOf(Stage stage)
{
    constexpr std::array<std::string_view, 3> names { "standby", "learning", "deciding" };
    return names.at(static_cast<std::size_t>(stage));
}

DomainPlanner::DomainPlanner(DomainPlannerOptions options)
    : options(std::move(options))
    , book(this->options.book)
{
}

void DomainPlanner::applyText(std::uint64_t version, const config::Configuration& newText, Millis now)
{
    if (version <= this->textVersion)
        return;
    this->textVersion = version;
    this->text = newText;
    logEvent(events::textInForce, { { "version", version } });
    if (this->decider)
        this->feed(this->textForDecider(), now);
}

void DomainPlanner::applyRecord(const JobTailItem& item, Millis now)
{
    for (const JobChange& change : this->book.apply(item.offset, item.atWall, item.record)) {
        const Job& job = *this->book.find(change.id);
        switch (change.kind) {
        case JobChangeKind::Added:
            if (this->decider)
                this->submitToDecider(job, now);
            break;
        case JobChangeKind::Crowded:
            if (this->currentStage == Stage::Deciding)
                this->writeFinal(job, JobOutcome::Refused, "too many jobs wait in this failure domain; submit again later", "");
            break;
        case JobChangeKind::CancelAsked:
            if (this->decider)
                this->feed(decide::JobCancelled { job.id }, now);
            break;
        case JobChangeKind::StartingRecorded: {
            const auto waiting = this->awaitingRecord.find(job.id);
            if (waiting == this->awaitingRecord.end())
                break;
            const decide::StartGang start = waiting->second;
            this->awaitingRecord.erase(waiting);
            // Somebody else's record came first: it may have started the job,
            // so this planner must not.
            if (job.startingClaimant == this->options.incarnation)
                this->orderStart(start);
            else
                this->feed(decide::GangFailed { job.id, start.attempt, std::nullopt, decide::FailureReason::Other }, now);
            break;
        }
        case JobChangeKind::Ended:
            this->finalsWritten.erase(job.id);
            this->running.erase(job.id);
            logEvent(events::jobEnded, { { "job", job.id }, { "workspace", job.workspace }, { "key", job.key }, { "outcome", records::nameOf(job.outcome) }, { "reason", job.reason } });
            // Another planner may have ended a job that runs here.
            if (this->decider && this->decider->job(job.id))
                this->feed(decide::JobCancelled { job.id }, now);
            break;
        case JobChangeKind::EndedAgain:
            if (this->currentStage == Stage::Deciding)
                this->writeFinal(job, job.outcome, job.reason, job.result);
            break;
        case JobChangeKind::Repeated:
            if (this->currentStage == Stage::Deciding)
                this->restate(job);
            break;
        case JobChangeKind::Renamed:
            if (this->decider) {
                this->feed(decide::JobCancelled { change.formerId }, now);
                this->submitToDecider(job, now);
            }
            break;
        }
    }
}

void DomainPlanner::activate()
{
    if (this->currentStage != Stage::Standby)
        return;
    this->currentStage = Stage::Learning;
    this->ownEpoch = 0;
    this->found.clear();
    this->attemptsFound.clear();
    this->workers.clear();
    logEvent(events::activated, { { "domain", this->options.domain } });
}

void DomainPlanner::standDown()
{
    this->currentStage = Stage::Standby;
    this->ownEpoch = 0;
    this->decider.reset();
    this->orders.clear();
    this->records.clear();
    this->found.clear();
    this->running.clear();
    this->awaitingRecord.clear();
    this->finalsWritten.clear();
}

void DomainPlanner::applySurvey(const Survey& survey, Millis now)
{
    for (const SurveyedWorker& worker : survey.workers)
        this->highestEpochSeen = std::max(this->highestEpochSeen, worker.epoch);
    if (this->currentStage == Stage::Learning)
        this->learn(survey, now);
    else if (this->currentStage == Stage::Deciding)
        this->watchWorkers(survey, now);
}

void DomainPlanner::submitToDecider(const Job& job, Millis now)
{
    decide::JobSubmitted submitted;
    submitted.job = job.id;
    submitted.workspace = this->workspaceNames.idOf(job.workspace);
    submitted.jobClass = this->classNames.idOf(job.spec.jobClass);
    submitted.members = job.spec.members;
    submitted.perMember = { job.spec.accelerators, job.spec.cores, job.spec.memoryMb };
    submitted.adjacency = adjacencyOf(job.spec.adjacent);
    submitted.declaredRunTime = job.spec.declaredRunTime;
    if (const config::JobClass* jobClass = this->classOf(job.spec.jobClass)) {
        submitted.urgency = static_cast<decide::Urgency>(jobClass->urgency);
        submitted.idempotent = jobClass->idempotent;
        submitted.checkpointable = jobClass->checkpointable;
        submitted.checkpointTime = jobClass->checkpointTime;
        submitted.stoppable = jobClass->stoppable;
        submitted.attempts = jobClass->attempts;
    }
    const auto attempts = this->attemptsFound.find(job.id);
    submitted.attemptsUsed = std::max(job.startingAttempt, attempts == this->attemptsFound.end() ? 0 : attempts->second);
    submitted.failures = job.failures;
    submitted.submittedAt = now;
    this->feed(submitted, now);
    if (job.cancelAsked)
        this->feed(decide::JobCancelled { job.id }, now);
}

decide::TextChanged DomainPlanner::textForDecider()
{
    decide::TextChanged changed;
    for (const config::Workspace& workspace : this->text.workspaces) {
        decide::WorkspaceRule rule { this->workspaceNames.idOf(workspace.name), {}, workspace.maxAccelerators };
        for (const config::GuaranteedShape& shape : workspace.guarantees)
            rule.guarantees.push_back({ shape.count, shape.accelerators, static_cast<decide::Adjacency>(shape.within) });
        changed.workspaces.push_back(std::move(rule));
    }
    return changed;
}

void DomainPlanner::feed(const decide::Event& event, Millis now)
{
    for (const decide::Action& action : this->decider->step(event, now))
        this->carryOut(action);
}

void DomainPlanner::carryOut(const decide::Action& action)
{
    if (const auto* start = std::get_if<decide::StartGang>(&action)) {
        this->startGang(*start);
    } else if (const auto* stop = std::get_if<decide::StopGang>(&action)) {
        logEvent(events::gangStopOrdered, { { "job", stop->job }, { "attempt", stop->attempt }, { "reason", decide::nameOf(stop->reason) } });
        this->awaitingRecord.erase(stop->job);
        this->orders.push_back(this->orderFor(OrderKind::StopGang, stop->job, stop->attempt, std::string(decide::nameOf(stop->reason))));
    } else if (const auto* save = std::get_if<decide::CheckpointGang>(&action)) {
        logEvent(events::gangStopOrdered, { { "job", save->job }, { "attempt", save->attempt }, { "reason", decide::nameOf(save->reason) } });
        this->orders.push_back(this->orderFor(OrderKind::CheckpointGang, save->job, save->attempt, std::string(decide::nameOf(save->reason))));
    } else if (const auto* throttle = std::get_if<decide::ThrottleGang>(&action)) {
        Order order = this->orderFor(OrderKind::ThrottleGang, throttle->job, throttle->attempt, "overuse");
        order.sharePercent = throttle->sharePercent;
        this->orders.push_back(std::move(order));
    } else if (const auto* finish = std::get_if<decide::FinishJob>(&action)) {
        this->finishJob(*finish);
    } else if (const auto* bad = std::get_if<decide::WorkerQuarantined>(&action)) {
        logEvent(events::workerQuarantined, { { "worker", this->workerNames.nameOf(bad->worker) } });
    }
}

void DomainPlanner::startGang(const decide::StartGang& start)
{
    const Job* job = this->book.find(start.job);
    const config::JobClass* jobClass = job ? this->classOf(job->spec.jobClass) : nullptr;
    if (!jobClass || (jobClass->idempotent && start.failures == 0)) {
        this->orderStart(start);
        return;
    }
    // A job that must not run twice is started only after its starting record
    // was read back as the first; a planner that takes over then knows that it
    // may have run. Without this, a kill between start and final would let the
    // successor start it again. Failed attempts are recorded with the next start, or a job
    // that takes its planner's workers along would have as many again from each successor.
    this->awaitingRecord[start.job] = start;
    JobRecord record { .kind = JobRecordKind::Starting, .id = start.job, .attempt = start.attempt, .failures = start.failures, .claimant = this->options.incarnation };
    this->records.push_back(std::move(record));
}

void DomainPlanner::orderStart(const decide::StartGang& start)
{
    const Job* job = this->book.find(start.job);
    Order order = this->orderFor(OrderKind::StartGang, start.job, start.attempt, "");
    for (const decide::Placement& place : start.placements) {
        const std::string& name = this->workerNames.nameOf(place.worker);
        order.members.push_back({ name, this->workers[name].address, place.accelerators, place.cores, place.memoryMb });
    }
    Json payload = job ? job->spec.payload : Json::object();
    if (const auto saved = this->savedProgress.find(start.job); saved != this->savedProgress.end() && payload.is_object())
        payload["resume_progress"] = saved->second;
    order.payload = payload.dump(-1, ' ', false, Json::error_handler_t::replace);
    this->running[start.job] = {};
    logEvent(events::gangOrdered, { { "job", start.job }, { "attempt", start.attempt }, { "members", order.members.size() }, { "first_worker", order.members.empty() ? "" : order.members[0].worker } });
    this->orders.push_back(std::move(order));
}

void DomainPlanner::finishJob(const decide::FinishJob& finish)
{
    this->awaitingRecord.erase(finish.job);
    this->savedProgress.erase(finish.job);
    const Job* job = this->book.find(finish.job);
    if (!job || job->ended)
        return;
    const config::JobClass* jobClass = this->classOf(job->spec.jobClass);
    const bool once = jobClass && !jobClass->idempotent;
    JobOutcome outcome = outcomeOf(finish.outcome);
    std::string reason = finish.reason;
    if (once && outcome != JobOutcome::Done && (job->startingAttempt > 0 || finish.mayHaveRun) && outcome != JobOutcome::Refused) {
        outcome = JobOutcome::Unknown;
        reason = "it was started once and may have run; it is not started again. " + reason;
    }
    const auto result = this->running.find(finish.job);
    this->writeFinal(*job, outcome, reason, result == this->running.end() ? "" : result->second.result);
}

void DomainPlanner::writeFinal(const Job& job, JobOutcome outcome, const std::string& reason, const std::string& result)
{
    JobRecord record { .kind = JobRecordKind::Final, .id = job.id, .workspace = job.workspace, .key = job.key };
    record.outcome = outcome;
    record.reason = reason;
    record.result = result;
    this->records.push_back(std::move(record));
    this->finalsWritten.insert(job.id);
}

void DomainPlanner::restate(const Job& job)
{
    JobRecord record { .kind = JobRecordKind::Restate, .id = job.id, .workspace = job.workspace, .key = job.key };
    record.submitWallTime = job.submittedWall;
    record.spec = job.spec;
    record.attempt = job.startingAttempt;
    record.failures = job.failures;
    this->records.push_back(std::move(record));
}

bool DomainPlanner::applyEvents(const std::vector<DriverEvent>& driverEvents, Millis now)
{
    for (const DriverEvent& event : driverEvents) {
        if (event.kind == DriverEventKind::EpochRefused)
            return false;
        if (this->decider)
            this->applyEvent(event, now);
    }
    return true;
}

void DomainPlanner::applyEvent(const DriverEvent& event, Millis now)
{
    Running& run = this->running[event.job];
    switch (event.kind) {
    case DriverEventKind::GangProgress:
        run.membersReady = event.membersReady;
        break;
    case DriverEventKind::GangStarted:
        run.membersReady = event.membersReady;
        this->feed(decide::GangStarted { event.job, event.attempt }, now);
        break;
    case DriverEventKind::GangFinished:
        run.result = event.result;
        this->feed(decide::GangFinished { event.job, event.attempt }, now);
        break;
    case DriverEventKind::GangFailed: {
        std::optional<decide::WorkerId> worker;
        if (!event.worker.empty())
            worker = this->workerNames.idOf(event.worker);
        this->feed(decide::GangFailed { event.job, event.attempt, worker, failureOf(event.reason) }, now);
        break;
    }
    case DriverEventKind::GangStopped:
        if (event.progress > 0)
            this->savedProgress[event.job] = event.progress;
        this->feed(decide::GangStopped { event.job, event.attempt, event.progress }, now);
        break;
    case DriverEventKind::GangUsage:
        this->feed(decide::UsageReported { event.job, event.usedAccelerators, event.usedMemoryMb, event.progress }, now);
        break;
    case DriverEventKind::EpochRefused:
        break;
    }
}

void DomainPlanner::tick(Millis now, Millis wall)
{
    if (this->currentStage != Stage::Deciding)
        return;
    if (this->decider->nextWake() <= now)
        this->feed(decide::Tick {}, now);
    if (now - this->lastRestateCheck < restateCheckPeriod)
        return;
    this->lastRestateCheck = now;
    // Half of the retention leaves the other half for outages of the log.
    for (const std::uint64_t id : this->book.recordedBefore(wall - this->options.retention / 2, restatesPerTick))
        this->restate(*this->book.find(id));
}

std::vector<Order> DomainPlanner::takeOrders() { return std::exchange(this->orders, {}); }

std::vector<JobRecord> DomainPlanner::takeRecords() { return std::exchange(this->records, {}); }

Order DomainPlanner::orderFor(OrderKind kind, std::uint64_t id, std::int64_t attempt, std::string reason) const
{
    Order order;
    order.kind = kind;
    order.job = id;
    order.attempt = attempt;
    order.reason = std::move(reason);
    if (const Job* job = this->book.find(id)) {
        order.key = job->key;
        order.workspace = job->workspace;
    }
    return order;
}

const config::JobClass* DomainPlanner::classOf(const std::string& name) const
{
    for (const config::JobClass& jobClass : this->text.jobClasses) {
        if (jobClass.name == name)
            return &jobClass;
    }
    return nullptr;
}

} // namespace rattan::planner
