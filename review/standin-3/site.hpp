#pragma once

// A small deployment for the scripts of this review: the platform's store and executors as
// stand-ins in this process, and instances of the deploy file's program as processes of their own.
// One lock guards the state of the store and of all executors.

#include "http.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Millis = std::int64_t;

inline Millis steadyNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline Millis unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepFor(Millis time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

// The times of the record count from the construction.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
        , startedAt(steadyNow())
    {
    }

    Millis now() const { return steadyNow() - this->startedAt; }

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        const Millis now = this->now();
        char time[32];
        std::snprintf(time, sizeof time, "%7.3f ", static_cast<double>(now) / 1000);
        this->file << time << text << std::endl;
    }

private:
    std::ofstream file;
    const Millis startedAt;
    std::mutex mutex;
};

inline std::string base64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            result += i + j > text.size() ? '=' : digits[bits >> (18 - 6 * j) & 63];
    }
    return result;
}

// The platform's store: keyed topics with one partition.
class Store {
public:
    Store(std::mutex& mutex, Record& record)
        : mutex(mutex)
        , record(record)
        , server([this](const Request& request) { return this->handle(request); })
    {
    }

    std::string address() const { return this->server.address(); }

    void write(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->add(this->topics[topic], key, value);
        this->changed.notify_all();
    }

    // Called with each call of the system before it is carried out, without the lock. Returns a
    // response that replaces the call, if any.
    std::function<std::optional<Response>(const Request&)> before;

private:
    struct Entry {
        std::string key;
        std::string value;
    };

    struct Newest {
        std::string value;
        std::int64_t offset { 0 };
    };

    struct Producer {
        std::int64_t epoch { 0 };
        std::int64_t nextNumber { -1 }; // Any, if negative.
        std::map<std::int64_t, std::string> responses;
    };

    struct Topic {
        std::vector<Entry> entries;
        std::map<std::string, Newest> newest;
        std::map<std::string, Producer> producers;
    };

    void add(Topic& topic, const std::string& key, const std::string& value)
    {
        const auto offset = static_cast<std::int64_t>(topic.entries.size());
        topic.entries.push_back({ key, value });
        if (value.empty())
            topic.newest.erase(key);
        else
            topic.newest[key] = { value, offset };
    }

    static void putNumber(std::string& to, std::uint64_t value, int bytes)
    {
        for (int i = bytes - 1; i >= 0; --i)
            to += static_cast<char>(value >> (8 * i) & 0xff);
    }

    static std::string field(const Request& request, const std::string& name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? "" : found->second;
    }

    Response handle(const Request& request)
    {
        if (this->before) {
            if (auto replaced = this->before(request))
                return *replaced;
        }
        if (request.path == "/log-append")
            return this->append(request);
        if (request.path == "/log-read")
            return this->read(request);
        if (request.path == "/log-newest")
            return this->listNewest(request);
        return { .status = 404, .body = "{}" };
    }

    Response append(const Request& request)
    {
        const std::string name = field(request, "topic");
        if (name == "keyed.op" || name == "keyed.servers")
            return { .status = 403, .body = "{}" };
        const std::lock_guard lock(this->mutex);
        Topic& topic = this->topics[name];
        const auto end = [&] { return static_cast<std::int64_t>(topic.entries.size()); };
        if (const std::string at = field(request, "at"); !at.empty() && std::stoll(at) != end())
            return { .status = 412, .body = Json { { "end", end() } }.dump() };
        const std::string producerName = field(request, "producer");
        Producer* producer = producerName.empty() ? nullptr : &topic.producers[producerName];
        std::int64_t number = 0;
        if (producer) {
            const std::int64_t epoch = std::stoll(field(request, "epoch"));
            number = std::stoll(field(request, "seq"));
            if (epoch < producer->epoch)
                return { .status = 409, .body = Json { { "reason", "fenced" } }.dump() };
            if (epoch > producer->epoch)
                *producer = { epoch, -1, {} };
            if (request.body.empty())
                return { .status = 200, .body = Json { { "offset", end() }, { "end", end() } }.dump() };
            if (const auto repeated = producer->responses.find(number); repeated != producer->responses.end())
                return { .status = 200, .body = repeated->second };
            if (producer->nextNumber >= 0 && number != producer->nextNumber)
                return { .status = 409, .body = Json { { "reason", "seq" }, { "seq", producer->nextNumber } }.dump() };
        }
        const std::int64_t offset = end();
        std::string_view rest = request.body;
        while (rest.size() >= 5) {
            std::size_t size = 0;
            for (int i = 0; i < 4; ++i)
                size = size << 8 | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
            const std::size_t keySize = static_cast<unsigned char>(rest[4]);
            this->add(topic, std::string(rest.substr(5, keySize)), std::string(rest.substr(5 + keySize, size - 1 - keySize)));
            rest.remove_prefix(4 + size);
        }
        const std::string body = Json { { "offset", offset }, { "end", end() } }.dump();
        if (producer) {
            producer->nextNumber = number + 1;
            producer->responses[number] = body;
            while (producer->responses.size() > 5)
                producer->responses.erase(producer->responses.begin());
        }
        this->changed.notify_all();
        return { .status = 200, .body = body };
    }

