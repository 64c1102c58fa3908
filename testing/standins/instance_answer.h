#pragma once

// How the platform answers a read of its instance list: only what the query
// asks for, and "not modified" to a reader that has it already.

#include "http/answer.h"
#include "platform/instance_list.h"

#include <vector>

namespace rattan::testing {

http::Answer instancesAnswer(const std::vector<platform::Instance>&, const http::Request&);

} // namespace rattan::testing
