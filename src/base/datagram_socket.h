#pragma once

// A UDP socket that never blocks.
//
//     DatagramSocket socket;
//     if (auto error = attemptVoid([&] { return socket.open("10.1.0.7:7000"); })) ...
//     socket.send("10.2.0.9:7000", "beat 7");
//     while (auto datagram = socket.receive()) ...
//
// Datagrams may be lost, repeated and overtaken, and a send that the kernel does not
// take is dropped: only for what is said again anyway. At most 512 bytes each; longer
// ones are cut off. Not thread-safe.

#include "base/error.h"

#include <optional>
#include <string>

namespace rattan {

struct Datagram {
    std::string from; // IP:PORT
    std::string text;
};

class DatagramSocket {
public:
    DatagramSocket() = default;
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;

    // Unavailable when the address cannot be taken; until then nothing is sent or received.
    Result<void> open(const std::string& address);

    void send(const std::string& address, const std::string& text) const;
    std::optional<Datagram> receive() const;

    // The address in use, with the port that was chosen for port 0.
    std::string address() const;

private:
    int socket { -1 };
};

} // namespace rattan
