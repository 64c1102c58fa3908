// One kj event loop serves the instances that send their orders here, and maintains the
// sessions through which this instance sends its own. A session lives on one connection. Any
// error ends it and both sides start a new one, because the codec of a session relies on
// every message. A session is ended later in the loop and not in the promise that detected
// the error, since that promise would destroy itself.
//
// kj fires a timer in the same pass as, or before, the events of sockets. After a suspension of
// this thread all timeouts would therefore end before the acknowledgements that lie in the sockets
// are read. Here a timeout takes effect only after further passes that read what has arrived.

#include "delivery/delivery_thread.h"

#include "delivery/delivery_codec.h"

#include <capnp/rpc-twoparty.h>
#include <fmt/format.h>
#include <future>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <map>
#include <sys/eventfd.h>
#include <unistd.h>

namespace rattan::delivery {

namespace {

    constexpr std::size_t maxCommands = 8192;
    constexpr std::size_t maxEvents = 8192;

    // A peer that does not acknowledge a batch within this time is unreachable, frozen or
    // overloaded; its workers are better served through another one.
    constexpr auto batchTimeout = 500 * kj::MILLISECONDS;
    constexpr auto connectTimeout = 400 * kj::MILLISECONDS;

    // The event loop handles up to 16 ready sockets per pass, and there are far fewer than 1,000.
    constexpr int maxReadPasses = 64;

    constexpr int maxUnacknowledgedBatches = 400; // Batches of answers in flight in one session.

} // namespace

struct DeliveryThread::EventLoop final : public kj::TaskSet::ErrorHandler {
    // A session through which this instance sends orders as the planner.
    struct OutgoingSession {
        std::uint64_t number { 0 };
        std::int64_t term { 0 };
        std::vector<OrderBatch> unsent; // Batches to send once the connection is established.
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> client;
        kj::Maybe<wire::Session::Client> session;
        PlannerCodec codec;
    };

    // A session through which another instance sends orders as the planner.
    struct IncomingSession {
        explicit IncomingSession(wire::AnswerSink::Client sink)
            : sink(kj::mv(sink))
        {
        }

        wire::AnswerSink::Client sink;
        RelayCodec codec;
        int unacknowledgedBatches { 0 };
    };

    class SinkService final : public wire::AnswerSink::Server {
    public:
        SinkService(EventLoop& loop, std::string peer, std::uint64_t number)
            : loop(loop)
            , peer(std::move(peer))
            , number(number)
        {
        }

        kj::Promise<void> tell(TellContext context) override
        {
            this->loop.handleAnswers(this->peer, this->number, context.getParams().getAnswers());
            return kj::READY_NOW;
        }

    private:
        EventLoop& loop;
        const std::string peer;
        const std::uint64_t number;
    };

    class SessionService final : public wire::Session::Server {
    public:
        SessionService(EventLoop& loop, std::uint64_t number, std::int64_t term)
            : loop(loop)
            , number(number)
            , term(term)
        {
        }
        ~SessionService() { this->loop.endIncoming(this->number); }

        kj::Promise<void> carry(CarryContext context) override
        {
            this->loop.handleOrders(this->number, this->term, context.getParams());
            return kj::READY_NOW;
        }

    private:
        EventLoop& loop;
        const std::uint64_t number;
        const std::int64_t term;
    };

    class CarrierService final : public wire::Carrier::Server {
    public:
        explicit CarrierService(EventLoop& loop)
            : loop(loop)
        {
        }

        kj::Promise<void> open(OpenContext context) override
        {
            const std::uint64_t number = ++this->loop.lastSession;
            this->loop.incoming.emplace(number, IncomingSession(context.getParams().getAnswers()));
            context.getResults().setSession(kj::heap<SessionService>(this->loop, number, context.getParams().getTerm()));
            return kj::READY_NOW;
        }

    private:
        EventLoop& loop;
    };

