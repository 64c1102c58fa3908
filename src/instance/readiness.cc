#include "instance/readiness.h"

#include <algorithm>
#include <array>

namespace rattan::instance {

std::string_view nameOf(ReadinessState state)
{
    constexpr std::array<std::string_view, 7> names { "starting", "stopping", "ready", "store_unreachable", "store_away", "returning", "configuration_outdated" };
    return names.at(static_cast<std::size_t>(state));
}

void Readiness::peerAnswered(const std::string& domain, bool reachesStore, Millis now)
{
    // Instances of the own domain share its links, so their answers tell nothing about others.
    if (!domain.empty() && domain != this->ownDomain)
        this->peerAnswers[domain] = { reachesStore, now };
}

bool Readiness::step(const Condition& condition, Millis now)
{
    if (!condition.reachesStore)
        this->reachableSince = -1;
    else if (this->reachableSince < 0)
        this->reachableSince = now;
    const ReadinessState previous = this->current;
    this->current = this->decide(condition, now);
    if (this->current == previous)
        return false;
    if (this->current == ReadinessState::StoreUnreachable) {
        if (previous == ReadinessState::Ready)
            this->leaves = now - this->lostAt < flapWindow ? this->leaves + 1 : 1;
        this->lostAt = now;
    }
    return true;
}

ReadinessState Readiness::decide(const Condition& condition, Millis now)
{
    if (condition.isStopping)
        return ReadinessState::Stopping;
    if (!condition.isLoaded)
        return ReadinessState::Starting;
    if (!condition.reachesStore)
        return this->isStoreAwayElsewhere(now) ? ReadinessState::StoreAway : ReadinessState::StoreUnreachable;
    if (!condition.hasCurrentConfiguration)
        return ReadinessState::ConfigurationOutdated;
    const bool isOut = this->current == ReadinessState::StoreUnreachable || this->current == ReadinessState::Returning;
    if (isOut && now - this->reachableSince < this->returnDelay(now))
        return ReadinessState::Returning;
    return ReadinessState::Ready;
}

// Whether peers of other domains answer and none of them reaches the store.
bool Readiness::isStoreAwayElsewhere(Millis now) const
{
    bool hasAnswer = false;
    for (const auto& [domain, answer] : this->peerAnswers) {
        if (now - answer.at > peerAnswerValidity)
            continue;
        if (answer.reachesStore)
            return false;
        hasAnswer = true;
    }
    return hasAnswer;
}

Millis Readiness::returnDelay(Millis now) const
{
    if (this->leaves <= 1 || now - this->lostAt >= flapWindow)
        return 0;
    constexpr int maxDoublings = 3;
    return std::min(firstReturnDelay << std::min(this->leaves - 2, maxDoublings), maxReturnDelay);
}

} // namespace rattan::instance
