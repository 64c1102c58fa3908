#pragma once

// A small deployment on loopback addresses: the store, workers, and instances of the system as
// processes of their own, each with a settings file as the platform writes it.

#include "worker.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

struct DeploymentOptions {
    std::string program; // The program of the deploy file.
    std::string directory; // For settings files and logs.
    int instances { 3 };
    int workers { 4 };
    int workersPerRack { 2 };
    Millis maxHold { 10000 };
    int maxAttempts { 4 };
    int workersOfSecondService { 0 }; // The last ones; the others belong to the first service.
    bool isGrown { false }; // With the bounds of the grown deployments.
};

class Deployment {
public:
    Deployment(DeploymentOptions options, Recorder& recorder)
        : options(std::move(options))
        , recorder(recorder)
        , runs(recorder)
    {
        std::vector<std::string> hosts { "127.0.0.1" };
        for (int i = 0; i < this->options.instances; ++i)
            hosts.push_back(this->hostOf(i));
        this->frontPort = freePort(hosts);
        this->readyPort = freePort(hosts);
        this->internalPort = freePort(hosts);
        this->storeAddress = "127.0.0.1:" + std::to_string(freePort({ "127.0.0.1" }));
        this->store = std::make_unique<Store>(this->storeAddress);
        for (int i = 0; i < this->options.instances; ++i)
            this->storeLinks.push_back(std::make_unique<StoreLink>("127.0.0.1:" + std::to_string(freePort({ "127.0.0.1" })), *this->store));
        this->publishConfiguration(1, "s1");
        for (int i = 0; i < this->options.workers; ++i) {
            const bool isOfSecond = i >= this->options.workers - this->options.workersOfSecondService;
            WorkerSite site { "w" + std::to_string(i), "127.0.0.1:" + std::to_string(freePort({ "127.0.0.1" })), zoneOf(i), "r" + std::to_string(i / this->options.workersPerRack), isOfSecond ? "s2" : "s1", this->options.maxHold };
            this->workers.push_back(std::make_unique<Worker>(site, *this->store, this->runs, recorder));
        }
        for (int i = 0; i < this->options.instances; ++i) {
            this->writeSettings(i);
            this->processes.push_back(this->start(i));
        }
    }

    ~Deployment()
    {
        std::erase(this->processes, 0); // Those that were killed before.
        for (const pid_t process : this->processes)
            kill(process, SIGKILL);
        for (const pid_t process : this->processes)
            waitpid(process, nullptr, 0);
        this->workers.clear();
        this->storeLinks.clear();
        this->store->stop();
    }

    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    std::string front(int instance) const { return this->hostOf(instance) + ":" + std::to_string(this->frontPort); }

    // Waits until all instances report that they are ready.
    bool waitUntilReady(Millis limit)
    {
        const Millis deadline = steadyNow() + limit;
        while (steadyNow() < deadline) {
            int ready = 0;
            for (int i = 0; i < this->options.instances; ++i)
                ready += call(this->hostOf(i) + ":" + std::to_string(this->readyPort), "GET", "/readyz", {}, "", 1000).status == 200 ? 1 : 0;
            if (ready == this->options.instances)
                return true;
            sleepFor(100);
        }
        return false;
    }

    // Changes a bound of the platform: at the workers, in all settings files, and by a SIGHUP to one instance.
    void changeMaxHold(Millis maxHold, int instance)
    {
        this->options.maxHold = maxHold;
        for (const auto& worker : this->workers)
            worker->setMaxHold(maxHold);
        for (int i = 0; i < this->options.instances; ++i)
            this->writeSettings(i);
        kill(this->processes[static_cast<std::size_t>(instance)], SIGHUP);
        this->recorder.say("the settings files have max_hold_ms %ld, and instance %d got SIGHUP", static_cast<long>(maxHold), instance);
    }

    // The store turns the instance away, with 503 to each of its calls, also to those that wait.
    void rejectAtStore(int instance, bool rejects)
    {
        this->storeLinks[static_cast<std::size_t>(instance)]->isRejecting = rejects;
        this->recorder.say("the store %s instance %d", rejects ? "turns away" : "serves", instance);
    }

    void killInstance(int instance)
    {
        const pid_t process = std::exchange(this->processes[static_cast<std::size_t>(instance)], 0);
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
        this->recorder.say("instance %d is killed", instance);
    }

    int post(const std::string& path, const std::string& body, int instance)
    {
        const Response response = call(this->front(instance), "POST", path, this->clientHeaders(), body, 3000);
        this->recorder.say("POST %s at instance %d -> %d %s", path.c_str(), instance, response.status, response.body.c_str());
        return response.status;
    }

