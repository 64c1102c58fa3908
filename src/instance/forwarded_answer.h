#pragma once

// Determines the answer to a caller whose request was forwarded to another instance.
//
//     const CallerAnswer answer = mergeForwardedAnswer({ request.kind, newestVersion }, ownAnswer, protocol.parseAnswer(request.kind, reply), reply);
//
// `ownAnswer` is the answer that this instance would have given. `peerAnswer` is the other
// instance's answer, or empty if no readable one was received. Neither denies anything based on a
// configuration older than the newest one known when the answer arrives. A pure function.

#include "http/client.h"
#include "instance/caller_protocol.h"

#include <cstdint>
#include <optional>

namespace rattan::instance {

// Whether the request was carried out, which stands whatever configuration it was decided by.
bool isDone(const CallerAnswer&);

// The properties of a forwarded request that decide between the two answers.
struct ForwardedRequest {
    RequestKind kind { RequestKind::Other };
    std::int64_t newestConfigurationVersion { 0 }; // That is known to this instance.
};

CallerAnswer mergeForwardedAnswer(const ForwardedRequest&, const CallerAnswer& ownAnswer, const std::optional<CallerAnswer>& peerAnswer, const http::Reply&);

} // namespace rattan::instance
