// How admission and routing behave under more load than the executors can bear.
//
// Callers come at a steady rate, whatever happens to those before them, and go
// through the real gate and forwarder to executors that only wait: 8 slots each,
// so the load that saturates them is known. Prints `figure NAME VALUE UNIT`
// lines for half, once and three times that load, and for half of it again right
// after. Real time; about fifteen seconds.

#include "entry/forwarder.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <fmt/format.h>
#include <thread>

namespace rattan::entry {

namespace {

    constexpr int executorCount = 4;
    constexpr int slotsEach = 8;
    constexpr Millis serviceTime = 40;
    constexpr double saturation = executorCount * slotsEach * 1000.0 / serviceTime; // Requests a second.
    constexpr int callerThreads = 400;
    constexpr Millis phaseTime = 3000;
    constexpr Millis deadline = 1000;
    constexpr std::array<config::Urgency, 3> urgencies { config::Urgency::Urgent, config::Urgency::Ordinary, config::Urgency::Patient };
    constexpr std::array<std::string_view, 3> urgencyNames { "urgent", "ordinary", "patient" };

    // Executors that refuse beyond their slots and otherwise only take time.
    class WaitingExecutors final : public platform::Executors {
    public:
        platform::ExecutorReply run(const platform::ExecutorCall& call) override
        {
            std::atomic<int>& running = this->running.at(static_cast<std::size_t>(call.address.back() - '0'));
            platform::ExecutorReply reply { platform::ForwardFate::Answered, 200, "done", {} };
            if (running.fetch_add(1) >= slotsEach) {
                reply = { platform::ForwardFate::Refused, 429, {}, { ErrorCode::Overloaded, "executor.run", call.address, "full", {} } };
            } else {
                std::this_thread::sleep_for(std::chrono::milliseconds(serviceTime));
                ++this->served;
            }
            running.fetch_sub(1);
            return reply;
        }

        bool healthy(const std::string&, std::chrono::milliseconds) override { return true; }

        std::atomic<int> served { 0 };

    private:
        std::array<std::atomic<int>, executorCount> running {};
    };

    struct Sample {
        std::size_t urgency { 0 };
        bool done { false };
        Millis took { 0 };
    };

    std::vector<platform::Instance> listed()
    {
        std::vector<platform::Instance> list;
        for (int i = 0; i < executorCount; ++i) {
            platform::Instance instance { .id = fmt::format("x{}", i), .kind = platform::InstanceKind::Executor, .domain = "a" };
            instance.address = fmt::format("127.0.0.1:{}", i);
            instance.service = "booking";
            instance.slots = slotsEach;
            list.push_back(instance);
        }
        return list;
    }

    // One caller thread: requests at its share of the rate, on time or at once
    // when it is late.
    std::vector<Sample> callSteadily(Forwarder& forwarder, const Clock& clock, int thread, double rate)
    {
        const double period = callerThreads * 1000.0 / rate;
        const Millis begin = clock.now();
        std::vector<Sample> samples;
        for (int i = 0;; ++i) {
            const auto due = begin + static_cast<Millis>(period * (i + thread / static_cast<double>(callerThreads)));
            if (due >= begin + phaseTime)
                return samples;
            if (due > clock.now())
                std::this_thread::sleep_for(std::chrono::milliseconds(due - clock.now()));
            const std::size_t urgency = static_cast<std::size_t>(thread + i) % urgencies.size();
            const Millis started = clock.now();
            const Outcome outcome = forwarder.forward({ .service = "booking", .operation = "seats", .urgency = urgencies.at(urgency), .idempotent = true, .deadline = started + deadline });
            samples.push_back({ urgency, outcome.kind == OutcomeKind::Done, clock.now() - started });
        }
    }

    Millis percentile99(std::vector<Millis> values)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[values.size() * 99 / 100];
    }

    void report(const std::string& phase, const std::vector<Sample>& samples, Millis took)
    {
        std::vector<Millis> done;
        std::vector<Millis> refused;
        std::array<int, 3> offered {};
        std::array<int, 3> finished {};
        for (const Sample& sample : samples) {
            (sample.done ? done : refused).push_back(sample.took);
            ++offered.at(sample.urgency);
            finished.at(sample.urgency) += sample.done ? 1 : 0;
        }
        const double seconds = static_cast<double>(took) / 1000;
        fmt::print("figure offered_{} {:.0f} requests/s\n", phase, static_cast<double>(samples.size()) / seconds);
        fmt::print("figure goodput_{} {:.0f} requests/s\n", phase, static_cast<double>(done.size()) / seconds);
        for (std::size_t i = 0; i < urgencies.size(); ++i)
            fmt::print("figure done_share_{}_{} {:.3f} share\n", urgencyNames.at(i), phase, finished.at(i) / std::max(1.0, static_cast<double>(offered.at(i))));
        fmt::print("figure done_p99_{} {} ms\n", phase, percentile99(done));
        fmt::print("figure refused_p99_{} {} ms\n", phase, percentile99(refused));
    }

    void runPhase(const std::string& phase, Forwarder& forwarder, const Clock& clock, double rate)
    {
        std::vector<std::vector<Sample>> samples(callerThreads);
        std::vector<std::thread> threads;
        threads.reserve(callerThreads);
        const Millis begin = clock.now();
        for (int i = 0; i < callerThreads; ++i)
            threads.emplace_back([&, i] { samples[static_cast<std::size_t>(i)] = callSteadily(forwarder, clock, i, rate); });
        for (std::thread& thread : threads)
            thread.join();
        std::vector<Sample> all;
        for (const std::vector<Sample>& some : samples)
            all.insert(all.end(), some.begin(), some.end());
        report(phase, all, clock.now() - begin);
    }

    int run()
    {
        const SystemClock clock;
        Metrics metrics;
        WaitingExecutors executors;
        RetryBudget budget(10);
        Gate gate("a", 256, clock);
        gate.update(listed());
        Forwarder forwarder(gate, executors, budget, metrics, clock);
        fmt::print("figure saturation {:.0f} requests/s\n", saturation);
        runPhase("half", forwarder, clock, saturation / 2);
        runPhase("once", forwarder, clock, saturation);
        runPhase("triple", forwarder, clock, saturation * 3);
        runPhase("half_after", forwarder, clock, saturation / 2);
        return 0;
    }

} // namespace

} // namespace rattan::entry

int main() { return rattan::entry::run(); }
