// By default, ulfius starts its daemon with a thread per connection and without a limit
// on their number; here it is started with options that limit the number of threads and
// the size of their stacks. Every route is registered for all methods, so that a wrong
// method can be distinguished from a wrong path.

#include "http/server.h"

#include "http/open_connections.h"

#include <arpa/inet.h>
#include <array>
#include <fmt/format.h>
#include <optional>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

namespace rattan::http {

namespace {

    constexpr std::size_t threadStackBytes = 512 * 1024;
    constexpr int maxPortAttempts = 8;
    constexpr Millis millisPerSecond = 1000;

    struct Endpoint {
        const Server* server;
        std::string pattern;
        std::int64_t maxBodyBytes;
        OpenConnections* connections;
    };

    std::string lowerCase(std::string text)
    {
        for (char& c : text)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return text;
    }

    void copyMap(const _u_map* from, std::map<std::string, std::string>& to, bool lowerCaseNames)
    {
        for (int i = 0; i < u_map_count(from); ++i) {
            const std::string name = from->keys[i];
            to[lowerCaseNames ? lowerCase(name) : name] = from->values[i];
        }
    }

    std::string peerOf(const _u_request* from)
    {
        std::array<char, INET6_ADDRSTRLEN> text {};
        if (!from->client_address)
            return {};
        if (from->client_address->sa_family == AF_INET)
            inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(from->client_address)->sin_addr, text.data(), text.size());
        else
            inet_ntop(AF_INET6, &reinterpret_cast<const sockaddr_in6*>(from->client_address)->sin6_addr, text.data(), text.size());
        return text.data();
    }

    Request readRequest(const _u_request* from)
    {
        Request request;
        request.method = from->http_verb ? from->http_verb : "";
        request.path = from->url_path ? from->url_path : "";
        if (from->binary_body_length > 0)
            request.body.assign(static_cast<const char*>(from->binary_body), from->binary_body_length);
        request.peer = peerOf(from);
        copyMap(from->map_header, request.headers, true);
        copyMap(from->map_url, request.parameters, false);
        return request;
    }

    void writeAnswer(const Answer& answer, _u_response* to)
    {
        // ulfius rejects an empty body and then leaves the status at 200.
        if (!answer.body.empty())
            ulfius_set_binary_body_response(to, static_cast<unsigned>(answer.status), answer.body.data(), answer.body.size());
        to->status = answer.status;
        u_map_put(to->map_header, "Content-Type", answer.contentType.c_str());
        for (const auto& [name, value] : answer.headers)
            u_map_put(to->map_header, name.c_str(), value.c_str());
    }

    // The connection served by this thread. ulfius does not pass the connection to its
    // callbacks, but each connection has its own thread.
    thread_local OpenConnection* threadConnection = nullptr;

    int onRequest(const _u_request* from, _u_response* to, void* data)
    {
        const auto* endpoint = static_cast<const Endpoint*>(data);
        endpoint->connections->markRequestRead(*threadConnection);
        const Request request = readRequest(from);
        if (static_cast<std::int64_t>(request.body.size()) > endpoint->maxBodyBytes) {
            writeAnswer(errorAnswer({ ErrorCode::TooLarge, "http.body", request.peer,
                            fmt::format("the body is over {} bytes", endpoint->maxBodyBytes), {} }),
                to);
        } else {
            try {
                writeAnswer(endpoint->server->handle(endpoint->pattern, request), to);
            } catch (const std::exception& exception) {
                writeAnswer(errorAnswer({ ErrorCode::Internal, "http.handler", request.peer, exception.what(), {} }), to);
            }
        }
        if (endpoint->server->isDraining())
            u_map_put(to->map_header, "Connection", "close");
        return U_CALLBACK_COMPLETE;
    }

    OpenConnections& connectionsOf(void* data) { return *static_cast<OpenConnections*>(data); }

    OpenConnection& connectionOf(MHD_Connection* connection)
    {
        return *static_cast<OpenConnection*>(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
    }

    void onConnection(void* data, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode code)
    {
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
            *context = &connectionsOf(data).add(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd);
        else
            connectionsOf(data).remove(*static_cast<OpenConnection*>(*context));
    }

    // libmicrohttpd calls onRequestStarted when a request line was read, and later
    // onRequestFinished when the answer was written or the connection was closed.
    void* onRequestStarted(void* data, const char* uri, MHD_Connection* connection)
    {
        threadConnection = &connectionOf(connection);
        connectionsOf(data).markRequestStarted(*threadConnection);
        return ulfius_uri_logger(nullptr, uri);
    }

    void onRequestFinished(void* data, MHD_Connection* connection, void** state, MHD_RequestTerminationCode code)
    {
        mhd_request_completed(nullptr, connection, state, code);
        connectionsOf(data).markRequestFinished(connectionOf(connection));
    }

    // Returns a port that is currently free; start() retries if another process binds it first.
    std::uint16_t freePort(const sockaddr_in& address)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in bound = address;
        bound.sin_port = 0;
        socklen_t length = sizeof bound;
        std::uint16_t port = 0;
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&bound), sizeof bound) == 0
            && getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length) == 0)
            port = ntohs(bound.sin_port);
        close(descriptor);
        return port;
    }

} // namespace

