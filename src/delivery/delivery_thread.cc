// One kj event loop serves the other instances that plan through this one, and keeps the
// sessions through which this one plans. A session lives on one connection; whatever is
// wrong with it ends it, and both sides begin anew, since the codec of a session relies on
// every message. What ends a session runs later in the loop and not in the promise that
// found out, which would destroy itself.

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

    constexpr std::size_t mostCommands = 8192;
    constexpr std::size_t mostEvents = 8192;

    // A peer that has not taken a batch by then is cut off, frozen or overloaded; its
    // workers are better served through another.
    constexpr auto longestUntaken = 500 * kj::MILLISECONDS;
    constexpr auto longestConnecting = 400 * kj::MILLISECONDS;

    constexpr int mostUntaken = 400; // Batches of answers on their way through one session.

} // namespace

struct DeliveryThread::Loop final : public kj::TaskSet::ErrorHandler {
    // Through which this instance plans.
    struct Outgoing {
        std::uint64_t number { 0 };
        std::int64_t term { 0 };
        std::vector<OrderBatch> unsent; // Until the connection stands.
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> client;
        kj::Maybe<wire::Session::Client> session;
        PlannerCodec codec;
    };

    // Through which another instance plans.
    struct Incoming {
        explicit Incoming(wire::AnswerSink::Client sink)
            : sink(kj::mv(sink))
        {
        }

        wire::AnswerSink::Client sink;
        CarrierCodec codec;
        int untaken { 0 };
    };

    class SinkService final : public wire::AnswerSink::Server {
    public:
        SinkService(Loop& loop, std::string peer, std::uint64_t number)
            : loop(loop)
            , peer(std::move(peer))
            , number(number)
        {
        }

        kj::Promise<void> tell(TellContext context) override
        {
            this->loop.answersTold(this->peer, this->number, context.getParams().getAnswers());
            return kj::READY_NOW;
        }

    private:
        Loop& loop;
        const std::string peer;
        const std::uint64_t number;
    };

    class SessionService final : public wire::Session::Server {
    public:
        SessionService(Loop& loop, std::uint64_t number, std::int64_t term)
            : loop(loop)
            , number(number)
            , term(term)
        {
        }
        ~SessionService() { this->loop.incomingEnded(this->number); }

        kj::Promise<void> carry(CarryContext context) override
        {
            this->loop.ordersCarried(this->number, this->term, context.getParams());
            return kj::READY_NOW;
        }

    private:
        Loop& loop;
        const std::uint64_t number;
        const std::int64_t term;
    };

    class CarrierService final : public wire::Carrier::Server {
    public:
        explicit CarrierService(Loop& loop)
            : loop(loop)
        {
        }

        kj::Promise<void> open(OpenContext context) override
        {
            const std::uint64_t number = ++this->loop.lastSession;
            this->loop.incoming.emplace(number, Incoming(context.getParams().getAnswers()));
            context.getResults().setSession(kj::heap<SessionService>(this->loop, number, context.getParams().getTerm()));
            return kj::READY_NOW;
        }

    private:
        Loop& loop;
    };

    explicit Loop(DeliveryThread& owner)
        : owner(owner)
        , io(kj::setupAsyncIo())
        , wakes(this->io.lowLevelProvider->wrapInputFd(owner.waker, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC))
        , tasks(*this)
    {
    }