    Response read(const Request& request)
    {
        const std::string name = field(request, "topic");
        const auto from = static_cast<std::size_t>(std::stoll(field(request, "from")));
        const std::string wait = field(request, "wait_ms");
        std::unique_lock lock(this->mutex);
        if (!wait.empty())
            this->changed.wait_for(lock, std::chrono::milliseconds(std::stoll(wait)), [&] { return this->topics[name].entries.size() > from; });
        const Topic& topic = this->topics[name];
        std::string body;
        putNumber(body, topic.entries.size(), 8);
        putNumber(body, 0, 8);
        for (std::size_t i = from; i < topic.entries.size() && body.size() < (1U << 20); ++i) {
            const Entry& entry = topic.entries[i];
            putNumber(body, 1 + entry.key.size() + entry.value.size(), 4);
            putNumber(body, entry.key.size(), 1);
            body += entry.key + entry.value;
        }
        return { .status = 200, .body = body };
    }

    Response listNewest(const Request& request)
    {
        constexpr std::size_t maxItems = 500;
        const std::lock_guard lock(this->mutex);
        const Topic& topic = this->topics[field(request, "topic")];
        Json items = Json::array();
        auto next = topic.newest.upper_bound(field(request, "depends_on"));
        for (; next != topic.newest.end() && items.size() < maxItems; ++next)
            items.push_back({ { "key", next->first }, { "value", base64(next->second.value) }, { "offset", next->second.offset } });
        return { .status = 200, .body = Json { { "items", items }, { "has_more", next != topic.newest.end() }, { "end", topic.entries.size() } }.dump() };
    }

    std::mutex& mutex;
    Record& record;
    std::map<std::string, Topic> topics;
    std::condition_variable changed;
    Server server;
};

// What the executors know of a job's tasks.
struct TaskKind {
    Millis work { 1000 };
    std::int64_t gang { 0 }; // The number of members, or 0.
    bool fails { false };
    bool lasts { false }; // It serves after `work`, and ends by a stop only.
    std::map<std::int64_t, Millis> workOf; // By index, for tasks that differ.
};

class Site;

struct Run {
    std::string task;
    std::int64_t number { 0 };
    Millis startedAt { 0 };
    Millis worked { 0 };
    Millis stopAt { 0 };
};

struct End {
    std::int64_t number { 0 };
    std::string task;
    std::int64_t run { 0 };
    std::string how;
};

class Executor {
public:
    Executor(Site& site, std::string id, Json capacity, std::vector<std::string> labels);

    void tick(Millis elapsed); // With the lock.
    void crash(); // With the lock: everything is lost, under the same id.
    Json entry() const;

    // Called with each order before it is carried out, without the lock.
    std::function<std::optional<Response>(const Request&)> before;

    Response handle(const Request& request);
    Response carryOut(const Request& request);
    Millis clock() const { return steadyNow() - this->startedAt; }

