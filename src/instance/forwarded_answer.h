#pragma once

// What a caller is told once its request was passed on to another instance.
//
//     const CallerAnswer told = answerAfterRelay(request.kind, own, protocol.parseAnswer(request.kind, reply), reply);
//
// `own` is the answer that this instance would have given, `other` the other one's; empty:
// none came that can be read. Pure.

#include "http/client.h"
#include "instance/caller_protocol.h"

#include <optional>

namespace rattan::instance {

CallerAnswer mergeForwardedAnswer(RequestKind, const CallerAnswer& ownAnswer, const std::optional<CallerAnswer>& peerAnswer, const http::Reply&);

} // namespace rattan::instance
