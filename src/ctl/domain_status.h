#pragma once

// The answers of GET /v1/status, gathered over the failure domains.

#include "base/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::ctl {

class EntryClient;

struct WorkspaceStatus {
    std::string name;
    std::int64_t guaranteed { 0 }; // Accelerators; likewise below.
    std::int64_t used { 0 };
    std::int64_t borrowed { 0 };
    std::int64_t queuedUrgent { 0 }; // Jobs; likewise below.
    std::int64_t queuedOrdinary { 0 };
    std::int64_t queuedPatient { 0 };
    std::int64_t running { 0 };
};

struct RackStatus {
    std::string name;
    std::int64_t workers { 0 };
    std::int64_t accelerators { 0 };
    std::int64_t free { 0 };
    std::int64_t quarantined { 0 };
};

struct InstanceStatus {
    std::string name;
    std::string domain;
    std::string entry; // Address.
    std::int64_t configVersion { 0 };
    std::int64_t ageMs { 0 };
    bool leaving { false };
    bool active { false };
};

struct DomainStatus {
    std::string name;
    std::int64_t configVersion { 0 };
    std::string activeInstance;
    std::int64_t epoch { 0 };
    bool ready { false };
    bool logReachable { false };
    bool reachable { true }; // False: only known from other domains.
    double fragmentation { 0 };
    std::vector<WorkspaceStatus> workspaces;
    std::vector<RackStatus> racks;
    std::vector<std::string> quarantined;
    std::vector<InstanceStatus> instances;
    Json raw;

    std::int64_t accelerators() const;
    std::int64_t free() const;
};

// Lacking or wrong fields become empty ones: a status is shown as far as it
// goes, also by an older rattanctl.
DomainStatus parseDomainStatus(const Json&);

// Asks an entry of each failure domain that the first answer knows of. A domain
// of which none answers is listed as not reachable. Empty when nobody answers.
std::vector<DomainStatus> askAllDomains(EntryClient&, const Json& first);

} // namespace rattan::ctl
