// One poll loop over every listener and connection. Each connection is two
// pumps; a pump that must not pass anything now is simply not polled, so the
// bytes stay in the kernel's buffers as they would behind a cut.

#include "relay/relay_hub.h"

#include "relay/pump.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <list>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace rattan::testing {

namespace {

    constexpr int backlog = 256;
    constexpr std::size_t mostConnections = 4096;
    constexpr int idlePollMillis = 1000;

    sockaddr_in parseAddress(const std::string& text)
    {
        sockaddr_in address {};
        const std::size_t colon = text.rfind(':');
        address.sin_family = AF_INET;
        if (colon == std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
            throw std::runtime_error("relay: '" + text + "' is not IP:PORT");
        address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
        return address;
    }

    int listenOn(const std::string& text)
    {
        const sockaddr_in address = parseAddress(text);
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
            || listen(descriptor, backlog) != 0) {
            close(descriptor);
            throw std::runtime_error("relay: cannot listen on " + text);
        }
        return descriptor;
    }

    std::string boundAddress(int descriptor)
    {
        sockaddr_in address {};
        socklen_t length = sizeof address;
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
        char host[INET_ADDRSTRLEN] = {};
        inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
        return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
    }

    // A connection in progress to the target; negative when it is refused at once.
    int connectTo(const std::string& target)
    {
        const sockaddr_in address = parseAddress(target);
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (descriptor >= 0 && connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
            && errno != EINPROGRESS) {
            close(descriptor);
            return -1;
        }
        return descriptor;
    }

    void reset(int descriptor)
    {
        const linger abrupt { 1, 0 };
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
        close(descriptor);
    }

    struct Link {
        LinkOptions options;
        LinkRule rule;
        int listener { -1 };
        std::uint64_t carried { 0 };
        bool resets { false }; // All its connections, at the next sweep.
    };

    struct Connection {
        LinkId link;
        int client;
        int server;
        Pump up;
        Pump down;
        bool broken { false };

        Connection(LinkId link, int client, int server, bool answers)
            : link(link)
            , client(client)
            , server(server)
            , up(client, server, false)
            , down(server, client, answers)
        {
            const int on = 1;
            setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        }
    };

    struct Watch {
        Connection* connection { nullptr };
        Pump* pump { nullptr };
        LinkId link { 0 };
    };

} // namespace

struct RelayHub::State {
    std::map<LinkId, Link> links;
    std::list<Connection> connections;
    LinkId nextLink { 1 };
    bool stopping { false };
    std::mt19937_64 random;
    SystemClock clock;
    std::vector<pollfd> descriptors;
    std::vector<Watch> watches;

    void watch(int descriptor, short events, Watch watch)
    {
        this->descriptors.push_back({ descriptor, events, 0 });
        this->watches.push_back(watch);
    }

    void watchPump(Connection& connection, Pump& pump, Millis now, Millis& wakeAt)
    {
        if (pump.wantsRead())
            this->watch(pump.source(), POLLIN, { &connection, &pump });
        if (pump.wantsWrite(now))
            this->watch(pump.sink(), POLLOUT, { &connection, &pump });
        else if (const auto due = pump.nextDue())
            wakeAt = std::min(wakeAt, *due);
    }

    // Fills the poll set and returns how long to wait.
    int prepare(int wakeDescriptor)
    {
        const Millis now = this->clock.now();
        Millis wakeAt = now + idlePollMillis;
        this->descriptors.clear();
        this->watches.clear();
        this->watch(wakeDescriptor, POLLIN, {});
        for (auto& [id, link] : this->links) {
            if (this->connections.size() < mostConnections)
                this->watch(link.listener, POLLIN, { nullptr, nullptr, id });
        }
        for (Connection& connection : this->connections) {
            const LinkMode mode = this->links.at(connection.link).rule.mode;
            if (mode == LinkMode::Open || mode == LinkMode::Mute)
                this->watchPump(connection, connection.up, now, wakeAt);
            if (mode == LinkMode::Open)
                this->watchPump(connection, connection.down, now, wakeAt);
        }
        return static_cast<int>(std::max<Millis>(wakeAt - now, 0));
    }

