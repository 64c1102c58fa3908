// What the streams of the store tell: jobs, the operators' configuration, claims.

#include "instance/claim_record.h"
#include "instance/control_loop.h"
#include "instance/events.h"

namespace rattan::instance {

void ControlLoop::recordRead(Stream stream, const StoreRecord& record, Millis now)
{
    switch (stream) {
    case Stream::Jobs:
        return this->jobRecordRead(record, now);
    case Stream::Configuration:
        return this->configurationRecordRead(record);
    case Stream::Claims:
        return this->claimRecordRead(record, now);
    case Stream::Plans:
        return this->plans.apply(record.key, record.value, record.offset);
    case Stream::Workers:
        return; // Read by whoever leads.
    }
}

void ControlLoop::loadBegun(Stream stream)
{
    if (stream == Stream::Plans)
        this->plans.clear();
}

void ControlLoop::jobRecordRead(const StoreRecord& record, Millis now)
{
    const auto change = this->jobs.apply(record.key, record.value, record.offset, now);
    if (!change)
        return;
    this->gateway.jobChanged(change->job, now);
    if (this->leadership)
        this->leadership->jobChanged(*change, now, this->clock.wall());
}

void ControlLoop::configurationRecordRead(const StoreRecord& record)
{
    if (!this->protocols.text.isConfiguration(record.key) || record.value.empty())
        return;
    Attempt<tasks::Catalog> text = attempt([&] { return this->protocols.text.parseConfiguration(record.value); });
    if (!text.value) {
        logEvent(events::configurationUnreadable, { { "key", record.key }, { "offset", record.offset }, { "why", text.error.message } });
        return;
    }
    if (text.value->version < this->catalog->version)
        return;
    const bool newer = text.value->version > this->catalog->version;
    this->catalog = std::make_shared<const tasks::Catalog>(std::move(*text.value));
    this->gateway.configurationRead(this->catalog);
    if (this->leadership)
        this->leadership->applyCatalog(this->catalog);
    if (newer)
        logEvent(events::configurationInForce, { { "version", this->catalog->version }, { "queues", this->catalog->queues.size() }, { "offset", record.offset } });
}

void ControlLoop::claimRecordRead(const StoreRecord& record, Millis now)
{
    if (record.value.empty())
        return;
    const Attempt<tasks::Claim> claim = attempt([&] { return decodeClaim(record.value); });
    if (!claim.value) {
        logEvent(events::recordUnreadable, { { "stream", "claims" }, { "key", record.key }, { "why", claim.error.message } });
        return;
    }
    this->carrier.claimed(claim.value->term);
    if (claim.value->holder != this->election.newestClaim().holder) {
        this->offerAt = 0; // The planner that follows needs helpers at once.
        logEvent(events::leadSeen, { { "term", claim.value->term }, { "holder", claim.value->holder } });
    }
    this->election.didReadClaim(*claim.value, record.offset, now);
    this->relay.planned(addressOfHolder(claim.value->holder));
    this->plannerWatch.claimed({ claim.value->term, this->peerOf(claim.value->holder) }, now);
}

void ControlLoop::streamConfirmed(Stream stream, std::int64_t end, Millis confirmedAt, Millis now)
{
    bool& known = this->reachable[stream];
    if (!known)
        logEvent(events::storeRegained, { { "stream", nameOf(stream) }, { "end", end } });
    if (!known && stream == Stream::Claims)
        this->election.didRegainLog(now);
    known = true;
    if (stream == Stream::Configuration)
        this->gateway.configurationConfirmed(confirmedAt);
    if (stream == Stream::Claims)
        this->election.didReachEnd(end);
    if (stream == Stream::Plans && this->leadership)
        this->leadership->plansConfirmed(confirmedAt, now, this->clock.wall());
    if (stream != Stream::Jobs)
        return;
    this->gateway.jobsRead(confirmedAt, now);
    if (this->leadership)
        this->leadership->jobsConfirmed(confirmedAt, now, this->clock.wall());
}

void ControlLoop::streamFailed(Stream stream, const std::string& why, Millis now)
{
    if (stream == Stream::Claims)
        this->election.didRegainLog(now);
    this->metrics.count("rattan_store_failures_total", { { "stream", std::string(nameOf(stream)) } });
    bool& known = this->reachable[stream];
    if (known)
        logEvent(events::storeLost, { { "stream", nameOf(stream) }, { "why", why } });
    known = false;
}

} // namespace rattan::instance
