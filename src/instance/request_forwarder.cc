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
    const std::string peer = this->peers.choose(this->clock.now()).value_or("");
    CallerRequest forwardedRequest = request;
    forwardedRequest.forwarded = true;
    forwardedRequest.timeout = this->remainingTime(request, waitTime);
    this->configurationSeen(ownAnswer.configurationVersion);
    http::Call call = this->protocol.encodeRequest(forwardedRequest);
    call.address = peer;
    call.purpose = "callers_relayed";
    call.timeout = std::chrono::milliseconds(forwardedRequest.timeout);
    call.connectTimeout = connectTimeout;
    call.canResend = true;
    const RequestKind kind = request.kind;
    const std::string jobId = request.path.substr(request.path.rfind('/') + 1);
    this->client.send(std::move(call), [this, peer, kind, jobId, ownAnswer, handler = std::move(handler)](const http::Reply& reply) {
        const std::optional<CallerAnswer> peerAnswer = reply.error ? std::nullopt : this->protocol.parseAnswer(kind, reply);
        if (peerAnswer)
            this->configurationSeen(peerAnswer->configurationVersion);
        const CallerAnswer answer = mergeForwardedAnswer({ kind, this->newestConfigurationVersion }, ownAnswer, peerAnswer, reply);
        if (peerAnswer) {
            this->peers.markReachable(peer);
            if (this->peerObserver)
                this->peerObserver(*peerAnswer);
            if (kind != RequestKind::State)
                logEvent(events::requestForwarded, { { "job", jobId }, { "peer", peer }, { "own", nameOf(ownAnswer.outcome) }, { "own_configuration", ownAnswer.configurationVersion }, { "newest_configuration", this->newestConfigurationVersion }, { "other", nameOf(peerAnswer->outcome) }, { "other_configuration", peerAnswer->configurationVersion }, { "transmissions", reply.transmissions }, { "told", nameOf(answer.outcome) } });
            return handler(answer);
        }
        this->peers.markUnreachable(peer, this->clock.now());
        logEvent(events::forwardFailed, { { "job", jobId }, { "peer", peer }, { "status", reply.status }, { "transmissions", reply.transmissions }, { "why", reply.error ? reply.error->message : "an answer that cannot be read" } });
        handler(answer);
    });
}

} // namespace rattan::instance
