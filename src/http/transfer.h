#pragma once

// What both HTTP clients set on a libcurl handle, and how they read its outcome.

#include "http/client.h"

#include <curl/curl.h>

namespace rattan::http::detail {

// One request on its way. Must stay where it is until libcurl is done with it.
struct Transfer {
    Call call;
    Reply reply;
    bool isOverLimit { false };
    bool hasSentBytes { false };
    std::chrono::steady_clock::time_point firstTransmissionAt; // When the first transmission began.
    bool awaitsFirstByte { false }; // No byte of the present transmission has left.
    std::size_t bodyBytesSent { 0 }; // Bytes handed over, of a call that must not be sent again.
    std::uint64_t bytesSent { 0 }; // Headers and bodies, without what the network adds.
    std::uint64_t bytesReceived { 0 };
    curl_slist* headers { nullptr };
};

// Initialises libcurl once for the process; later calls do nothing.
void initializeCurl();

// Resets the handle and gives it the call; `keptConnections` bounds its cache
// where it runs on its own.
void configureHandle(CURL*, Transfer&, long maxCachedConnections);

// Fills in the reply, once libcurl says that the transfer is over.
void fillReply(CURL*, CURLcode, Transfer&);

} // namespace rattan::http::detail
