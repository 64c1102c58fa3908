#pragma once

// A server that answers the first request on each connection, and closes the connection
// without an answer after it has read the second one completely: the client cannot know
// whether that request was executed.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cppunit/TestAssert.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rattan::http::testing {

// Binds a socket to a free port of the loopback address and listens; returns the port.
inline int listenOnLoopback(int socket, int backlog)
{
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(socketAddress);
    CPPUNIT_ASSERT_EQUAL(0, bind(socket, reinterpret_cast<sockaddr*>(&socketAddress), size));
    CPPUNIT_ASSERT_EQUAL(0, listen(socket, backlog));
    getsockname(socket, reinterpret_cast<sockaddr*>(&socketAddress), &size);
    return ntohs(socketAddress.sin_port);
}

struct PeerAnswer {
    int status { 200 };
    std::string body;
};

class DroppingPeer {
public:
    // Each connection gets the next answer; the last answer is used for all further ones.
    explicit DroppingPeer(std::vector<PeerAnswer> answers = { {} })
        : answers(std::move(answers))
        , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        this->port = listenOnLoopback(this->listener, 4);
        this->thread = std::thread([this] { this->serve(); });
    }
    ~DroppingPeer()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        close(this->listener);
    }
    DroppingPeer(const DroppingPeer&) = delete;
    DroppingPeer& operator=(const DroppingPeer&) = delete;

    std::string address() const { return fmt::format("127.0.0.1:{}", this->port); }
    int requests() const { return this->requestCount; }

private:
    void serve()
    {
        constexpr timeval receiveTimeout { 2, 0 };
        std::size_t nextAnswer = 0;
        for (int connection = accept(this->listener, nullptr, nullptr); connection >= 0; connection = accept(this->listener, nullptr, nullptr)) {
            setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
            const PeerAnswer& answer = this->answers[std::min(nextAnswer++, this->answers.size() - 1)];
            const std::string response = fmt::format("HTTP/1.1 {} Status\r\nContent-Length: {}\r\n\r\n{}", answer.status, answer.body.size(), answer.body);
            if (this->readRequest(connection))
                send(connection, response.data(), response.size(), MSG_NOSIGNAL);
            this->readRequest(connection);
            close(connection);
        }
    }

    static std::size_t contentLength(const std::string& headers)
    {
        const std::string prefix = "Content-Length: ";
        const std::size_t position = headers.find(prefix);
        return position == std::string::npos ? 0 : std::stoul(headers.substr(position + prefix.size()));
    }

    bool readRequest(int connection)
    {
        const std::string headerEnd = "\r\n\r\n";
        std::string request;
        std::array<char, 4096> buffer {};
        for (ssize_t bytesRead = read(connection, buffer.data(), buffer.size()); bytesRead > 0; bytesRead = read(connection, buffer.data(), buffer.size())) {
            request.append(buffer.data(), static_cast<std::size_t>(bytesRead));
            const std::size_t headerSize = request.find(headerEnd);
            if (headerSize == std::string::npos || request.size() < headerSize + headerEnd.size() + contentLength(request.substr(0, headerSize)))
                continue;
            ++this->requestCount;
            return true;
        }
        return false;
    }

    const std::vector<PeerAnswer> answers;
    int listener;
    int port { 0 };
    std::atomic<int> requestCount { 0 };
    std::thread thread;
};

} // namespace rattan::http::testing
