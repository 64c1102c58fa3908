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
    auto& target = this->loading ? this->loadingDescriptions : this->descriptions;
    this->changed = true;
    if (record.value.empty()) {
        target.erase(record.key);
        return;
    }
    const Attempt<tasks::WorkerDescription> description = attempt([&] { return this->protocol.parseWorkerDescription(record.key, record.value); });
    if (description.value) {
        target[record.key] = *description.value;
        return;
    }
    // The record was written by another program or is damaged, so it describes no usable worker.
    target.erase(record.key);
    logEvent(events::recordUnreadable, { { "stream", "workers" }, { "key", record.key }, { "why", description.error.message } });
}

void WorkerList::loadStarted(Stream)
{
    this->loading = true;
    this->loadingDescriptions.clear();
}

void WorkerList::streamConfirmed(Stream, std::int64_t, Millis, Millis)
{
    if (!this->loading)
        return;
    this->loading = false;
    this->descriptions = std::move(this->loadingDescriptions);
    this->loadingDescriptions.clear();
    this->changed = true;
}

void WorkerList::streamFailed(Stream, const std::string&, Millis) { this->metrics.count("rattan_store_failures_total", { { "stream", "workers" } }); }

} // namespace rattan::instance
