// The choice depends only on the offers and the list of workers, so a planner that takes
// over chooses the same relays, which have connections to their workers already.

#include "delivery/relay_selector.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <set>

namespace rattan::delivery {

namespace {

    // Polls and starts of a busy worker take a thousandth of a core and a thirtieth of a
    // megabit; a planner keeps half of what it has for its decisions and its records.
    constexpr double workersPerCore = 1000;
    constexpr double workersPerMegabit = 30;

    // A relay serves callers too.
    constexpr double relayShare = 0.25;

    constexpr Millis offerHolds = 3500; // Offers come once a second and may get lost.
    constexpr Millis lostPause = 3000; // Cuts last seconds.
    constexpr Millis directFor = 4000; // After a worker gave no answer through its relay.
    constexpr Millis chooseEvery = 500;

    // Weighted rendezvous hashing: the highest score of all relays serves the worker, so a
    // relay that comes or goes moves only its own workers.
    double scoreOf(const std::string& worker, const RelayOffer& relay)
    {
        constexpr double steps = 1 << 30;
        const auto hash = static_cast<double>(std::hash<std::string> {}(worker + '/' + relay.peer) % (1 << 30));
        return -relay.strength.asRelay() / std::log((hash + 1) / (steps + 1));
    }

    bool isStronger(const RelayOffer* a, const RelayOffer* b)
    {
        const double left = a->strength.asRelay();
        const double right = b->strength.asRelay();
        return left != right ? left > right : a->peer < b->peer;
    }

} // namespace

double Strength::asPlanner() const { return std::min(this->cores * workersPerCore, this->megabits * workersPerMegabit); }

double Strength::asRelay() const { return this->asPlanner() * relayShare; }

void RelayRoster::offered(const RelayOffer& offer, Millis now)
{
    const auto [found, isNew] = this->offers.try_emplace(offer.peer);
    this->isStale = this->isStale || isNew || now - found->second.heardAt > offerHolds;
    found->second.offer = offer;
    found->second.heardAt = now;
}

void RelayRoster::relayLost(const std::string& peer, Millis now)
{
    const auto found = this->offers.find(peer);
    if (found == this->offers.end())
        return;
    found->second.avoidedUntil = now + lostPause;
    this->isStale = true;
    this->chooseAt = now;
}

void RelayRoster::setWorkers(std::vector<WorkerPlace> places)
{
    std::set<std::string> present;
    for (WorkerPlace& place : places) {
        present.insert(place.id);
        const auto [found, isNew] = this->workers.try_emplace(std::move(place.id));
        this->isStale = this->isStale || isNew;
        found->second.domain = std::move(place.domain);
    }
    std::erase_if(this->workers, [&](const auto& row) { return !present.contains(row.first); });
}

void RelayRoster::routeFailed(const std::string& worker, Millis now)
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end() || !found->second.relay)
        return;
    const bool wasDirect = now < found->second.directUntil;
    found->second.directUntil = wasDirect ? 0 : now + directFor;
}

std::optional<std::string> RelayRoster::routeOf(const std::string& worker, Millis now)
{
    if (now >= this->chooseAt)
        this->chooseIfChanged(now);
    const auto found = this->workers.find(worker);
    if (found == this->workers.end() || now < found->second.directUntil)
        return std::nullopt;
    return found->second.relay;
}

std::vector<const RelayOffer*> RelayRoster::usable(Millis now) const
{
    std::vector<const RelayOffer*> found;
    for (const auto& [peer, row] : this->offers) {
        if (now - row.heardAt <= offerHolds && now >= row.avoidedUntil)
            found.push_back(&row.offer);
    }
    std::sort(found.begin(), found.end(), isStronger);
    return found;
}

std::optional<std::string> RelayRoster::hashed(const std::string& worker, const std::vector<const RelayOffer*>& relays)
{
    std::optional<std::string> best;
    double highest = -1;
    for (const RelayOffer* relay : relays) {
        const double score = scoreOf(worker, *relay);
        if (score > highest) {
            highest = score;
            best = relay->peer;
        }
    }
    return best;
}

void RelayRoster::chooseIfChanged(Millis now)
{
    this->chooseAt = now + chooseEvery;
    std::erase_if(this->offers, [&](const auto& row) { return now - row.second.heardAt > offerHolds + lostPause; });
    const std::vector<const RelayOffer*> usable = this->usable(now);
    std::vector<std::string> peers;
    peers.reserve(usable.size());
    for (const RelayOffer* relay : usable)
        peers.push_back(relay->peer);
    if (!this->isStale && peers == this->candidates)
        return;
    this->isStale = false;
    this->candidates = std::move(peers);
    this->choose(usable);
}

void RelayRoster::choose(const std::vector<const RelayOffer*>& usable)
{
    const bool isShared = static_cast<double>(this->workers.size()) > this->own.asPlanner();
    std::map<std::string, double> unserved; // Workers, by failure domain.
    for (const auto& [id, worker] : this->workers)
        ++unserved[worker.domain];
    std::map<std::string, std::vector<const RelayOffer*>> ofDomain;
    std::vector<const RelayOffer*> all;
    for (const RelayOffer* relay : usable) {
        double& left = unserved[relay->domain];
        if (!isShared || left <= 0)
            continue;
        left -= relay->strength.asRelay();
        ofDomain[relay->domain].push_back(relay);
        all.push_back(relay);
    }
    std::set<std::string> used;
    for (auto& [id, worker] : this->workers) {
        const auto own = ofDomain.find(worker.domain);
        worker.relay = hashed(id, own == ofDomain.end() ? all : own->second);
        if (worker.relay)
            used.insert(*worker.relay);
    }
    this->chosen.assign(used.begin(), used.end());
}

} // namespace rattan::delivery
