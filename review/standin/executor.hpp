#pragma once

// A stand-in for an executor: runs under a lease, fencing tokens, and ends that are listed, 500 at
// a time, until they are acknowledged. It starts whatever it is told to start.

#include "store.hpp"

#include <algorithm>

namespace review {

struct Run {
    std::string task;
    std::int64_t number { 0 };
    std::string spec;
    Millis startedAt { 0 };
    Millis work { 0 };
    Millis stopAt { 0 };
    bool fails { false };
};

struct End {
    std::int64_t number { 0 };
    std::string task;
    std::int64_t run { 0 };
    std::string how;
    bool lapsed { false }; // The lease lapsed between the end and now.
};

// What executors have seen, in the order in which it happened.
struct Seen {
    Millis at { 0 };
    std::string what; // start, end, acknowledged, cut, healed, restarted
    std::string executor;
    std::string task;
    std::int64_t run { 0 };
    std::string how;
    bool lapsed { false };
};

class Observer {
public:
    void add(Seen seen)
    {
        const std::lock_guard lock(this->mutex);
        this->rows.push_back(std::move(seen));
    }

    std::vector<Seen> all()
    {
        const std::lock_guard lock(this->mutex);
        return this->rows;
    }

private:
    std::mutex mutex;
    std::vector<Seen> rows;
};

struct Capacity {
    std::int64_t cpu { 128000 };
    std::int64_t memory { 524288 };
    std::int64_t gpu { 8 };
};

class Executor {
public:
    using WorkOf = std::function<Millis(const std::string& task, const std::string& spec)>;

    static constexpr Millis maxHold = 10000;
    static constexpr Millis stopTime = 50;
    static constexpr Millis failureTime = 300; // From a start to its end `failed`.
    static constexpr std::size_t endsAtOnce = 500;

    Executor(const std::string& host, std::string id, Capacity capacity, WorkOf workOf, Observer& observer)
        : id(std::move(id))
        , capacity(capacity)
        , workOf(std::move(workOf))
        , observer(observer)
        , server(host, [this](const HttpMessage& request) { return this->handle(request); })
    {
        this->begin();
        std::thread([this] { this->runAll(); }).detach();
    }

    const std::string& address() const { return this->server.address(); }

    std::string entry(const std::string& service, const std::string& zone, const std::string& rack)
    {
        const std::lock_guard lock(this->mutex);
        const Json capacityJson { { "cpu", this->capacity.cpu }, { "mem_mb", this->capacity.memory }, { "gpu", this->capacity.gpu } };
        return Json { { "service", service }, { "address", this->address() }, { "zone", zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 },
            { "seq", ++this->heartbeats }, { "born", this->born }, { "capacity", capacityJson }, { "labels", { "a", rack } }, { "machine", "m-" + this->id } }
            .dump();
    }

    // Cuts the executor off from all machines: calls are lost, and no connection is answered or
    // reset before the cut is over.
    void cut()
    {
        const std::lock_guard lock(this->mutex);
        this->observer.add({ steadyNow(), "cut", this->id });
        this->isCut = true;
        this->changed.notify_all();
    }

    void heal()
    {
        const std::lock_guard lock(this->mutex);
        this->observer.add({ steadyNow(), "healed", this->id });
        this->isCut = false;
        this->changed.notify_all();
    }

    // Crashes and starts again under the same id; nothing of before is known.
    void restart()
    {
        const std::lock_guard lock(this->mutex);
        this->observer.add({ steadyNow(), "restarted", this->id, "", 0, std::to_string(this->runs.size()) + " runs lost" });
        this->begin();
        this->changed.notify_all();
    }

    std::atomic<bool> isCut { false };
    std::atomic<bool> isUnhealthy { false }; // Starts are refused with 503, and nothing is done.
    std::atomic<bool> failsRuns { false }; // What is started meanwhile soon ends `failed`.
    const std::string id;

private:
    void begin()
    {
        this->bornAt = steadyNow();
        this->born = wallNow();
        this->heartbeats = this->lastEnd = this->token = 0;
        this->leaseUntil = 0;
        this->ends.clear();
        this->runs.clear();
        this->highest.clear();
        ++this->life;
    }

    Millis clockNow() const { return steadyNow() - this->bornAt; }

    HttpReply lose(std::unique_lock<std::mutex>& lock)
    {
        this->changed.wait(lock, [this] { return !this->isCut; });
        return { .silent = true };
    }

    HttpReply answer(int status, const std::string& reason = "") const
    {
        Json body { { "clock_ms", this->clockNow() } };
        if (!reason.empty())
            body["reason"] = reason;
        return { status, body.dump() };
    }

    void renew(const Json& order)
    {
        if (order.contains("until_ms"))
            this->leaseUntil = std::max(this->leaseUntil, std::min(order["until_ms"].get<Millis>(), this->clockNow() + maxHold));
    }

