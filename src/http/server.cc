// By default, ulfius starts its daemon with a thread per connection and without a limit
// on their number; here it is started with options that limit the number of threads and
// the size of their stacks. Every route is registered for all methods, so that a wrong
// method can be distinguished from a wrong path.
//
// ulfius calls a handler only when the whole body has been read. A body is refused earlier, by its
// guard, while neither library can answer: the guard itself writes the answer to the socket.

#include "http/server.h"

#include "http/body_guard.h"
#include "http/memory_budget.h"
#include "http/open_connections.h"
#include "http/refusal_writer.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstring>
#include <fmt/format.h>
#include <malloc.h>
#include <optional>
#include <orcania.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

namespace rattan::http {

namespace {

    constexpr std::size_t threadStackBytes = 512 * 1024;
    constexpr int maxPortAttempts = 8;
    constexpr Millis millisPerSecond = 1000;

    // A large body that has been in transfer for this long gives way to others. A caller within the
    // usual limits sends all of it at once.
    constexpr Millis maxUndisturbedTransfer = 2000;

    // The part of the body budget whose use leaves enough freed memory to return it to the system.
    constexpr std::size_t returnedBudgetShare = 4;

    struct Endpoint {
        const Server* server;
        std::string pattern;
    };

    // What the connections of a server share.
    struct Shared {
        Shared(const Server& server, std::size_t maxUndisturbedConnections, std::size_t bodyBudgetBytes)
            : server(server)
            , connections(maxUndisturbedConnections)
            , bodies(bodyBudgetBytes)
        {
        }

        const Server& server;
        OpenConnections connections;
        MemoryBudget bodies;
        std::atomic<bool> returnsMemory { false }; // Once no large body is left.
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

    Request readHead(const _u_request* from)
    {
        Request request;
        request.method = from->http_verb ? from->http_verb : "";
        request.path = from->url_path ? from->url_path : "";
        request.peer = peerOf(from);
        copyMap(from->map_header, request.headers, true);
        copyMap(from->map_url, request.parameters, false);
        return request;
    }