    void accept(LinkId id)
    {
        const Link& link = this->links.at(id);
        const int client = accept4(link.listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (client < 0)
            return;
        const int server = link.rule.mode == LinkMode::Closed || link.options.target.empty() ? -1 : connectTo(link.options.target);
        if (server < 0) {
            reset(client);
            return;
        }
        this->connections.emplace_back(id, client, server, link.options.answers);
    }

    void serve(const pollfd& ready, const Watch& watch)
    {
        if (!watch.connection) {
            this->accept(watch.link);
            return;
        }
        Connection& connection = *watch.connection;
        const Millis now = this->clock.now();
        Link& link = this->links.at(connection.link);
        if (link.resets)
            return;
        if (ready.fd == watch.pump->source()) {
            const std::uint64_t before = watch.pump->bytesRead();
            connection.broken = !watch.pump->readSome(now, link.rule, this->random) || connection.broken;
            link.carried += watch.pump->bytesRead() - before;
        }
        if (!watch.pump->writeDue(now))
            connection.broken = true;
    }

    void sweep()
    {
        for (auto it = this->connections.begin(); it != this->connections.end();) {
            const Link& link = this->links.at(it->link);
            const bool closed = link.resets || link.rule.mode == LinkMode::Closed;
            if (it->broken || closed || (it->up.finished() && it->down.finished()) || it->down.finished()) {
                close(it->server);
                if (closed)
                    reset(it->client);
                else
                    close(it->client);
                it = this->connections.erase(it);
            } else {
                ++it;
            }
        }
        for (auto& [id, link] : this->links)
            link.resets = false;
    }
};

RelayHub::RelayHub(std::uint64_t seed)
    : state(std::make_unique<State>())
{
    this->state->random.seed(seed);
    int ends[2] = { -1, -1 };
    if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::runtime_error("relay: no pipe");
    this->wakeRead = ends[0];
    this->wakeWrite = ends[1];
    this->thread = std::thread([this] { this->run(); });
}

RelayHub::~RelayHub()
{
    this->stop();
    close(this->wakeRead);
    close(this->wakeWrite);
}

LinkId RelayHub::open(const LinkOptions& options)
{
    const int listener = listenOn(options.listen);
    const std::lock_guard lock(this->mutex);
    const LinkId id = this->state->nextLink++;
    Link link { options, {}, listener };
    link.options.listen = boundAddress(listener);
    this->state->links.emplace(id, std::move(link));
    this->wake();
    return id;
}

std::string RelayHub::address(LinkId id) const
{
    const std::lock_guard lock(this->mutex);
    return this->state->links.at(id).options.listen;
}

std::uint64_t RelayHub::carried(LinkId id) const
{
    const std::lock_guard lock(this->mutex);
    return this->state->links.at(id).carried;
}

void RelayHub::setRule(LinkId id, LinkRule rule)
{
    const std::lock_guard lock(this->mutex);
    this->state->links.at(id).rule = rule;
    this->wake();
}

void RelayHub::setTarget(LinkId id, const std::string& target)
{
    const std::lock_guard lock(this->mutex);
    this->state->links.at(id).options.target = target;
}

void RelayHub::resetConnections(LinkId id)
{
    const std::lock_guard lock(this->mutex);
    this->state->links.at(id).resets = true;
    this->wake();
}

void RelayHub::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->state->stopping = true;
        this->wake();
    }
    if (this->thread.joinable())
        this->thread.join();
    for (const Connection& connection : this->state->connections) {
        close(connection.client);
        close(connection.server);
    }
    this->state->connections.clear();
    for (auto& [id, link] : this->state->links)
        close(link.listener);
    this->state->links.clear();
}

void RelayHub::wake() const
{
    const char byte = 0;
    static_cast<void>(!write(this->wakeWrite, &byte, 1));
}

void RelayHub::run()
{
    while (true) {
        int wait = 0;
        {
            const std::lock_guard lock(this->mutex);
            if (this->state->stopping)
                return;
            this->state->sweep();
            wait = this->state->prepare(this->wakeRead);
        }
        poll(this->state->descriptors.data(), this->state->descriptors.size(), wait);
        char drained[64];
        while (read(this->wakeRead, drained, sizeof drained) > 0) { }
        const std::lock_guard lock(this->mutex);
        for (std::size_t i = 1; i < this->state->descriptors.size(); ++i) {
            if (this->state->descriptors[i].revents != 0)
                this->state->serve(this->state->descriptors[i], this->state->watches[i]);
        }
    }
}

} // namespace rattan::testing
