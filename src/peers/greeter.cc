#include "peers/greeter.h"

#include "peers/state_message.h"

#include <capnp/ez-rpc.h>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <map>
#include <set>

namespace rattan::peers {

struct Greeter::Connections {
    std::map<std::string, std::unique_ptr<capnp::EzRpcClient>> clients;

    capnp::EzRpcClient& to(const std::string& address)
    {
        auto& client = this->clients[address];
        if (!client)
            client = std::make_unique<capnp::EzRpcClient>(address.c_str());
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
        auto& timer = connection.getIoProvider().getTimer();
        // A call that failed or timed out leaves its connection in doubt.
        const auto lost = [&broken, address = round.targets[i]](kj::Exception&&) { broken.insert(address); };
        // A connection that its peer has closed since the last round throws when
        // its capability is asked for. Thrown past here it would end this process
        // when another instance is replaced; as a failed call it only makes the
        // next round connect anew.
        auto call = kj::evalNow([&] { return greet(connection.getMain<rpc::Planner>(), round, answers[i]); });
        promises.add(timer.timeoutAfter(this->timeout.count() * kj::MILLISECONDS, kj::mv(call)).catch_(lost));
    }
    kj::joinPromises(promises.finish()).wait(this->connections->to(round.targets.front()).getWaitScope());
    for (const std::string& address : broken)
        this->connections->clients.erase(address);
    this->connections->keepOnly(round.targets);
    for (const GreetAnswer& answer : answers)
        take(answer);
}

} // namespace rattan::peers
