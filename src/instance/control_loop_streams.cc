// Handles events of the store's streams: jobs, the operators' configuration, claims and plans.

#include "instance/claim_record.h"
#include "instance/control_loop.h"
#include "instance/events.h"

namespace rattan::instance {

void ControlLoop::recordRead(Stream stream, const StoreRecord& record, Millis now)
{
    this->gateway.storeAnswered(now);
    switch (stream) {
    case Stream::Jobs:
        return this->handleJobRecord(record, now);
    case Stream::Configuration:
        return this->handleConfigurationRecord(record, now);
    case Stream::Claims:
        return this->handleClaimRecord(record, now);
    case Stream::Plans:
        return this->plans.apply(record.key, record.value, record.offset);
    case Stream::Workers:
        return; // Read by Leadership.
    }
}

void ControlLoop::loadStarted(Stream stream)
{
    if (stream == Stream::Plans)
        this->plans.clear();
    if (stream == Stream::Jobs)
        this->jobs.beginLoad();
    if (stream == Stream::Configuration)
        this->evacuatedDomains.beginLoad();
}

void ControlLoop::handleJobRecord(const StoreRecord& record, Millis now)
{
    if (this->gateway.loadRecordRead(record, now))
        return;
    const auto change = this->jobs.apply(record.key, record.value, record.offset, now);
    if (!change)
        return;
    if (const tasks::JobEntry* entry = this->jobs.find(change->job); entry && entry->job)
        this->configurationSeen(entry->job->terms.version);
    this->gateway.jobChanged(change->job, now);
    if (this->leadership)
        this->leadership->jobChanged(*change, now, this->clock.wall());
}

void ControlLoop::handleConfigurationRecord(const StoreRecord& record, Millis now)
{
    if (const auto domain = this->protocols.configuration.evacuatedDomain(record.key))
        return this->handleEvacuationRecord(*domain, record, now);
    if (!this->protocols.configuration.isConfiguration(record.key) || record.value.empty())
        return;
    Attempt<tasks::Catalog> parsed = attempt([&] { return this->protocols.configuration.parseConfiguration(record.value); });
    if (!parsed.value) {
        logEvent(events::configurationUnreadable, { { "key", record.key }, { "offset", record.offset }, { "why", parsed.error.message } });
        return;
    }
    if (parsed.value->version < this->catalog->version)
        return;
    const bool isNewer = parsed.value->version > this->catalog->version;
    this->catalog = std::make_shared<const tasks::Catalog>(std::move(*parsed.value));
    this->gateway.configurationUpdated(this->catalog);
    this->bodyLimit = this->catalog->maxBodyBytes;
    this->configurationSeen(this->catalog->version);
    if (this->leadership)
        this->leadership->applyCatalog(this->catalog);
    if (isNewer)
        logEvent(events::configurationInForce, { { "version", this->catalog->version }, { "queues", this->catalog->queues.size() }, { "offset", record.offset } });
}

void ControlLoop::handleClaimRecord(const StoreRecord& record, Millis now)
{
    if (record.value.empty())
        return;
    const Attempt<tasks::Claim> claim = attempt([&] { return decodeClaim(record.value); });
    if (!claim.value) {
        logEvent(events::recordUnreadable, { { "stream", "claims" }, { "key", record.key }, { "why", claim.error.message } });
        return;
    }
    this->orderForwarder.handleNewTerm(claim.value->term);
    if (claim.value->holder != this->election.newestClaim().holder) {
        this->nextOfferAt = 0; // A new planner needs relays immediately.
        logEvent(events::leadSeen, { { "term", claim.value->term }, { "holder", claim.value->holder } });
    }
    this->election.didReadClaim(*claim.value, record.offset, now);
    this->requestForwarder.plannerSeen(addressOfHolder(claim.value->holder));
    this->plannerWatch.plannerChanged({ claim.value->term, this->peerAddressOf(claim.value->holder) }, now);
}

void ControlLoop::streamConfirmed(Stream stream, std::int64_t end, Millis confirmedAt, Millis now)
{
    this->gateway.storeAnswered(now);
    bool& isReachable = this->reachableStreams[stream];
    if (!isReachable)
        logEvent(events::storeRegained, { { "stream", nameOf(stream) }, { "end", end } });
    if (!isReachable && stream == Stream::Claims)
        this->election.didRegainLog(now);
    isReachable = true;
    for (StreamReader* reader : { &this->configurationReader, &this->jobsReader, &this->claimsReader })
        reader->storeAnswered(now);
    if (stream == Stream::Configuration) {
        this->endEvacuationLoad(now);
        this->gateway.configurationConfirmed(confirmedAt);
        if (this->leadership)
            this->leadership->configurationConfirmed(confirmedAt, now, this->clock.wall());
    }
    if (stream == Stream::Claims)
        this->election.didReachEnd(end);
    if (stream == Stream::Claims)
        this->election.didConfirmLog(confirmedAt, now);
    if (stream == Stream::Plans && this->leadership)
        this->leadership->plansConfirmed(confirmedAt, now, this->clock.wall());
    if (stream != Stream::Jobs)
        return;
    this->gateway.jobsConfirmed(confirmedAt, now);
    if (this->leadership)
        this->leadership->jobsConfirmed(confirmedAt, now, this->clock.wall());
}

void ControlLoop::streamFailed(Stream stream, const std::string& why, Millis now)
{
    if (stream == Stream::Claims)
        this->election.didRegainLog(now);
    if (stream == Stream::Jobs)
        this->gateway.jobsReadFailed(now);
    this->metrics.count("rattan_store_failures_total", { { "stream", std::string(nameOf(stream)) } });
    bool& isReachable = this->reachableStreams[stream];
    if (isReachable)
        logEvent(events::storeLost, { { "stream", nameOf(stream) }, { "why", why } });
    isReachable = false;
}

} // namespace rattan::instance