    Site& site;
    const std::string id;
    Json capacity;
    std::vector<std::string> labels;
    Millis startedAt { 0 };
    Millis born { 0 };
    Millis leaseUntil { 0 };
    std::int64_t token { 0 };
    std::int64_t lastEnd { 0 };
    std::deque<Run> runs;
    std::deque<End> ends;
    std::map<std::string, std::int64_t> closedRuns; // The highest run of a task that was stopped or has ended.
    bool draining { false };
    bool listed { true };
    std::unique_ptr<Server> server;

private:
    void finish(std::size_t index, const std::string& how);
};

struct SiteOptions {
    std::string program;
    std::string directory;
    std::size_t instances { 3 };
    Millis maxHold { 10000 };
    Millis stopTimeout { 200 };
    std::string advice;
};

class Site {
public:
    Site(SiteOptions options, Record& record)
        : options(std::move(options))
        , record(record)
        , store(mutex, record)
    {
        std::signal(SIGPIPE, SIG_IGN);
        std::thread([this] { this->advance(); }).detach();
    }

    // Ends the processes that were started, and this one. Threads of the stand-ins still run.
    [[noreturn]] void finish(int code)
    {
        this->endProcesses();
        std::_Exit(code);
    }

    void endProcesses()
    {
        for (const pid_t process : this->processes) {
            if (process > 0)
                kill(process, SIGKILL);
        }
        for (const pid_t process : this->processes) {
            if (process > 0)
                waitpid(process, nullptr, 0);
        }
    }

    Executor& addExecutor(const std::string& id, Json capacity = { { "cpu", 128000 }, { "mem_mb", 524288 }, { "gpu", 8 } }, std::vector<std::string> labels = { "a", "r1" })
    {
        auto executor = std::make_unique<Executor>(*this, id, std::move(capacity), std::move(labels));
        Executor& added = *executor;
        const std::lock_guard lock(this->mutex);
        this->executors.push_back(std::move(executor));
        return added;
    }

    void startInstances()
    {
        for (std::size_t i = 0; i < this->options.instances; ++i) {
            this->frontPorts.push_back(freePort(hostOf(i)));
            this->readyPorts.push_back(freePort(hostOf(i)));
            this->processes.push_back(0);
            this->startInstance(i);
        }
    }

    void startInstance(std::size_t i)
    {
        const std::string name = "front-" + std::to_string(i + 1);
        const std::string file = this->options.directory + "/" + name + ".yaml";
        std::ofstream(file) << this->settings(i, name);
        const std::string log = this->options.directory + "/" + name + ".log";
        const pid_t child = fork();
        if (child == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // Also if this process is ended by force.
            setenv("RATTANROCK_CONFIG", file.c_str(), 1);
            if (!std::freopen(log.c_str(), "a", stdout) || !std::freopen(log.c_str(), "a", stderr))
                _exit(126);
            execl(this->options.program.c_str(), this->options.program.c_str(), nullptr);
            _exit(127);
        }
        this->processes[i] = child;
    }

    // Waits until all instances report ready. Returns false after the limit.
    bool awaitReady(Millis limit)
    {
        const Millis until = steadyNow() + limit;
        for (std::size_t i = 0; i < this->processes.size(); ++i) {
            while (call(hostOf(i), this->readyPorts[i], "GET", "/readyz", { { "Host", "x" } }, "", 500).status != 200) {
                if (steadyNow() > until)
                    return false;
                sleepFor(50);
            }
        }
        return true;
    }

    // Whether the process of the instance runs.
    bool isAlive(std::size_t i)
    {
        if (this->processes[i] <= 0 || waitpid(this->processes[i], nullptr, WNOHANG) != 0)
            this->processes[i] = 0;
        return this->processes[i] > 0;
    }

    void putConfiguration(const Json& routes, const Json& extra = Json::object())
    {
        Json config { { "version", ++this->version }, { "routes", routes }, { "services", Json::array({ { { "name", "work" }, { "health_path", "/healthz" }, { "enforces_capacity", false } } }) },
            { "limits", { { "max_body_bytes", 262144 } } }, { "tenants", Json::array({ { { "name", "t1" }, { "api_keys", { "key-1" } }, { "guaranteed_gpus", 0 } } }) } };
        config.update(extra);
        this->store.write("keyed.op", "config", config.dump());
        this->record.line("operator: configuration " + std::to_string(this->version.load()));
    }