    // The connections of peers go with the server, before what their services refer to.
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
            this->wakes->tryRead(&count, sizeof(count), sizeof(count)).wait(this->io.waitScope);
            while (auto command = this->owner.commands.popFor(std::chrono::milliseconds(0)))
                std::visit([this](auto& row) { this->execute(row); }, *command);
        }
        this->isEnding = true;
    }

    void execute(OrderBatch& batch)
    {
        const auto found = this->outgoing.find(batch.peer);
        if (found != this->outgoing.end() && found->second.term != batch.term)
            this->outgoing.erase(found);
        const auto [row, isNew] = this->outgoing.try_emplace(batch.peer);
        Outgoing& out = row->second;
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
        Incoming& in = found->second;
        auto request = in.sink.tellRequest();
        auto rows = request.initAnswers(static_cast<unsigned>(batch.answers.size()));
        for (unsigned i = 0; i < rows.size(); ++i)
            in.codec.encode(batch.answers[i], rows[i]);
        if (++in.untaken > mostUntaken)
            return this->dropIncoming(batch.session);
        auto told = request.send().then([this, session = batch.session](auto&&) {
            if (const auto row = this->incoming.find(session); row != this->incoming.end())
                --row->second.untaken;
        });
        this->tasks.add(told.catch_([this, session = batch.session](kj::Exception&&) { this->dropIncoming(session); }));
    }

    void execute(const KeepOnly& kept)
    {
        std::erase_if(this->outgoing, [&](const auto& row) { return row.second.term != kept.term; });
    }

    void connect(const std::string& peer, std::int64_t term, Outgoing& out)
    {
        out.number = ++this->lastSession;
        out.term = term;
        auto stream = this->io.provider->getNetwork().parseAddress(peer.c_str()).then([](kj::Own<kj::NetworkAddress>&& address) {
            auto connection = address->connect();
            return connection.attach(kj::mv(address));
        });
        auto connected = this->io.provider->getTimer().timeoutAfter(longestConnecting, kj::mv(stream));
        auto ready = connected.then([this, peer, number = out.number](kj::Own<kj::AsyncIoStream>&& stream) {
            this->connected(peer, number, kj::mv(stream));
        });
        this->tasks.add(ready.catch_([this, peer, number = out.number](kj::Exception&& problem) { this->loseLater(peer, number, problem); }));
    }

    Outgoing* findOutgoing(const std::string& peer, std::uint64_t number)
    {
        const auto found = this->outgoing.find(peer);
        return found == this->outgoing.end() || found->second.number != number ? nullptr : &found->second;
    }

    void connected(const std::string& peer, std::uint64_t number, kj::Own<kj::AsyncIoStream> stream)
    {
        Outgoing* out = this->findOutgoing(peer, number);
        if (!out)
            return;
        out->stream = kj::mv(stream);
        out->client = kj::heap<capnp::TwoPartyClient>(*out->stream);
        auto request = out->client->bootstrap().castAs<wire::Carrier>().openRequest();
        request.setTerm(out->term);
        request.setAnswers(kj::heap<SinkService>(*this, peer, number));
        auto opened = request.send();
        wire::Session::Client session = opened.getSession();
        this->tasks.add(opened.ignoreResult().catch_([this, peer, number](kj::Exception&& problem) { this->loseLater(peer, number, problem); }));
        this->tasks.add(out->client->onDisconnect().then([this, peer, number] {
            this->loseLater(peer, number, KJ_EXCEPTION(DISCONNECTED, "the peer closed the connection"));
        }));
        out->session = session;
        for (OrderBatch& batch : out->unsent)
            this->sendOrders(batch, session, *out);
        out->unsent.clear();
    }

    void sendOrders(const OrderBatch& batch, wire::Session::Client& session, Outgoing& out)
    {
        auto request = session.carryRequest();
        request.setSentAt(batch.sentWall);
        auto rows = request.initOrders(static_cast<unsigned>(batch.calls.size()));
        for (unsigned i = 0; i < rows.size(); ++i)
            out.codec.encode(batch.calls[i], rows[i]);
        auto taken = this->io.provider->getTimer().timeoutAfter(longestUntaken, request.send().ignoreResult());
        this->tasks.add(taken.catch_([this, peer = batch.peer, number = out.number](kj::Exception&& problem) { this->loseLater(peer, number, problem); }));
    }

    void loseLater(const std::string& peer, std::uint64_t number, const kj::Exception& problem)
    {
        if (!this->findOutgoing(peer, number))
            return;
        this->tasks.add(kj::evalLater([this, peer, number, why = std::string(problem.getDescription().cStr())] {
            const Outgoing* out = this->findOutgoing(peer, number);
            if (!out)
                return;
            this->push(PeerLost { peer, out->term, why });
            this->outgoing.erase(peer);
        }));
    }

    void answersTold(const std::string& peer, std::uint64_t number, capnp::List<wire::Answer>::Reader rows)
    {
        Outgoing* out = this->findOutgoing(peer, number);
        if (!out)
            return;
        AnswersArrived arrived { .peer = peer, .term = out->term, .answers = {} };
        for (const auto row : rows) {
            if (auto answer = out->codec.decode(row))
                arrived.answers.push_back(std::move(*answer));
        }
        this->push(std::move(arrived));
    }

    void ordersCarried(std::uint64_t number, std::int64_t term, wire::Session::CarryParams::Reader params)
    {
        const auto found = this->incoming.find(number);
        if (found == this->incoming.end())
            return;
        OrdersArrived arrived { .session = number, .term = term, .sentWall = params.getSentAt(), .calls = {} };
        for (const auto row : params.getOrders()) {
            if (auto call = found->second.codec.decode(row, term))
                arrived.calls.push_back(std::move(*call));
        }
        this->push(std::move(arrived));
    }

    void dropIncoming(std::uint64_t session)
    {
        this->tasks.add(kj::evalLater([this, session] { this->incomingEnded(session); }));
    }

    void incomingEnded(std::uint64_t session)
    {
        if (this->incoming.erase(session) > 0 && !this->isEnding)
            this->push(SessionEnded { session });
    }

    void push(DeliveryEvent event)
    {
        if (this->owner.events.push(std::move(event)))
            this->owner.wakeOther();
    }

    void taskFailed(kj::Exception&&) override { } // Each task tells its own failures.

    DeliveryThread& owner;
    kj::AsyncIoContext io;
    kj::Own<kj::AsyncInputStream> wakes;
    bool isEnding { false };
    std::uint64_t lastSession { 0 };
    std::map<std::uint64_t, Incoming> incoming;
    std::map<std::string, Outgoing> outgoing; // By peer.
    kj::Own<capnp::TwoPartyServer> server;
    kj::Own<kj::ConnectionReceiver> receiver;
    kj::TaskSet tasks;
};

