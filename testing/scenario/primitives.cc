#include "scenario/primitives.h"

#include "scenario/lua_json.h"

#include <arpa/inet.h>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <lua.hpp>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace rattan::testing {

namespace {

    // Below the range from which the kernel takes ports of outgoing connections.
    constexpr std::uint64_t lowestPort = 10000;
    constexpr std::uint64_t portRange = 22000;
    constexpr unsigned portSlots = 16;
    constexpr int portTries = 200;
    constexpr std::size_t mostCalls = 200;
    constexpr std::size_t tailBytes = 4000;

    int signalNamed(const std::string& name)
    {
        if (name == "TERM")
            return SIGTERM;
        if (name == "STOP")
            return SIGSTOP;
        if (name == "CONT")
            return SIGCONT;
        if (name == "KILL")
            return SIGKILL;
        throw std::runtime_error("no signal is named " + name);
    }

    bool portIsFree(std::uint16_t port)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const bool isFree = bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(descriptor);
        return isFree;
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

    int invoke(lua_State* lua)
    {
        const auto* function = static_cast<const Primitives::Function*>(lua_touserdata(lua, lua_upvalueindex(1)));
        std::string problem;
        try {
            Json arguments = Json::array();
            for (int i = 1; i <= lua_gettop(lua); ++i)
                arguments.push_back(fromLua(lua, i));
            pushToLua(lua, (*function)(arguments));
            return 1;
        } catch (const std::exception& thrown) {
            problem = thrown.what();
        }
        lua_pushlstring(lua, problem.data(), problem.size());
        // lua_error leaves by longjmp; the text lives on Lua's stack from here.
        problem = std::string();
        return lua_error(lua);
    }

} // namespace

Primitives::Primitives(RunnerOptions options)
    : options(std::move(options))
    , random(static_cast<std::uint64_t>(this->options.seed))
    , network(static_cast<std::uint64_t>(this->options.seed))
{
    this->addProcessFunctions();
    this->addNetworkFunctions();
    this->addCallFunctions();
    this->addFileFunctions();
}

// Processes end first, so that calls in the background come back.
Primitives::~Primitives()
{
    this->processes.endAll();
    this->calls.clear();
}

void Primitives::install(lua_State* lua)
{
    lua_newtable(lua);
    for (auto& [name, function] : this->functions) {
        lua_pushlightuserdata(lua, &function);
        lua_pushcclosure(lua, &invoke, 1);
        lua_setfield(lua, -2, name.c_str());
    }
    lua_setglobal(lua, "rr");
}

void Primitives::addProcessFunctions()
{
    this->functions["start"] = [this](const Json& arguments) -> Json {
        std::vector<std::string> command = arguments.at(1);
        command.at(0) = this->options.programs + "/" + command[0];
        this->processes.start(arguments.at(0), command, this->options.work);
        return nullptr;
    };
    this->functions["signal"] = [this](const Json& arguments) -> Json {
        this->processes.signal(arguments.at(0), signalNamed(arguments.at(1)));
        return nullptr;
    };
    this->functions["process_id"] = [this](const Json& arguments) -> Json { return this->processes.idOf(arguments.at(0)); };
    this->functions["running"] = [this](const Json& arguments) -> Json { return this->processes.isKnown(arguments.at(0)); };
    this->functions["poll_exit"] = [this](const Json& arguments) -> Json {
        const auto exit = this->processes.poll(arguments.at(0));
        if (!exit)
            return nullptr;
        return { { "signalled", exit->signalled }, { "code", exit->code } };
    };
    this->functions["ended_unasked"] = [this](const Json&) -> Json { return this->processes.endedUnasked(); };
    this->functions["kill"] = [this](const Json& arguments) -> Json {
        this->processes.killAndForget(arguments.at(0));
        return nullptr;
    };
    this->functions["output"] = [this](const Json& arguments) -> Json {
        return readFile(this->options.work + "/" + arguments.at(0).get<std::string>() + ".out");
    };
    this->functions["error_tail"] = [this](const Json& arguments) -> Json {
        const std::string text = readFile(this->options.work + "/" + arguments.at(0).get<std::string>() + ".err");
        return text.substr(text.size() > tailBytes ? text.size() - tailBytes : 0);
    };
}

