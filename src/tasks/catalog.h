#pragma once

// The part of the active operator configuration that concerns jobs: the queues, who may
// use them, and the guarantee of each workspace.

#include "tasks/job.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::tasks {

struct Queue {
    std::string host; // Host of the URL; compared case-insensitively and without the port.
    std::string pathPrefix; // Ends with a slash.
    bool allowsAnonymous { false }; // Callers need no key.
    Millis timeout { 0 }; // The maximum duration of a call.
    QueueTerms terms;
};

struct Workspace {
    std::string name;
    std::int64_t guaranteedAccelerators { 0 };
};

struct Service {
    std::string name;
    bool enforcesCapacity { false }; // Its workers refuse runs that exceed their free capacity.
};

struct Catalog {
    std::int64_t version { 0 };
    std::vector<Queue> queues;
    std::vector<Workspace> workspaces;
    std::vector<Service> services;
    std::map<std::string, std::string, std::less<>> workspaceOfKey;
    std::int64_t maxBodyBytes { 0 }; // 0 if the configuration has no limit.

    // Returns the queue of the host with the longest matching path prefix, or null if none
    // matches.
    const Queue* queueFor(std::string_view host, std::string_view path) const;

    // Returns the workspace that owns the key, or null if the key is unknown.
    const std::string* workspaceFor(std::string_view key) const;

    std::int64_t guaranteedAcceleratorsOf(std::string_view workspace) const;
};

} // namespace rattan::tasks
