#pragma once

// InstanceReport to and from its RPC form.

#include "peers/instance_report.h"
#include "rpc/rattan.capnp.h"

#include <vector>

namespace rattan::peers {

void fill(rpc::InstanceState::Builder, const InstanceReport&);
InstanceReport readReport(rpc::InstanceState::Reader);

// At most `mostReports` are read, whatever a peer sends.
std::vector<InstanceReport> readReports(capnp::List<rpc::InstanceState>::Reader);

inline constexpr unsigned mostReports = 1024;

} // namespace rattan::peers
