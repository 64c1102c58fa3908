// What callers and operators are told of jobs and of the domain.

#include "planner/domain_planner.h"

namespace rattan::planner {

std::optional<JobReport> DomainPlanner::report(const std::string& workspace, const std::string& key) const
{
    const Job* job = this->book.find(workspace, key);
    return job ? std::optional(this->reportOf(*job)) : std::nullopt;
}

std::vector<JobReport> DomainPlanner::newest(const std::string& workspace, std::size_t most) const
{
    std::vector<JobReport> reports;
    for (const Job* job : this->book.newest(workspace, most))
        reports.push_back(this->reportOf(*job));
    return reports;
}

JobReport DomainPlanner::reportOf(const Job& job) const
{
    JobReport report;
    report.key = job.key;
    report.workspace = job.workspace;
    report.jobClass = job.spec.jobClass;
    report.members = job.spec.members;
    report.accelerators = job.spec.accelerators;
    report.submittedWall = job.submittedWall;
    if (job.ended) {
        report.state = records::nameOf(job.outcome);
        report.reason = job.reason;
        report.result = job.result;
        report.endedWall = job.endedWall;
        return report;
    }
    report.state = "queued";
    if (this->finalsWritten.contains(job.id)) {
        report.state = "recording";
        report.waitsFor = "the log to record how it ended";
        return report;
    }
    if (!this->decider) {
        report.waitsFor = "the planner of the failure domain to learn what runs";
        return report;
    }
    if (const auto status = this->decider->job(job.id)) {
        report.state = decide::nameOf(status->state);
        report.attempt = status->attempt;
        report.waitsFor = status->waitsFor;
        for (const decide::Placement& place : status->placements)
            report.workers.push_back(this->workerNames.nameOf(place.worker));
    }
    if (const auto run = this->running.find(job.id); run != this->running.end())
        report.membersReady = run->second.membersReady;
    return report;
}

DomainReport DomainPlanner::domainReport() const
{
    DomainReport report;
    report.domain = this->options.domain;
    report.textVersion = this->textVersion;
    report.epoch = this->ownEpoch;
    report.deciding = this->currentStage == Stage::Deciding;
    if (!this->decider)
        return report;
    report.fragmentation = this->decider->fragmentation();
    for (const decide::WorkspaceStatus& status : this->decider->workspaces()) {
        report.workspaces.push_back({ this->workspaceNames.nameOf(status.workspace), status.guaranteedAccelerators,
            status.usedAccelerators, status.borrowedAccelerators, status.queued[0], status.queued[1], status.queued[2], status.running });
    }
    for (const decide::RackStatus& status : this->decider->racks())
        report.racks.push_back({ this->rackNames.nameOf(status.rack), status.workers, status.accelerators, status.free, status.quarantined });
    for (const decide::WorkerId worker : this->decider->quarantined())
        report.quarantined.push_back(this->workerNames.nameOf(worker));
    return report;
}

} // namespace rattan::planner
