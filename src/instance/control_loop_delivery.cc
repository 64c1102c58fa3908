// Relays orders for the planning instance, and uses other instances as relays while planning.

#include "delivery/relay_offer.h"
#include "instance/control_loop.h"
#include "instance/control_loop_limits.h"
#include "instance/events.h"

namespace rattan::instance {

using namespace detail;

// Without the delivery thread, this instance plans without relays and is no relay itself.
void ControlLoop::startDeliveryThread()
{
    if (this->settings.peerAddress.empty())
        return;
    if (const auto error = attemptVoid([&] { return this->deliveryThread.start(); }))
        logEvent(events::relayingUnavailable, { { "address", this->settings.peerAddress }, { "why", error->message } });
    this->deliveryThreadFailed = this->deliveryThread.hasFailed();
}

// Each session has its own group of calls with a negative number; terms use positive numbers.
std::unique_ptr<delivery::WorkerChannel> ControlLoop::channelFor(std::uint64_t session)
{
    const int group = -static_cast<int>(session);
    return std::make_unique<delivery::DirectChannel>(this->client, this->protocols.workers, group, [this](const delivery::WorkerCall& call) { return this->maySend(call); });
}

void ControlLoop::processDeliveryEvents(Millis now)
{
    if (this->deliveryThread.hasFailed() && !this->deliveryThreadFailed) {
        this->deliveryThreadFailed = true;
        logEvent(events::relayingUnavailable, { { "address", this->settings.peerAddress }, { "why", "its thread has ended" } });
    }
    while (const auto event = this->deliveryThread.next())
        std::visit([&](const auto& delivered) { this->handleDelivery(delivered, now); }, *event);
    this->orderForwarder.step(now);
    this->sendRelayOffer(now);
}

void ControlLoop::handleDelivery(const delivery::AnswersReceived& answers, Millis now)
{
    if (this->leadership)
        this->leadership->answersReceived(answers, now);
}

void ControlLoop::handleDelivery(const delivery::PeerLost& peer, Millis now)
{
    if (this->leadership)
        this->leadership->peerLost(peer, now);
}

void ControlLoop::handleDelivery(const delivery::ArrivalCheck& check, Millis now)
{
    if (this->leadership)
        this->leadership->arrivalsChecked(check, now);
}

// Offers are sent only while the job table is recent, since sending a start requires its job.
void ControlLoop::sendRelayOffer(Millis now)
{
    const bool hasRecentJobs = this->jobsReader.loaded() && now - this->jobsReader.confirmedAt() <= maxJobsAgeForRelaying;
    if (now < this->nextOfferAt || !hasRecentJobs || this->deliveryThreadFailed || this->draining || this->election.leads(now))
        return;
    const std::string planner = this->peerAddressOf(this->election.newestClaim().holder);
    if (planner.empty())
        return;
    this->nextOfferAt = now + offerInterval;
    const delivery::RelayOffer offer { .peer = {}, .domain = this->settings.domain, .capacity = { this->settings.processorCores, this->settings.linkMegabitsPerSecond } };
    this->peerSocket.send(planner, delivery::encodeOffer(offer));
}

} // namespace rattan::instance
