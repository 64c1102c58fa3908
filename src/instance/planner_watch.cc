#include "instance/planner_watch.h"

#include <charconv>
#include <fmt/format.h>

namespace rattan::instance {

namespace {

    constexpr std::string_view watchPrefix = "watch ";
    constexpr std::string_view heartbeatPrefix = "beat ";
    constexpr std::string_view endPrefix = "end ";

    bool isMessageForTerm(std::string_view text, std::string_view kind, std::int64_t term)
    {
        if (!text.starts_with(kind))
            return false;
        text.remove_prefix(kind.size());
        std::int64_t parsedTerm = 0;
        const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), parsedTerm);
        return error == std::errc() && rest == text.data() + text.size() && parsedTerm == term;
    }

} // namespace

void PlannerWatch::plannerChanged(const WatchedPlanner& newestPlanner, Millis now)
{
    if (newestPlanner.term == this->planner.term && newestPlanner.peer == this->planner.peer)
        return;
    const bool previousTermWasShort = this->planner.term > 0 && now - this->claimedAt < shortTermLimit;
    this->planner = newestPlanner;
    this->claimedAt = now;
    this->detectionStartsAt = previousTermWasShort ? now + shortTermLimit : now;
    this->heartbeatCount = 0;
    this->lastHeartbeatAt = now;
    this->endReceived = false;
    this->nextWatchRequestAt = now;
}

void PlannerWatch::handleDatagram(const std::string& peer, const std::string& text, Millis now)
{
    if (text.starts_with(watchPrefix)) {
        if (this->watchers.contains(peer) || this->watchers.size() < maxWatchers)
            this->watchers[peer] = now;
        return;
    }
    if (peer != this->planner.peer)
        return;
    if (isMessageForTerm(text, heartbeatPrefix, this->planner.term)) {
        ++this->heartbeatCount;
        this->lastHeartbeatAt = now;
        this->endReceived = false;
    }
    if (isMessageForTerm(text, endPrefix, this->planner.term))
        this->endReceived = true;
}

std::vector<WatchMessage> PlannerWatch::step(std::int64_t term, bool renewalFailed, Millis now)
{
    std::vector<WatchMessage> messages;
    std::erase_if(this->watchers, [&](const auto& entry) { return now - entry.second > watcherExpiry; });
    if (term > 0) {
        if (!renewalFailed)
            this->endSent = false;
        const bool sendsEnd = renewalFailed && !this->endSent;
        if (sendsEnd || (!renewalFailed && now >= this->nextHeartbeatAt)) {
            this->nextHeartbeatAt = now + heartbeatInterval;
            this->endSent = renewalFailed;
            for (const auto& [peer, lastRequestAt] : this->watchers)
                messages.push_back({ peer, fmt::format("{}{}", renewalFailed ? endPrefix : heartbeatPrefix, term) });
        }
        return messages;
    }
    if (!this->planner.peer.empty() && now >= this->nextWatchRequestAt) {
        this->nextWatchRequestAt = now + watchRequestInterval;
        messages.push_back({ this->planner.peer, fmt::format("{}{}", watchPrefix, this->planner.term) });
    }
    return messages;
}

bool PlannerWatch::hasPlannerFailed(Millis now) const
{
    if (this->planner.peer.empty() || now < this->detectionStartsAt)
        return false;
    return this->endReceived || (this->heartbeatCount >= minHeartbeats && now - this->lastHeartbeatAt > heartbeatTimeout);
}

} // namespace rattan::instance
