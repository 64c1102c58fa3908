#pragma once

// The workers that the store lists, decoded from the stream of workers.
//
//     WorkerList list(protocol, metrics);
//     StreamReader reader(client, store, clock, { .stream = Stream::Workers, ... }, list);
//     if (list.takeChanged())
//         for (const auto& [id, description] : list.workers()) ...
//
// Other programs may write to the stream too. An entry that cannot be parsed names no worker and
// removes the one that its key named before; the other entries stay. Use it only on the thread
// of its reader.

#include "base/metrics.h"
#include "delivery/worker_protocol.h"
#include "instance/stream_reader.h"

#include <map>
#include <string>
#include <utility>

namespace rattan::instance {

class WorkerList final : public StreamHandler {
public:
    // Both must outlive the list.
    WorkerList(const delivery::WorkerProtocol&, Metrics&);

    // By id.
    const std::map<std::string, tasks::WorkerDescription>& workers() const { return this->descriptions; }

    // Whether the list may have changed since the last call. True on the first call.
    bool takeChanged() { return std::exchange(this->changed, false); }

    // StreamHandler
    void recordRead(Stream, const StoreRecord&, Millis now) override;
    void loadStarted(Stream) override;
    void streamConfirmed(Stream, std::int64_t end, Millis confirmedAt, Millis now) override;
    void streamFailed(Stream, const std::string& why, Millis now) override;

private:
    const delivery::WorkerProtocol& protocol;
    Metrics& metrics;
    std::map<std::string, tasks::WorkerDescription> descriptions;
    std::map<std::string, tasks::WorkerDescription> loadingDescriptions;
    bool loading { false };
    bool changed { true };
};

} // namespace rattan::instance
