#pragma once

// A minimal HTTP/1.1 server and client for the stand-ins: one thread a connection, keep-alive,
// bodies with Content-Length, loopback only.

#include <arpa/inet.h>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

struct HttpMessage {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
    int status { 0 }; // Of a response; 0 if there was none.
};

struct HttpReply {
    int status { 200 };
    std::string body;
    std::string contentType { "application/json" };
    bool silent { false }; // The connection is closed without a response.
};

inline std::string unescape(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

// Reads one message; returns false at the end of the connection or after `timeoutMs` without data.
inline bool readMessage(int socket, std::string& buffer, HttpMessage& message, int timeoutMs)
{
    const auto fill = [&] {
        pollfd query { .fd = socket, .events = POLLIN, .revents = 0 };
        if (poll(&query, 1, timeoutMs) <= 0)
            return false;
        char block[65536];
        const ssize_t count = recv(socket, block, sizeof(block), 0);
        if (count <= 0)
            return false;
        buffer.append(block, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    message = {};
    std::size_t position = buffer.find("\r\n");
    const std::string first = buffer.substr(0, position);
    while (position < end) {
        const std::size_t next = buffer.find("\r\n", position + 2);
        const std::string line = buffer.substr(position + 2, next - position - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            for (char& c : name)
                c = static_cast<char>(tolower(c));
            const std::size_t start = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = start == std::string::npos ? "" : line.substr(start);
        }
        position = next;
    }
    const auto length = message.headers.find("content-length");
    const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < end + 4 + size) {
        if (!fill())
            return false;
    }
    message.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    if (first.starts_with("HTTP/")) {
        message.status = std::stoi(first.substr(first.find(' ') + 1));
        return true;
    }
    message.method = first.substr(0, first.find(' '));
    std::string target = first.substr(first.find(' ') + 1);
    target = target.substr(0, target.find(' '));
    message.path = target.substr(0, target.find('?'));
    if (target.find('?') != std::string::npos) {
        std::string rest = target.substr(target.find('?') + 1) + "&";
        while (!rest.empty()) {
            const std::string item = rest.substr(0, rest.find('&'));
            rest.erase(0, rest.find('&') + 1);
            if (item.find('=') != std::string::npos)
                message.query[item.substr(0, item.find('='))] = unescape(item.substr(item.find('=') + 1));
        }
    }
    return true;
}

inline bool sendAll(int socket, const std::string& data)
{
    std::size_t sent = 0;
    while (sent < data.size()) {
        const ssize_t count = send(socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline sockaddr_in socketAddress(const std::string& address)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &name.sin_addr);
    name.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    return name;
}

// An address on this loopback host whose port is free at present.
inline std::string freeAddress(const std::string& host)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name = socketAddress(host + ":0");
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0)
        throw std::runtime_error("no free port on " + host);
    socklen_t size = sizeof(name);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &size);
    close(descriptor);
    return host + ":" + std::to_string(ntohs(name.sin_port));
}

class HttpServer {
public:
    using Handler = std::function<HttpReply(const HttpMessage&)>;

    HttpServer(const std::string& host, Handler handler)
        : handler(std::move(handler))
    {
        this->listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in name = socketAddress(host + ":0");
        socklen_t size = sizeof(name);
        if (bind(this->listener, reinterpret_cast<sockaddr*>(&name), size) != 0 || listen(this->listener, 512) != 0)
            throw std::runtime_error("cannot listen on " + host);
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&name), &size);
        this->ownAddress = host + ":" + std::to_string(ntohs(name.sin_port));
        std::thread([this] { this->acceptAll(); }).detach();
    }

    const std::string& address() const { return this->ownAddress; }

private:
    void acceptAll()
    {
        for (;;) {
            const int accepted = accept(this->listener, nullptr, nullptr);
            if (accepted < 0)
                continue;
            const int one = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([this, accepted] { this->serve(accepted); }).detach();
        }
    }

    void serve(int socket)
    {
        std::string buffer;
        HttpMessage request;
        while (readMessage(socket, buffer, request, 120000)) {
            const HttpReply reply = this->handler(request);
            if (reply.silent)
                break;
            const std::string head = "HTTP/1.1 " + std::to_string(reply.status) + " X\r\nContent-Type: " + reply.contentType + "\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n";
            if (!sendAll(socket, head + reply.body))
                break;
        }
        close(socket);
    }

    Handler handler;
    int listener { -1 };
    std::string ownAddress;
};

// Sends one request on a new connection; status 0 if there is no response within the time.
inline HttpMessage request(const std::string& address, const std::string& method, const std::string& path, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body, int timeoutMs)
{
    HttpMessage response;
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name = socketAddress(address);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto& [key, value] : headers)
            text += key + ": " + value + "\r\n";
        std::string buffer;
        if (sendAll(descriptor, text + "\r\n" + body) && !readMessage(descriptor, buffer, response, timeoutMs))
            response = {};
    }
    close(descriptor);
    return response;
}

} // namespace review
