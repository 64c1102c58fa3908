#pragma once

// A way by which orders reach workers: straight from here, or through other instances.
//
//     channel.send(call, [&](const WorkerAnswer& answer) { ... });
//
// The handler is called exactly once, on the thread that owns the channel, unless the
// channel is destroyed first; it may be called from within send().

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
