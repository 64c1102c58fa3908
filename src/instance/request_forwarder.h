#pragma once

// Passes callers' requests on to another instance, while this one is cut off from the
// store and that one is not.
//
//     Relay relay(client, protocol, clock, "10.1.0.7:8287");
//     relay.planned("10.2.0.9:8287");
//     if (relay.wants(request, answer, waited))
//         relay.pass(request, answer, waited, [&](const CallerAnswer& final) { ... });
//
// What goes wrong without it: the store turns some instances away, and whoever is
// connected to one of these is told to come back in a second, or hears states from
// before the cut; an urgent job has a second and a half to spare. One notices by
// refusals on some instances only. A request is passed on once at the most: the
// instance that gets it answers itself. An answer is never made worse: where this
// instance does not know what became of a request, a refusal of the other one does not
// say that it never ran. Handlers run on the thread of the client.

#include "http/async_client.h"
#include "instance/caller_protocol.h"
#include "instance/forwarding_peers.h"

#include <functional>
#include <limits>
#include <string>

namespace rattan::instance {

class RequestForwarder {
public:
    using Handler = std::function<void(const CallerAnswer&)>;

    RequestForwarder(http::AsyncClient&, const CallerProtocol&, const Clock&, std::string ownAddress);

    // The instance at this address holds the newest claim.
    void plannerSeen(const std::string& address) { this->peers.plannerSeen(address); }

    // This instance stops: no answer is waited for after that.
    void setAnswerDeadline(Millis at) { this->answerDeadline = at; }

    // Whether another instance may know better than this answer, and there is time to
    // ask it; the caller has waited so long already.
    bool shouldForward(const CallerRequest&, const CallerAnswer&, Millis waitTime) const;

    // Calls the handler exactly once: with the other's answer, or with the given one.
    void forward(const CallerRequest&, const CallerAnswer& ownAnswer, Millis waitTime, Handler);

private:
    Millis remainingTime(const CallerRequest&, Millis waitTime) const;

    http::AsyncClient& client;
    const CallerProtocol& protocol;
    const Clock& clock;
    ForwardingPeers peers;
    Millis answerDeadline { std::numeric_limits<Millis>::max() };
};

} // namespace rattan::instance
