#pragma once

// Puts the planner's reports into their RPC messages.

#include "planner/views.h"
#include "rpc/rattan.capnp.h"

namespace rattan::planner {

void fill(rpc::JobView::Builder, const JobReport&);
void fill(rpc::DomainView::Builder, const DomainReport&);

} // namespace rattan::planner