    static Json route(const std::string& name, int priority = 1, int attempts = 3)
    {
        return { { "name", name }, { "host", name + ".example" }, { "path_prefix", "/" + name + "/" }, { "kind", "unsafe" }, { "timeout_ms", 3000 }, { "target_latency_ms", 1000 }, { "priority", priority }, { "service", "work" },
            { "max_attempts", attempts }, { "stretch", 3.0 }, { "public", false } };
    }

    // A call of a client, written to the record.
    Response client(std::size_t instance, const std::string& method, const std::string& queue, const std::string& id, const std::string& body = "", Millis timeout = 3000)
    {
        const Response response = call(hostOf(instance), this->frontPorts[instance], method, "/" + queue + "/" + id, { { "Host", queue + ".example" }, { "X-Api-Key", "key-1" }, { "Content-Type", "application/json" }, { "X-Rattanrock-Deadline-Ms", std::to_string(timeout) } }, body, static_cast<int>(timeout));
        this->record.line("client: " + method + " " + queue + "/" + id + " at front-" + std::to_string(instance + 1) + " -> " + std::to_string(response.status) + " " + response.body.substr(0, response.body.find('\n')));
        return response;
    }

    // The state of a job, or the status of the response.
    std::string state(std::size_t instance, const std::string& queue, const std::string& id)
    {
        const Response response = this->client(instance, "GET", queue, id);
        const Json body = Json::parse(response.body, nullptr, false);
        return response.status == 200 && body.is_object() && body.contains("state") ? body["state"].get<std::string>() : std::to_string(response.status);
    }

    const SiteOptions options;
    Record& record;
    std::mutex mutex;
    std::condition_variable ended;
    Store store;
    std::vector<std::unique_ptr<Executor>> executors;
    std::map<std::string, TaskKind> kinds; // By job and step, as ID.STEP.
    std::map<std::string, int> endCounts; // By how.
    std::function<void(const Executor&, const Json& order)> onStart; // With the lock, before a run begins.
    std::vector<pid_t> processes;
    std::vector<int> frontPorts;
    std::vector<int> readyPorts;
    std::atomic<int> version { 0 };

    static std::string hostOf(std::size_t instance) { return loopbackHost(10 + static_cast<int>(instance)); }

    static std::string stepOf(const std::string& task)
    {
        const std::size_t first = task.find('.');
        const std::size_t second = task.find('.', first + 1);
        const std::size_t third = task.find('.', second + 1);
        return task.substr(0, first) + task.substr(second, third - second);
    }

    static std::string gangOf(const Run& run)
    {
        return run.task.substr(0, run.task.rfind('.')) + "/" + std::to_string(run.number);
    }

    TaskKind kindOf(const std::string& task) const
    {
        const auto found = this->kinds.find(stepOf(task));
        TaskKind kind = found == this->kinds.end() ? TaskKind {} : found->second;
        const auto own = kind.workOf.find(std::stoll(task.substr(task.rfind('.') + 1)));
        if (own != kind.workOf.end())
            kind.work = own->second;
        return kind;
    }

private:
    std::string settings(std::size_t i, const std::string& name) const
    {
        const auto at = [i](int port) { return hostOf(i) + ":" + std::to_string(port); };
        return "node_name: \"" + name + "\"\nrole: \"instance\"\nmachine_class: \"front\"\nserves: [\"front\"]\nip: \"" + hostOf(i) + "\"\nzone: \"zone-" + std::to_string(i % 3) + "\"\nregion: \"r\"\nlisten:\n  front: \"" + at(this->frontPorts[i])
            + "\"\n  ready: \"" + at(this->readyPorts[i]) + "\"\ninternal_ports:\n  - 7000\n  - 7015\nbootstrap: true\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\nheartbeat_ms: 1500\nbounds:\n  max_hold_ms: "
            + std::to_string(this->options.maxHold) + "\n  stop_timeout_ms: " + std::to_string(this->options.stopTimeout) + "\n  revoke_ms: 5000\n  grace_s: 6\n  status_s: 120\norders: \"rpc\"\n"
            + (this->options.advice.empty() ? "" : "advice: \"" + this->options.advice + "\"\n") + "platform:\n  address: \"" + this->store.address() + "\"\n  form: \"log\"\n  record_bytes: 262144\n  request_bytes: 2097152\n";
    }

