#include "instance/request_forwarder.h"

#include "instance/events.h"
#include "instance/forwarded_answer.h"

#include <algorithm>
#include <utility>

namespace rattan::instance {

namespace {

    constexpr Millis defaultCallerTimeout = 3000; // For callers that do not send a timeout.
    constexpr Millis responseMargin = 300; // Part of the caller's timeout that is reserved for sending the answer.
    constexpr Millis maxForwardTime = 1500; // Enough for an append at a slow store and one retry.
    constexpr Millis minForwardTime = 100; // With less time left, a retry by the caller is faster.
    constexpr std::chrono::milliseconds connectTimeout { 250 }; // Ten round trips between distant failure domains.

} // namespace

RequestForwarder::RequestForwarder(http::AsyncClient& client, const CallerProtocol& protocol, const Clock& clock, std::string ownAddress)
    : client(client)
    , protocol(protocol)
    , clock(clock)
    , peers(std::move(ownAddress))
{
}

Millis RequestForwarder::remainingTime(const CallerRequest& request, Millis waitTime) const
{
    const Millis callerTimeout = request.timeout > 0 ? request.timeout : defaultCallerTimeout;
    return std::min({ callerTimeout - waitTime - responseMargin, maxForwardTime, this->answerDeadline - this->clock.now() });
}

bool RequestForwarder::shouldForward(const CallerRequest& request, const CallerAnswer& answer, Millis waitTime) const
{
    return answer.canPeerHelp && !request.forwarded && this->remainingTime(request, waitTime) >= minForwardTime && this->peers.choose(this->clock.now()).has_value();
}

void RequestForwarder::forward(const CallerRequest& request, const CallerAnswer& ownAnswer, Millis waitTime, Handler handler)
{
    this->configurationSeen(ownAnswer.configurationVersion);
    const std::uint64_t id = ++this->lastCallId;
    this->forwardedCalls.emplace(id, ForwardedCall { request, ownAnswer, this->clock.now() + this->remainingTime(request, waitTime), {}, std::move(handler) });
    this->askNextPeer(id);
}

void RequestForwarder::askNextPeer(std::uint64_t id)
{
    ForwardedCall& forwarded = this->forwardedCalls.at(id);
    const Millis now = this->clock.now();
    const std::string peer = this->peers.choose(now, forwarded.askedPeers).value_or("");
    forwarded.askedPeers.insert(peer);
    CallerRequest request = forwarded.request;
    request.forwarded = true;
    request.timeout = forwarded.deadline - now;
    http::Call call = this->protocol.encodeRequest(request);
    call.address = peer;
    call.purpose = "callers_relayed";
    call.timeout = std::chrono::milliseconds(request.timeout);
    call.connectTimeout = connectTimeout;
    call.canResend = true;
    this->client.send(std::move(call), [this, id, peer](const http::Reply& reply) { this->handleReply(id, peer, reply); });
}

void RequestForwarder::handleReply(std::uint64_t id, const std::string& peer, const http::Reply& reply)
{
    const ForwardedCall& forwarded = this->forwardedCalls.at(id);
    const RequestKind kind = forwarded.request.kind;
    const std::string jobId = forwarded.request.path.substr(forwarded.request.path.rfind('/') + 1);
    const std::optional<CallerAnswer> peerAnswer = reply.error ? std::nullopt : this->protocol.parseAnswer(kind, reply);
    if (peerAnswer) {
        this->configurationSeen(peerAnswer->configurationVersion);
        this->peers.markReachable(peer);
        if (this->peerObserver)
            this->peerObserver(*peerAnswer);
    } else {
        this->peers.markUnreachable(peer, this->clock.now());
    }
    const CallerAnswer answer = mergeForwardedAnswer({ kind, this->newestConfigurationVersion }, forwarded.ownAnswer, peerAnswer, reply);
    const bool asksNext = this->shouldAskNextPeer(forwarded, peerAnswer, reply);
    const std::string_view told = asksNext ? "next_peer" : nameOf(answer.outcome);
    if (!peerAnswer)
        logEvent(events::forwardFailed, { { "job", jobId }, { "peer", peer }, { "status", reply.status }, { "transmissions", reply.transmissions }, { "why", reply.error ? reply.error->message : "an answer that cannot be read" }, { "told", told } });
    else if (kind != RequestKind::State)
        logEvent(events::requestForwarded, { { "job", jobId }, { "peer", peer }, { "own", nameOf(forwarded.ownAnswer.outcome) }, { "own_configuration", forwarded.ownAnswer.configurationVersion }, { "newest_configuration", this->newestConfigurationVersion }, { "other", nameOf(peerAnswer->outcome) }, { "other_configuration", peerAnswer->configurationVersion }, { "transmissions", reply.transmissions }, { "told", told } });
    if (asksNext)
        return this->askNextPeer(id);
    this->forwardedCalls.extract(id).mapped().handler(answer);
}

// Only if this peer certainly did nothing: otherwise its answer counts, and the outcome may be unknown.
bool RequestForwarder::shouldAskNextPeer(const ForwardedCall& forwarded, const std::optional<CallerAnswer>& peerAnswer, const http::Reply& reply) const
{
    const Millis now = this->clock.now();
    if (std::min(forwarded.deadline, this->answerDeadline) - now < minForwardTime || !this->peers.choose(now, forwarded.askedPeers))
        return false;
    if (!peerAnswer)
        return reply.sendOutcome == http::SendOutcome::NotSent;
    const bool didNothing = !isDone(*peerAnswer) && peerAnswer->outcome != Outcome::Unknown && (!reply.wasResent() || forwarded.request.kind == RequestKind::State);
    const bool isRefusal = peerAnswer->outcome == Outcome::NotNow && peerAnswer->canPeerHelp;
    return didNothing && (isRefusal || peerAnswer->configurationVersion < this->newestConfigurationVersion);
}

} // namespace rattan::instance
