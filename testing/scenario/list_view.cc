#include "scenario/list_view.h"

#include "standins/instance_answer.h"

#include <stdexcept>

namespace rattan::testing {

namespace {

    constexpr std::chrono::milliseconds listTimeout { 3000 };

} // namespace

ListView::ListView(Network& network, std::string viewer, std::string list)
    : network(network)
    , viewer(std::move(viewer))
    , listAddress(std::move(list))
    , list(this->listAddress, listTimeout)
    , server(http::ServerOptions {})
{
    this->server.route("GET", "/v1/instances", [this](const http::Request& request) { return this->answer(request); });
}

void ListView::start()
{
    if (const auto error = attemptVoid([&] { return this->server.start(); }))
        throw std::runtime_error(error->message);
}

http::Answer ListView::answer(const http::Request& request)
{
    auto instances = attempt([&] { return this->list.instances(); });
    if (!instances)
        return http::errorAnswer(instances.error);
    for (platform::Instance& instance : *instances) {
        // A machine reaches itself without a link, and knows itself by its address.
        if (instance.id != this->viewer) {
            instance.address = this->network.link(this->viewer, instance.id, instance.address);
            if (!instance.rpc.empty())
                instance.rpc = this->network.link(this->viewer, instance.id, instance.rpc);
        }
    }
    return instancesAnswer(*instances, request);
}

} // namespace rattan::testing