    HttpReply handle(const HttpMessage& request)
    {
        std::unique_lock lock(this->mutex);
        if (this->isCut)
            return this->lose(lock);
        const Json order = Json::parse(request.body, nullptr, false);
        if (!order.is_object())
            return this->answer(400);
        const auto target = request.headers.find("x-rattanrock-target-instance");
        if (target != request.headers.end() && target->second != this->id)
            return this->answer(421);
        const std::int64_t givenToken = order.value("fencing_token", std::int64_t { 0 });
        if (givenToken < this->token)
            return this->answer(409, "fence");
        this->token = givenToken;
        if (request.path == "/run-start")
            return this->start(order);
        if (request.path == "/run-stop")
            return this->stop(order);
        if (request.path == "/hold")
            return this->hold(order, lock);
        return this->answer(404);
    }

    HttpReply start(const Json& order)
    {
        const std::string task = order["task"];
        const std::int64_t number = order["run"];
        if (this->isUnhealthy) {
            this->observer.add({ steadyNow(), "refused with 503", this->id, task, number });
            return this->answer(503);
        }
        if (order["until_ms"].get<Millis>() <= this->clockNow())
            return this->answer(409, "late");
        this->renew(order);
        for (const Run& run : this->runs) {
            if (run.task == task && run.number == number)
                return this->answer(200);
        }
        if (this->highest[task] >= number)
            return this->answer(409, "old");
        const std::string spec = order.value("spec", "");
        this->runs.push_back({ task, number, spec, steadyNow(), this->failsRuns ? failureTime : this->workOf(task, spec), 0, this->failsRuns });
        this->observer.add({ steadyNow(), "start", this->id, task, number, spec });
        return this->answer(200);
    }

    HttpReply stop(const Json& order)
    {
        const std::string task = order["task"];
        const std::int64_t number = order["run"];
        this->highest[task] = std::max(this->highest[task], number);
        for (Run& run : this->runs) {
            if (run.task == task && run.number == number && run.stopAt == 0)
                run.stopAt = steadyNow() + stopTime;
        }
        return this->answer(200);
    }

    HttpReply hold(const Json& order, std::unique_lock<std::mutex>& lock)
    {
        this->renew(order);
        const std::int64_t acknowledged = order.value("acked_through", std::int64_t { 0 });
        while (!this->ends.empty() && this->ends.front().number <= acknowledged) {
            const End& end = this->ends.front();
            this->observer.add({ steadyNow(), "acknowledged", this->id, end.task, end.run, end.how, end.lapsed });
            this->ends.pop_front();
        }
        const std::int64_t sameLife = this->life;
        const Millis wait = std::min<Millis>(order.value("wait_ms", Millis { 0 }), 2000);
        this->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] { return !this->ends.empty() || this->isCut || this->life != sameLife; });
        if (this->isCut || this->life != sameLife)
            return this->lose(lock);
        Json body { { "clock_ms", this->clockNow() }, { "born", this->born }, { "running", Json::array() }, { "finished", Json::array() } };
        for (const Run& run : this->runs) {
            const Millis percent = run.spec == "lasting" ? 100 : std::min<Millis>((steadyNow() - run.startedAt) * 100 / std::max<Millis>(run.work, 1), 99);
            body["running"].push_back({ run.task, run.number, "", percent, 0 });
        }
        for (std::size_t i = 0; i < std::min(this->ends.size(), endsAtOnce); ++i)
            body["finished"].push_back({ this->ends[i].number, this->ends[i].task, this->ends[i].run, this->ends[i].how, "" });
        return { 200, body.dump() };
    }

    void runAll()
    {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            const std::lock_guard lock(this->mutex);
            const bool lapsed = this->clockNow() >= this->leaseUntil;
            if (lapsed) {
                for (End& end : this->ends)
                    end.lapsed = true;
            }
            for (std::size_t i = 0; i < this->runs.size();) {
                const Run run = this->runs[i];
                const Millis now = steadyNow();
                const bool stopped = run.stopAt > 0 && now >= run.stopAt;
                if (!lapsed && !stopped && now < run.startedAt + run.work) {
                    ++i;
                    continue;
                }
                const std::string how = lapsed ? "lapsed" : stopped ? "stopped"
                    : run.fails                                     ? "failed"
                                                                    : "done";
                this->runs.erase(this->runs.begin() + static_cast<std::ptrdiff_t>(i));
                this->highest[run.task] = std::max(this->highest[run.task], run.number);
                this->ends.push_back({ ++this->lastEnd, run.task, run.number, how });
                this->observer.add({ now, "end", this->id, run.task, run.number, how });
            }
            if (!this->ends.empty())
                this->changed.notify_all();
        }
    }

    const Capacity capacity;
    const WorkOf workOf;
    Observer& observer;
    std::mutex mutex;
    std::condition_variable changed;
    Millis bornAt { 0 }; // Steady clock.
    Millis born { 0 }; // Wall clock.
    std::int64_t life { 0 };
    std::int64_t heartbeats { 0 };
    std::int64_t token { 0 };
    Millis leaseUntil { 0 };
    std::vector<Run> runs;
    std::deque<End> ends;
    std::int64_t lastEnd { 0 };
    std::map<std::string, std::int64_t> highest;
    HttpServer server;
};

} // namespace review
