#include "instance/worker_list.h"

#include "instance/events.h"

namespace rattan::instance {

WorkerList::WorkerList(const delivery::WorkerProtocol& protocol, Metrics& metrics)
    : protocol(protocol)
    , metrics(metrics)
{
}

void WorkerList::recordRead(Stream, const StoreRecord& record, Millis)
{
    Entries& target = this->loading ? this->loadingEntries : this->entries;
    this->changed = true;
    if (record.value.empty()) {
        target.readable.erase(record.key);
        target.unreadableKeys.erase(record.key);
        return;
    }
    const Attempt<tasks::WorkerDescription> description = attempt([&] { return this->protocol.parseWorkerDescription(record.key, record.value); });
    if (!description.value)
        return this->markUnreadable(target, record, description.error.message);
    target.readable[record.key] = *description.value;
    target.unreadableKeys.erase(record.key);
}

// The record was written by another program or is damaged, so it describes no usable worker. It may
// come again with each heartbeat and with each load.
void WorkerList::markUnreadable(Entries& target, const StoreRecord& record, const std::string& why)
{
    target.readable.erase(record.key);
    const bool wasKnown = this->entries.unreadableKeys.contains(record.key);
    if (target.unreadableKeys.size() >= maxUnreadableKeys || !target.unreadableKeys.insert(record.key).second || wasKnown)
        return;
    logEvent(events::recordUnreadable, { { "stream", "workers" }, { "key", record.key }, { "why", why } });
}

void WorkerList::loadStarted(Stream)
{
    this->loading = true;
    this->loadingEntries = {};
}

void WorkerList::streamConfirmed(Stream, std::int64_t, Millis, Millis)
{
    if (!this->loading)
        return;
    this->loading = false;
    this->entries = std::exchange(this->loadingEntries, {});
    this->changed = true;
}

void WorkerList::streamFailed(Stream, const std::string&, Millis) { this->metrics.count("rattan_store_failures_total", { { "stream", "workers" } }); }

} // namespace rattan::instance
