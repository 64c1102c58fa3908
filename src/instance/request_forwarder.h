#pragma once

// Forwards callers' requests to another instance while this instance cannot reach the store
// and the other one can.
//
//     RequestForwarder forwarder(client, protocol, clock, "10.1.0.7:8287");
//     forwarder.plannerSeen("10.2.0.9:8287");
//     if (forwarder.shouldForward(request, answer, waitTime))
//         forwarder.forward(request, answer, waitTime, [&](const CallerAnswer& final) { ... });
//
// Failure that this prevents: the store rejects some instances. Their callers are told to
// retry in a second, or get job states from before the cut, while an urgent job can afford a
// delay of 1.5 s. The symptom is refusals on some instances only.
//
// The instance that receives a forwarded request answers it, and never forwards it. If it did
// nothing because it too lacks the store or the newest configuration, the next peer is asked, within
// the caller's time; at most three are. Forwarding never weakens an answer: if the outcome of a
// request is unknown here, a refusal of the other instance does not turn it into "not run". Handlers
// run on the client's thread.

#include "http/async_client.h"
#include "instance/caller_protocol.h"
#include "instance/forwarding_peers.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace rattan::instance {

class RequestForwarder {
public:
    using Handler = std::function<void(const CallerAnswer&)>;

    // Called with each answer of another instance, before it is merged with this instance's own one.
    using PeerObserver = std::function<void(const CallerAnswer&)>;

    RequestForwarder(http::AsyncClient&, const CallerProtocol&, const Clock&, std::string ownAddress);

    // Reports that the instance at this address holds the newest claim.
    void plannerSeen(const std::string& address) { this->peers.plannerSeen(address); }

    // Reports that this configuration version exists, in use here or not. Answers based on an older
    // version are discarded if they arrive later, unless the request was carried out.
    void configurationSeen(std::int64_t version) { this->newestConfigurationVersion = std::max(this->newestConfigurationVersion, version); }

    void setPeerObserver(PeerObserver observer) { this->peerObserver = std::move(observer); }

    // Sets the time after which no answer of another instance is awaited. Used at shutdown.
    void setAnswerDeadline(Millis at) { this->answerDeadline = at; }

    // Whether there is an instance to which requests can be forwarded.
    bool hasPeer() const { return this->peers.choose(this->clock.now()).has_value(); }

    // Whether another instance may have a better answer and there is enough time to get it.
    // `waitTime` is how long the caller has waited already.
    bool shouldForward(const CallerRequest&, const CallerAnswer&, Millis waitTime) const;

    // Forwards the request and calls the handler exactly once, with the answer that results
    // from the other instance's answer and this instance's own one.
    void forward(const CallerRequest&, const CallerAnswer& ownAnswer, Millis waitTime, Handler);

private:
    // A request whose handler was not called yet.
    struct ForwardedCall {
        CallerRequest request;
        CallerAnswer ownAnswer;
        Millis deadline { 0 };
        std::set<std::string> askedPeers;
        Handler handler;
    };

    Millis remainingTime(const CallerRequest&, Millis waitTime) const;
    void askNextPeer(std::uint64_t id);
    void handleReply(std::uint64_t id, const std::string& peer, const http::Reply&);
    bool shouldAskNextPeer(const ForwardedCall&, const std::optional<CallerAnswer>& peerAnswer, const http::Reply&) const;

    http::AsyncClient& client;
    const CallerProtocol& protocol;
    const Clock& clock;
    ForwardingPeers peers;
    PeerObserver peerObserver;
    std::map<std::uint64_t, ForwardedCall> forwardedCalls; // By id; at most one for each unanswered request.
    std::uint64_t lastCallId { 0 };
    std::int64_t newestConfigurationVersion { 0 };
    Millis answerDeadline { std::numeric_limits<Millis>::max() };
};

} // namespace rattan::instance
