#pragma once

// What an instance needs to know at its start, whichever format it was told in.

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace rattan::instance {

struct InstanceSettings {
    std::string name; // Of this instance; unique.
    std::string domain; // Failure domain.
    std::string callerAddress; // IP:PORT on which callers are served.
    std::string readyAddress; // IP:PORT on which the balancer asks; metrics too.
    std::string peerAddress; // IP:PORT for datagrams of other instances; empty: none are exchanged.
    std::string storeAddress; // IP:PORT of the platform's store.
    std::string adviceAddress; // IP:PORT of the service that knows queues' policies; empty: none.
    Millis maxLease { 10000 }; // That a worker grants.
    Millis stopTimeout { 200 }; // Longest time that a stop takes at a worker.
    Millis keyExpiry { 5000 }; // A key that was taken away must not work for longer than this.
    Millis grace { 6000 }; // From the signal to stop until the process is killed.
    Millis statusRetention { 120000 }; // How long the state of a job that is over is told.
    double processorCores { 1 }; // Cores that this process may use.
    double linkMegabitsPerSecond { 1000 }; // A second, of its machine's own link.
};

} // namespace rattan::instance
