// How a new text reaches all instances: three ways compared in virtual time at
// the size that decides the design (14 domains in 6 regions, 8 instances each).
//
//     build/bin/bench-spread [--seeds N]
//
// `direct`: every instance long-polls the log. `relay`: two instances of each
// domain do, and the others hear the version in heartbeats and fetch the text.
// `mesh`: one source reads, and the text is passed on over a mesh of bounded
// degree in which news is pushed at once, as overlay multicast does. `both`:
// every instance polls and also fetches from peers (what src/peers does).
//
// A bench of the ways, not a model of a network: messages have a delay by
// distance, some are retransmitted, few are lost, and links are cut.

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <string_view>
#include <tuple>
#include <vector>

namespace {

using Millis = std::int64_t;

constexpr std::size_t domains = 14;
constexpr std::size_t regions = 6;
constexpr std::size_t perDomain = 8;
constexpr std::size_t instances = domains * perDomain;
constexpr std::size_t logPlace = instances; // The log, in region 0.
constexpr double textKb = 20;
constexpr double messageKb = 0.3; // A poll, a greeting or a question, with headers.
constexpr Millis heartbeat = 500;
constexpr Millis pollWait = 1000;
constexpr Millis pollTimeout = 3000;
constexpr Millis callTimeout = 400;
constexpr Millis retryPause = 500;
constexpr Millis horizon = 120000;

enum class Way { Direct,
    Relay,
    Mesh,
    Both };
enum class Trouble { None,
    Loss,
    LogCut,
    Outage };

constexpr std::array<std::string_view, 4> wayNames { "direct", "relay", "mesh", "both" };
constexpr std::array<std::string_view, 4> troubleNames { "quiet", "loss", "domain_cut_from_log", "log_outage" };

struct Spread {
    Millis worst { 0 };
    int worstHops { 0 };
    std::size_t missing { 0 };
    double kb { 0 };
    double logKb { 0 };
    double crossRegionKb { 0 };
    double idleKbPerSecond { 0 }; // Of one instance, for this way alone.
};

class Run {
public:
    Run(Way way, Trouble trouble, std::uint64_t seed)
        : way(way)
        , trouble(trouble)
        , random(seed)
        , have(instances + 1, -1)
        , hops(instances, 0)
        , fetching(instances, false)
        , neighbours(instances)
    {
        this->buildMesh();
    }

