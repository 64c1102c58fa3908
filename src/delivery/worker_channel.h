#pragma once

// A route on which orders reach workers: directly from this instance or through relays.
//
//     channel.send(call, [&](const WorkerAnswer& answer) { ... });
//
// The handler is called exactly once, on the thread that owns the channel, unless the channel
// is destroyed first. It may be called from within send().

#include "delivery/worker_call.h"

#include <functional>

namespace rattan::delivery {

class WorkerChannel {
public:
    using Handler = std::function<void(const WorkerAnswer&)>;

    virtual ~WorkerChannel() = default;
    virtual void send(const WorkerCall&, Handler) = 0;
};

} // namespace rattan::delivery
