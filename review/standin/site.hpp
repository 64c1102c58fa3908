#pragma once

// A small deployment on loopback addresses: a store, executors, and instances of the program of the
// deploy file as separate processes, with a client.

#include "executor.hpp"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

struct SiteOptions {
    std::size_t instances { 3 };
    std::size_t executors { 4 };
    Capacity capacity;
    Executor::WorkOf workOf;
    std::int64_t maxAttempts { 4 };
};

struct Answer {
    Millis sentAt { 0 };
    Millis answeredAt { 0 };
    int status { 0 }; // 0: no answer.
    std::string body;
};

inline bool withTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

// Of the length that ids of executors have on the platform.
inline std::string executorId(std::size_t index)
{
    char text[13];
    std::snprintf(text, sizeof(text), "x-%010x", static_cast<unsigned>((index + 1) * 2654435761U));
    return text;
}

class Site {
public:
    // `folder` is that of the case, in which record.txt is written.
    Site(SiteOptions siteOptions, const std::string& folder)
        : options(std::move(siteOptions))
        , record(folder + "/record.txt")
        , network("127." + std::to_string(1 + getpid() / 250 % 250) + "." + std::to_string(1 + getpid() % 250) + ".")
        , store(this->network + "200")
        , startedAt(steadyNow())
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!mkdtemp(pattern.data()))
            throw std::runtime_error("no temporary folder");
        this->temporary = pattern;
        for (std::size_t i = 0; i < this->options.executors; ++i)
            this->executors.push_back(std::make_unique<Executor>(this->network + "201", executorId(i), this->options.capacity, this->options.workOf, this->observer));
        this->publish();
        this->heartbeats = std::thread([this] { this->beat(); });
        const std::string port = freeAddress(this->network + "1");
        for (std::size_t i = 0; i < this->options.instances; ++i)
            this->startInstance(i, port.substr(port.find(':')));
    }

    // Ends the instances and then this program, whose stand-ins have threads that nobody joins.
    [[noreturn]] void finish(int code)
    {
        this->stopping = true;
        for (const auto& instance : this->instances) {
            kill(instance.process, SIGKILL);
            waitpid(instance.process, nullptr, 0);
        }
        this->heartbeats.join();
        this->record.flush();
        if (std::getenv("KEEP"))
            std::cout << "kept " << this->temporary << std::endl;
        else
            std::filesystem::remove_all(this->temporary);
        std::cout.flush();
        std::_Exit(code);
    }

    // Reports how many violations of the rule were seen.
    [[noreturn]] void finishWith(const std::string& rule, int violations)
    {
        this->noteExecutors();
        this->note("violations of " + rule + ": " + std::to_string(violations));
        std::cout << "violations of " << rule << ": " << violations << "\n";
        this->finish(violations > 0 ? ruleBroken : ruleHeld);
    }

    Millis now() const { return steadyNow() - this->startedAt; }

    void note(const std::string& text)
    {
        const std::lock_guard lock(this->recordMutex);
        this->record << this->now() << " ms " << text << std::endl;
    }

    static void sleep(Millis time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

    bool waitFor(Millis limit, const std::function<bool()>& condition) const
    {
        const Millis end = steadyNow() + limit;
        while (!condition()) {
            if (steadyNow() >= end)
                return false;
            sleep(50);
        }
        return true;
    }

    // Until all instances are ready and one of them has polled the executors.
    bool waitUntilReady()
    {
        const auto ready = [this] {
            return std::all_of(this->instances.begin(), this->instances.end(), [](const Instance& instance) { return request(instance.ready, "GET", "/readyz", { { "Host", "ready" } }, "", 500).status == 200; });
        };
        const bool isReady = this->waitFor(15000, ready) && this->waitFor(10000, [this] { return this->leader() < this->instances.size(); });
        sleep(2000);
        return isReady;
    }

    // The instance that last wrote to the store under a condition, which is the one that gives orders.
    std::size_t leader()
    {
        const std::string claim = this->store.get("keyed.rattan-claims", "planner").value_or("");
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            if (claim.find(this->instances[i].front) != std::string::npos)
                return i;
        }
        return this->instances.size();
    }

    Answer call(std::size_t instance, const std::string& method, const std::string& queue, const std::string& job, const std::string& body, int timeoutMs = 3000)
    {
        Answer answer { .sentAt = this->now() };
        const HttpMessage response = request(this->instances[instance].front, method, "/" + queue + "/" + job, { { "Host", "review.example" }, { "X-Api-Key", "review-key" }, { "X-Rattanrock-Deadline-Ms", "3000" } }, body, timeoutMs);
        answer.answeredAt = this->now();
        answer.status = response.status;
        answer.body = response.body;
        this->note("client: " + method + " /" + queue + "/" + job + " to " + this->instances[instance].name + ", sent at " + std::to_string(answer.sentAt) + ": " + (answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body.substr(0, 100)));
        return answer;
    }

    std::string stateOf(std::size_t instance, const std::string& queue, const std::string& job)
    {
        const Answer answer = this->call(instance, "GET", queue, job, "");
        const Json body = Json::parse(answer.body, nullptr, false);
        return answer.status == 200 && body.is_object() ? body.value("state", "") : "";
    }

    // Copies what the executors have seen into the record.
    void noteExecutors()
    {
        for (const Seen& seen : this->observer.all())
            this->record << seen.at - this->startedAt << " ms " << seen.executor << ": " << seen.what << " " << seen.task << (seen.task.empty() ? "" : " run " + std::to_string(seen.run)) << " " << seen.how << (seen.lapsed ? ", lease lapsed in between" : "") << "\n";
        this->record.flush();
    }

    void signalInstance(std::size_t instance, int signal, const std::string& name)
    {
        this->note("signal: " + name + " to " + this->instances[instance].name);
        kill(this->instances[instance].process, signal);
    }

    struct Instance {
        std::string name;
        std::string front;
        std::string ready;
        pid_t process { 0 };
    };

    SiteOptions options;
    Observer observer;
    std::mutex recordMutex;
    std::ofstream record;
    std::string network;
    Store store;
    Millis startedAt;
    std::string temporary;
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<Instance> instances;

