#pragma once

// Calls entry instances, one after the other, until one serves.
//
//     EntryClient client({ "127.0.0.1:8080", "127.0.0.1:8081" }, token, timeout);
//     const EntryReply reply = client.call("GET", "/v1/status");
//     if (reply.ok())
//         use(reply.json);
//
// An instance that cannot be reached, or that answers 429 or 503 and states no
// outcome, is passed over for the next; the one that served last is asked first. Every call goes out
// again when its answer got lost, which is safe because each either only reads
// or names a key, a ticket or a version that makes a repeat harmless. When no
// instance serves, the reply is that of the one that got furthest. Not
// thread-safe.

#include "base/json.h"
#include "http/client.h"

#include <chrono>
#include <string>
#include <vector>

namespace rattan::ctl {

struct EntryReply {
    int status { 0 }; // 0: no whole answer.
    Json json; // Null when the body is not JSON.
    Error error; // When there is no whole answer, or an error in it.
    bool mayHaveActed { false }; // Some instance may have done what was asked.

    bool ok() const { return this->status >= 200 && this->status < 300; }
};

class EntryClient {
public:
    EntryClient(std::vector<std::string> addresses, std::string token, std::chrono::milliseconds timeout);

    EntryReply call(const std::string& method, const std::string& path, const Json& body = nullptr);

    // The same at one instance only.
    EntryReply callAt(const std::string& address, const std::string& method, const std::string& path, const Json& body = nullptr);

    const std::vector<std::string>& addresses() const { return this->entries; }

private:
    std::vector<std::string> entries;
    std::string token;
    std::chrono::milliseconds timeout;
    std::size_t first { 0 };
    http::Client client;
};

} // namespace rattan::ctl
