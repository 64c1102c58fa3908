#pragma once

// A server that answers every connection with the same bytes and closes it: what
// no HTTP library would send, such as an answer that breaks off.

#include <arpa/inet.h>
#include <atomic>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace rattan::entry::testing {

class RawServer {
public:
    // "%id%" in the bytes becomes the request's x-request-id.
    explicit RawServer(std::string bytes)
        : bytes(std::move(bytes))
        , listening(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        if (bind(this->listening, reinterpret_cast<sockaddr*>(&address), length) != 0 || listen(this->listening, 16) != 0)
            return;
        getsockname(this->listening, reinterpret_cast<sockaddr*>(&address), &length);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->run(); });
    }

    ~RawServer()
    {
        this->stopping = true;
        if (this->thread.joinable())
            this->thread.join();
        close(this->listening);
    }

    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

    std::atomic<int> requests { 0 };

private:
    void run()
    {
        constexpr int checkMs = 10;
        while (!this->stopping) {
            pollfd waiting { this->listening, POLLIN, 0 };
            if (poll(&waiting, 1, checkMs) == 1)
                this->answer(accept(this->listening, nullptr, nullptr));
        }
    }

    void answer(int connection)
    {
        std::string request;
        char block[4096];
        while (request.find("\r\n\r\n") == std::string::npos) {
            const ssize_t got = recv(connection, block, sizeof block, 0);
            if (got <= 0)
                break;
            request.append(block, static_cast<std::size_t>(got));
        }
        ++this->requests;
        std::string reply = this->bytes;
        const std::string header = "x-request-id: ";
        const std::size_t at = request.find(header);
        const std::size_t place = reply.find("%id%");
        if (at != std::string::npos && place != std::string::npos)
            reply.replace(place, 4, request.substr(at + header.size(), request.find('\r', at) - at - header.size()));
        send(connection, reply.data(), reply.size(), MSG_NOSIGNAL);
        shutdown(connection, SHUT_WR);
        while (recv(connection, block, sizeof block, 0) > 0) { }
        close(connection);
    }

    const std::string bytes;
    int listening;
    int port { 0 };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

} // namespace rattan::entry::testing
