#pragma once

// A whole surrounding for one or more entries in the test's own process: the
// log behind HTTP, the instance list, executors, and a planner that knows one
// text. All on free ports.

#include "entry/program.h"
#include "entry/testing/fake_log.h"
#include "http/client.h"
#include "http/server.h"
#include "rpc/rattan.capnp.h"
#include "rpc/server.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

namespace rattan::entry::testing {

inline const std::string workspaceToken = "token-of-tours";
inline const std::string operatorToken = "token-of-operator";

// What the fake planner serves, whatever the YAML says.
inline config::Configuration sampleText()
{
    config::Configuration text;
    text.operators = { { "olga", sha256Hex(operatorToken) } };
    text.workers = { { .domain = "a", .racks = 1, .workersPerRack = 2 } };
    text.services = { { .name = "booking",
        .operations = { { .name = "hold", .idempotent = false, .deadline = 5000 }, { .name = "seats", .idempotent = true, .deadline = 5000 } } } };
    text.jobClasses = { { .name = "map" } };
    text.workspaces = { { .name = "tours", .tokenSha256 = sha256Hex(workspaceToken), .requestsPerSecond = 10000 },
        { .name = "others", .tokenSha256 = sha256Hex("token-of-others"), .requestsPerSecond = 1 } };
    return text;
}

class FakePlanner final : public rpc::Planner::Server {
protected:
    kj::Promise<void> config(ConfigContext context) override
    {
        auto config = context.getResults().initConfig();
        config.setVersion(1);
        config.setText(context.getParams().getAfter() < 1 ? "sample" : "");
        config.setAuthor("olga");
        return kj::READY_NOW;
    }

    kj::Promise<void> job(JobContext context) override
    {
        context.getResults().setFound(std::string(context.getParams().getKey().cStr()) == "known");
        context.getResults().initView().setWaitsFor("2 accelerators");
        return kj::READY_NOW;
    }

    kj::Promise<void> domain(DomainContext context) override
    {
        context.getResults().initView().setDomain("a");
        return kj::READY_NOW;
    }

    kj::Promise<void> drain(DrainContext) override { return kj::READY_NOW; }
};

// An executor that counts what it runs and answers as it is told to.
class FakeExecutor {
public:
    using Behaviour = std::function<http::Answer(const http::Request&, http::Answer whole)>;

    FakeExecutor()
    {
        this->server.route("POST", "/v1/run/:operation", [this](const http::Request& request) {
            ++this->runs;
            http::Answer whole { 200, "ran:" + request.body, "text/plain", { { "x-request-id", request.header("x-request-id") } } };
            return this->behaviour ? this->behaviour(request, std::move(whole)) : whole;
        });
        this->server.route("GET", "/v1/health", [](const http::Request&) { return http::jsonAnswer(200, Json::object()); });
        static_cast<void>(attemptVoid([&] { return this->server.start(); }));
    }

    // Set before requests come.
    Behaviour behaviour;
    std::atomic<int> runs { 0 };
    http::Server server { {} };
};

class FakePlatform {
public:
    explicit FakePlatform(std::size_t executorCount = 1)
        : log(this->clock)
        , planner("127.0.0.1:0", [] { return kj::heap<FakePlanner>(); })
    {
        for (std::size_t i = 0; i < executorCount; ++i)
            this->addresses.push_back(this->executors.emplace_back(std::make_unique<FakeExecutor>())->server.address());
        this->logServer.route("POST", "/v1/streams/:stream/records", [this](const http::Request& request) { return this->append(request); });
        this->logServer.route("GET", "/v1/streams/:stream/records", [this](const http::Request& request) { return this->read(request); });
        this->listServer.route("GET", "/v1/instances", [this](const http::Request&) { return this->list(); });
        static_cast<void>(attemptVoid([&] { return this->logServer.start(); }));
        static_cast<void>(attemptVoid([&] { return this->listServer.start(); }));
        static_cast<void>(attemptVoid([&] { return this->planner.start(); }));
    }

