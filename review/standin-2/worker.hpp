#pragma once

// A worker that runs tasks under leases. The text of a job says what its tasks do: "work=MS" is how long
// they work, "lasting" that they are at work 500 ms after each start until they are stopped, and
// "fails-before=T" that a run fails 300 ms after its start if that is before T on the steady clock.

#include "record.hpp"
#include "store.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace review {

class Worker;

// What all workers together have run: which tasks are at work where, and how each run ended.
class Runs {
public:
    explicit Runs(Recorder& recorder)
        : recorder(recorder)
    {
    }

    void begun(const std::string& worker, const std::string& task, std::int64_t run)
    {
        const std::lock_guard lock(this->mutex);
        auto& places = this->atWork[task];
        for (const auto& [place, since] : places)
            this->doubles.push_back(task + ": run " + std::to_string(run) + " begins on " + worker + " while run " + std::to_string(place.second) + " is at work on " + place.first);
        places[{ worker, run }] = steadyNow();
        this->starts.push_back({ worker, task, run, steadyNow() });
        this->recorder.say("%s begins %s run %ld", worker.c_str(), task.c_str(), static_cast<long>(run));
    }

    void ended(const std::string& worker, const std::string& task, std::int64_t run, const std::string& how)
    {
        const std::lock_guard lock(this->mutex);
        auto& places = this->atWork[task];
        const auto found = places.find({ worker, run });
        if (found == places.end())
            return;
        if (places.size() > 1)
            this->doubles.push_back(task + ": two runs were at work until run " + std::to_string(run) + " ended on " + worker);
        places.erase(found);
        ++this->ends[how];
        this->recorder.say("%s ends %s run %ld: %s", worker.c_str(), task.c_str(), static_cast<long>(run), how.c_str());
    }

    struct Start {
        std::string worker;
        std::string task;
        std::int64_t run { 0 };
        Millis at { 0 };
    };

    std::vector<Start> allStarts()
    {
        const std::lock_guard lock(this->mutex);
        return this->starts;
    }

    // The run of the job that is at work and began first, if any.
    std::optional<Start> atWorkOf(const std::string& job)
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& [task, places] : this->atWork) {
            if (task.rfind(job + ".", 0) == 0 && !places.empty())
                return Start { places.begin()->first.first, task, places.begin()->first.second, places.begin()->second };
        }
        return std::nullopt;
    }

    std::vector<std::string> doubleRuns()
    {
        const std::lock_guard lock(this->mutex);
        return this->doubles;
    }

    int endsOf(const std::string& how)
    {
        const std::lock_guard lock(this->mutex);
        return this->ends[how];
    }

private:
    Recorder& recorder;
    std::mutex mutex;
    std::map<std::string, std::map<std::pair<std::string, std::int64_t>, Millis>> atWork;
    std::vector<Start> starts;
    std::vector<std::string> doubles;
    std::map<std::string, int> ends;
};

struct WorkerSite {
    std::string id;
    std::string address;
    std::string zone;
    std::string rack;
    std::string service;
    Millis maxHold { 10000 };
    Millis stopTime { 100 };
};

class Worker {
public:
    Worker(WorkerSite site, Store& store, Runs& runs, Recorder& recorder)
        : site(std::move(site))
        , store(store)
        , runs(runs)
        , recorder(recorder)
        , born(wallNow())
        , bornAt(steadyNow())
        , server(this->site.address, [this](const Request& request) { return this->serve(request); })
    {
        this->thread = std::thread([this] { this->advance(); });
    }

    ~Worker()
    {
        this->stopping = true;
        this->changed.notify_all();
        this->thread.join();
        this->server.down();
    }

    const std::string& id() const { return this->site.id; }
    const std::string& rack() const { return this->site.rack; }

    void setMaxHold(Millis value)
    {
        const std::lock_guard lock(this->mutex);
        this->site.maxHold = value;
    }

    // How many calls of planners it has answered in this life.
    int answeredCalls()
    {
        const std::lock_guard lock(this->mutex);
        return this->answered;
    }

    // Cuts the worker off from all machines of the system; it runs on.
    void cut(Millis duration)
    {
        this->recorder.say("%s is cut off for %ld ms", this->site.id.c_str(), static_cast<long>(duration));
        this->server.cut(duration);
    }

