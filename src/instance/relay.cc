#include "instance/relay.h"

#include "instance/events.h"
#include "instance/relay_answer.h"

#include <algorithm>
#include <utility>

namespace rattan::instance {

namespace {

    constexpr Millis usualPatience = 3000; // Of callers that do not tell theirs.
    constexpr Millis kept = 300; // Of a caller's patience, for the way back.
    constexpr Millis longest = 1500; // An append at a slow store and a retry of it.
    constexpr Millis shortest = 100; // With less left, a caller hears sooner by coming back.
    constexpr std::chrono::milliseconds connectTimeout { 250 }; // Ten times the way there and back between distant failure domains.

} // namespace

Relay::Relay(http::AsyncClient& client, const CallerProtocol& protocol, const Clock& clock, std::string own)
    : client(client)
    , protocol(protocol)
    , clock(clock)
    , peers(std::move(own))
{
}

Millis Relay::timeLeft(const CallerRequest& request, Millis waited) const
{
    const Millis patience = request.patience > 0 ? request.patience : usualPatience;
    return std::min({ patience - waited - kept, longest, this->lastAnswerAt - this->clock.now() });
}

bool Relay::wants(const CallerRequest& request, const CallerAnswer& answer, Millis waited) const
{
    return answer.wantsStore && !request.relayed && this->timeLeft(request, waited) >= shortest && this->peers.choose(this->clock.now()).has_value();
}

void Relay::pass(const CallerRequest& request, const CallerAnswer& own, Millis waited, Handler handler)
{
    const std::string peer = this->peers.choose(this->clock.now()).value_or("");
    CallerRequest passed = request;
    passed.relayed = true;
    passed.patience = this->timeLeft(request, waited);
    http::Call call = this->protocol.encodeRequest(passed);
    call.address = peer;
    call.purpose = "callers_relayed";
    call.timeout = std::chrono::milliseconds(passed.patience);
    call.connectTimeout = connectTimeout;
    call.canResend = true;
    const RequestKind kind = request.kind;
    const std::string job = request.path.substr(request.path.rfind('/') + 1);
    this->client.send(std::move(call), [this, peer, kind, job, own, handler = std::move(handler)](const http::Reply& reply) {
        const std::optional<CallerAnswer> other = reply.error ? std::nullopt : this->protocol.parseAnswer(kind, reply);
        const CallerAnswer answer = answerAfterRelay(kind, own, other, reply);
        if (other) {
            this->peers.answered(peer);
            if (kind != RequestKind::State)
                logEvent(events::passedOn, { { "job", job }, { "peer", peer }, { "own", nameOf(own.outcome) }, { "own_configuration", own.configurationVersion }, { "other", nameOf(other->outcome) }, { "other_configuration", other->configurationVersion }, { "transmissions", reply.transmissions }, { "told", nameOf(answer.outcome) } });
            return handler(answer);
        }
        this->peers.failed(peer, this->clock.now());
        logEvent(events::relayFailed, { { "job", job }, { "peer", peer }, { "status", reply.status }, { "transmissions", reply.transmissions }, { "why", reply.error ? reply.error->message : "an answer that cannot be read" } });
        handler(answer);
    });
}

} // namespace rattan::instance