    // Runs advance every 10 ms; entries are written every 1,500 ms.
    void advance()
    {
        Millis last = steadyNow();
        Millis nextBeat = 0;
        while (true) {
            sleepFor(10);
            const Millis now = steadyNow();
            std::vector<std::pair<std::string, std::string>> beats;
            {
                const std::lock_guard lock(this->mutex);
                std::map<std::string, std::int64_t> present;
                for (const auto& executor : this->executors) {
                    for (const Run& run : executor->runs)
                        ++present[gangOf(run)];
                }
                this->presentMembers = std::move(present);
                for (const auto& executor : this->executors)
                    executor->tick(now - last);
                if (now >= nextBeat) {
                    nextBeat = now + 1500;
                    for (const auto& executor : this->executors) {
                        if (executor->listed)
                            beats.emplace_back(executor->id, executor->entry().dump());
                    }
                }
            }
            for (const auto& [id, entry] : beats)
                this->store.write("keyed.servers", id, entry);
            last = now;
        }
    }

public:
    std::map<std::string, std::int64_t> presentMembers; // By gang and run.
    std::map<std::string, std::string> brokenGangs; // Runs of gangs of which a member has ended, and how.
};

inline Executor::Executor(Site& site, std::string id, Json capacity, std::vector<std::string> labels)
    : site(site)
    , id(std::move(id))
    , capacity(std::move(capacity))
    , labels(std::move(labels))
    , startedAt(steadyNow())
    , born(unixNow())
    , server(std::make_unique<Server>([this](const Request& request) { return this->handle(request); }))
{
}

inline Json Executor::entry() const
{
    return { { "service", "work" }, { "address", this->server->address() }, { "zone", "zone-0" }, { "version", "v1" }, { "slots", 8 }, { "state", this->draining ? "draining" : "ready" }, { "cold_left_ms", 0 }, { "capacity", this->capacity },
        { "labels", this->labels }, { "clock_ms", this->clock() }, { "born", this->born }, { "seq", this->clock() / 1500 } };
}

inline void Executor::crash()
{
    this->site.record.line("executor " + this->id + ": crashes with " + std::to_string(this->runs.size()) + " runs");
    for (const Run& run : this->runs)
        this->site.brokenGangs[Site::gangOf(run)] = "lost";
    this->startedAt = steadyNow();
    this->born = unixNow();
    this->leaseUntil = this->token = this->lastEnd = 0;
    this->runs.clear();
    this->ends.clear();
    this->closedRuns.clear();
}

inline void Executor::finish(std::size_t index, const std::string& how)
{
    const Run run = this->runs[index];
    this->runs.erase(this->runs.begin() + static_cast<std::ptrdiff_t>(index));
    this->ends.push_back({ ++this->lastEnd, run.task, run.number, how });
    this->closedRuns[run.task] = std::max(this->closedRuns[run.task], run.number);
    ++this->site.endCounts[how];
    if (this->site.kindOf(run.task).gang > 0)
        this->site.brokenGangs.try_emplace(Site::gangOf(run), how);
    this->site.record.line("executor " + this->id + ": " + run.task + "/" + std::to_string(run.number) + " ends " + how);
    this->site.ended.notify_all();
}

inline void Executor::tick(Millis elapsed)
{
    constexpr Millis gangTimeout = 3000;
    for (std::size_t i = 0; i < this->runs.size();) {
        Run& run = this->runs[i];
        const TaskKind kind = this->site.kindOf(run.task);
        const auto broken = this->site.brokenGangs.find(Site::gangOf(run));
        const bool isComplete = kind.gang == 0 || this->site.presentMembers[Site::gangOf(run)] >= kind.gang || run.worked > 0;
        if (isComplete)
            run.worked += elapsed;
        if (this->clock() >= this->leaseUntil)
            this->finish(i, "lapsed");
        else if (run.stopAt > 0 && steadyNow() >= run.stopAt)
            this->finish(i, "stopped");
        else if (kind.gang > 0 && broken != this->site.brokenGangs.end())
            this->finish(i, broken->second == "done" ? "done" : "broken");
        else if (!isComplete && steadyNow() >= run.startedAt + gangTimeout)
            this->finish(i, "alone");
        else if (run.worked >= kind.work && !kind.lasts)
            this->finish(i, kind.fails ? "failed" : "done");
        else
            ++i;
    }
}

