#pragma once

// The failure domains that operators have asked to evacuate.
//
//     EvacuatedDomains domains;
//     domains.request("east-a", offset, now);   // true: the domain is evacuated from now on
//     domains.contains("east-a");
//     domains.withdraw("east-a", laterOffset);  // true: the domain may be used again
//
// Requests and withdrawals come from a log that keeps the newest record of each domain and may
// drop its history. A reader that missed records reloads the log between beginLoad() and
// endLoad(). Domains that the load did not contain are not evacuated any more; until endLoad(),
// they still are. Records may be delivered twice and out of order; the highest offset counts.
//
// At most `maxDomains` domains are known, requested or withdrawn. When that many are, the
// withdrawn domains are forgotten; if all are requested, further requests are ignored.
// Not thread-safe.

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::tasks {

class EvacuatedDomains {
public:
    // Far more than any site has.
    static constexpr std::size_t maxDomains = 1000;

    // Both return whether the set of evacuated domains changed.
    bool request(const std::string& domain, std::int64_t offset, Millis now);
    bool withdraw(const std::string& domain, std::int64_t offset);

    void beginLoad();

    // Returns the domains that are not evacuated any more because the load did not contain them.
    std::vector<std::string> endLoad();
    bool isLoading() const { return this->loading; }

    bool contains(std::string_view domain) const { return this->active.contains(domain); }

    // The time at which this process read the request, by evacuated domain.
    const std::map<std::string, Millis, std::less<>>& all() const { return this->active; }

private:
    bool isNewer(const std::string& domain, std::int64_t offset);

    std::map<std::string, Millis, std::less<>> active;
    std::map<std::string, std::int64_t> offsets; // Of the newest record of each known domain.
    std::set<std::string> loaded; // Domains whose request the current load contained.
    bool loading { false };
};

} // namespace rattan::tasks