    explicit EventLoop(DeliveryThread& owner)
        : owner(owner)
        , io(kj::setupAsyncIo())
        , timer(owner.timer ? *owner.timer : this->io.provider->getTimer())
        , wakeStream(this->io.lowLevelProvider->wrapInputFd(owner.wakeFd, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC))
        , tasks(*this)
    {
    }

    // Accepts sessions of peers from now on; returns the port that is listened on. The server
    // closes the connections of peers when it is destroyed. It is declared after the sessions that
    // their services refer to, and is therefore destroyed before them.
    unsigned listen()
    {
        this->server = kj::heap<capnp::TwoPartyServer>(capnp::Capability::Client(kj::heap<CarrierService>(*this)));
        this->receiver = this->io.provider->getNetwork().parseAddress(this->owner.listenAddress.c_str()).wait(this->io.waitScope)->listen();
        this->tasks.add(this->server->listen(*this->receiver));
        return this->receiver->getPort();
    }

    void run()
    {
        while (!this->owner.stopping) {
            std::uint64_t count = 0;
            this->wakeStream->tryRead(&count, sizeof(count), sizeof(count)).wait(this->io.waitScope);
            while (auto command = this->owner.commands.popFor(std::chrono::milliseconds(0)))
                std::visit([this](auto& row) { this->execute(row); }, *command);
        }
        this->isStopping = true;
    }

    void execute(OrderBatch& batch)
    {
        const auto found = this->outgoing.find(batch.peer);
        if (found != this->outgoing.end() && found->second.term != batch.term)
            this->outgoing.erase(found);
        const auto [row, isNew] = this->outgoing.try_emplace(batch.peer);
        OutgoingSession& out = row->second;
        if (isNew)
            this->connect(batch.peer, batch.term, out);
        KJ_IF_MAYBE (session, out.session)
            this->sendOrders(batch, *session, out);
        else
            out.unsent.push_back(std::move(batch));
    }

    void execute(AnswerBatch& batch)
    {
        const auto found = this->incoming.find(batch.session);
        if (found == this->incoming.end())
            return;
        IncomingSession& in = found->second;
        auto request = in.sink.tellRequest();
        auto rows = request.initAnswers(static_cast<unsigned>(batch.answers.size()));
        for (unsigned i = 0; i < rows.size(); ++i)
            in.codec.encode(batch.answers[i], rows[i]);
        if (++in.unacknowledgedBatches > maxUnacknowledgedBatches)
            return this->scheduleIncomingEnd(batch.session);
        auto delivered = request.send().then([this, session = batch.session](auto&&) {
            if (const auto row = this->incoming.find(session); row != this->incoming.end())
                --row->second.unacknowledgedBatches;
        });
        this->tasks.add(delivered.catch_([this, session = batch.session](kj::Exception&&) { this->scheduleIncomingEnd(session); }));
    }

    void execute(const ArrivalCheck& check)
    {
        this->tasks.add(this->readArrived().then([this, check] { this->push(check); }));
    }

    void execute(const CloseOtherTerms& command)
    {
        std::erase_if(this->outgoing, [&](const auto& row) { return row.second.term != command.term; });
    }

    // Fails if the promise is not resolved within the limit and nothing that has arrived resolves it.
    template <typename T>
    kj::Promise<T> within(kj::Duration limit, kj::Promise<T> promise)
    {
        auto expired = this->timer.afterDelay(limit).then([this] { return this->readArrived(); }).then([]() -> kj::Promise<T> { return KJ_EXCEPTION(OVERLOADED, "operation timed out"); });
        return promise.exclusiveJoin(kj::mv(expired));
    }

    // Resolves after everything that had arrived when it was called was read and handled.
    kj::Promise<void> readArrived(int passes = maxReadPasses)
    {
        if (passes == 0)
            return kj::READY_NOW;
        auto polled = this->io.provider->getTimer().afterDelay(0 * kj::SECONDS).then([] { return kj::evalLast([] {}); });
        return polled.then([this, passes] { return this->readArrived(passes - 1); });
    }