struct Server::Native {
    _u_instance instance {};
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    bool running { false };
    std::optional<OpenConnections> connections; // Created by start().
};

Server::Server(ServerOptions options)
    : options(std::move(options))
    , native(std::make_unique<Native>())
{
}

Server::~Server() { this->stop(); }

void Server::route(const std::string& method, const std::string& pattern, Handler handler)
{
    this->routes[pattern][method] = std::move(handler);
}

void Server::fallback(Handler handler) { this->fallbackHandler = std::move(handler); }

Result<void> Server::start()
{
    const std::size_t colon = this->options.address.rfind(':');
    const std::string host = this->options.address.substr(0, colon);
    sockaddr_in bindAddress {};
    bindAddress.sin_family = AF_INET;
    if (colon == std::string::npos || inet_pton(AF_INET, host.c_str(), &bindAddress.sin_addr) != 1)
        return fail(ErrorCode::BadInput, "http.start", this->options.address, "expected an IPv4 address and a port");
    const auto requestedPort = static_cast<std::uint16_t>(std::stoi(this->options.address.substr(colon + 1)));
    this->native->connections.emplace();
    this->draining = false;
    for (int attempt = 0; attempt < maxPortAttempts; ++attempt) {
        const std::uint16_t port = requestedPort != 0 ? requestedPort : freePort(bindAddress);
        bindAddress.sin_port = htons(port);
        if (ulfius_init_instance(&this->native->instance, port, &bindAddress, nullptr) != U_OK)
            continue;
        this->native->instance.max_post_body_size = static_cast<std::size_t>(this->options.maxBodyBytes) + 1;
        this->native->instance.allowed_post_processor = U_POST_PROCESS_NONE;
        this->native->instance.check_utf8 = 0;
        this->native->endpoints.clear();
        for (const auto& [pattern, methods] : this->routes) {
            this->native->endpoints.push_back(std::make_unique<Endpoint>(Endpoint { this, pattern, this->options.maxBodyBytes, &*this->native->connections }));
            ulfius_add_endpoint_by_val(&this->native->instance, "*", nullptr, pattern.c_str(), 0, &onRequest, this->native->endpoints.back().get());
        }
        this->native->endpoints.push_back(std::make_unique<Endpoint>(Endpoint { this, "", this->options.maxBodyBytes, &*this->native->connections }));
        ulfius_set_default_endpoint(&this->native->instance, &onRequest, this->native->endpoints.back().get());
        MHD_OptionItem daemonOptions[] = {
            { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&onRequestFinished), &*this->native->connections },
            { MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&onConnection), &*this->native->connections },
            { MHD_OPTION_SOCK_ADDR, 0, &bindAddress },
            { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&onRequestStarted), &*this->native->connections },
            { MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(this->options.maxConnections), nullptr },
            { MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(this->options.idleTimeoutSeconds), nullptr },
            { MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(threadStackBytes), nullptr },
            { MHD_OPTION_END, 0, nullptr },
        };
        const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
        if (ulfius_start_framework_with_mhd_options(&this->native->instance, flags, daemonOptions) == U_OK) {
            this->native->running = true;
            this->options.address = fmt::format("{}:{}", host, port);
            return {};
        }
        ulfius_clean_instance(&this->native->instance);
        if (requestedPort != 0)
            break;
    }
    return fail(ErrorCode::Unavailable, "http.start", this->options.address, "cannot listen on the address");
}

StopReport Server::stop() { return this->stop(this->options.stopTimeoutSeconds * millisPerSecond); }

StopReport Server::stop(Millis limit)
{
    StopReport report;
    if (!this->native->running)
        return report;
    this->native->running = false;
    this->drain();
    // Stopping the daemon closes every connection, even one whose request is being read or
    // answered. Therefore the listening socket is closed first, then each connection when
    // it is idle, and the daemon closes only the connections left at the limit.
    const MHD_socket listeningSocket = MHD_quiesce_daemon(this->native->instance.mhd_daemon);
    if (listeningSocket != MHD_INVALID_SOCKET)
        close(listeningSocket);
    report.inProgress = this->native->connections->requestsInProgress();
    this->native->connections->closeWhenIdle();
    if (!this->native->connections->waitUntilEmpty(limit))
        report.interrupted = this->native->connections->requestsBeingAnswered();
    ulfius_stop_framework(&this->native->instance);
    ulfius_clean_instance(&this->native->instance);
    return report;
}

Answer Server::handle(const std::string& pattern, const Request& request) const
{
    const auto methods = this->routes.find(pattern);
    if (methods == this->routes.end() && this->fallbackHandler)
        return this->fallbackHandler(request);
    if (methods == this->routes.end())
        return errorAnswer({ ErrorCode::NotFound, "http.route", request.peer, "no such path", {} });
    const auto handler = methods->second.find(request.method);
    if (handler != methods->second.end())
        return handler->second(request);
    std::string allowed;
    for (const auto& [method, methodHandler] : methods->second)
        allowed += (allowed.empty() ? "" : ", ") + method;
    Answer answer = errorAnswer({ ErrorCode::MethodNotAllowed, "http.route", request.peer, "allowed here: " + allowed, {} });
    answer.headers.emplace_back("Allow", allowed);
    return answer;
}

} // namespace rattan::http
