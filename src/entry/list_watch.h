#pragma once

// Follows the platform's instance list and probes ejected executors, on one
// thread, once a second. With the list's own lag, that second is what bounds how
// long a leaving executor still gets new requests. While the list cannot be
// read, the last one stays in use: executors that are gone show by themselves.

#include "base/periodic_thread.h"
#include "entry/gate.h"
#include "platform/executor.h"
#include "platform/instance_list.h"

namespace rattan::entry {

class ListWatch {
public:
    static constexpr std::chrono::milliseconds period { 1000 };

    ListWatch(platform::InstanceList&, platform::Executors&, Gate&);
    ~ListWatch();

    void start();
    void stop();

    // One reading and one round of probes.
    void poll();

private:
    platform::InstanceList& list;
    platform::Executors& executors;
    Gate& gate;
    bool reachable { true };
    PeriodicThread thread;
};

} // namespace rattan::entry
