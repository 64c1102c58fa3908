#include "base/datagram_socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rattan {

namespace {

    constexpr std::size_t maxDatagramBytes = 512;

    std::optional<sockaddr_in> parseAddress(const std::string& text)
    {
        const std::size_t colon = text.rfind(':');
        sockaddr_in name {};
        name.sin_family = AF_INET;
        if (colon == std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &name.sin_addr) != 1)
            return std::nullopt;
        std::uint16_t port = 0;
        const auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        name.sin_port = htons(port);
        return name;
    }

    std::string textOf(const sockaddr_in& name)
    {
        std::array<char, INET_ADDRSTRLEN> ip {};
        inet_ntop(AF_INET, &name.sin_addr, ip.data(), ip.size());
        return fmt::format("{}:{}", ip.data(), ntohs(name.sin_port));
    }

} // namespace

DatagramSocket::~DatagramSocket()
{
    if (this->socket >= 0)
        close(this->socket);
}

Result<void> DatagramSocket::open(const std::string& address)
{
    const auto name = parseAddress(address);
    if (!name)
        return fail(ErrorCode::BadInput, "datagram.open", address, "IP:PORT is expected");
    const int newSocket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (newSocket < 0)
        return fail(ErrorCode::Unavailable, "datagram.open", address, std::strerror(errno));
    if (bind(newSocket, reinterpret_cast<const sockaddr*>(&*name), sizeof(*name)) != 0) {
        const int bindError = errno;
        close(newSocket);
        return fail(ErrorCode::Unavailable, "datagram.open", address, std::strerror(bindError));
    }
    if (this->socket >= 0)
        close(this->socket);
    this->socket = newSocket;
    return {};
}

void DatagramSocket::send(const std::string& address, const std::string& text) const
{
    const auto name = parseAddress(address);
    if (this->socket < 0 || !name)
        return;
    // Errors are ignored because callers send their messages again periodically.
    static_cast<void>(sendto(this->socket, text.data(), std::min(text.size(), maxDatagramBytes), 0, reinterpret_cast<const sockaddr*>(&*name), sizeof(*name)));
}

std::optional<Datagram> DatagramSocket::receive() const
{
    if (this->socket < 0)
        return std::nullopt;
    std::array<char, maxDatagramBytes> buffer {};
    sockaddr_in from {};
    socklen_t size = sizeof(from);
    const ssize_t receivedBytes = recvfrom(this->socket, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (receivedBytes < 0)
        return std::nullopt; // No datagram, or an error that a peer reported; callers detect a dead peer by its silence.
    return Datagram { textOf(from), std::string(buffer.data(), static_cast<std::size_t>(receivedBytes)) };
}

std::string DatagramSocket::address() const
{
    sockaddr_in name {};
    socklen_t size = sizeof(name);
    if (this->socket < 0 || getsockname(this->socket, reinterpret_cast<sockaddr*>(&name), &size) != 0)
        return {};
    return textOf(name);
}

} // namespace rattan
