#pragma once

// A token bucket for each workspace: so many requests a second at this entry,
// with one second's worth saved up. Thread-safe.

#include "base/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace rattan::entry {

class RateLimit {
public:
    // False when the workspace has used up its rate.
    bool admit(const std::string& workspace, std::int64_t perSecond, Millis now)
    {
        const std::lock_guard lock(this->mutex);
        // Workspaces come only from an accepted text; one that was renamed away
        // leaves a bucket behind, so the table starts anew now and then.
        if (this->buckets.size() > mostWorkspaces)
            this->buckets.clear();
        const auto most = static_cast<double>(std::max<std::int64_t>(perSecond, 1));
        const auto [found, isNew] = this->buckets.try_emplace(workspace, Bucket { most, now });
        Bucket& bucket = found->second;
        bucket.tokens = std::min(most, bucket.tokens + static_cast<double>(now - bucket.at) * static_cast<double>(perSecond) / 1000);
        bucket.at = now;
        if (bucket.tokens < 1)
            return false;
        bucket.tokens -= 1;
        return true;
    }

private:
    static constexpr std::size_t mostWorkspaces = 5000;

    struct Bucket {
        double tokens;
        Millis at;
    };

    std::mutex mutex;
    std::map<std::string, Bucket> buckets;
};

} // namespace rattan::entry
