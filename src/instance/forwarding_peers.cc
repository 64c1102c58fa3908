#include "instance/forwarding_peers.h"

#include <algorithm>

namespace rattan::instance {

void ForwardingPeers::plannerSeen(const std::string& address)
{
    if (address.empty() || (!this->peers.empty() && this->peers.front().address == address))
        return;
    std::erase_if(this->peers, [&](const Peer& peer) { return peer.address == address; });
    this->peers.push_front({ address });
    if (this->peers.size() > maxPeers)
        this->peers.pop_back();
}

std::optional<std::string> ForwardingPeers::choose(Millis now, const std::set<std::string>& asked) const
{
    for (const Peer& peer : this->peers) {
        if (peer.address != this->ownAddress && now >= peer.avoidedUntil && !asked.contains(peer.address))
            return peer.address;
    }
    return std::nullopt;
}

void ForwardingPeers::markUnreachable(const std::string& address, Millis now)
{
    for (Peer& peer : this->peers) {
        if (peer.address == address)
            peer.avoidedUntil = now + peerRetryDelay;
    }
}

void ForwardingPeers::markReachable(const std::string& address)
{
    for (Peer& peer : this->peers) {
        if (peer.address == address)
            peer.avoidedUntil = 0;
    }
}

} // namespace rattan::instance
