#pragma once

// A small HTTP/1.1 server and client for the stand-ins: one thread for each connection, bodies with
// a Content-Length only, loopback addresses only.

#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

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
    bool reset { false }; // Closes the connection without a response.
};

inline std::string unescape(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

// Reads the head and the body of a message. Returns false if the connection ended first.
inline bool readMessage(int socket, std::string& buffer, std::string& head, std::string& body, int timeoutMs)
{
    std::size_t end = std::string::npos;
    std::size_t bodyBytes = 0;
    char chunk[65536];
    while (true) {
        if (end == std::string::npos && (end = buffer.find("\r\n\r\n")) != std::string::npos) {
            head = buffer.substr(0, end + 2);
            std::string lower = head;
            for (char& c : lower)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            const std::size_t field = lower.find("\r\ncontent-length:");
            bodyBytes = field == std::string::npos ? 0 : std::stoul(lower.substr(field + 17));
        }
        if (end != std::string::npos && buffer.size() >= end + 4 + bodyBytes) {
            body = buffer.substr(end + 4, bodyBytes);
            buffer.erase(0, end + 4 + bodyBytes);
            return true;
        }
        pollfd waiting { socket, POLLIN, 0 };
        if (timeoutMs > 0 && poll(&waiting, 1, timeoutMs) <= 0)
            return false;
        const ssize_t count = recv(socket, chunk, sizeof chunk, 0);
        if (count <= 0)
            return false;
        buffer.append(chunk, static_cast<std::size_t>(count));
    }
}

inline bool sendAll(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// A host of the loopback network that no other process of these stand-ins uses.
inline std::string loopbackHost(int number)
{
    constexpr int values = 250;
    const int process = static_cast<int>(getpid());
    return "127." + std::to_string(1 + process / values % values) + "." + std::to_string(1 + process % values) + "." + std::to_string(number);
}

inline in_addr parseHost(const std::string& host)
{
    in_addr address {};
    inet_pton(AF_INET, host.c_str(), &address);
    return address;
}

inline int freePort(const std::string& host)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_addr = parseHost(host);
    bind(socket, reinterpret_cast<sockaddr*>(&name), sizeof name);
    socklen_t length = sizeof name;
    getsockname(socket, reinterpret_cast<sockaddr*>(&name), &length);
    close(socket);
    return ntohs(name.sin_port);
}

class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    // Listens on a free port of the loopback network.
    explicit Server(Handler handler)
        : handler(std::move(handler))
        , host(loopbackHost(1))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_addr = parseHost(this->host);
        bind(this->listener, reinterpret_cast<sockaddr*>(&name), sizeof name);
        listen(this->listener, 256);
        socklen_t length = sizeof name;
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&name), &length);
        this->number = ntohs(name.sin_port);
        std::thread([this] { this->acceptConnections(); }).detach();
    }

    std::string address() const { return this->host + ":" + std::to_string(this->number); }

    // While down, open connections are closed and new ones are closed at once.
    void setDown(bool isDown)
    {
        this->down = isDown;
        if (isDown)
            this->closeConnections();
    }

    // While silent, requests that arrive are lost and nothing is answered, as behind a partition.
    void setSilent(bool isSilent)
    {
        this->silent = isSilent;
        if (!isSilent)
            this->closeConnections();
    }

    void closeConnections()
    {
        const std::lock_guard lock(this->mutex);
        for (const int socket : this->sockets) {
            const linger atOnce { 1, 0 };
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
            shutdown(socket, SHUT_RDWR);
        }
    }

private:
    void acceptConnections()
    {
        while (true) {
            const int socket = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            if (this->down) {
                const linger atOnce { 1, 0 };
                setsockopt(socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
                close(socket);
                continue;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(this->mutex);
                this->sockets.insert(socket);
            }
            std::thread([this, socket] { this->serve(socket); }).detach();
        }
    }

    void serve(int socket)
    {
        std::string buffer;
        std::string head;
        std::string body;
        while (readMessage(socket, buffer, head, body, 0)) {
            if (this->silent)
                continue;
            const Response response = this->handler(parse(head, body));
            if (response.reset || this->down)
                break;
            if (this->silent)
                continue;
            const std::string text = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
            if (!sendAll(socket, text))
                break;
        }
        const std::lock_guard lock(this->mutex);
        this->sockets.erase(socket);
        close(socket);
    }

    static Request parse(const std::string& head, const std::string& body)
    {
        Request request;
        request.body = body;
        const std::size_t lineEnd = head.find("\r\n");
        const std::size_t first = head.find(' ');
        const std::size_t second = head.find(' ', first + 1);
        request.method = head.substr(0, first);
        std::string target = head.substr(first + 1, second - first - 1);
        if (const std::size_t mark = target.find('?'); mark != std::string::npos) {
            std::string rest = target.substr(mark + 1) + "&";
            target.resize(mark);
            for (std::size_t at = 0, next = 0; (next = rest.find('&', at)) != std::string::npos; at = next + 1) {
                const std::string pair = rest.substr(at, next - at);
                if (const std::size_t equals = pair.find('='); equals != std::string::npos)
                    request.query[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
            }
        }
        request.path = target;
        std::size_t at = lineEnd + 2;
        while (at < head.size()) {
            const std::size_t next = head.find("\r\n", at);
            const std::string line = head.substr(at, next - at);
            if (const std::size_t colon = line.find(':'); colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                for (char& c : name)
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                std::size_t begin = colon + 1;
                while (begin < line.size() && line[begin] == ' ')
                    ++begin;
                request.headers[name] = line.substr(begin);
            }
            at = next + 2;
        }
        return request;
    }

    Handler handler;
    const std::string host;
    int listener { -1 };
    int number { 0 };
    std::atomic<bool> down { false };
    std::atomic<bool> silent { false };
    std::mutex mutex;
    std::set<int> sockets;
};

// Sends one request on a connection of its own. The status is 0 if there was no complete response.
inline Response call(const std::string& host, int port, const std::string& method, const std::string& path, const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs)
{
    Response response { .status = 0, .body = {}, .reset = true };
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    name.sin_addr = parseHost(host);
    if (connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto& [field, value] : headers)
            text += field + ": " + value + "\r\n";
        std::string buffer;
        std::string head;
        if (sendAll(socket, text + "\r\n" + body) && readMessage(socket, buffer, head, response.body, timeoutMs)) {
            response.status = std::stoi(head.substr(head.find(' ') + 1));
            response.reset = false;
        }
    }
    close(socket);
    return response;
}

} // namespace review
