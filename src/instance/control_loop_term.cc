// Terms of planning: claiming, noticing that the planner is gone, and leading.

#include "delivery/relay_offer.h"
#include "instance/claim_record.h"
#include "instance/control_loop.h"
#include "instance/control_loop_limits.h"
#include "instance/events.h"

namespace rattan::instance {

using namespace detail;
using tasks::AppendOutcome;

void ControlLoop::runElection(Millis now)
{
    if (this->draining)
        this->election.retire();
    const bool isWeak = this->settings.processorShare < enoughToPlan;
    if (this->claimUnderWay || (isWeak && !this->election.leads(now) && now - this->claimsReader.confirmedAt() > weakClaimsTrusted))
        return;
    if (this->election.wantsToClaim(now) && !this->readyToClaim(now))
        return;
    if (const std::optional<tasks::Election::Append> append = this->election.step(now))
        this->sendClaim(*append);
}

// Over a narrow link the plans take longer to load than a term lasts, and the answer to its
// renewal waits behind them: claimed first, the term would be lost before it begins, and
// the next one too.
bool ControlLoop::readyToClaim(Millis now)
{
    const bool isFresh = this->plansReader.loaded() && now - this->plansReader.confirmedAt() <= plansFresh;
    if (!isFresh)
        this->plansReader.step(now);
    return isFresh;
}

void ControlLoop::sendClaim(const tasks::Election::Append& append)
{
    http::Call call = this->protocols.store.append(Stream::Claims, { { std::string(claimKey), encodeClaim(append.claim), 0 } }, { .at = append.at, .producer = std::nullopt });
    call.purpose = "claim";
    call.address = this->settings.storeAddress;
    call.timeout = std::chrono::milliseconds(claimTimeout);
    call.connectTimeout = connectTimeout;
    this->claimUnderWay = true;
    this->metrics.count("rattan_store_calls_total", { { "call", "claim" } });
    this->client.send(std::move(call), [this](const http::Reply& reply) {
        this->claimUnderWay = false;
        const AppendStatus status = this->protocols.store.parseAppend(reply).status;
        const AppendOutcome outcome = status == AppendStatus::Appended ? AppendOutcome::Appended
            : status == AppendStatus::Elsewhere                        ? AppendOutcome::Elsewhere
            : status == AppendStatus::NotDone                          ? AppendOutcome::NotDone
                                                                       : AppendOutcome::Unknown;
        this->election.appended(outcome, this->clock.now());
    });
}

// Without the socket this instance waits for terms to run out, as it does where its
// datagrams do not get through.
void ControlLoop::openPeerSocket()
{
    if (this->settings.peerAddress.empty())
        return;
    if (const auto error = attemptVoid([&] { return this->peerSocket.open(this->settings.peerAddress); }))
        logEvent(events::watchImpossible, { { "address", this->settings.peerAddress }, { "why", error->message } });
}

void ControlLoop::receiveDatagrams(Millis now)
{
    while (const auto datagram = this->peerSocket.receive()) {
        if (const auto offer = delivery::parseOffer(datagram->from, datagram->text))
            this->roster.offered(*offer, now);
        else
            this->plannerWatch.received(datagram->from, datagram->text, now);
    }
}

void ControlLoop::watchPlanner(Millis now)
{
    this->receiveDatagrams(now);
    const std::int64_t ownTerm = this->election.leads(now) ? this->election.term() : 0;
    const bool asks = this->settings.processorShare >= enoughToPlan;
    for (const WatchMessage& message : this->plannerWatch.step(ownTerm, this->election.renewalFailed(), now)) {
        if (ownTerm > 0 || asks)
            this->peerSocket.send(message.peer, message.text);
    }
    if (ownTerm == 0 && this->plannerWatch.plannerGone(now))
        this->election.suspect(now);
}

// Where the holder of a claim takes datagrams: all instances use the same port.
std::string ControlLoop::peerOf(const std::string& holder) const
{
    const std::string& own = this->settings.peerAddress;
    const std::string address = addressOfHolder(holder);
    if (own.empty() || address.empty() || address == this->settings.callerAddress)
        return {};
    return address.substr(0, address.rfind(':')) + own.substr(own.rfind(':'));
}

void ControlLoop::lead(Millis now, Millis wall)
{
    const bool leads = this->election.leads(now);
    if (this->leadership && (!leads || this->leadership->term() != this->election.term()))
        this->endTerm("the term was not renewed in time");
    if (this->leadership && this->leadership->lost()) {
        this->election.resign();
        this->endTerm("a later term is known to workers or the store");
    }
    if (!this->election.leads(now))
        return;
    this->client.setGroup(static_cast<int>(this->election.term()));
    if (!this->leadership) {
        const TermServices services { this->client, this->protocols.store, this->protocols.workers, this->roster, this->deliveries, this->clock, this->election, this->settings, this->metrics };
        this->metrics.count("rattan_terms_total", { { "event", "taken" } });
        this->leadership = std::make_unique<Leadership>(this->election.term(), services, this->jobs, this->plans);
        this->leadership->applyCatalog(this->catalog);
    }
    this->leadership->step(now, wall);
    this->client.setGroup(0);
    if (this->leadership->wantsPlans())
        this->plansReader.step(now);
}

void ControlLoop::endTerm(const char* why)
{
    if (!this->leadership)
        return;
    this->metrics.count("rattan_terms_total", { { "event", "ended" } });
    logEvent(events::leadLost, { { "term", this->leadership->term() }, { "why", why } });
    this->leadership.reset();
}

} // namespace rattan::instance
