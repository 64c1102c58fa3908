#pragma once

// A non-blocking UDP socket.
//
//     DatagramSocket socket;
//     if (auto error = attemptVoid([&] { return socket.open("10.1.0.7:7000"); })) ...
//     socket.send("10.2.0.9:7000", "beat 7");
//     while (auto datagram = socket.receive()) ...
//
// Datagrams may be lost, duplicated or reordered, and a datagram that the kernel does
// not accept is dropped without an error. Use it only for messages that are sent again
// periodically. A datagram holds at most 512 bytes; longer ones are truncated.
// Addresses are IPv4 addresses with a port. Not thread-safe.

#include "base/error.h"

#include <optional>
#include <string>

namespace rattan {

struct Datagram {
    std::string from; // The sender's address, as IP:PORT.
    std::string text;
};

class DatagramSocket {
public:
    DatagramSocket() = default;
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;

    // Binds the socket to `address`. Fails with BadInput if the address is not IP:PORT, and
    // with Unavailable if the socket cannot be created or bound. Before the first success,
    // send() and receive() do nothing.
    Result<void> open(const std::string& address);

    // Sends one datagram; drops it if `address` is invalid or the kernel does not accept it.
    void send(const std::string& address, const std::string& text) const;

    // The next received datagram, or nullopt if there is none.
    std::optional<Datagram> receive() const;

    // The bound address, with the port that the kernel chose if port 0 was requested. Empty
    // if the socket is not open.
    std::string address() const;

private:
    int socket { -1 };
};

} // namespace rattan
