#pragma once

// The configuration of libcurl handles and the evaluation of their results, shared by both
// HTTP clients.

#include "base/clock.h"
#include "http/client.h"

#include <curl/curl.h>

namespace rattan::http::detail {

// The state of one transfer. libcurl holds pointers to it, so it must not be moved until
// the transfer has ended.
struct Transfer {
    Call call;
    Reply reply;
    bool isOverLimit { false };
    bool hasSentBytes { false };
    const Clock* clock { nullptr }; // For `firstByteAt`, which is not set without a clock.
    Millis firstByteAt { 0 }; // When the first byte was sent.
    std::chrono::steady_clock::time_point firstTransmissionAt; // Start of the first transmission.
    bool awaitsFirstByte { false }; // No byte of the current transmission has been sent.
    std::size_t bodyBytesSent { 0 }; // Body bytes passed to libcurl; used only if the call must not be resent.
    std::uint64_t bytesSent { 0 }; // HTTP headers and bodies, without TCP/IP overhead.
    std::uint64_t bytesReceived { 0 };
    curl_slist* headers { nullptr };
};

// Initializes libcurl once per process; later calls do nothing.
void initializeCurl();

// Resets the handle and configures it for the call. `maxCachedConnections` limits the
// handle's own connection cache, which is used without a multi handle.
void configureHandle(CURL*, Transfer&, long maxCachedConnections);

// Fills in the reply after libcurl has reported the end of the transfer.
void fillReply(CURL*, CURLcode, Transfer&);

} // namespace rattan::http::detail
