#pragma once

// The platform's lagging list of live and leaving instances.
//
// The list is a hint: what it names may be gone and what is new may be missing
// for seconds. At thousands of workers it is large and seldom changes, so a reader
// names what it wants, and takes "not modified" for an answer; a list that knows
// neither answers whole, and readers pass over what they did not ask for. HttpInstanceList is the adapter for docs/STANDINS.md.
// Thread-safe.

#include "base/json.h"
#include "http/client.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::platform {

enum class InstanceKind {
    Entry,
    Executor,
    Worker,
};

std::string_view nameOf(InstanceKind);

struct Instance {
    std::string id;
    InstanceKind kind { InstanceKind::Entry };
    std::string domain;
    bool leaving { false };
    std::string address; // HTTP
    std::string rpc; // Entry instances: the planner's RPC address.
    std::string rack; // Workers.
    std::string service; // Executors.
    std::int64_t slots { 8 };
    std::int64_t connections { 64 };
};

class InstanceList {
public:
    virtual ~InstanceList() = default;

    virtual Result<std::vector<Instance>> instances() = 0;
};

// What a reader wants of the list; empty means all.
struct InstanceQuery {
    std::string domain;
    std::vector<InstanceKind> kinds;
};

bool wants(const InstanceQuery&, const Instance&);

class HttpInstanceList final : public InstanceList {
public:
    HttpInstanceList(std::string address, std::chrono::milliseconds timeout, InstanceQuery = {});

    Result<std::vector<Instance>> instances() override;

private:
    std::string address;
    std::chrono::milliseconds timeout;
    InstanceQuery query;
    std::string path;
    http::Client client;
    std::mutex mutex;
    std::string entityTag; // Of the list that was read last.
    std::vector<Instance> lastRead;
};

// The JSON object of one instance; also what the stand-in takes.
std::optional<InstanceKind> instanceKindNamed(std::string_view);
Result<Instance> parseInstance(const Json&, const std::string& peer);
Json toJson(const Instance&);

} // namespace rattan::platform