    void connect(const std::string& peer, std::int64_t term, OutgoingSession& out)
    {
        out.number = ++this->lastSession;
        out.term = term;
        auto stream = this->io.provider->getNetwork().parseAddress(peer.c_str()).then([](kj::Own<kj::NetworkAddress>&& address) {
            auto connection = address->connect();
            return connection.attach(kj::mv(address));
        });
        auto connected = this->within(connectTimeout, kj::mv(stream));
        auto ready = connected.then([this, peer, number = out.number](kj::Own<kj::AsyncIoStream>&& stream) {
            this->handleConnected(peer, number, kj::mv(stream));
        });
        this->tasks.add(ready.catch_([this, peer, number = out.number](kj::Exception&& problem) { this->schedulePeerLost(peer, number, problem); }));
    }

    OutgoingSession* findOutgoing(const std::string& peer, std::uint64_t number)
    {
        const auto found = this->outgoing.find(peer);
        return found == this->outgoing.end() || found->second.number != number ? nullptr : &found->second;
    }

    void handleConnected(const std::string& peer, std::uint64_t number, kj::Own<kj::AsyncIoStream> stream)
    {
        OutgoingSession* out = this->findOutgoing(peer, number);
        if (!out)
            return;
        out->stream = kj::mv(stream);
        out->client = kj::heap<capnp::TwoPartyClient>(*out->stream);
        auto request = out->client->bootstrap().castAs<wire::Carrier>().openRequest();
        request.setTerm(out->term);
        request.setAnswers(kj::heap<SinkService>(*this, peer, number));
        auto opened = request.send();
        wire::Session::Client session = opened.getSession();
        this->tasks.add(opened.ignoreResult().catch_([this, peer, number](kj::Exception&& problem) { this->schedulePeerLost(peer, number, problem); }));
        this->tasks.add(out->client->onDisconnect().then([this, peer, number] {
            this->schedulePeerLost(peer, number, KJ_EXCEPTION(DISCONNECTED, "the peer closed the connection"));
        }));
        out->session = session;
        for (OrderBatch& batch : out->unsent)
            this->sendOrders(batch, session, *out);
        out->unsent.clear();
    }

    void sendOrders(const OrderBatch& batch, wire::Session::Client& session, OutgoingSession& out)
    {
        auto request = session.carryRequest();
        request.setSentAt(batch.sentWallTime);
        auto rows = request.initOrders(static_cast<unsigned>(batch.calls.size()));
        for (unsigned i = 0; i < rows.size(); ++i)
            out.codec.encode(batch.calls[i], rows[i]);
        auto acknowledged = this->within(batchTimeout, request.send().ignoreResult());
        this->tasks.add(acknowledged.catch_([this, peer = batch.peer, number = out.number](kj::Exception&& problem) { this->schedulePeerLost(peer, number, problem); }));
    }

    void schedulePeerLost(const std::string& peer, std::uint64_t number, const kj::Exception& problem)
    {
        if (!this->findOutgoing(peer, number))
            return;
        this->tasks.add(kj::evalLater([this, peer, number, reason = std::string(problem.getDescription().cStr())] {
            const OutgoingSession* out = this->findOutgoing(peer, number);
            if (!out)
                return;
            this->push(PeerLost { peer, out->term, reason });
            this->outgoing.erase(peer);
        }));
    }

    void handleAnswers(const std::string& peer, std::uint64_t number, capnp::List<wire::Answer>::Reader rows)
    {
        OutgoingSession* out = this->findOutgoing(peer, number);
        if (!out)
            return;
        AnswersReceived event { .peer = peer, .term = out->term, .answers = {} };
        for (const auto row : rows) {
            if (auto answer = out->codec.decode(row))
                event.answers.push_back(std::move(*answer));
        }
        this->push(std::move(event));
    }

    void handleOrders(std::uint64_t number, std::int64_t term, wire::Session::CarryParams::Reader params)
    {
        const auto found = this->incoming.find(number);
        if (found == this->incoming.end())
            return;
        OrdersReceived event { .session = number, .term = term, .sentWallTime = params.getSentAt(), .calls = {} };
        for (const auto row : params.getOrders()) {
            if (auto call = found->second.codec.decode(row, term))
                event.calls.push_back(std::move(*call));
        }
        this->push(std::move(event));
    }