    void crash()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->recorder.say("%s crashes", this->site.id.c_str());
            this->isUp = false;
            for (const auto& [task, run] : this->running)
                this->runs.ended(this->site.id, task, run.number, "lost with its worker");
            this->running.clear();
        }
        this->changed.notify_all();
        this->server.down();
    }

    // The time of day of the worker's machine is ahead of the true one by so much.
    void setClockAhead(Millis ahead)
    {
        const std::lock_guard lock(this->mutex);
        this->clockAhead = ahead;
        this->recorder.say("the time of day of %s is ahead by %ld ms", this->site.id.c_str(), static_cast<long>(ahead));
    }

    // Starts again under the same id; it knows nothing of before.
    void restart()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->born = wallNow() + this->clockAhead;
            this->bornAt = steadyNow();
            this->token = 0;
            this->leaseUntil = 0;
            this->ends.clear();
            this->lastEnd = 0;
            this->highestEnded.clear();
            this->sequence = 0;
            this->answered = 0;
            this->nextBeatAt = 0;
            this->isUp = true;
            this->recorder.say("%s is up again, born %ld", this->site.id.c_str(), static_cast<long>(this->born));
        }
        this->server.up();
    }

private:
    struct Run {
        std::int64_t number { 0 };
        Millis endsAt { 0 };
        Millis startedAt { 0 };
        Millis stopAt { 0 };
        bool lasts { false };
        bool fails { false };
    };

    struct End {
        std::int64_t number { 0 };
        std::string task;
        std::int64_t run { 0 };
        std::string how;
    };

    static constexpr Millis beatInterval = 1500;
    static constexpr Millis failureDelay = 300;
    static constexpr Millis startupTime = 500;

    Millis clock() const { return steadyNow() - this->bornAt; }

    Json answer() const { return { { "clock_ms", this->clock() }, { "born", this->born } }; }

    Response reject(const char* reason) const
    {
        Json body = this->answer();
        body["reason"] = reason;
        return { 409, body.dump() };
    }

    std::optional<Response> serve(const Request& request)
    {
        std::unique_lock lock(this->mutex);
        if (!this->isUp)
            return std::nullopt;
        const auto target = request.headers.find("x-rattanrock-target-instance");
        if (target != request.headers.end() && target->second != this->site.id)
            return Response { 421, this->answer().dump() };
        const Json order = Json::parse(request.body, nullptr, false);
        if (!order.is_object())
            return Response { 400, this->answer().dump() };
        const std::int64_t fencingToken = order.value("fencing_token", std::int64_t { 0 });
        if (fencingToken < this->token)
            return this->reject("fence");
        this->token = fencingToken;
        ++this->answered;
        if (request.path == "/run-start")
            return this->start(order);
        if (request.path == "/run-stop")
            return this->stop(order);
        if (request.path == "/hold")
            return this->hold(order, lock);
        return Response { 404, this->answer().dump() };
    }

    void renew(const Json& order)
    {
        if (order.contains("until_ms"))
            this->leaseUntil = std::max(this->leaseUntil, std::min(order["until_ms"].get<Millis>(), this->clock() + this->site.maxHold));
    }

    static Millis numberIn(const std::string& text, const std::string& name, Millis fallback)
    {
        const std::size_t place = text.find(name);
        return place == std::string::npos ? fallback : std::stoll(text.substr(place + name.size()));
    }

    Response start(const Json& order)
    {
        const std::string task = order.value("task", "");
        const std::int64_t number = order.value("run", std::int64_t { 0 });
        if (order.value("until_ms", Millis { 0 }) <= this->clock())
            return this->reject("late");
        this->renew(order);
        if (const auto found = this->running.find(task); found != this->running.end() && found->second.number == number)
            return { 200, this->answer().dump() };
        if (this->highestEnded[task] >= number || this->running.contains(task))
            return this->reject("old");
        const std::string spec = order.value("spec", "");
        const Millis now = steadyNow();
        Run run { number, now + numberIn(spec, "work=", 100), now, 0, spec.find("lasting") != std::string::npos, now < numberIn(spec, "fails-before=", 0) };
        if (run.lasts)
            run.endsAt = std::numeric_limits<Millis>::max();
        if (run.fails)
            run.endsAt = now + failureDelay;
        this->running[task] = run;
        this->runs.begun(this->site.id, task, number);
        return { 200, this->answer().dump() };
    }

    Response stop(const Json& order)
    {
        const std::string task = order.value("task", "");
        const std::int64_t number = order.value("run", std::int64_t { 0 });
        std::int64_t& highest = this->highestEnded[task];
        highest = std::max(highest, number);
        const auto found = this->running.find(task);
        if (found != this->running.end() && found->second.number <= number && found->second.stopAt == 0)
            found->second.stopAt = steadyNow() + this->site.stopTime;
        return { 200, this->answer().dump() };
    }

    std::optional<Response> hold(const Json& order, std::unique_lock<std::mutex>& lock)
    {
        this->renew(order);
        const std::int64_t acked = order.value("acked_through", std::int64_t { 0 });
        std::erase_if(this->ends, [&](const End& end) { return end.number <= acked; });
        const Millis life = this->born;
        this->changed.wait_for(lock, std::chrono::milliseconds(order.value("wait_ms", 0)), [&] { return this->stopping || !this->isUp || this->born != life || !this->ends.empty(); });
        if (!this->isUp || this->born != life)
            return std::nullopt;
        Json body = this->answer();
        body["running"] = Json::array();
        body["finished"] = Json::array();
        for (const auto& [task, run] : this->running) {
            const Millis whole = run.lasts ? startupTime : std::max<Millis>(run.endsAt - run.startedAt, 1);
            body["running"].push_back({ task, run.number, "", std::min<Millis>((steadyNow() - run.startedAt) * 100 / whole, 100), 0 });
        }
        for (const End& end : this->ends) {
            if (body["finished"].size() < 500)
                body["finished"].push_back({ end.number, end.task, end.run, end.how, "" });
        }
        return Response { 200, body.dump() };
    }

    void endRun(const std::string& task, const Run& run, const char* how)
    {
        std::int64_t& highest = this->highestEnded[task];
        highest = std::max(highest, run.number);
        this->ends.push_back({ ++this->lastEnd, task, run.number, how });
        this->runs.ended(this->site.id, task, run.number, how);
        this->changed.notify_all();
    }

    void advance()
    {
        while (!this->stopping) {
            sleepFor(4);
            const std::lock_guard lock(this->mutex);
            if (!this->isUp)
                continue;
            const Millis now = steadyNow();
            for (auto next = this->running.begin(); next != this->running.end();) {
                const auto current = next++;
                const Run run = current->second;
                const char* how = this->clock() >= this->leaseUntil ? "lapsed"
                    : run.stopAt > 0 && now >= run.stopAt           ? "stopped"
                    : now >= run.endsAt                             ? (run.fails ? "failed" : "done")
                                                                    : nullptr;
                if (!how)
                    continue;
                const std::string task = current->first;
                this->running.erase(current);
                this->endRun(task, run, how);
            }
            if (now >= this->nextBeatAt)
                this->beat(now);
        }
    }

    void beat(Millis now)
    {
        this->nextBeatAt = now + beatInterval;
        const Json entry { { "service", this->site.service }, { "address", this->site.address }, { "zone", this->site.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 },
            { "capacity", { { "cpu", 32000 }, { "mem_mb", 65536 }, { "gpu", 8 } } }, { "labels", { "a", this->site.rack } }, { "clock_ms", this->clock() }, { "born", this->born }, { "seq", ++this->sequence } };
        this->store.put("keyed.servers", this->site.id, entry.dump());
    }

    WorkerSite site;
    Store& store;
    Runs& runs;
    Recorder& recorder;
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> stopping { false };
    bool isUp { true };
    Millis clockAhead { 0 };
    Millis born { 0 };
    Millis bornAt { 0 };
    std::int64_t token { 0 };
    Millis leaseUntil { 0 };
    std::map<std::string, Run> running;
    std::vector<End> ends;
    std::int64_t lastEnd { 0 };
    std::map<std::string, std::int64_t> highestEnded;
    std::int64_t sequence { 0 };
    int answered { 0 };
    Millis nextBeatAt { 0 };
    Server server;
    std::thread thread;
};

} // namespace review
