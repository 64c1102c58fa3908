#pragma once

// The operators' configuration after parsing and validation, as plain data.
// config/parse.h reads it from YAML and reports the faults of a configuration
// that is rejected.

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::config {

enum class Urgency {
    Urgent, // Scheduled before all other work.
    Ordinary,
    Patient,
};

std::string_view nameOf(Urgency);

// The unit within which all members of a gang, or all accelerators of one piece
// of a guaranteed shape, must be placed.
enum class Adjacency {
    Worker,
    Rack,
    Domain,
};

std::string_view nameOf(Adjacency);

// An operation that the executors of a service run on request.
struct Operation {
    std::string name;
    Urgency urgency { Urgency::Ordinary };
    bool idempotent { false };
    Millis deadline { 10000 }; // Default for requests without a deadline.
};

struct Service {
    std::string name;
    std::vector<std::string> dependsOn;
    std::vector<Operation> operations;
};

// Properties shared by all jobs of one class.
struct JobClass {
    std::string name;
    Urgency urgency { Urgency::Patient };
    bool idempotent { true };
    bool checkpointable { false };
    Millis checkpointTime { 30000 }; // Upper bound for the time of one checkpoint.
    bool stoppable { true }; // Whether the job may be stopped and restarted from the beginning.
    std::int64_t attempts { 3 };
};

// A guarantee of `count` pieces of `accelerators` accelerators each, where every
// piece lies within one worker, rack or failure domain. It applies to each
// failure domain separately.
struct GuaranteedShape {
    std::int64_t count { 1 };
    std::int64_t accelerators { 1 };
    Adjacency within { Adjacency::Worker };
};

struct Workspace {
    std::string name;
    std::string tokenSha256; // SHA-256 of the token, 64 hex digits.
    std::vector<GuaranteedShape> guarantees;
    std::int64_t maxAccelerators { 0 }; // In use at the same time in one failure domain; 0 means no limit.
    std::int64_t maxQueuedJobs { 2000 };
    std::int64_t requestsPerSecond { 200 };
};

struct Operator {
    std::string name;
    std::string tokenSha256;
};

// A group of identical workers that the configuration declares for a failure domain.
struct WorkerPool {
    std::string domain;
    std::int64_t racks { 1 };
    std::int64_t workersPerRack { 8 };
    std::int64_t accelerators { 8 }; // Per worker, like the fields below.
    std::int64_t cores { 64 };
    std::int64_t memoryMb { 131072 }; // In MiB.
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
