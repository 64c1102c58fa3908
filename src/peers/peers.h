#pragma once

// The other instances and the configuration, kept up to date by three threads:
// one greets peers, one reads the instance list, one tails the log's `config`
// stream while this instance is one of the readers of its domain. The others
// hear of a new version in greetings and fetch the text from whoever has it
// (docs/SPREADING.md). Every call is thread-safe and returns at once.
//
//     Peers peers({ .own = report, .seeds = options.peers }, clock, list, log);
//     peers.start();
//     if (peers.ownIsActive()) ...
//     peers.heard(from, known);            // in the RPC service's greet()
//     reply(peers.own(), peers.sample());
//     peers.leave();                       // peers learn it with the next heartbeat
//     peers.stop();

#include "peers/config_keeper.h"
#include "peers/membership.h"
#include "platform/instance_list.h"
#include "platform/log.h"

#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace rattan::peers {

struct PeersOptions {
    InstanceReport own; // Name, incarnation, domain and addresses.
    std::vector<std::string> seeds; // Planner addresses from the settings.
    MembershipOptions membership;
    ConfigKeeperOptions config;
    Millis listPeriod { 1000 };
    std::chrono::milliseconds greetTimeout { 400 };
    std::chrono::milliseconds logWait { 1000 }; // Long poll of the stream; stop() may have to wait for it.
    std::chrono::milliseconds logRetry { 500 };
    std::size_t readers { 2 }; // Of the stream, in each domain.
};

class Peers {
public:
    Peers(PeersOptions, const Clock&, platform::InstanceList&, platform::Log&);
    ~Peers();
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    void start();
    void stop();

    // Says that this instance is going, at once and not with the next heartbeat.
    void leave();

    // What changes about this instance as it works.
    void setDriverReady(bool);
    void setActive(bool active, std::uint64_t epoch);

    config::Version textInForce() const;
    bool configIsCurrent() const;

    // RPC address of the planner that decides for our domain; empty if unknown.
    std::string activePlanner() const;
    bool ownIsActive() const;

    InstanceReport own() const;
    std::vector<InstanceReport> known() const;

    // A few of the known instances, to be passed on to a peer: a greeting stays
    // small however many instances there are.
    std::vector<InstanceReport> sample();

    // A greeting, or the answer to one.
    void heard(const InstanceReport& from, const std::vector<InstanceReport>& known);

private:
    void learn(const InstanceReport& from, const std::vector<InstanceReport>& known);
    void greetAll();
    bool waitForRound();
    void readList();
    void tailConfig();
    std::chrono::milliseconds readOnce(bool& reachable);
    bool isReader() const;
    bool pause(std::chrono::milliseconds);
    std::vector<std::string> targets();
    void takeConfig(const config::Checkpoint&, const std::string& from);
    void noteActive();
    InstanceReport ownLocked() const;

    const PeersOptions options;
    const Clock& clock;
    platform::InstanceList& instanceList;
    platform::Log& log;

    mutable std::mutex mutex;
    std::condition_variable changed;
    Membership membership;
    ConfigKeeper keeper;
    std::string lastActive;
    std::mt19937_64 random;
    bool stopping { false };
    bool hurry { false }; // Greet now.
    std::string newerAt; // Who has a newer text than we, by its own word.
    std::vector<std::thread> threads;
};

} // namespace rattan::peers
