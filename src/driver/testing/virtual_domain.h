#pragma once

// Drivers, workers and the links between them in virtual time, with losses,
// cuts and freezes; and a judge that watches the workers' own records.

#include "driver/gang_keeper.h"
#include "driver/testing/fake_worker.h"

#include <functional>
#include <random>

namespace rattan::driver::testing {

struct VirtualDriver {
    GangKeeper keeper;
    Millis frozenUntil { 0 };
    std::uint64_t acknowledged { 0 };
    std::vector<GangEvent> heard;
};

class VirtualDomain {
public:
    VirtualDomain(std::size_t workers, std::size_t drivers, std::uint64_t seed = 1, KeeperOptions options = {})
        : options(options)
        , random(seed)
    {
        for (std::size_t i = 0; i < workers; ++i) {
            this->workers.push_back({ .name = "w" + std::to_string(i) });
            this->cutUntil.push_back(0);
            this->workerFrozenUntil.push_back(0);
            platform::Instance listed { .id = this->workers[i].name, .kind = platform::InstanceKind::Worker };
            listed.address = std::to_string(i);
            this->listed.push_back(listed);
        }
        for (std::size_t i = 0; i < drivers; ++i) {
            this->drivers.push_back({ .keeper = GangKeeper(options) });
            this->drivers[i].keeper.listWorkers(this->listed, this->now);
        }
    }

    static constexpr Millis step = 10;

    KeeperOptions options;
    std::mt19937_64 random;
    Millis now { 1000 };
    std::vector<FakeWorker> workers;
    std::vector<VirtualDriver> drivers;
    std::vector<platform::Instance> listed;
    std::vector<Millis> cutUntil; // Of each worker: nothing passes.
    std::vector<Millis> workerFrozenUntil; // Requests wait.
    double lossShare { 0 }; // Of requests, and of replies.
    Millis longestPartial { 0 };
    std::vector<std::string> faults;

    GangOrder order(std::uint64_t job, const std::vector<std::size_t>& at, std::int64_t accelerators, Millis runTime)
    {
        GangOrder made { .id = { job, 1 }, .payload = { { "run_ms", runTime } }, .key = "k" + std::to_string(job), .workspace = "w" };
        for (const std::size_t i : at)
            made.members.push_back({ this->workers[i].name, this->listed[i].address, accelerators, 1, 1 });
        this->gangs[leaseName(made.id)] = { at, 0 };
        return made;
    }

    bool give(std::size_t driver, std::uint64_t epoch, const std::vector<GangOrder>& orders)
    {
        VirtualDriver& to = this->drivers[driver];
        return !attemptVoid([&] { return to.keeper.take("planner", epoch, to.acknowledged, orders, this->now); });
    }

    void runFor(Millis span)
    {
        for (const Millis end = this->now + span; this->now < end;)
            this->turn();
    }

    // Runs until the condition holds; false when the limit passes first.
    bool runUntil(const std::function<bool()>& holds, Millis limit)
    {
        for (const Millis end = this->now + limit; this->now < end && !holds();)
            this->turn();
        return holds();
    }

    std::size_t running(const std::string& lease) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->workers.begin(), this->workers.end(), [&lease](const FakeWorker& worker) { return worker.isRunning(lease); }));
    }

    std::size_t heard(std::size_t driver, GangEventKind kind, std::uint64_t job) const
    {
        const auto& events = this->drivers[driver].heard;
        return static_cast<std::size_t>(std::count_if(events.begin(), events.end(),
            [&](const GangEvent& event) { return event.kind == kind && event.id.job == job; }));
    }

    bool acknowledges { true };

