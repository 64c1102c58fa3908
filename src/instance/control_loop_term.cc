// Terms of planning: claims, detection of a failed planner, and leadership.

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
    if (this->election.needsLogRead())
        this->claimsReader.probe();
    const bool isWeak = this->settings.processorCores < minPlanningCores;
    if (this->claimInFlight || (isWeak && !this->election.leads(now) && now - this->claimsReader.confirmedAt() > maxWeakClaimsAge))
        return;
    if (this->election.wouldClaim(now) && !this->isReadyToClaim(now))
        return;
    if (const std::optional<tasks::Election::Append> append = this->election.step(now))
        this->sendClaim(*append);
}

// Requires the plans to be loaded before a claim. Over a narrow link, loading them takes longer
// than a term, and the response to the renewal queues behind them. If the claim came first, this
// term and each later one would be lost before planning begins.
bool ControlLoop::isReadyToClaim(Millis now)
{
    const bool isFresh = this->plansReader.loaded() && now - this->plansReader.confirmedAt() <= maxPlansAge;
    if (!isFresh)
        this->plansReader.step(now);
    return isFresh;
}

void ControlLoop::sendClaim(const tasks::Election::Append& append)
{
    http::Call call = this->protocols.store.append(Stream::Claims, { { std::string(claimKey), encodeClaim(append.claim), 0 } }, { .expectedEnd = append.offset, .producer = std::nullopt });
    call.purpose = "claim";
    call.address = this->settings.storeAddress;
    call.timeout = std::chrono::milliseconds(claimTimeout);
    call.connectTimeout = connectTimeout;
    this->claimInFlight = true;
    this->metrics.count("rattan_store_calls_total", { { "call", "claim" } });
    this->client.send(std::move(call), [this](const http::Reply& reply) {
        this->claimInFlight = false;
        const AppendStatus status = this->protocols.store.parseAppend(reply).status;
        const AppendOutcome outcome = status == AppendStatus::Appended ? AppendOutcome::Appended
            : status == AppendStatus::EndMoved                         ? AppendOutcome::EndMoved
            : status == AppendStatus::NotAppended                      ? AppendOutcome::NotAppended
                                                                       : AppendOutcome::Unknown;
        this->election.didAppend(outcome, this->clock.now());
    });
}

// Without the socket, and also if its datagrams are lost, this instance detects a failed planner
// only by the end of the planner's term.
void ControlLoop::openPeerSocket()
{
    if (this->settings.peerAddress.empty())
        return;
    if (const auto error = attemptVoid([&] { return this->peerSocket.open(this->settings.peerAddress); }))
        logEvent(events::watchUnavailable, { { "address", this->settings.peerAddress }, { "why", error->message } });
}

void ControlLoop::receiveDatagrams(Millis now)
{
    while (const auto datagram = this->peerSocket.receive()) {
        if (const auto offer = delivery::parseOffer(datagram->from, datagram->text))
            this->relaySelector.addOffer(*offer, now);
        else
            this->plannerWatch.handleDatagram(datagram->from, datagram->text, now);
    }
}

void ControlLoop::watchPlanner(Millis now)
{
    this->receiveDatagrams(now);
    const std::int64_t ownTerm = this->election.leads(now) ? this->election.term() : 0;
    const bool canPlan = this->settings.processorCores >= minPlanningCores;
    for (const WatchMessage& message : this->plannerWatch.step(ownTerm, this->election.renewalFailed(), now)) {
        if (ownTerm > 0 || canPlan)
            this->peerSocket.send(message.peer, message.text);
    }
    if (ownTerm == 0 && this->plannerWatch.hasPlannerFailed(now))
        this->election.suspectHolder(now);
}

// The datagram address of the holder of a claim, or empty if unknown or this instance. All
// instances use the same port.
std::string ControlLoop::peerAddressOf(const std::string& holder) const
{
    const std::string& ownPeerAddress = this->settings.peerAddress;
    const std::string address = addressOfHolder(holder);
    if (ownPeerAddress.empty() || address.empty() || address == this->settings.callerAddress)
        return {};
    return address.substr(0, address.rfind(':')) + ownPeerAddress.substr(ownPeerAddress.rfind(':'));
}

void ControlLoop::stepLeadership(Millis now, Millis wallTime)
{
    const bool isLeader = this->election.leads(now);
    if (this->leadership && (!isLeader || this->leadership->term() != this->election.term()))
        this->endTerm("the term was not renewed in time");
    if (this->leadership && this->leadership->isLost()) {
        this->election.resign();
        this->endTerm("a later term is known to workers or the store");
    }
    if (!this->election.leads(now))
        return;
    this->client.setGroup(static_cast<int>(this->election.term()));
    if (!this->leadership) {
        const TermServices services { this->client, this->protocols.store, this->protocols.workers, this->relaySelector, this->deliveryThread, this->clock, this->election, this->settings, this->metrics, [this](const delivery::WorkerCall& call) { return this->maySend(call); } };
        this->metrics.count("rattan_terms_total", { { "event", "taken" } });
        this->leadership = std::make_unique<Leadership>(this->election.term(), services, this->jobs, this->plans);
        this->leadership->applyCatalog(this->catalog);
        this->leadership->setEvacuatedDomains(this->evacuatedDomains, now);
    }
    this->leadership->step(now, wallTime);
    this->client.setGroup(0);
    if (this->leadership->needsPlans())
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
