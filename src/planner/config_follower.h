#pragma once

// Follows the log's `config` stream on a thread of its own and keeps the text in
// force. Thread-safe.

#include "config/ledger.h"
#include "platform/log.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace rattan::planner {

class ConfigFollower {
public:
    explicit ConfigFollower(platform::Log&);
    ~ConfigFollower();

    void start();
    void stop();
    config::Version inForce() const;

private:
    void run();

    platform::Log& log;
    mutable std::mutex mutex;
    config::Ledger ledger;
    std::atomic<bool> stopping { false };
    std::thread thread;
};

} // namespace rattan::planner
