#pragma once

// The operators' text, as the rest of the system sees it once it is parsed and
// checked. Plain data; config/parse.h makes it from YAML and says what is wrong
// with a text that is refused.

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::config {

enum class Urgency {
    Urgent, // Before all else.
    Ordinary,
    Patient,
};

std::string_view nameOf(Urgency);

// Within what the members of a gang, or the accelerators of a guaranteed shape,
// have to lie.
enum class Adjacency {
    Worker,
    Rack,
    Domain,
};

std::string_view nameOf(Adjacency);

// One operation that executors of a service run on request.
struct Operation {
    std::string name;
    Urgency urgency { Urgency::Ordinary };
    bool idempotent { false };
    Millis deadline { 10000 }; // For callers that name none.
};

struct Service {
    std::string name;
    std::vector<std::string> dependsOn;
    std::vector<Operation> operations;
};

// One kind of job that runs on workers.
struct JobClass {
    std::string name;
    Urgency urgency { Urgency::Patient };
    bool idempotent { true };
    bool checkpointable { false };
    Millis checkpointTime { 30000 }; // Longest time a checkpoint takes.
    bool stoppable { true }; // May be stopped and started again from nothing.
    std::int64_t attempts { 3 };
};

// `count` pieces of `accelerators` each, every piece within one worker, rack or
// failure domain; counted in each failure domain.
struct GuaranteedShape {
    std::int64_t count { 1 };
    std::int64_t accelerators { 1 };
    Adjacency within { Adjacency::Worker };
};

struct Workspace {
    std::string name;
    std::string tokenSha256; // 64 hex digits.
    std::vector<GuaranteedShape> guarantees;
    std::int64_t maxAccelerators { 0 }; // Running at once in one domain; 0: no limit.
    std::int64_t maxQueuedJobs { 2000 };
    std::int64_t requestsPerSecond { 200 };
};

struct Operator {
    std::string name;
    std::string tokenSha256;
};

// Workers of one shape that a failure domain is declared to have.
struct WorkerPool {
    std::string domain;
    std::int64_t racks { 1 };
    std::int64_t workersPerRack { 8 };
    std::int64_t accelerators { 8 }; // Of each worker; likewise below.
    std::int64_t cores { 64 };
    std::int64_t memoryMb { 131072 };
};

struct Configuration {
    std::int64_t format { 1 };
    std::string name;
    std::vector<Operator> operators;
    std::vector<WorkerPool> workers;
    std::vector<Service> services;
    std::vector<JobClass> jobClasses;
    std::vector<Workspace> workspaces;
};

} // namespace rattan::config
