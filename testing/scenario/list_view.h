#pragma once

// The instance list as one machine sees it: the platform's list with every
// address replaced by that machine's own link to it, so that all traffic passes
// links that the scenario holds. Thread-safe.

#include "http/client.h"
#include "http/server.h"
#include "platform/instance_list.h"
#include "scenario/network.h"

#include <string>

namespace rattan::testing {

class ListView {
public:
    // `list` is the stand-in's own address.
    ListView(Network&, std::string viewer, std::string list);

    // Throws std::runtime_error when no port can be had.
    void start();
    const std::string& address() const { return this->server.address(); }

private:
    http::Answer answer(const http::Request&);

    Network& network;
    std::string viewer;
    std::string listAddress;
    platform::HttpInstanceList list;
    http::Server server;
};

} // namespace rattan::testing