DeliveryThread::DeliveryThread(std::string address, std::function<void()> wake)
    : listenAddress(std::move(address))
    , wakeOther(std::move(wake))
    , commands(mostCommands)
    , events(mostEvents)
{
}

DeliveryThread::~DeliveryThread() { this->stop(); }

Result<void> DeliveryThread::start()
{
    this->waker = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
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
        static_cast<void>(write(this->waker, &one, sizeof(one))); // Fails only if it has been woken already.
        this->thread.join();
    }
    if (this->waker >= 0)
        close(this->waker);
    this->waker = -1;
}

void DeliveryThread::run(const std::function<void(unsigned port, std::string problem)>& started)
{
    bool isAnnounced = false;
    try {
        Loop loop(*this);
        const unsigned port = loop.listen();
        isAnnounced = true;
        started(port, "");
        loop.run();
    } catch (const kj::Exception& problem) {
        this->failed = true;
        if (!isAnnounced)
            started(0, problem.getDescription().cStr());
    }
}

bool DeliveryThread::push(Command command)
{
    if (!this->thread.joinable() || this->failed || !this->commands.tryPush(std::move(command)))
        return false;
    const std::uint64_t one = 1;
    static_cast<void>(write(this->waker, &one, sizeof(one))); // Fails only if it has been woken already.
    return true;
}

bool DeliveryThread::send(OrderBatch batch) { return this->push(std::move(batch)); }

bool DeliveryThread::answer(AnswerBatch batch) { return this->push(std::move(batch)); }

void DeliveryThread::keepOnly(std::int64_t term) { this->push(KeepOnly { term }); }

std::optional<DeliveryEvent> DeliveryThread::next()
{
    if (this->events.size() == 0)
        return std::nullopt;
    return this->events.popFor(std::chrono::milliseconds(0));
}

} // namespace rattan::delivery