    // The queue "usual" under /jobs/ goes to the given service, and "lasting" under /lasting/ to the first one.
    void publishConfiguration(int version, const std::string& service, bool hasNewRoute = false)
    {
        const auto route = [&](const char* name, const char* prefix, const std::string& target) {
            return Json { { "name", name }, { "host", "jobs.example" }, { "path_prefix", prefix }, { "kind", "unsafe" }, { "timeout_ms", 3000 }, { "target_latency_ms", 1000 }, { "priority", 1 }, { "service", target },
                { "max_attempts", this->options.maxAttempts }, { "stretch", 3.0 }, { "public", false } };
        };
        const auto entry = [](const char* name) { return Json { { "name", name }, { "enforces_capacity", false } }; };
        Json routes { route("usual", "/jobs/", service), route("lasting", "/lasting/", "s1") };
        if (hasNewRoute)
            routes.push_back(route("new", "/new/", "s1"));
        const Json configuration { { "version", version }, { "routes", routes }, { "services", { entry("s1"), entry("s2") } }, { "limits", { { "max_body_bytes", 262144 } } },
            { "tenants", { { { "name", "t" }, { "api_keys", { "key-1" } }, { "guaranteed_gpus", 0 } } } } };
        this->recorder.say("the store acknowledges configuration %d: /jobs/ goes to %s%s", version, service.c_str(), hasNewRoute ? ", and /new/ is new" : "");
        this->store->put("keyed.op", "config", configuration.dump());
    }

    std::map<std::string, std::string> clientHeaders() const
    {
        return { { "Host", "jobs.example" }, { "Content-Type", "application/json" }, { "X-Api-Key", "key-1" }, { "X-Rattanrock-Deadline-Ms", "3000" } };
    }

    // Hands a job in at one instance after the other until one accepts it. Returns whether one did.
    bool submit(const std::string& id, const std::string& body, int attempts = 8, const std::string& prefix = "/jobs/")
    {
        for (int attempt = 0; attempt < attempts; ++attempt) {
            const int instance = attempt % this->options.instances;
            const Response response = call(this->front(instance), "POST", prefix + id, this->clientHeaders(), body, 3000);
            this->recorder.say("POST %s%s at instance %d: %s -> %d", prefix.c_str(), id.c_str(), instance, body.c_str(), response.status);
            if (response.status / 100 == 2)
                return true;
            sleepFor(500);
        }
        return false;
    }

    // The state that an instance tells, "410" where there is no such job, or empty without an answer.
    std::string stateOf(const std::string& id, int instance)
    {
        const Response response = call(this->front(instance), "GET", "/jobs/" + id, this->clientHeaders(), "", 3000);
        const Json body = Json::parse(response.body, nullptr, false);
        std::string state = response.status == 410 ? "410" : response.status == 200 && body.is_object() ? body.value("state", "")
                                                                                                        : "";
        std::string& last = this->lastStates[id];
        if (state != last)
            this->recorder.say("GET %s at instance %d -> %d %s", id.c_str(), instance, response.status, state.c_str());
        last = state;
        return state;
    }

    // Asks all instances in turn until the job has ended. Returns the last state told.
    std::string waitForEnd(const std::string& id, Millis limit)
    {
        const Millis deadline = steadyNow() + limit;
        std::string state;
        for (int i = 0; steadyNow() < deadline; ++i) {
            const std::string told = this->stateOf(id, i % this->options.instances);
            if (!told.empty())
                state = told;
            if (state == "completed" || state == "failed" || state == "cancelled" || state == "410")
                return state;
            sleepFor(150);
        }
        return state;
    }

    Worker* workerOf(const std::string& id)
    {
        for (const auto& worker : this->workers) {
            if (worker->id() == id)
                return worker.get();
        }
        return nullptr;
    }

    // Waits until a run of the job is at work that began later than `after`.
    std::optional<Runs::Start> waitForStart(const std::string& job, Millis after, Millis limit)
    {
        const Millis deadline = steadyNow() + limit;
        while (steadyNow() < deadline) {
            if (const auto start = this->runs.atWorkOf(job); start && start->at > after)
                return start;
            sleepFor(2);
        }
        return std::nullopt;
    }

    std::vector<std::unique_ptr<Worker>>& allWorkers() { return this->workers; }
    Runs& allRuns() { return this->runs; }

    // The instance that plans by its own metrics, or -1.
    int planner()
    {
        for (int i = 0; i < this->options.instances; ++i) {
            const Response metrics = call(this->hostOf(i) + ":" + std::to_string(this->readyPort), "GET", "/metrics", {}, "", 1000);
            if (metrics.body.find("rattan_leads 1") != std::string::npos)
                return i;
        }
        return -1;
    }