    void scheduleIncomingEnd(std::uint64_t session)
    {
        this->tasks.add(kj::evalLater([this, session] { this->endIncoming(session); }));
    }

    void endIncoming(std::uint64_t session)
    {
        if (this->incoming.erase(session) > 0 && !this->isStopping)
            this->push(SessionEnded { session });
    }

    void push(DeliveryEvent event)
    {
        if (this->owner.events.push(std::move(event)))
            this->owner.wakeOwner();
    }

    void taskFailed(kj::Exception&&) override { } // Each task reports its own failures.

    DeliveryThread& owner;
    kj::AsyncIoContext io;
    kj::Timer& timer;
    kj::Own<kj::AsyncInputStream> wakeStream;
    bool isStopping { false };
    std::uint64_t lastSession { 0 };
    std::map<std::uint64_t, IncomingSession> incoming;
    std::map<std::string, OutgoingSession> outgoing; // By peer.
    kj::Own<capnp::TwoPartyServer> server;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::TaskSet tasks;
};

DeliveryThread::DeliveryThread(std::string address, std::function<void()> wake, kj::Timer* timer)
    : listenAddress(std::move(address))
    , wakeOwner(std::move(wake))
    , timer(timer)
    , commands(maxCommands)
    , events(maxEvents)
{
}

DeliveryThread::~DeliveryThread() { this->stop(); }

Result<void> DeliveryThread::start()
{
    this->wakeFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    std::promise<std::pair<unsigned, std::string>> started;
    auto outcome = started.get_future();
    this->thread = std::thread([this, &started] {
        this->run([&started](unsigned port, std::string problem) { started.set_value({ port, std::move(problem) }); });
    });
    const auto [port, problem] = outcome.get();
    if (port == 0) {
        this->thread.join();
        return fail(ErrorCode::Unavailable, "delivery.start", this->listenAddress, problem);
    }
    this->listenAddress = fmt::format("{}:{}", this->listenAddress.substr(0, this->listenAddress.rfind(':')), port);
    return {};
}

void DeliveryThread::stop()
{
    this->stopping = true;
    this->events.close();
    if (this->thread.joinable()) {
        const std::uint64_t one = 1;
        static_cast<void>(write(this->wakeFd, &one, sizeof(one))); // Fails only if a wake-up is pending already.
        this->thread.join();
    }
    if (this->wakeFd >= 0)
        close(this->wakeFd);
    this->wakeFd = -1;
}

void DeliveryThread::run(const std::function<void(unsigned port, std::string problem)>& started)
{
    bool isStartReported = false;
    try {
        EventLoop loop(*this);
        const unsigned port = loop.listen();
        isStartReported = true;
        started(port, "");
        loop.run();
    } catch (const kj::Exception& problem) {
        this->failed = true;
        if (!isStartReported)
            started(0, problem.getDescription().cStr());
    }
}

bool DeliveryThread::push(Command command)
{
    if (!this->thread.joinable() || this->failed || !this->commands.tryPush(std::move(command)))
        return false;
    const std::uint64_t one = 1;
    static_cast<void>(write(this->wakeFd, &one, sizeof(one))); // Fails only if a wake-up is pending already.
    return true;
}

bool DeliveryThread::send(OrderBatch batch) { return this->push(std::move(batch)); }

bool DeliveryThread::answer(AnswerBatch batch) { return this->push(std::move(batch)); }

bool DeliveryThread::checkArrivals(ArrivalCheck check) { return this->push(check); }

void DeliveryThread::closeOtherTerms(std::int64_t term) { this->push(CloseOtherTerms { term }); }

std::optional<DeliveryEvent> DeliveryThread::next()
{
    if (this->events.size() == 0)
        return std::nullopt;
    return this->events.popFor(std::chrono::milliseconds(0));
}

} // namespace rattan::delivery
