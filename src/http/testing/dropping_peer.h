#pragma once

// A server that answers the first request on each connection, and breaks the connection
// once it has read the second one whole: that one was carried out, for all the client knows.

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
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(name);
    CPPUNIT_ASSERT_EQUAL(0, bind(socket, reinterpret_cast<sockaddr*>(&name), size));
    CPPUNIT_ASSERT_EQUAL(0, listen(socket, backlog));
    getsockname(socket, reinterpret_cast<sockaddr*>(&name), &size);
    return ntohs(name.sin_port);
}

struct PeerAnswer {
    int status { 200 };
    std::string body;
};

class DroppingPeer {
public:
    // One for each connection; the last one for all further ones.
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
    int requests() const { return this->seen; }

private:
    void serve()
    {
        constexpr timeval longest { 2, 0 };
        std::size_t next = 0;
        for (int taken = accept(this->listener, nullptr, nullptr); taken >= 0; taken = accept(this->listener, nullptr, nullptr)) {
            setsockopt(taken, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof(longest));
            const PeerAnswer& answer = this->answers[std::min(next++, this->answers.size() - 1)];
            const std::string bytes = fmt::format("HTTP/1.1 {} Status\r\nContent-Length: {}\r\n\r\n{}", answer.status, answer.body.size(), answer.body);
            if (this->readRequest(taken))
                send(taken, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            this->readRequest(taken);
            close(taken);
        }
    }

    static std::size_t lengthOf(const std::string& head)
    {
        const std::string name = "Content-Length: ";
        const std::size_t at = head.find(name);
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size()));
    }

    bool readRequest(int taken)
    {
        const std::string end = "\r\n\r\n";
        std::string request;
        std::array<char, 4096> buffer {};
        for (ssize_t got = read(taken, buffer.data(), buffer.size()); got > 0; got = read(taken, buffer.data(), buffer.size())) {
            request.append(buffer.data(), static_cast<std::size_t>(got));
            const std::size_t head = request.find(end);
            if (head == std::string::npos || request.size() < head + end.size() + lengthOf(request.substr(0, head)))
                continue;
            ++this->seen;
            return true;
        }
        return false;
    }

    const std::vector<PeerAnswer> answers;
    int listener;
    int port { 0 };
    std::atomic<int> seen { 0 };
    std::thread thread;
};

} // namespace rattan::http::testing