    static std::string lastingTask(const std::string& spec = "", const std::string& more = "")
    {
        return "{\"spec\":\"lasting" + spec + "\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"gpu\":1,\"estimate_ms\":60000,\"long_running\":true" + more + "}]}";
    }

    static std::string oneTask(Millis work, const std::string& more = "")
    {
        return "{\"spec\":\"work=" + std::to_string(work) + "\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"gpu\":1,\"estimate_ms\":" + std::to_string(work) + more + "}]}";
    }

private:
    static std::string zoneOf(int index) { return std::string("zone-") + static_cast<char>('a' + index % 3); }
    std::string hostOf(int instance) const { return "127.0.1." + std::to_string(instance + 1); }

    std::string settingsPath(int instance) const { return this->options.directory + "/instance-" + std::to_string(instance) + ".yaml"; }

    // Written beside its place and renamed, so that nobody reads half of it.
    void writeSettings(int instance) const
    {
        const std::string path = this->settingsPath(instance);
        const std::string host = this->hostOf(instance);
        std::ofstream file(path + ".new");
        file << "node_name: \"front-" << instance << "\"\nrole: \"instance\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\nip: \"" << host << "\"\nzone: \"" << zoneOf(instance) << "\"\nregion: \"region\"\n"
             << "zones:\n  zone-a: \"region\"\n  zone-b: \"region\"\n  zone-c: \"region\"\n"
             << "listen:\n  front: \"" << host << ":" << this->frontPort << "\"\n  ready: \"" << host << ":" << this->readyPort << "\"\n"
             << "internal_ports:\n  - " << this->internalPort << "\n  - " << this->internalPort << "\nseeds: []\nbootstrap: true\nin_tolerance: false\n"
             << "limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
             << "data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1500\n"
             << "fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\n"
             << "bounds:\n  grace_s: 6\n  strict_revoke: true\n  revoke_ms: 5000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  max_hold_ms: " << this->options.maxHold
             << (this->options.isGrown ? "\n  contact_ms: 4000\n  ack_timeout_ms: 6000\n  drain_ms: 3000\n  config_apply_ms: 3000\n  recovery_s: 15\n  gang_timeout_ms: 4000\n  cancel_ms: 4000\n"
                                       : "\n  contact_ms: 3000\n  ack_timeout_ms: 4000\n  drain_ms: 2000\n  config_apply_ms: 2000\n  recovery_s: 12\n  gang_timeout_ms: 3000\n  cancel_ms: 3000\n")
             << "  stop_timeout_ms: 400\n"
             << "orders: \"rpc\"\nplatform:\n  address: \"" << this->storeLinks.at(static_cast<std::size_t>(instance))->address << "\"\n  form: \"log\"\n  writes_per_s: 800\n  reads_per_s: 2000\n  parts: 12\n  record_bytes: 262144\n  request_bytes: 2097152\n  keep_s: 300\n";
        file.close();
        std::filesystem::rename(path + ".new", path);
    }

    pid_t start(int instance) const
    {
        const std::string log = this->options.directory + "/instance-" + std::to_string(instance) + ".log";
        const std::string settings = "RATTANROCK_CONFIG=" + this->settingsPath(instance);
        const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        std::string program = this->options.program;
        std::vector<char*> arguments { program.data(), nullptr };
        std::vector<std::string> variables { path, settings, "LANG=C.UTF-8" };
        std::vector<char*> environment { variables[0].data(), variables[1].data(), variables[2].data(), nullptr };
        const pid_t process = fork();
        if (process != 0)
            return process;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(out, 1);
        dup2(out, 2);
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(127);
    }

    DeploymentOptions options;
    Recorder& recorder;
    Runs runs;
    int frontPort { 0 };
    int readyPort { 0 };
    int internalPort { 0 };
    // The way of one instance to the store, which may turn that instance away.
    struct StoreLink {
        StoreLink(const std::string& address, Store& store)
            : address(address)
            , server(address, [this, &store](const Request& request) {
                const std::optional<Response> answer = this->isRejecting ? std::nullopt : store.answer(request);
                return this->isRejecting ? Response { 503, "{}" } : answer;
            })
        {
        }

        const std::string address;
        std::atomic<bool> isRejecting { false };
        Server server;
    };

    std::string storeAddress;
    std::vector<std::unique_ptr<StoreLink>> storeLinks;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<pid_t> processes;
    std::map<std::string, std::string> lastStates;
};

} // namespace review
