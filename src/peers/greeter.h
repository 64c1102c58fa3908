#pragma once

// Greets many planners at once over kept connections, and fetches the text of
// those that have a newer one. Made, used and destroyed on one thread.
//
//     Greeter greeter(400ms);
//     greeter.run({ .own = report, .targets = addresses, .version = 7 }, take);
//
// One round ends when every target has answered or the timeout has passed, so
// one dead peer delays no heartbeat to the others.

#include "config/ledger.h"
#include "peers/instance_report.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace rattan::peers {

struct GreetRound {
    InstanceReport own;
    std::vector<InstanceReport> known;
    std::vector<std::string> targets;
    std::uint64_t version { 0 }; // Of the text in force here.
};

struct GreetAnswer {
    std::string address;
    bool reached { false };
    InstanceReport own;
    std::vector<InstanceReport> known;
    config::Checkpoint text; // Number 0 unless the peer had a newer one.
};

class Greeter {
public:
    explicit Greeter(std::chrono::milliseconds timeout);
    ~Greeter();
    Greeter(const Greeter&) = delete;
    Greeter& operator=(const Greeter&) = delete;

    // `take` is called on this thread once for each target.
    void run(const GreetRound&, const std::function<void(const GreetAnswer&)>& take);

private:
    struct Connections;

    std::chrono::milliseconds timeout;
    std::unique_ptr<Connections> connections;
};

} // namespace rattan::peers