private:
    struct Watched {
        std::vector<std::size_t> at;
        Millis partialSince { 0 };
    };

    void turn()
    {
        this->now += step;
        while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
            const auto action = std::move(this->queue.begin()->second);
            this->queue.erase(this->queue.begin());
            action();
        }
        for (FakeWorker& worker : this->workers)
            worker.pass(this->now);
        for (std::size_t i = 0; i < this->drivers.size(); ++i) {
            if (this->now >= this->drivers[i].frozenUntil)
                this->turnDriver(i);
        }
        this->judge();
    }

    void turnDriver(std::size_t index)
    {
        VirtualDriver& driver = this->drivers[index];
        driver.keeper.advance(this->now);
        while (auto ask = driver.keeper.nextAsk(this->now))
            this->send(index, *ask);
        for (GangEvent& event : driver.keeper.events()) {
            if (event.number <= driver.acknowledged)
                continue;
            this->judgeEnd(event);
            driver.acknowledged = event.number;
            driver.heard.push_back(event);
        }
        if (this->acknowledges)
            this->give(index, 0, {});
    }

    Millis latency() { return 1 + static_cast<Millis>(this->random() % 15); }
    bool lost() { return static_cast<double>(this->random() % 1000) < this->lossShare * 1000; }

    void send(std::size_t driver, const WorkerAsk& ask)
    {
        const std::size_t worker = std::stoul(ask.address);
        const auto answered = std::make_shared<bool>(false);
        const auto arrive = [this, driver, worker, ask, answered] { this->arrive(driver, worker, ask, answered); };
        if (!this->lost() && this->now >= this->cutUntil[worker])
            this->queue.emplace(std::max(this->now + this->latency(), this->workerFrozenUntil[worker]), arrive);
        this->complete(driver, ask.validUntil, answered, [this, driver, ask] {
            const Error error { ErrorCode::Timeout, "worker.exchange", ask.worker, "", {} };
            this->drivers[driver].keeper.failed(ask, error, this->now);
        });
    }

    void arrive(std::size_t driver, std::size_t worker, const WorkerAsk& ask, const std::shared_ptr<bool>& answered)
    {
        auto report = attempt([&] { return this->workers[worker].exchange(ask.exchange, this->now); });
        if (this->lost() || this->now < this->cutUntil[worker])
            return;
        this->complete(driver, this->now + this->latency(), answered, [this, driver, ask, report = std::move(report)] {
            GangKeeper& keeper = this->drivers[driver].keeper;
            report ? keeper.answered(ask, *report, this->now) : keeper.failed(ask, report.error, this->now);
        });
    }

    // What reaches a frozen driver waits until it runs again.
    void complete(std::size_t driver, Millis at, const std::shared_ptr<bool>& answered, const std::function<void()>& action)
    {
        this->queue.emplace(at, [this, driver, answered, action] {
            if (*answered)
                return;
            if (this->now < this->drivers[driver].frozenUntil) {
                this->complete(driver, this->drivers[driver].frozenUntil, answered, action);
                return;
            }
            *answered = true;
            action();
        });
    }

    void judge()
    {
        for (auto& [lease, gang] : this->gangs) {
            std::size_t active = 0;
            std::size_t missing = 0;
            for (const std::size_t i : gang.at) {
                active += this->workers[i].isRunning(lease) ? 1 : 0;
                missing += this->workers[i].isRunning(lease) || this->workers[i].isDone(lease) ? 0 : 1;
            }
            if (active == 0 || missing == 0)
                gang.partialSince = 0;
            else if (gang.partialSince == 0)
                gang.partialSince = this->now;
            else
                this->longestPartial = std::max(this->longestPartial, this->now - gang.partialSince);
        }
        for (const FakeWorker& worker : this->workers) {
            if (worker.taken() > worker.capacity)
                this->faults.push_back(worker.name + " is leased beyond its accelerators");
        }
    }

    void judgeEnd(const GangEvent& event)
    {
        const bool end = event.kind == GangEventKind::Failed || event.kind == GangEventKind::Stopped || event.kind == GangEventKind::Finished;
        if (end && this->running(leaseName(event.id)) > 0)
            this->faults.push_back(leaseName(event.id) + " was said to be over while a member ran");
    }

    std::multimap<Millis, std::function<void()>> queue;
    std::map<std::string, Watched> gangs;
};

} // namespace rattan::driver::testing
