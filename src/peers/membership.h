#pragma once

// Who the other instances are, which of them live, and which one decides for
// this failure domain. Pure; not thread-safe.
//
// Three sources are merged: the addresses in our own settings, the platform's
// lagging list, and heartbeats, direct or passed on with their age. What an
// instance said itself counts over the list, and the newest counts over older:
//
//     membership.list(instances, now);             // each second
//     membership.heard(report, now);               // a heartbeat or its answer
//     membership.told(reports, now);               // what a peer knows of others
//     if (membership.activePlanner(now) == own.instance) ...
//
// The choice of the active planner is only a way to have one decider most of
// the time. Two instances may both believe in themselves while they cannot hear
// each other; the epochs at the workers arbitrate (docs/DESIGN.md).

#include "peers/instance_report.h"
#include "platform/instance_list.h"

#include <map>
#include <set>
#include <vector>

namespace rattan::peers {

struct MembershipOptions {
    Millis heartbeat { 500 };
    Millis silence { 2000 }; // After four missed heartbeats an instance is not live.
    Millis settling { 1500 }; // How long a fresh instance listens before it decides.
    Millis forget { 60000 }; // An unlisted, silent instance is dropped.
    std::size_t mostInstances { 1024 };
};

class Membership {
public:
    Membership(const MembershipOptions&, InstanceReport own, std::vector<std::string> seeds, Millis now);

    void list(const std::vector<platform::Instance>&, Millis now);
    void heard(const InstanceReport&, Millis now);
    void told(const std::vector<InstanceReport>&, Millis now);

    // An address was asked and gave no answer, so nobody waits for it.
    void unanswered(const std::string& address);

    // What this instance says of itself; name, domain and addresses stay.
    void updateOwn(const InstanceReport&);
    const InstanceReport& own() const { return this->ownReport; }

    // The report of the instance that decides for our domain; null while none
    // can. Itself while this instance decides.
    const InstanceReport* activePlanner(Millis now) const;
    bool ownIsActive(Millis now) const;

    // Everybody known, with ages; ourselves first.
    std::vector<InstanceReport> known(Millis now) const;

    // Live instances other than ourselves.
    std::vector<InstanceReport> live(Millis now) const;

    // Addresses of our domain's other planners, listed, seeded or heard.
    std::vector<std::string> neighbourAddresses() const;

    // Addresses of other domains' planners, in an order that is the same each time.
    std::vector<std::string> foreignAddresses() const;

    // How many live instances go before us in an order that all share, in our
    // domain or everywhere; shares out duties such as reading a stream. The
    // first of all is also the first of its domain.
    enum class Among {
        Domain,
        Everybody,
    };
    std::size_t rank(const std::string& duty, Among, Millis now) const;

private:
    struct Known {
        InstanceReport report;
        Millis heardAt { 0 };
        bool everHeard { false };
        bool listed { false };
        bool listedLeaving { false };
        Millis listedAt { 0 };
    };

    void learn(const InstanceReport&, Millis heardAt, Millis now);
    bool isLive(const Known&, Millis now) const;
    bool mayDecide(const Known&, Millis now) const;
    bool hasSettled(Millis now) const;
    const InstanceReport* claimant(Millis now) const;
    const InstanceReport* byHash(Millis now) const;
    void forgetOld(Millis now);

    MembershipOptions options;
    InstanceReport ownReport;
    std::vector<std::string> seeds;
    Millis startedAt;
    std::map<std::string, Known> others; // By instance.
    std::set<std::string> silentAddresses; // Asked without an answer since we started.
};

} // namespace rattan::peers
