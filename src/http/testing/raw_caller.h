#pragma once

// A caller with one connection that never resends a request: each request is answered, or
// the connection is closed.

#include <arpa/inet.h>
#include <array>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace rattan::http::testing {

class RawCaller {
public:
    explicit RawCaller(const std::string& address)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in socketAddress {};
        socketAddress.sin_family = AF_INET;
        socketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socketAddress.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        CPPUNIT_ASSERT_EQUAL(0, connect(this->socket, reinterpret_cast<sockaddr*>(&socketAddress), sizeof(socketAddress)));
        constexpr timeval receiveTimeout { 20, 0 };
        setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
    }
    ~RawCaller() { close(this->socket); }
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;

    void send(const std::string& bytes) const { ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    void get(const std::string& path) const { this->send("GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n"); }

    // Shuts down the sending side: no further request follows.
    void endSending() const { shutdown(this->socket, SHUT_WR); }

    // Reads one complete answer. Returns its status, or 0 if the connection is closed first.
    int readAnswer()
    {
        const std::string headerEnd = "\r\n\r\n";
        std::array<char, 4096> buffer {};
        for (;;) {
            const std::size_t headerSize = this->unparsed.find(headerEnd);
            if (headerSize != std::string::npos && this->unparsed.size() >= headerSize + headerEnd.size() + contentLength(this->unparsed.substr(0, headerSize))) {
                const int status = std::stoi(this->unparsed.substr(this->unparsed.find(' ') + 1));
                this->unparsed.erase(0, headerSize + headerEnd.size() + contentLength(this->unparsed.substr(0, headerSize)));
                return status;
            }
            const ssize_t bytesReceived = recv(this->socket, buffer.data(), buffer.size(), 0);
            if (bytesReceived <= 0)
                return 0;
            this->unparsed.append(buffer.data(), static_cast<std::size_t>(bytesReceived));
        }
    }

private:
    static std::size_t contentLength(const std::string& headers)
    {
        const std::string prefix = "Content-Length: ";
        const std::size_t position = headers.find(prefix);
        return position == std::string::npos ? 0 : std::stoul(headers.substr(position + prefix.size()));
    }

    int socket;
    std::string unparsed;
};

} // namespace rattan::http::testing