private:
    void publish()
    {
        Json routes = Json::array();
        for (int i = 0; i < 3; ++i) {
            const std::string name = i == 0 ? "urgent" : i == 1 ? "usual"
                                                                : "patient";
            routes.push_back({ { "name", name }, { "host", "review.example" }, { "path_prefix", "/" + name + "/" }, { "service", "s" }, { "priority", i }, { "max_attempts", this->options.maxAttempts }, { "stretch", 3.0 }, { "target_latency_ms", 1000 }, { "timeout_ms", 3000 } });
        }
        const Json tenant { { "name", "t" }, { "api_keys", { "review-key" } }, { "guaranteed_gpus", 8 } };
        const Json configuration { { "version", 3 }, { "routes", routes }, { "services", Json::array({ { { "name", "s" }, { "enforces_capacity", false } } }) }, { "limits", { { "max_body_bytes", 262144 } } }, { "tenants", Json::array({ tenant }) } };
        this->store.put("keyed.op", "config", configuration.dump());
        this->writeEntries();
    }

    void writeEntries()
    {
        for (std::size_t i = 0; i < this->executors.size(); ++i) {
            if (!this->executors[i]->isCut)
                this->store.put("keyed.servers", this->executors[i]->id, this->executors[i]->entry("s", zone(i), "r" + std::to_string(i / 8)));
        }
    }

    void beat()
    {
        constexpr int stepsPerHeartbeat = 15;
        for (int step = 1; !this->stopping; ++step) {
            sleep(100);
            if (step % stepsPerHeartbeat == 0 && !this->store.busy)
                this->writeEntries();
        }
    }

    static std::string zone(std::size_t index) { return std::string(1, static_cast<char>('a' + index % 3)); }

    void startInstance(std::size_t index, const std::string& internalPort)
    {
        const std::string host = this->network + std::to_string(index + 1);
        Instance instance { "front-" + zone(index) + "-" + std::to_string(index + 1), freeAddress(host), freeAddress(host) };
        const std::string settings = this->temporary + "/" + instance.name + ".yaml";
        std::ofstream(settings) << "node_name: \"" << instance.name << "\"\nrole: \"instance\"\nmachine_class: \"front\"\nserves: [\"front\"]\nip: \"" << host << "\"\nzone: \"" << zone(index)
                                << "\"\nregion: \"r\"\nzones: { a: \"r\", b: \"r\", c: \"r\" }\nlisten:\n  front: \"" << instance.front << "\"\n  ready: \"" << instance.ready
                                << "\"\ninternal_ports: [" << internalPort.substr(1) << ", " << internalPort.substr(1)
                                << "]\nseeds: []\nbootstrap: true\nlimits: { cpu_share: 0.25, cores: 1, memory_mb: 260, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0 }\nheartbeat_ms: 1500\n"
                                << "bounds: { contact_ms: 3000, ack_timeout_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000, revoke_ms: 5000, max_hold_ms: 10000, stop_timeout_ms: 200, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, status_s: 120, finish_s: 14 }\n"
                                << "orders: \"rpc\"\nplatform: { address: \"" << this->store.address() << "\", form: \"log\", writes_per_s: 800, reads_per_s: 2000, record_bytes: 262144, request_bytes: 2097152, keep_s: 300 }\n";
        const std::string log = this->temporary + "/" + instance.name + ".log";
        instance.process = fork();
        if (instance.process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (!std::freopen(log.c_str(), "w", stdout) || !std::freopen(log.c_str(), "a", stderr))
                _exit(couldNotRun);
            const std::string config = "RATTANROCK_CONFIG=" + settings;
            const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
            const char* arguments[] = { "target/bin/rattan-instance", nullptr };
            const char* environment[] = { config.c_str(), path.c_str(), nullptr };
            execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
            _exit(couldNotRun);
        }
        this->note("start: " + instance.name + ", process " + std::to_string(instance.process));
        this->instances.push_back(instance);
    }

    std::thread heartbeats;
    std::atomic<bool> stopping { false };
};

inline std::string jobId(const std::string& kind, int number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(std::hash<std::string> {}(kind)), static_cast<unsigned>(number));
    return text;
}

inline std::string jobBody(const std::string& spec, std::int64_t count, const Capacity& each, Millis estimate, bool isLasting = false)
{
    Json step { { "count", count }, { "cpu", each.cpu }, { "mem_mb", each.memory }, { "estimate_ms", estimate } };
    if (each.gpu > 0)
        step["gpu"] = each.gpu;
    if (isLasting)
        step["long_running"] = true;
    return Json { { "spec", spec }, { "steps", Json::array({ step }) } }.dump();
}

} // namespace review
