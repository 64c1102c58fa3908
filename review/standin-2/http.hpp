#pragma once

// A small HTTP/1.1 server and client on loopback addresses, with one thread a connection. A server
// can be taken down (its listener and connections are closed) and can be cut off (its bytes are held
// in both directions, and what its peers have given up meanwhile is dropped).

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Millis = std::int64_t;

inline Millis steadyNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline Millis wallNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepFor(Millis duration) { std::this_thread::sleep_for(std::chrono::milliseconds(duration)); }

struct Request {
    std::string method;
    std::string path; // Without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
};

struct Response {
    int status { 200 };
    std::string body;
    std::string contentType { "application/json" };
};

inline sockaddr_in parseAddress(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("not an address: " + address);
    return result;
}

// A port that is free on every given host.
inline int freePort(const std::vector<std::string>& hosts)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        int port = 0;
        bool isFree = true;
        std::vector<int> sockets;
        for (const std::string& host : hosts) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockets.push_back(fd);
            sockaddr_in address = parseAddress(host + ":" + std::to_string(port));
            if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
                isFree = false;
                break;
            }
            socklen_t size = sizeof address;
            getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
            port = ntohs(address.sin_port);
        }
        for (const int fd : sockets)
            close(fd);
        if (isFree)
            return port;
    }
    throw std::runtime_error("no free port");
}

inline std::string unescape(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else
            result += text[i];
    }
    return result;
}

class Server {
public:
    // Without a value, the connection is closed without an answer.
    using Handler = std::function<std::optional<Response>(const Request&)>;

    Server(std::string address, Handler handler)
        : address(std::move(address))
        , handler(std::move(handler))
    {
        this->up();
    }

    ~Server() { this->down(); }

    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    void up()
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in bound = parseAddress(this->address);
        if (bind(fd, reinterpret_cast<sockaddr*>(&bound), sizeof bound) != 0 || listen(fd, 128) != 0)
            throw std::runtime_error("cannot listen on " + this->address);
        this->listener = fd;
        this->isUp = true;
        this->acceptThread = std::thread([this, fd] { this->acceptConnections(fd); });
    }

    // Closes the listener and resets all connections, as the end of a process does.
    void down()
    {
        if (!this->isUp.exchange(false))
            return;
        shutdown(this->listener, SHUT_RDWR);
        this->acceptThread.join();
        close(this->listener);
        {
            const std::lock_guard lock(this->mutex);
            for (const int fd : this->open) {
                const linger reset { 1, 0 };
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                shutdown(fd, SHUT_RDWR);
            }
        }
        while (this->connections > 0)
            sleepFor(1);
    }

    void cut(Millis duration) { this->cutUntil = steadyNow() + duration; }
    bool isCut() const { return steadyNow() < this->cutUntil; }

private:
    void acceptConnections(int fd)
    {
        while (this->isUp) {
            const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                if (!this->isUp)
                    return;
                sleepFor(1);
                continue;
            }
            const int one = 1;
            setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(this->mutex);
                this->open.insert(connection);
            }
            ++this->connections;
            std::thread([this, connection] {
                this->serve(connection);
                {
                    const std::lock_guard lock(this->mutex);
                    this->open.erase(connection);
                }
                close(connection);
                --this->connections;
            }).detach();
        }
    }

    // Waits for the end of a cut. Returns whether the peer has kept the connection.
    bool passCut(int fd) const
    {
        if (!this->isCut())
            return true;
        while (this->isCut() && this->isUp)
            sleepFor(2);
        char byte = 0;
        for (int i = 0; i < 20; ++i) { // What the peer did meanwhile is known shortly after the cut.
            pollfd query { fd, POLLRDHUP, 0 };
            if (::poll(&query, 1, 1) > 0)
                return false;
        }
        return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
    }

    bool readMore(int fd, std::string& buffer) const
    {
        char bytes[16384];
        const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    void serve(int fd)
    {
        std::string buffer;
        while (this->isUp) {
            std::size_t end = std::string::npos;
            while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
                if (!this->readMore(fd, buffer))
                    return;
            }
            Request request = parseHead(buffer.substr(0, end));
            buffer.erase(0, end + 4);
            const auto length = request.headers.find("content-length");
            const std::size_t size = length == request.headers.end() ? 0 : std::stoul(length->second);
            if (request.headers.contains("expect"))
                sendAll(fd, "HTTP/1.1 100 Continue\r\n\r\n");
            while (buffer.size() < size) {
                if (!this->readMore(fd, buffer))
                    return;
            }
            request.body = buffer.substr(0, size);
            buffer.erase(0, size);
            if (!this->passCut(fd))
                return;
            const std::optional<Response> response = this->handler(request);
            if (!response || !this->passCut(fd) || !this->isUp)
                return;
            std::string text = "HTTP/1.1 " + std::to_string(response->status) + " -\r\nContent-Type: " + response->contentType
                + "\r\nContent-Length: " + std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
            if (!sendAll(fd, text))
                return;
        }
    }

    static Request parseHead(const std::string& head)
    {
        Request request;
        const std::size_t lineEnd = head.find("\r\n");
        const std::string line = head.substr(0, lineEnd);
        const std::size_t first = line.find(' ');
        const std::size_t second = line.find(' ', first + 1);
        request.method = line.substr(0, first);
        std::string target = line.substr(first + 1, second - first - 1);
        const std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        while (!query.empty()) {
            const std::size_t next = query.find('&');
            const std::string pair = query.substr(0, next);
            const std::size_t equals = pair.find('=');
            if (equals != std::string::npos)
                request.query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
            query = next == std::string::npos ? "" : query.substr(next + 1);
        }
        std::size_t position = lineEnd;
        while (position != std::string::npos && position + 2 < head.size()) {
            const std::size_t next = head.find("\r\n", position + 2);
            const std::string header = head.substr(position + 2, next == std::string::npos ? next : next - position - 2);
            const std::size_t colon = header.find(':');
            if (colon != std::string::npos) {
                std::string name = header.substr(0, colon);
                for (char& c : name)
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                const std::size_t value = header.find_first_not_of(' ', colon + 1);
                request.headers[name] = value == std::string::npos ? "" : header.substr(value);
            }
            position = next;
        }
        return request;
    }

    static bool sendAll(int fd, const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    const std::string address;
    const Handler handler;
    int listener { -1 };
    std::atomic<bool> isUp { false };
    std::atomic<int> connections { 0 };
    std::atomic<Millis> cutUntil { 0 };
    std::mutex mutex;
    std::set<int> open;
    std::thread acceptThread;
};

// Sends one request on a connection of its own. Status 0 means that there was no complete answer.
inline Response call(const std::string& address, const std::string& method, const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body, Millis timeout)
{
    Response response { 0, "", "" };
    const Millis deadline = steadyNow() + timeout;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = parseAddress(address);
    const timeval limit { timeout / 1000, (timeout % 1000) * 1000 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    std::string text = method + " " + path + " HTTP/1.1\r\nConnection: close\r\n";
    if (!headers.contains("Host"))
        text += "Host: " + address + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string answer;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0 && send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size())) {
        char bytes[16384];
        while (steadyNow() < deadline) {
            const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
            if (count <= 0)
                break;
            answer.append(bytes, static_cast<std::size_t>(count));
        }
    }
    close(fd);
    const std::size_t end = answer.find("\r\n\r\n");
    if (end == std::string::npos || answer.size() < 12)
        return response;
    response.status = std::stoi(answer.substr(9, 3));
    response.body = answer.substr(end + 4);
    return response;
}

} // namespace review