    Request readRequest(const _u_request* from)
    {
        Request request = readHead(from);
        if (from->binary_body_length > 0)
            request.body.assign(static_cast<const char*>(from->binary_body), from->binary_body_length);
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

    // The request on the connection of this thread, and the guard of its body.
    class CurrentRequest final : public detail::BodyGuard {
    public:
        void begin(Shared& sharedState, MHD_Connection* mhdConnection, OpenConnection& openConnection, _u_request* ulfiusRequest)
        {
            this->shared = &sharedState;
            this->mhd = mhdConnection;
            this->connection = &openConnection;
            this->request = ulfiusRequest;
            sharedState.connections.markRequestStarted(openConnection);
            detail::guardBody(ulfiusRequest, *this);
        }

        // The body is complete. The copy of ulfius is freed, since the handler may wait for long.
        Request take()
        {
            detail::endGuard();
            this->shared->connections.markRequestRead(*this->connection);
            Request result = readRequest(this->request);
            o_free(this->request->binary_body);
            this->request->binary_body = nullptr;
            this->request->binary_body_length = 0;
            return result;
        }

        void markAnswerReady() { this->shared->connections.markAnswerReady(*this->connection); }

        void end()
        {
            detail::endGuard();
            if (!this->shared)
                return;
            this->shared->connections.markRequestFinished(*this->connection);
            if (this->reserved > 0 && this->shared->bodies.release(this->reserved) == 0 && this->shared->returnsMemory.exchange(false))
                malloc_trim(0);
            this->reserved = 0;
            this->shared = nullptr;
        }

        bool mayGrow(std::size_t bytes) override
        {
            const Server& server = this->shared->server;
            const std::size_t expected = std::max(bytes, this->announcedBytes());
            if (expected > static_cast<std::size_t>(server.maxBodyBytes()))
                return this->refuse(BodyRefusal::TooLarge);
            if (expected <= std::max(server.limits().smallBodyBytes, this->reserved))
                return true;
            if (!this->shared->bodies.tryReserve(expected - this->reserved)) {
                this->shared->connections.closeSlowestLargeBody(maxUndisturbedTransfer);
                return this->refuse(BodyRefusal::NoMemory);
            }
            this->reserved = expected;
            this->shared->connections.markLargeBody(*this->connection);
            if (this->shared->bodies.used() > server.limits().bodyBudgetBytes / returnedBudgetShare)
                this->shared->returnsMemory = true;
            return true;
        }

    private:
        // Returns false.
        bool refuse(BodyRefusal cause)
        {
            Request head = readHead(this->request);
            head.bodyRefusal = cause;
            Answer answer;
            try {
                answer = this->shared->server.handleRefusal(std::move(head));
            } catch (const std::exception& exception) {
                answer = errorAnswer({ ErrorCode::Internal, "http.handler", peerOf(this->request), exception.what(), {} });
            }
            detail::writeRefusal(this->connection->socket, answer);
            return false;
        }

        // Returns 0 if the size isn't announced.
        std::size_t announcedBytes() const
        {
            const char* text = MHD_lookup_connection_value(this->mhd, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
            std::size_t bytes = 0;
            if (text)
                std::from_chars(text, text + std::strlen(text), bytes);
            return bytes;
        }

        Shared* shared { nullptr };
        MHD_Connection* mhd { nullptr };
        OpenConnection* connection { nullptr };
        _u_request* request { nullptr };
        std::size_t reserved { 0 }; // Of the body budget.
    };

    // ulfius does not pass the connection to its callbacks, but each connection has its own thread.
    thread_local CurrentRequest currentRequest;

    int onRequest(const _u_request*, _u_response* to, void* data)
    {
        const auto* endpoint = static_cast<const Endpoint*>(data);
        Request request = currentRequest.take();
        const std::string peer = request.peer;
        try {
            writeAnswer(endpoint->server->handle(endpoint->pattern, std::move(request)), to);
        } catch (const std::exception& exception) {
            writeAnswer(errorAnswer({ ErrorCode::Internal, "http.handler", peer, exception.what(), {} }), to);
        }
        currentRequest.markAnswerReady();
        if (endpoint->server->isDraining())
            u_map_put(to->map_header, "Connection", "close");
        return U_CALLBACK_COMPLETE;
    }

    Shared& sharedOf(void* data) { return *static_cast<Shared*>(data); }

    OpenConnection& connectionOf(MHD_Connection* connection)
    {
        return *static_cast<OpenConnection*>(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
    }

    void onConnection(void* data, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode code)
    {
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
            *context = &sharedOf(data).connections.add(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd);
        else
            sharedOf(data).connections.remove(*static_cast<OpenConnection*>(*context));
    }

    // libmicrohttpd calls onRequestStarted when a request line was read, and later
    // onRequestFinished when the answer was written or the connection was closed.
    void* onRequestStarted(void* data, const char* uri, MHD_Connection* connection)
    {
        void* state = ulfius_uri_logger(nullptr, uri);
        if (state)
            currentRequest.begin(sharedOf(data), connection, connectionOf(connection), static_cast<connection_info_struct*>(state)->request);
        return state;
    }

    void onRequestFinished(void*, MHD_Connection* connection, void** state, MHD_RequestTerminationCode code)
    {
        mhd_request_completed(nullptr, connection, state, code);
        currentRequest.end();
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
    std::optional<Shared> shared; // Created by start().
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

void Server::refusedBodies(Handler handler) { this->refusalHandler = std::move(handler); }

std::int64_t Server::maxBodyBytes() const
{
    const std::int64_t current = this->options.currentMaxBodyBytes ? this->options.currentMaxBodyBytes() : 0;
    return current > 0 ? current : this->options.maxBodyBytes;
}

Result<void> Server::start()
{
    const std::size_t colon = this->options.address.rfind(':');
    const std::string host = this->options.address.substr(0, colon);
    sockaddr_in bindAddress {};
    bindAddress.sin_family = AF_INET;
    if (colon == std::string::npos || inet_pton(AF_INET, host.c_str(), &bindAddress.sin_addr) != 1)
        return fail(ErrorCode::BadInput, "http.start", this->options.address, "expected an IPv4 address and a port");
    const auto requestedPort = static_cast<std::uint16_t>(std::stoi(this->options.address.substr(colon + 1)));
    const bool makesRoom = this->options.spareConnections > 0;
    this->native->shared.emplace(*this, makesRoom ? static_cast<std::size_t>(std::max<std::int64_t>(this->options.maxConnections - this->options.spareConnections, 1)) : std::numeric_limits<std::size_t>::max(), this->options.bodyBudgetBytes);
    detail::installBodyGuards();
    this->draining = false;
    for (int attempt = 0; attempt < maxPortAttempts; ++attempt) {
        const std::uint16_t port = requestedPort != 0 ? requestedPort : freePort(bindAddress);
        bindAddress.sin_port = htons(port);
        if (ulfius_init_instance(&this->native->instance, port, &bindAddress, nullptr) != U_OK)
            continue;
        this->native->instance.max_post_body_size = 0; // The guard limits the body.
        this->native->instance.allowed_post_processor = U_POST_PROCESS_NONE;
        this->native->instance.check_utf8 = 0;
        this->native->endpoints.clear();
        for (const auto& [pattern, methods] : this->routes) {
            this->native->endpoints.push_back(std::make_unique<Endpoint>(Endpoint { this, pattern }));
            ulfius_add_endpoint_by_val(&this->native->instance, "*", nullptr, pattern.c_str(), 0, &onRequest, this->native->endpoints.back().get());
        }
        this->native->endpoints.push_back(std::make_unique<Endpoint>(Endpoint { this, "" }));
        ulfius_set_default_endpoint(&this->native->instance, &onRequest, this->native->endpoints.back().get());
        MHD_OptionItem daemonOptions[] = {
            { MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&onRequestFinished), &*this->native->shared },
            { MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&onConnection), &*this->native->shared },
            { MHD_OPTION_SOCK_ADDR, 0, &bindAddress },
            { MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&onRequestStarted), &*this->native->shared },
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

std::size_t Server::reservedBodyBytes() const { return this->native->shared ? this->native->shared->bodies.used() : 0; }

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
    report.inProgress = this->native->shared->connections.requestsInProgress();
    this->native->shared->connections.closeWhenIdle();
    if (!this->native->shared->connections.waitUntilEmpty(limit))
        report.interrupted = this->native->shared->connections.requestsBeingAnswered();
    ulfius_stop_framework(&this->native->instance);
    ulfius_clean_instance(&this->native->instance);
    return report;
}

Answer Server::handleRefusal(Request head) const
{
    if (this->refusalHandler)
        return this->refusalHandler(std::move(head));
    if (head.bodyRefusal == BodyRefusal::NoMemory)
        return errorAnswer({ ErrorCode::Unavailable, "http.body", head.peer, "too many large bodies are being read", std::chrono::seconds(1) });
    return errorAnswer({ ErrorCode::TooLarge, "http.body", head.peer, fmt::format("the body is over {} bytes", this->maxBodyBytes()), {} });
}

Answer Server::handle(const std::string& pattern, Request request) const
{
    const auto methods = this->routes.find(pattern);
    if (methods == this->routes.end() && this->fallbackHandler)
        return this->fallbackHandler(std::move(request));
    if (methods == this->routes.end())
        return errorAnswer({ ErrorCode::NotFound, "http.route", request.peer, "no such path", {} });
    const auto handler = methods->second.find(request.method);
    if (handler != methods->second.end())
        return handler->second(std::move(request));
    std::string allowed;
    for (const auto& [method, methodHandler] : methods->second)
        allowed += (allowed.empty() ? "" : ", ") + method;
    Answer answer = errorAnswer({ ErrorCode::MethodNotAllowed, "http.route", request.peer, "allowed here: " + allowed, {} });
    answer.headers.emplace_back("Allow", allowed);
    return answer;
}

} // namespace rattan::http