inline Response Executor::handle(const Request& request)
{
    if (this->before) {
        if (auto replaced = this->before(request))
            return *replaced;
    }
    return this->carryOut(request);
}

inline Response Executor::carryOut(const Request& request)
{
    const auto target = request.headers.find("x-rattanrock-target-instance");
    if (target != request.headers.end() && target->second != this->id)
        return { .status = 421, .body = "{}" };
    const Json order = Json::parse(request.body, nullptr, false);
    if (!order.is_object())
        return { .status = 400, .body = "{}" };
    std::unique_lock lock(this->site.mutex);
    const auto reply = [&](int status, const char* reason) {
        Json body { { "clock_ms", this->clock() }, { "born", this->born } };
        if (reason)
            body["reason"] = reason;
        return Response { .status = status, .body = body.dump() };
    };
    const std::int64_t given = order.value("fencing_token", std::int64_t { 0 });
    if (given < this->token)
        return reply(409, "fence");
    this->token = given;
    const Millis until = std::min(order.value("until_ms", Millis { 0 }), this->clock() + this->site.options.maxHold);
    if (request.path == "/run-start") {
        const std::string task = order["task"];
        const std::int64_t number = order["run"];
        const std::string name = task + "/" + std::to_string(number);
        for (const Run& run : this->runs) {
            if (run.task == task && run.number == number)
                return reply(200, nullptr);
        }
        const auto closed = this->closedRuns.find(task);
        const bool isOld = closed != this->closedRuns.end() && number <= closed->second;
        if (until > this->leaseUntil)
            this->leaseUntil = until;
        if (isOld || this->clock() >= until) {
            this->site.record.line("executor " + this->id + ": start " + name + " refused, " + (isOld ? "old" : "late"));
            return reply(409, isOld ? "old" : "late");
        }
        if (this->site.onStart)
            this->site.onStart(*this, order);
        this->runs.push_back({ task, number, steadyNow(), 0, 0 });
        this->site.record.line("executor " + this->id + ": start " + name + " by token " + std::to_string(given));
        return reply(200, nullptr);
    }
    if (request.path == "/run-stop") {
        const std::string task = order["task"];
        const std::int64_t number = order["run"];
        this->closedRuns[task] = std::max(this->closedRuns[task], number);
        for (Run& run : this->runs) {
            if (run.task == task && run.number <= number && run.stopAt == 0)
                run.stopAt = steadyNow() + this->site.options.stopTimeout / 2;
        }
        this->site.record.line("executor " + this->id + ": stop " + task + "/" + std::to_string(number));
        return reply(200, nullptr);
    }
    if (request.path != "/hold")
        return { .status = 404, .body = "{}" };
    this->leaseUntil = std::max(this->leaseUntil, until);
    const std::int64_t acked = order.value("acked_through", std::int64_t { 0 });
    while (!this->ends.empty() && this->ends.front().number <= acked)
        this->ends.pop_front();
    const Millis bornBefore = this->born;
    if (const Millis wait = order.value("wait_ms", Millis { 0 }); wait > 0)
        this->site.ended.wait_for(lock, std::chrono::milliseconds(wait), [&] { return !this->ends.empty() || this->born != bornBefore; });
    if (this->born != bornBefore)
        return { .status = 0, .body = {}, .reset = true };
    Json body { { "clock_ms", this->clock() }, { "born", this->born }, { "running", Json::array() }, { "finished", Json::array() } };
    for (const Run& run : this->runs) {
        const TaskKind kind = this->site.kindOf(run.task);
        body["running"].push_back({ run.task, run.number, "", std::min<Millis>(100 * run.worked / std::max<Millis>(kind.work, 1), kind.lasts ? 100 : 99), 0 });
    }
    for (const End& end : this->ends) {
        if (body["finished"].size() < 500)
            body["finished"].push_back({ end.number, end.task, end.run, end.how, "" });
    }
    return { .status = 200, .body = body.dump() };
}

} // namespace review
