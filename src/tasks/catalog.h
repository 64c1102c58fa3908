#pragma once

// The operators' configuration in force, as far as jobs need it: which queues there are,
// who may use them, and what each workspace is guaranteed.

#include "tasks/job.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::tasks {

struct Queue {
    std::string host; // Of the URL; compared without regard to case or port.
    std::string pathPrefix; // Ends with a slash.
    bool allowsAnonymous { false }; // Needs no key.
    Millis timeout { 0 }; // Longest time that a call may take.
    QueueTerms terms;
};

struct Workspace {
    std::string name;
    std::int64_t guaranteedAccelerators { 0 };
};

struct Service {
    std::string name;
    bool enforcesCapacity { false }; // Its workers refuse what does not fit.
};

struct Catalog {
    std::int64_t version { 0 };
    std::vector<Queue> queues;
    std::vector<Workspace> workspaces;
    std::vector<Service> services;
    std::map<std::string, std::string, std::less<>> workspaceOfKey;
    std::int64_t maxBodyBytes { 0 }; // 0: no limit in the text.

    // The queue with the longest prefix that the path begins with; null if none.
    const Queue* queueFor(std::string_view host, std::string_view path) const;

    // Null if nobody holds this key.
    const std::string* workspaceFor(std::string_view key) const;

    std::int64_t guaranteedAcceleratorsOf(std::string_view workspace) const;
};

} // namespace rattan::tasks
