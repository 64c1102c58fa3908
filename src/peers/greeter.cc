#include "peers/greeter.h"

#include "peers/state_message.h"

#include <capnp/ez-rpc.h>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <map>
#include <set>

namespace rattan::peers {

struct Greeter::Connections {
    // The main capability is taken once, while the connection is new. Asked for
    // again on a connection that the peer has closed, it throws out of the
    // library's own clean-up, which no caller can catch: this process would end
    // when another instance is replaced.
    struct Connection {
        explicit Connection(const std::string& address)
            : client(address.c_str())
            , planner(client.getMain<rpc::Planner>())
        {
        }

        capnp::EzRpcClient client;
        rpc::Planner::Client planner;
    };
    std::map<std::string, std::unique_ptr<Connection>> clients;

    Connection& to(const std::string& address)
    {
        auto& client = this->clients[address];
        if (!client)
            client = std::make_unique<Connection>(address);
        return *client;
    }

    // Connections to peers that are no longer greeted would pile up.
    void keepOnly(const std::vector<std::string>& addresses)
    {
        const std::set<std::string> kept(addresses.begin(), addresses.end());
        std::erase_if(this->clients, [&kept](const auto& entry) { return !kept.contains(entry.first); });
    }
};

namespace {

    using Client = rpc::Planner::Client;

    // Asks for the text if the peer's is newer than ours.
    kj::Promise<void> fetchText(Client planner, std::uint64_t version, GreetAnswer& answer)
    {
        if (answer.own.configVersion <= version)
            return kj::READY_NOW;
        auto request = planner.configRequest();
        request.setAfter(version);
        return request.send().then([&answer](auto&& response) {
            const auto config = response.getConfig();
            if (!config.hasText() || config.getText().size() == 0)
                return;
            answer.text.number = static_cast<std::int64_t>(config.getVersion());
            answer.text.yaml = config.getText();
            answer.text.author = config.getAuthor();
        });
    }

    kj::Promise<void> greet(Client planner, const GreetRound& round, GreetAnswer& answer)
    {
        auto request = planner.greetRequest();
        fill(request.initFrom(), round.own);
        auto known = request.initKnown(static_cast<unsigned>(round.known.size()));
        for (unsigned i = 0; i < known.size(); ++i)
            fill(known[i], round.known[i]);
        return request.send().then([planner, &round, &answer](auto&& response) mutable {
            answer.own = readReport(response.getOwn());
            answer.known = readReports(response.getKnown());
            answer.reached = true;
            return fetchText(planner, round.version, answer);
        });
    }

} // namespace

Greeter::Greeter(std::chrono::milliseconds timeout)
    : timeout(timeout)
    , connections(std::make_unique<Connections>())
{
}

Greeter::~Greeter() = default;

void Greeter::run(const GreetRound& round, const std::function<void(const GreetAnswer&)>& take)
{
    if (round.targets.empty())
        return;
    std::vector<GreetAnswer> answers(round.targets.size());
    std::set<std::string> broken;
    auto promises = kj::heapArrayBuilder<kj::Promise<void>>(round.targets.size());
    for (std::size_t i = 0; i < round.targets.size(); ++i) {
        answers[i].address = round.targets[i];
        auto& connection = this->connections->to(round.targets[i]);
        auto& timer = connection.client.getIoProvider().getTimer();
        // A call that failed or timed out leaves its connection in doubt.
        const auto lost = [&broken, address = round.targets[i]](kj::Exception&&) { broken.insert(address); };
        promises.add(kj::evalNow([&] {
            return timer.timeoutAfter(this->timeout.count() * kj::MILLISECONDS, greet(connection.planner, round, answers[i]));
        }).catch_(lost));
    }
    kj::joinPromises(promises.finish()).wait(this->connections->to(round.targets.front()).client.getWaitScope());
    for (const std::string& address : broken)
        this->connections->clients.erase(address);
    this->connections->keepOnly(round.targets);
    for (const GreetAnswer& answer : answers)
        take(answer);
}

} // namespace rattan::peers
