#pragma once

// The text in force, as this entry last heard of it from its planner.
//
//     ConfigWatch watch(planner, parse);
//     watch.start();
//     if (const auto active = watch.active()) ... active->text ...
//
// A thread asks the planner every half second for a newer text. A planner that
// does not answer changes nothing: the text in hand stays in force. A version
// never goes back. Thread-safe.

#include "base/periodic_thread.h"
#include "config/configuration.h"
#include "entry/planner_client.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace rattan::entry {

struct ActiveConfig {
    std::uint64_t version { 0 };
    std::string source; // The YAML.
    std::string author;
    config::Configuration text;

    const config::Workspace* workspace(const std::string& name) const;
    const config::Operation* operation(const std::string& service, const std::string& name) const;
};

// BadInput with every fault of the text.
using TextParser = std::function<Result<config::Configuration>(const std::string&)>;

class ConfigWatch {
public:
    static constexpr std::chrono::milliseconds period { 500 };

    ConfigWatch(PlannerClient&, TextParser);
    ~ConfigWatch();

    void start();
    void stop();

    // Asks the planner once; start() does so repeatedly.
    void poll();

    // Null until the first text has come.
    std::shared_ptr<const ActiveConfig> active() const;

    // Waits until the version in force is at least this one.
    bool waitFor(std::uint64_t version, std::chrono::milliseconds limit) const;

private:
    void take(const PublishedText&);

    PlannerClient& planner;
    TextParser parser;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::shared_ptr<const ActiveConfig> current;
    bool reachable { true };
    PeriodicThread thread;
};

} // namespace rattan::entry
