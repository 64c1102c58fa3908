#include "scenario/network.h"

#include <stdexcept>

namespace rattan::testing {

void Network::place(const std::string& machine, const std::string& domain)
{
    const std::lock_guard lock(this->mutex);
    this->domains[machine] = domain;
}

std::string Network::link(const std::string& from, const std::string& to, const std::string& address)
{
    const std::lock_guard lock(this->mutex);
    const std::string key = from + " " + to + " " + address;
    const auto found = this->links.find(key);
    if (found != this->links.end())
        return this->hub.address(found->second.id);
    if (this->links.size() >= mostLinks)
        throw std::runtime_error("too many links");
    const PlacedLink link { from, to, this->hub.open({ .target = address }) };
    this->hub.setRule(link.id, this->ruleFor(link));
    this->links.emplace(key, link);
    return this->hub.address(link.id);
}

void Network::setRule(const std::string& a, const std::string& b, LinkRule rule)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->rules, [&](const PlacedRule& placed) { return placed.a == a && placed.b == b; });
    this->rules.push_back({ a, b, rule });
    this->apply();
}

void Network::clearRule(const std::string& a, const std::string& b)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->rules, [&](const PlacedRule& placed) {
        return (placed.a == a && placed.b == b) || (placed.a == b && placed.b == a);
    });
    this->apply();
}

void Network::clearRules()
{
    const std::lock_guard lock(this->mutex);
    this->rules.clear();
    this->apply();
}

std::uint64_t Network::carriedBy(const std::string& machine)
{
    const std::lock_guard lock(this->mutex);
    std::uint64_t bytes = 0;
    for (const auto& [key, link] : this->links) {
        if (link.from == machine || link.to == machine)
            bytes += this->hub.carried(link.id);
    }
    return bytes;
}

bool Network::covers(const std::string& end, const std::string& machine) const
{
    if (end == machine)
        return true;
    const auto domain = this->domains.find(machine);
    return domain != this->domains.end() && domain->second == end;
}

// The last rule that covers the link counts.
LinkRule Network::ruleFor(const PlacedLink& link) const
{
    LinkRule result;
    for (const PlacedRule& placed : this->rules) {
        if ((this->covers(placed.a, link.from) && this->covers(placed.b, link.to))
            || (this->covers(placed.b, link.from) && this->covers(placed.a, link.to)))
            result = placed.rule;
    }
    return result;
}

void Network::apply()
{
    for (const auto& [key, link] : this->links)
        this->hub.setRule(link.id, this->ruleFor(link));
}

} // namespace rattan::testing
