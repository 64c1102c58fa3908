#include "planner/view_messages.h"

namespace rattan::planner {

namespace {

    std::uint32_t amount(std::int64_t value) { return static_cast<std::uint32_t>(value); }

    void fill(rpc::WorkspaceView::Builder builder, const WorkspaceReport& report)
    {
        builder.setWorkspace(report.workspace);
        builder.setGuaranteedAccelerators(amount(report.guaranteed));
        builder.setUsedAccelerators(amount(report.used));
        builder.setBorrowedAccelerators(amount(report.borrowed));
        builder.setQueuedUrgent(amount(report.queuedUrgent));
        builder.setQueuedOrdinary(amount(report.queuedOrdinary));
        builder.setQueuedPatient(amount(report.queuedPatient));
        builder.setRunning(amount(report.running));
    }

    void fill(rpc::RackView::Builder builder, const RackReport& report)
    {
        builder.setRack(report.rack);
        builder.setWorkers(amount(report.workers));
        builder.setAccelerators(amount(report.accelerators));
        builder.setFree(amount(report.free));
        builder.setQuarantined(amount(report.quarantined));
    }

} // namespace

void fill(rpc::JobView::Builder builder, const JobReport& report)
{
    builder.setKey(report.key);
    builder.setWorkspace(report.workspace);
    builder.setJobClass(report.jobClass);
    builder.setState(report.state);
    builder.setReason(report.reason);
    builder.setMembers(amount(report.members));
    builder.setMembersReady(amount(report.membersReady));
    builder.setAcceleratorsPerMember(amount(report.accelerators));
    builder.setAttempt(amount(report.attempt));
    builder.setSubmittedMs(report.submittedWall);
    builder.setFinishedMs(report.endedWall);
    builder.setWaitsFor(report.waitsFor);
    builder.setResult(report.result);
    auto workers = builder.initWorkers(amount(static_cast<std::int64_t>(report.workers.size())));
    for (unsigned i = 0; i < workers.size(); ++i)
        workers.set(i, report.workers[i]);
}

void fill(rpc::DomainView::Builder builder, const DomainReport& report)
{
    builder.setDomain(report.domain);
    builder.setConfigVersion(report.textVersion);
    builder.setEpoch(report.epoch);
    builder.setReady(report.deciding);
    builder.setFragmentation(report.fragmentation);
    auto workspaces = builder.initWorkspaces(static_cast<unsigned>(report.workspaces.size()));
    for (unsigned i = 0; i < workspaces.size(); ++i)
        fill(workspaces[i], report.workspaces[i]);
    auto racks = builder.initRacks(static_cast<unsigned>(report.racks.size()));
    for (unsigned i = 0; i < racks.size(); ++i)
        fill(racks[i], report.racks[i]);
    auto quarantined = builder.initQuarantined(static_cast<unsigned>(report.quarantined.size()));
    for (unsigned i = 0; i < quarantined.size(); ++i)
        quarantined.set(i, report.quarantined[i]);
}

} // namespace rattan::planner
