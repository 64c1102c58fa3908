#pragma once

// TCP relays under test control: each link listens on a port of its own and
// passes bytes to one target, and can be made slow, lossy, silent or closed.
//
//     RelayHub hub;
//     const LinkId link = hub.open({ .target = "127.0.0.1:9000" });
//     hub.setRule(link, { .mode = LinkMode::Silent });   // a cut that nobody announces
//
// A cut is silent: connections stay open and nothing comes through in either
// direction, which is what a partition looks like from inside; new connections
// are taken and stay silent too. Loss holds a chunk back by the time of a TCP
// retransmission, since a lost segment under TCP is a late one. With
// `answers` set, the bytes from the target are cut into whole HTTP answers and
// an answer that carries the header of AnswerFault is damaged as it asks.
// One thread serves all links of a hub. Thread-safe.

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace rattan::testing {

enum class LinkMode {
    Open,
    Silent, // Nothing passes; nobody is told.
    Mute, // Requests pass, and nothing comes back: a link that is cut one way.
    Closed, // Connections are reset and new ones closed at once.
};

struct LinkRule {
    LinkMode mode { LinkMode::Open };
    Millis delay { 0 }; // Added in each direction.
    double loss { 0 }; // Share of chunks that are held back.
};

struct LinkOptions {
    std::string listen { "127.0.0.1:0" };
    std::string target; // IP:PORT; may be set later.
    bool answers { false }; // Frame HTTP answers and apply AnswerFault.
};

using LinkId = std::uint64_t;

class RelayHub {
public:
    explicit RelayHub(std::uint64_t seed = 1);
    ~RelayHub();
    RelayHub(const RelayHub&) = delete;
    RelayHub& operator=(const RelayHub&) = delete;

    // Throws std::runtime_error when the address cannot be taken.
    LinkId open(const LinkOptions&);
    std::string address(LinkId) const;
    void setRule(LinkId, LinkRule);
    void setTarget(LinkId, const std::string& target);

    // Breaks the connections that are open now, before any further byte passes; new ones are served.
    void resetConnections(LinkId);

    // Bytes that the link has carried, both ways.
    std::uint64_t carried(LinkId) const;

    void stop();

private:
    struct State;

    void run();
    void wake() const;

    mutable std::mutex mutex;
    std::unique_ptr<State> state;
    int wakeRead { -1 };
    int wakeWrite { -1 };
    std::thread thread;
};

} // namespace rattan::testing