    Spread result()
    {
        this->have[logPlace] = 0;
        // The instance that published learns it with the append's reply.
        this->take(this->source, 1);
        for (std::size_t i = 0; i < instances; ++i) {
            if (this->polls(i))
                this->answerWaitingPoll(i);
            if (this->way != Way::Direct)
                this->at(static_cast<Millis>(this->pick(heartbeat)), [this, i] { this->beat(i); });
        }
        while (!this->events.empty() && this->missing() > 0 && this->now < horizon)
            this->next();
        return this->sum();
    }

private:
    struct Event {
        Millis time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.time, other.order) < std::tie(this->time, this->order); }
    };

    std::uint64_t pick(std::uint64_t bound) { return this->random() % bound; }
    bool chance(double share) { return static_cast<double>(this->pick(1000000)) < share * 1000000; }
    static std::size_t domainOf(std::size_t place) { return place == logPlace ? domains : place / perDomain; }
    static std::size_t regionOf(std::size_t place) { return place == logPlace ? 0 : domainOf(place) % regions; }

    void at(Millis delay, std::function<void()> action) { this->events.push({ this->now + delay, this->counter++, std::move(action) }); }

    void next()
    {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.time;
        event.action();
    }

    std::size_t missing() const { return static_cast<std::size_t>(std::count(this->have.begin(), this->have.end(), -1)); }

    // Two in the own domain, two in the own region or the next, two anywhere.
    void buildMesh()
    {
        for (std::size_t i = 0; i < instances; ++i) {
            const std::size_t domain = domainOf(i);
            this->link(i, domain * perDomain + (i + 1) % perDomain);
            this->link(i, domain * perDomain + (i + 3) % perDomain);
            if (i % perDomain < 2) {
                this->link(i, ((domain + regions) % domains) * perDomain + i % perDomain);
                this->link(i, this->pick(instances));
            }
        }
    }

    void link(std::size_t a, std::size_t b)
    {
        if (a == b)
            return;
        this->neighbours[a].insert(b);
        this->neighbours[b].insert(a);
    }

    bool polls(std::size_t i) const
    {
        switch (this->way) {
        case Way::Direct:
        case Way::Both:
            return true;
        case Way::Relay:
            return i % perDomain < 2;
        case Way::Mesh:
            return i == this->source;
        }
        return false;
    }

    bool isCut(std::size_t a, std::size_t b) const
    {
        const bool withLog = a == logPlace || b == logPlace;
        const std::size_t other = a == logPlace ? b : a;
        if (this->trouble == Trouble::LogCut)
            return withLog && domainOf(other) == 9 && this->now < 60000;
        return this->trouble == Trouble::Outage && withLog && this->now < 60000;
    }

    Millis delay(std::size_t a, std::size_t b)
    {
        const Millis base = domainOf(a) == domainOf(b) ? 1 : regionOf(a) == regionOf(b) ? 5
                                                                                        : 60;
        Millis sum = base + static_cast<Millis>(this->pick(static_cast<std::uint64_t>(base / 4 + 1)));
        const double loss = this->trouble == Trouble::Loss ? 0.05 : 0.001;
        for (Millis wait = 200; this->chance(loss); wait *= 2)
            sum += wait; // Retransmitted by TCP.
        return sum;
    }

    bool dropped() { return this->trouble == Trouble::Loss && this->chance(0.005); }

    void count(std::size_t a, std::size_t b, double kb)
    {
        this->spread.kb += kb;
        if (a == logPlace || b == logPlace)
            this->spread.logKb += kb;
        if (regionOf(a) != regionOf(b))
            this->spread.crossRegionKb += kb;
    }

    // A poll waits at the log when the text is appended, and is answered then.
    void answerWaitingPoll(std::size_t i)
    {
        if (this->isCut(i, logPlace) || this->dropped()) {
            const Millis left = pollTimeout - static_cast<Millis>(this->pick(pollWait));
            this->at(left + retryPause, [this, i] { this->poll(i); });
            return;
        }
        this->count(i, logPlace, messageKb + textKb);
        this->at(this->delay(i, logPlace), [this, i] { this->take(i, 1); });
    }

    void poll(std::size_t i)
    {
        if (this->have[i] >= 0)
            return;
        if (this->isCut(i, logPlace) || this->dropped()) {
            this->at(pollTimeout + retryPause, [this, i] { this->poll(i); });
            return;
        }
        // The text is in the log from the start; only the change is counted.
        const Millis round = this->delay(i, logPlace) + this->delay(i, logPlace);
        this->count(i, logPlace, messageKb + textKb);
        this->at(round, [this, i] { this->take(i, 1); });
    }

    void take(std::size_t i, int hop)
    {
        if (this->have[i] >= 0)
            return;
        this->have[i] = this->now;
        this->hops[i] = hop;
        if (this->way != Way::Mesh)
            return;
        for (const std::size_t peer : this->neighbours[i])
            this->tell(i, peer);
    }

    // A version number on its way; the receiver fetches the text if it lacks it.
    void tell(std::size_t from, std::size_t to)
    {
        if (this->dropped())
            return;
        this->count(from, to, this->way == Way::Mesh ? messageKb : 0);
        this->at(this->delay(from, to), [this, from, to] { this->fetch(to, from); });
    }

    void fetch(std::size_t i, std::size_t from)
    {
        if (this->have[i] >= 0 || this->fetching[i] || this->have[from] < 0)
            return;
        this->fetching[i] = true;
        this->at(callTimeout, [this, i] { this->fetching[i] = false; });
        if (this->dropped())
            return;
        this->count(i, from, messageKb + textKb);
        this->at(this->delay(i, from) + this->delay(i, from), [this, i, from] { this->take(i, this->hops[from] + 1); });
    }

    // Heartbeats go out for membership anyway and carry the version, in both
    // directions; only what they cause is counted here.
    void beat(std::size_t i)
    {
        std::set<std::size_t> targets = this->neighbours[i];
        if (this->way != Way::Mesh) {
            targets.clear();
            for (std::size_t k = 0; k < perDomain; ++k)
                targets.insert(domainOf(i) * perDomain + k);
            targets.insert(this->pick(instances));
        }
        for (const std::size_t peer : targets) {
            if (peer == i)
                continue;
            if (this->have[i] >= 0)
                this->tell(i, peer);
            else if (this->have[peer] >= 0)
                this->at(this->delay(i, peer), [this, i, peer] { this->tell(peer, i); });
        }
        this->at(heartbeat, [this, i] { this->beat(i); });
    }

    Spread sum()
    {
        this->spread.missing = this->missing();
        for (std::size_t i = 0; i < instances; ++i) {
            this->spread.worst = std::max(this->spread.worst, this->have[i] < 0 ? horizon : this->have[i]);
            this->spread.worstHops = std::max(this->spread.worstHops, this->hops[i]);
        }
        std::size_t pollers = 0;
        for (std::size_t i = 0; i < instances; ++i)
            pollers += this->polls(i) ? 1 : 0;
        this->spread.idleKbPerSecond = 2 * messageKb * static_cast<double>(pollers) / instances * 1000 / pollWait;
        return this->spread;
    }

    Way way;
    Trouble trouble;
    std::mt19937_64 random;
    std::priority_queue<Event> events;
    std::uint64_t counter { 0 };
    Millis now { 0 };
    std::size_t source { 0 };
    std::vector<Millis> have; // When the text was there; -1: not yet.
    std::vector<int> hops;
    std::vector<bool> fetching;
    std::vector<std::set<std::size_t>> neighbours;
    Spread spread;
};

