#pragma once

// The planner of this instance, as the entry sees it.
//
// RpcPlanner opens a connection for each call, since a Cap'n Proto connection
// belongs to one thread and callers of the entry come on many. Thread-safe.

#include "base/error.h"
#include "base/json.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace rattan::entry {

struct PublishedText {
    std::uint64_t version { 0 };
    std::string text; // Empty when nothing newer is known.
    std::string author;
};

class PlannerClient {
public:
    virtual ~PlannerClient() = default;

    // The text in force if it is newer than `after`.
    virtual Result<PublishedText> config(std::uint64_t after) = 0;

    // The job's view as JSON; empty when the planner knows no such job.
    virtual Result<std::optional<Json>> job(const std::string& workspace, const std::string& key) = 0;
    virtual Result<Json> jobs(const std::string& workspace, std::uint32_t limit) = 0;
    virtual Result<Json> domain() = 0;
    virtual Result<void> drain() = 0;
};

class RpcPlanner final : public PlannerClient {
public:
    RpcPlanner(std::string address, std::chrono::milliseconds timeout);

    Result<PublishedText> config(std::uint64_t after) override;
    Result<std::optional<Json>> job(const std::string& workspace, const std::string& key) override;
    Result<Json> jobs(const std::string& workspace, std::uint32_t limit) override;
    Result<Json> domain() override;
    Result<void> drain() override;

private:
    std::string address;
    std::chrono::milliseconds timeout;
};

} // namespace rattan::entry
