#pragma once

// The settings of an instance, independent of the format of the settings file.

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace rattan::instance {

struct InstanceSettings {
    std::string name; // Unique name of this instance.
    std::string domain; // Failure domain.
    std::string callerAddress; // IP:PORT that serves callers.
    std::string readyAddress; // IP:PORT for readiness checks of the load balancer and for metrics.
    std::string peerAddress; // IP:PORT for datagrams between instances; empty if none are exchanged.
    std::string storeAddress; // IP:PORT of the platform's store.
    std::string adviceAddress; // IP:PORT of the advice service, which knows the queues' policies; empty if there is none.
    std::size_t maxRecordBytes { 262144 }; // Largest record that the store takes.
    Millis maxLease { 10000 }; // Longest lease that a worker grants.
    Millis stopTimeout { 200 }; // Longest time that a worker takes to stop a task.
    Millis keyExpiry { 5000 }; // Longest time for which a revoked key may still be accepted.
    Millis evacuationBound { 0 }; // Longest time after a request to evacuate a failure domain for which tasks may still be started there; 0 if operators make no such requests.
    Millis stopGrace { 6000 }; // Time from the stop signal until the process is killed.
    Millis statusRetention { 120000 }; // How long the state of an ended job can be queried.
    double processorCores { 1 }; // Processor time that this process may use, in cores.
    std::int64_t memoryMegabytes { 260 }; // Memory that this process may use.
    std::int64_t maxDescriptors { 4100 }; // Descriptors that this process may have open.
    double linkMegabitsPerSecond { 1000 }; // Bandwidth of the machine's network link.
};

} // namespace rattan::instance
