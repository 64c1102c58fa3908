#pragma once

// Determines the answer to a caller whose request was forwarded to another instance.
//
//     const CallerAnswer answer = mergeForwardedAnswer(request.kind, ownAnswer, protocol.parseAnswer(request.kind, reply), reply);
//
// `ownAnswer` is the answer that this instance would have given. `peerAnswer` is the other
// instance's answer, or empty if no readable one was received. A pure function.

#include "http/client.h"
#include "instance/caller_protocol.h"

#include <optional>

namespace rattan::instance {

CallerAnswer mergeForwardedAnswer(RequestKind, const CallerAnswer& ownAnswer, const std::optional<CallerAnswer>& peerAnswer, const http::Reply&);

} // namespace rattan::instance