void Primitives::addNetworkFunctions()
{
    this->functions["place"] = [this](const Json& arguments) -> Json {
        this->network.place(arguments.at(0), arguments.at(1));
        return nullptr;
    };
    this->functions["link"] = [this](const Json& arguments) -> Json {
        return this->network.link(arguments.at(0), arguments.at(1), arguments.at(2));
    };
    this->functions["rule"] = [this](const Json& arguments) -> Json {
        const Json& rule = arguments.at(2);
        const std::string mode = rule.value("mode", "open");
        const LinkMode parsed = mode == "silent" ? LinkMode::Silent : mode == "closed" ? LinkMode::Closed
                                                                                       : LinkMode::Open;
        this->network.setRule(arguments.at(0), arguments.at(1), { parsed, rule.value("delay_ms", Millis { 0 }), rule.value("loss", 0.0) });
        return nullptr;
    };
    this->functions["clear_rule"] = [this](const Json& arguments) -> Json {
        this->network.clearRule(arguments.at(0), arguments.at(1));
        return nullptr;
    };
    this->functions["carried"] = [this](const Json& arguments) -> Json { return this->network.carriedBy(arguments.at(0)); };
    this->functions["clear_rules"] = [this](const Json&) -> Json {
        this->network.clearRules();
        return nullptr;
    };
    this->functions["list_view"] = [this](const Json& arguments) -> Json {
        const std::string viewer = arguments.at(0);
        auto view = std::make_unique<ListView>(this->network, viewer, arguments.at(1));
        view->start();
        const std::string address = this->network.link(viewer, "list", view->address());
        this->views[viewer] = std::move(view);
        return address;
    };
    this->functions["free_port"] = [this](const Json&) -> Json { return this->freePort(); };
}

void Primitives::addCallFunctions()
{
    this->functions["http"] = [this](const Json& arguments) { return this->call(arguments.at(0)); };
    this->functions["http_later"] = [this](const Json& arguments) -> Json {
        if (this->calls.size() >= mostCalls)
            throw std::runtime_error("too many calls at once");
        this->calls[this->nextCall] = std::async(std::launch::async, [this, description = arguments.at(0)] { return this->call(description); });
        return this->nextCall++;
    };
    this->functions["http_ready"] = [this](const Json& arguments) -> Json {
        return this->calls.at(arguments.at(0)).wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    };
    this->functions["http_await"] = [this](const Json& arguments) -> Json {
        const auto found = this->calls.find(arguments.at(0));
        if (found == this->calls.end())
            throw std::runtime_error("no such call");
        Json reply = found->second.get();
        this->calls.erase(found);
        return reply;
    };
    this->functions["now"] = [this](const Json&) -> Json { return this->clock.now(); };
    this->functions["wall"] = [this](const Json&) -> Json { return this->clock.wall(); };
    this->functions["pause"] = [](const Json& arguments) -> Json {
        std::this_thread::sleep_for(std::chrono::milliseconds(arguments.at(0).get<std::int64_t>()));
        return nullptr;
    };
    this->functions["random"] = [this](const Json& arguments) -> Json {
        return static_cast<std::int64_t>(this->random() % arguments.at(0).get<std::uint64_t>());
    };
}

void Primitives::addFileFunctions()
{
    this->functions["source_file"] = [this](const Json& arguments) -> Json {
        return readFile(this->options.sources + "/" + arguments.at(0).get<std::string>());
    };
    this->functions["has_program"] = [this](const Json& arguments) -> Json {
        return access((this->options.programs + "/" + arguments.at(0).get<std::string>()).c_str(), X_OK) == 0;
    };
    this->functions["decode"] = [](const Json& arguments) -> Json {
        return Json::parse(arguments.at(0).get_ref<const std::string&>(), nullptr, false, true);
    };
    this->functions["encode"] = [](const Json& arguments) -> Json { return arguments.at(0).dump(); };
}

Json Primitives::call(const Json& description)
{
    http::Call call;
    call.method = description.value("method", "GET");
    call.address = description.at("address");
    call.path = description.value("path", "/");
    call.timeout = std::chrono::milliseconds(description.value("timeout_ms", 5000));
    call.once = true;
    if (description.contains("body"))
        call.body = description["body"].is_string() ? description["body"].get<std::string>() : description["body"].dump();
    const Json headers = description.value("headers", Json::object());
    for (const auto& [name, value] : headers.items())
        call.headers.emplace_back(name, value.get<std::string>());
    const http::Reply reply = this->client.send(call);
    Json result { { "status", reply.error ? 0 : reply.status }, { "text", reply.body }, { "headers", reply.headers } };
    if (reply.error)
        result["error"] = reply.error->message;
    Json parsed = Json::parse(reply.body, nullptr, false);
    if (!parsed.is_discarded())
        result["body"] = std::move(parsed);
    return result;
}

std::int64_t Primitives::freePort()
{
    // Runners side by side take ports from ranges of their own: the port of an
    // instance that was killed looks free until the instance is started again.
    // Not from the seed: two scenarios with one seed may run side by side.
    const char* slot = std::getenv("RATTAN_SCENARIO_SLOT");
    const unsigned share = portRange / portSlots;
    const unsigned first = lowestPort + (slot ? static_cast<unsigned>(std::atoi(slot)) % portSlots : 0) * share;
    std::random_device device;
    for (int i = 0; i < portTries; ++i) {
        const auto port = static_cast<std::uint16_t>(first + device() % share);
        // A port that was given out but is not listened on yet looks free too.
        if (portIsFree(port) && this->givenPorts.insert(port).second)
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace rattan::testing
