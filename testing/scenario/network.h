#pragma once

// The links between the machines of a scenario. Every machine has a name and a
// failure domain; each (from, to) pair has a relay of its own, made when it is
// first asked for. A rule holds between two ends, each a machine or a failure
// domain, in both directions, and also for links made after it. Thread-safe.

#include "relay/relay_hub.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rattan::testing {

class Network {
public:
    static constexpr std::size_t mostLinks = 4000;

    explicit Network(std::uint64_t seed)
        : hub(seed)
    {
    }

    void place(const std::string& machine, const std::string& domain);
    // The address at which `from` reaches `to`, which serves at `address`.
    // Throws std::runtime_error when there are too many links.
    std::string link(const std::string& from, const std::string& to, const std::string& address);
    void setRule(const std::string& a, const std::string& b, LinkRule);
    void clearRule(const std::string& a, const std::string& b);
    void clearRules();
    // Bytes that all links from or to the machine have carried so far.
    std::uint64_t carriedBy(const std::string& machine);

private:
    struct PlacedLink {
        std::string from;
        std::string to;
        LinkId id { 0 };
    };
    struct PlacedRule {
        std::string a;
        std::string b;
        LinkRule rule;
    };

    bool covers(const std::string& end, const std::string& machine) const;
    LinkRule ruleFor(const PlacedLink&) const;
    void apply();

    std::mutex mutex;
    RelayHub hub;
    std::map<std::string, std::string> domains; // By machine.
    std::map<std::string, PlacedLink> links; // By "from to address".
    std::vector<PlacedRule> rules;
};

} // namespace rattan::testing
