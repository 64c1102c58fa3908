#include "peers/state_message.h"

#include <algorithm>

namespace rattan::peers {

namespace {

    // An age from the wire beyond this is as good as never heard.
    constexpr std::uint64_t longestAge = 24 * 3600 * 1000;

} // namespace

void fill(rpc::InstanceState::Builder builder, const InstanceReport& report)
{
    builder.setInstance(report.instance);
    builder.setIncarnation(report.incarnation);
    builder.setDomain(report.domain);
    builder.setPlannerAddress(report.plannerAddress);
    builder.setEntryAddress(report.entryAddress);
    builder.setConfigVersion(report.configVersion);
    builder.setLeaving(report.leaving);
    builder.setDriverReady(report.driverReady);
    builder.setActivePlanner(report.activePlanner);
    builder.setEpoch(report.epoch);
    builder.setAgeMs(static_cast<std::uint64_t>(std::max<Millis>(report.age, 0)));
}

InstanceReport readReport(rpc::InstanceState::Reader reader)
{
    return { .instance = reader.getInstance(), .incarnation = reader.getIncarnation(), .domain = reader.getDomain(), .plannerAddress = reader.getPlannerAddress(), .entryAddress = reader.getEntryAddress(), .configVersion = reader.getConfigVersion(), .leaving = reader.getLeaving(), .driverReady = reader.getDriverReady(), .activePlanner = reader.getActivePlanner(), .epoch = reader.getEpoch(), .age = static_cast<Millis>(std::min(reader.getAgeMs(), longestAge)) };
}

std::vector<InstanceReport> readReports(capnp::List<rpc::InstanceState>::Reader list)
{
    std::vector<InstanceReport> reports;
    for (unsigned i = 0; i < std::min(list.size(), mostReports); ++i)
        reports.push_back(readReport(list[i]));
    return reports;
}

} // namespace rattan::peers
