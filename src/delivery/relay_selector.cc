// The assignment depends only on the offers and the list of workers. A planner that takes over
// therefore selects the same relays, which are connected to their workers already.

#include "delivery/relay_selector.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <set>

namespace rattan::delivery {

namespace {

    // Polls and starts of a busy worker take one thousandth of a core and one thirtieth of a
    // megabit per second. A planner reserves half of its capacity for decisions and records.
    constexpr double workersPerCore = 1000;
    constexpr double workersPerMegabit = 30;

    // A relay also serves callers.
    constexpr double relayLoadShare = 0.25;

    constexpr Millis offerLifetime = 3500; // Offers are sent once a second and may be lost.
    constexpr Millis lostRelayBackoff = 3000; // Network partitions last seconds.
    constexpr Millis directRouteTime = 4000; // For a worker that did not answer through its relay.
    constexpr Millis reassignInterval = 500;

    // Weighted rendezvous hashing: a worker is assigned to the relay with the highest score, so
    // that adding or removing a relay moves only its own workers.
    double rendezvousScore(const std::string& worker, const RelayOffer& relay)
    {
        constexpr double steps = 1 << 30;
        const auto hash = static_cast<double>(std::hash<std::string> {}(worker + '/' + relay.peer) % (1 << 30));
        return -relay.capacity.workersAsRelay() / std::log((hash + 1) / (steps + 1));
    }

    bool hasMoreCapacity(const RelayOffer* a, const RelayOffer* b)
    {
        const double left = a->capacity.workersAsRelay();
        const double right = b->capacity.workersAsRelay();
        return left != right ? left > right : a->peer < b->peer;
    }

} // namespace

double MachineCapacity::workersAsPlanner() const { return std::min(this->cores * workersPerCore, this->megabitsPerSecond * workersPerMegabit); }

double MachineCapacity::workersAsRelay() const { return this->workersAsPlanner() * relayLoadShare; }

void RelaySelector::addOffer(const RelayOffer& offer, Millis now)
{
    const auto [found, isNew] = this->offers.try_emplace(offer.peer);
    this->needsReassignment = this->needsReassignment || isNew || now - found->second.receivedAt > offerLifetime;
    found->second.offer = offer;
    found->second.receivedAt = now;
}

void RelaySelector::markRelayLost(const std::string& peer, Millis now)
{
    const auto found = this->offers.find(peer);
    if (found == this->offers.end())
        return;
    found->second.avoidedUntil = now + lostRelayBackoff;
    this->needsReassignment = true;
    this->nextReassignment = now;
}

void RelaySelector::setWorkers(std::vector<WorkerLocation> locations)
{
    std::set<std::string> present;
    for (WorkerLocation& location : locations) {
        present.insert(location.id);
        const auto [found, isNew] = this->workers.try_emplace(std::move(location.id));
        this->needsReassignment = this->needsReassignment || isNew;
        found->second.domain = std::move(location.domain);
    }
    std::erase_if(this->workers, [&](const auto& row) { return !present.contains(row.first); });
}

void RelaySelector::markRouteFailed(const std::string& worker, Millis now)
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end() || !found->second.relay)
        return;
    const bool wasDirect = now < found->second.directUntil;
    found->second.directUntil = wasDirect ? 0 : now + directRouteTime;
}

std::optional<std::string> RelaySelector::relayFor(const std::string& worker, Millis now)
{
    if (now >= this->nextReassignment)
        this->reassignIfChanged(now);
    const auto found = this->workers.find(worker);
    if (found == this->workers.end() || now < found->second.directUntil)
        return std::nullopt;
    return found->second.relay;
}

std::vector<const RelayOffer*> RelaySelector::usableOffers(Millis now) const
{
    std::vector<const RelayOffer*> found;
    for (const auto& [peer, row] : this->offers) {
        if (now - row.receivedAt <= offerLifetime && now >= row.avoidedUntil)
            found.push_back(&row.offer);
    }
    std::sort(found.begin(), found.end(), hasMoreCapacity);
    return found;
}

std::optional<std::string> RelaySelector::selectByHash(const std::string& worker, const std::vector<const RelayOffer*>& relays)
{
    std::optional<std::string> best;
    double highest = -1;
    for (const RelayOffer* relay : relays) {
        const double score = rendezvousScore(worker, *relay);
        if (score > highest) {
            highest = score;
            best = relay->peer;
        }
    }
    return best;
}

void RelaySelector::reassignIfChanged(Millis now)
{
    this->nextReassignment = now + reassignInterval;
    std::erase_if(this->offers, [&](const auto& row) { return now - row.second.receivedAt > offerLifetime + lostRelayBackoff; });
    const std::vector<const RelayOffer*> usable = this->usableOffers(now);
    std::vector<std::string> peers;
    peers.reserve(usable.size());
    for (const RelayOffer* relay : usable)
        peers.push_back(relay->peer);
    if (!this->needsReassignment && peers == this->candidatePeers)
        return;
    this->needsReassignment = false;
    this->candidatePeers = std::move(peers);
    this->assignRelays(usable);
}

void RelaySelector::assignRelays(const std::vector<const RelayOffer*>& usable)
{
    const bool needsRelays = static_cast<double>(this->workers.size()) > this->plannerCapacity.workersAsPlanner();
    std::map<std::string, double> unassignedWorkers; // Count by failure domain.
    for (const auto& [id, worker] : this->workers)
        ++unassignedWorkers[worker.domain];
    std::map<std::string, std::vector<const RelayOffer*>> relaysByDomain;
    std::vector<const RelayOffer*> allRelays;
    for (const RelayOffer* relay : usable) {
        double& remaining = unassignedWorkers[relay->domain];
        if (!needsRelays || remaining <= 0)
            continue;
        remaining -= relay->capacity.workersAsRelay();
        relaysByDomain[relay->domain].push_back(relay);
        allRelays.push_back(relay);
    }
    std::set<std::string> used;
    for (auto& [id, worker] : this->workers) {
        const auto domainRelays = relaysByDomain.find(worker.domain);
        worker.relay = selectByHash(id, domainRelays == relaysByDomain.end() ? allRelays : domainRelays->second);
        if (worker.relay)
            used.insert(*worker.relay);
    }
    this->activePeers.assign(used.begin(), used.end());
}

} // namespace rattan::delivery