Spread worstOf(Way way, Trouble trouble, std::uint64_t seeds)
{
    Spread worst;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Spread one = Run(way, trouble, seed).result();
        worst.worst = std::max(worst.worst, one.worst);
        worst.worstHops = std::max(worst.worstHops, one.worstHops);
        worst.missing = std::max(worst.missing, one.missing);
        worst.kb += one.kb / static_cast<double>(seeds);
        worst.logKb += one.logKb / static_cast<double>(seeds);
        worst.crossRegionKb += one.crossRegionKb / static_cast<double>(seeds);
        worst.idleKbPerSecond = one.idleKbPerSecond;
    }
    return worst;
}

void print(Way way, Trouble trouble, const Spread& spread)
{
    const std::string name = fmt::format("spread_{}_{}", wayNames[static_cast<std::size_t>(way)], troubleNames[static_cast<std::size_t>(trouble)]);
    fmt::print("figure {}_worst {} ms\n", name, spread.worst);
    fmt::print("figure {}_hops {} hops\n", name, spread.worstHops);
    fmt::print("figure {}_bytes {:.0f} kB\n", name, spread.kb);
    fmt::print("figure {}_log_bytes {:.0f} kB\n", name, spread.logKb);
    fmt::print("figure {}_cross_region_bytes {:.0f} kB\n", name, spread.crossRegionKb);
    if (trouble == Trouble::None)
        fmt::print("figure spread_{}_idle {:.3f} kB/s\n", wayNames[static_cast<std::size_t>(way)], spread.idleKbPerSecond);
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seeds = 200;
    if (argc == 3 && std::string_view(argv[1]) == "--seeds")
        seeds = std::max<std::uint64_t>(1, std::strtoull(argv[2], nullptr, 10));
    for (const Way way : { Way::Direct, Way::Relay, Way::Mesh, Way::Both }) {
        for (const Trouble trouble : { Trouble::None, Trouble::Loss, Trouble::LogCut, Trouble::Outage })
            print(way, trouble, worstOf(way, trouble, seeds));
    }
    return 0;
}
