#pragma once

// The workers that the store lists, decoded from the stream of workers.
//
//     WorkerList list(protocol, metrics);
//     StreamReader reader(client, store, clock, { .stream = Stream::Workers, ... }, list);
//     if (list.takeChanged())
//         for (const auto& [id, description] : list.workers()) ...
//
// Other programs may write to the stream too. An entry that cannot be parsed names no worker and
// removes the one that its key named before; the other entries stay. It is logged once, until it
// is readable again or removed. Use it only on the thread of its reader.

#include "base/metrics.h"
#include "delivery/worker_protocol.h"
#include "instance/stream_reader.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace rattan::instance {

class WorkerList final : public StreamHandler {
public:
    // Further unreadable keys are neither remembered nor logged.
    static constexpr std::size_t maxUnreadableKeys = 1000;

    // Both must outlive the list.
    WorkerList(const delivery::WorkerProtocol&, Metrics&);

    // By id.
    const std::map<std::string, tasks::WorkerDescription>& workers() const { return this->entries.readable; }

    // Whether the list may have changed since the last call. True on the first call.
    bool takeChanged() { return std::exchange(this->changed, false); }

    // StreamHandler
    void recordRead(Stream, const StoreRecord&, Millis now) override;
    void loadStarted(Stream) override;
    void streamConfirmed(Stream, std::int64_t end, Millis confirmedAt, Millis now) override;
    void streamFailed(Stream, const std::string& why, Millis now) override;

private:
    struct Entries {
        std::map<std::string, tasks::WorkerDescription> readable;
        std::set<std::string> unreadableKeys; // At most maxUnreadableKeys.
    };

    void markUnreadable(Entries&, const StoreRecord&, const std::string& why);

    const delivery::WorkerProtocol& protocol;
    Metrics& metrics;
    Entries entries;
    Entries loadingEntries;
    bool loading { false };
    bool changed { true };
};

} // namespace rattan::instance
