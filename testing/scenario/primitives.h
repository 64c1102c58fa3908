#pragma once

// What the prelude's verbs are made of, callable from Lua as rr.NAME(...). Each
// takes and gives JSON values; a failure is thrown and becomes a Lua error.

#include "base/clock.h"
#include "http/client.h"
#include "scenario/list_view.h"
#include "scenario/network.h"
#include "scenario/processes.h"

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

struct lua_State;

namespace rattan::testing {

struct RunnerOptions {
    std::string scenario;
    std::string programs; // Where the binaries are.
    std::string sources; // The root of the repository.
    std::string work; // Where logs of this scenario go.
    std::int64_t seed { 0 };
};

class Primitives {
public:
    explicit Primitives(RunnerOptions);
    ~Primitives();
    Primitives(const Primitives&) = delete;
    Primitives& operator=(const Primitives&) = delete;

    void install(lua_State*);

    using Function = std::function<Json(const Json& arguments)>;

private:
    void addProcessFunctions();
    void addNetworkFunctions();
    void addCallFunctions();
    void addFileFunctions();
    Json call(const Json& description);
    std::int64_t freePort();

    RunnerOptions options;
    SystemClock clock;
    std::mt19937_64 random;
    std::map<std::string, Function> functions;
    Network network;
    Processes processes;
    std::map<std::string, std::unique_ptr<ListView>> views; // By viewer.
    http::Client client;
    std::map<std::int64_t, std::future<Json>> calls;
    std::int64_t nextCall { 1 };
    std::set<std::uint16_t> givenPorts;
};

} // namespace rattan::testing