    EntryOptions optionsFor(const std::string& instance) const
    {
        EntryOptions options;
        options.instance = instance;
        options.domain = "a";
        options.planner = this->planner.address();
        options.log = this->logServer.address();
        options.instances = this->listServer.address();
        options.stopGraceMs = 2000;
        options.stopNoticeMs = 0;
        return options;
    }

    // A started entry that has its text and has read the claims; null if it never
    // came to that.
    std::unique_ptr<Program> startEntry(const std::string& instance)
    {
        auto program = std::make_unique<Program>(this->optionsFor(instance), [](const std::string&) -> Result<config::Configuration> { return sampleText(); });
        if (attemptVoid([&] { return program->start(); }))
            return nullptr;
        const bool ready = eventually([&] {
            const http::Reply reply = this->call(*program, "GET", "/v1/status", "", workspaceToken);
            const Json json = Json::parse(reply.body, nullptr, false);
            return reply.status == 200 && json["entry"]["claims_caught_up"] == true && json["entry"]["executors_listed"] == true;
        });
        return ready ? std::move(program) : nullptr;
    }

    http::Reply call(const Program& program, const std::string& method, const std::string& path, const std::string& body = "",
        const std::string& token = workspaceToken)
    {
        http::Call call;
        call.method = method;
        call.address = program.httpAddress();
        call.path = path;
        call.body = body;
        call.headers = { { "authorization", "Bearer " + token } };
        call.timeout = std::chrono::milliseconds(20000);
        return this->client.send(call);
    }

    // True once the condition holds; false if it does not within ten seconds.
    static bool eventually(const std::function<bool()>& condition)
    {
        const SystemClock clock;
        const Millis limit = clock.now() + 10000;
        while (!condition()) {
            if (clock.now() > limit)
                return false;
            std::this_thread::yield();
        }
        return true;
    }

    // What the instance list names from now on.
    void setExecutors(std::vector<std::string> listed)
    {
        const std::lock_guard lock(this->mutex);
        this->addresses = std::move(listed);
    }

    int runs() const
    {
        int sum = 0;
        for (const auto& executor : this->executors)
            sum += executor->runs;
        return sum;
    }

    SystemClock clock;
    FakeLog log;
    std::vector<std::unique_ptr<FakeExecutor>> executors;

private:
    http::Answer append(const http::Request& request)
    {
        const Json body = Json::parse(request.body);
        const auto done = attempt([&] { return this->log.append(request.parameter("stream"), body["records"].get<std::vector<Json>>()); });
        // A lost reply looks to the client like an answer that tells nothing.
        if (!done)
            return http::errorAnswer(done.error.code == ErrorCode::Timeout ? Error { ErrorCode::Internal, "log", "", "lost", {} } : done.error);
        return http::jsonAnswer(200, { { "first", done->first }, { "next", done->next } });
    }

    http::Answer read(const http::Request& request)
    {
        const auto page = attempt([&] {
            return this->log.read(request.parameter("stream"), std::stoull(request.parameter("from")), std::stoull(request.parameter("limit")),
                std::chrono::milliseconds(std::stoll(request.parameter("wait_ms"))));
        });
        if (!page)
            return http::errorAnswer(page.error);
        Json records = Json::array();
        for (const platform::LogRecord& record : page->records)
            records.push_back({ { "offset", record.offset }, { "at_ms", record.atWall }, { "value", record.value } });
        return http::jsonAnswer(200, { { "first_kept", page->firstKept }, { "next", page->next }, { "records", std::move(records) } });
    }

    http::Answer list()
    {
        Json instances = Json::array();
        const std::lock_guard lock(this->mutex);
        for (const std::string& address : this->addresses) {
            platform::Instance executor { .id = "x" + address, .kind = platform::InstanceKind::Executor, .domain = "a" };
            executor.address = address;
            executor.service = "booking";
            instances.push_back(platform::toJson(executor));
        }
        return http::jsonAnswer(200, { { "instances", std::move(instances) } });
    }

    std::mutex mutex;
    std::vector<std::string> addresses; // Of the executors in the list.
    http::Server logServer { {} };
    http::Server listServer { {} };
    rpc::ServerThread planner;
    http::Client client;
};

} // namespace rattan::entry::testing
