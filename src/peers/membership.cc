// The active planner is whoever already claims to be it with the highest epoch,
// as long as it lives; only if nobody claims does the hash decide. So an
// instance that comes back does not take the domain from one that serves well,
// and each handover costs a takeover only when the holder is gone or leaving.

#include "peers/membership.h"

#include <algorithm>
#include <xxhash.h>

namespace rattan::peers {

namespace {

    std::uint64_t rendezvous(const std::string& duty, const std::string& instance)
    {
        const std::string text = duty + '/' + instance;
        return XXH3_64bits(text.data(), text.size());
    }

} // namespace

Membership::Membership(const MembershipOptions& options, InstanceReport own, std::vector<std::string> seeds, Millis now)
    : options(options)
    , ownReport(std::move(own))
    , seeds(std::move(seeds))
    , startedAt(now)
{
}

void Membership::list(const std::vector<platform::Instance>& instances, Millis now)
{
    for (auto& [name, known] : this->others)
        known.listed = false;
    for (const platform::Instance& instance : instances) {
        if (instance.kind != platform::InstanceKind::Entry || instance.id == this->ownReport.instance || instance.rpc.empty())
            continue;
        const auto found = this->others.find(instance.id);
        if (found == this->others.end() && this->others.size() >= this->options.mostInstances)
            continue;
        Known& known = this->others[instance.id];
        known.listed = true;
        known.listedLeaving = instance.leaving;
        known.listedAt = now;
        // The list lags: an address that the instance told itself is newer, but
        // a silent one may have been replaced under the same name elsewhere.
        if (this->isLive(known, now))
            continue;
        known.report.instance = instance.id;
        known.report.domain = instance.domain;
        known.report.plannerAddress = instance.rpc;
        known.report.entryAddress = instance.address;
        known.report.leaving = instance.leaving;
    }
    this->forgetOld(now);
}

void Membership::heard(const InstanceReport& report, Millis now) { this->learn(report, now, now); }

void Membership::told(const std::vector<InstanceReport>& reports, Millis now)
{
    for (const InstanceReport& report : reports)
        this->learn(report, now - std::max<Millis>(report.age, 0), now);
}

void Membership::unanswered(const std::string& address)
{
    if (this->silentAddresses.size() < this->options.mostInstances)
        this->silentAddresses.insert(address);
}

void Membership::updateOwn(const InstanceReport& report)
{
    this->ownReport.configVersion = report.configVersion;
    this->ownReport.leaving = report.leaving;
    this->ownReport.driverReady = report.driverReady;
    this->ownReport.activePlanner = report.activePlanner;
    this->ownReport.epoch = report.epoch;
}

const InstanceReport* Membership::activePlanner(Millis now) const
{
    const InstanceReport* holder = this->claimant(now);
    return holder ? holder : this->byHash(now);
}

bool Membership::ownIsActive(Millis now) const { return this->activePlanner(now) == &this->ownReport; }

std::vector<InstanceReport> Membership::known(Millis now) const
{
    std::vector<InstanceReport> reports { this->ownReport };
    for (const auto& [name, known] : this->others) {
        reports.push_back(known.report);
        reports.back().age = known.everHeard ? now - known.heardAt : now - this->startedAt + this->options.silence;
        reports.back().leaving = reports.back().leaving || known.listedLeaving;
    }
    return reports;
}

std::vector<InstanceReport> Membership::live(Millis now) const
{
    std::vector<InstanceReport> reports;
    for (const auto& [name, known] : this->others) {
        if (!this->isLive(known, now))
            continue;
        reports.push_back(known.report);
        reports.back().age = now - known.heardAt;
    }
    return reports;
}

std::vector<std::string> Membership::neighbourAddresses() const
{
    std::set<std::string> addresses(this->seeds.begin(), this->seeds.end());
    for (const auto& [name, known] : this->others) {
        if (known.report.domain == this->ownReport.domain)
            addresses.insert(known.report.plannerAddress);
        else
            addresses.erase(known.report.plannerAddress);
    }
    addresses.erase(this->ownReport.plannerAddress);
    addresses.erase("");
    return { addresses.begin(), addresses.end() };
}

std::vector<std::string> Membership::foreignAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [name, known] : this->others) {
        if (known.report.domain != this->ownReport.domain && !known.report.plannerAddress.empty())
            addresses.push_back(known.report.plannerAddress);
    }
    return addresses;
}

std::size_t Membership::rank(const std::string& duty, Among among, Millis now) const
{
    const std::uint64_t own = rendezvous(duty, this->ownReport.instance);
    const auto goesBefore = [&](const auto& entry) {
        const auto& [name, known] = entry;
        const bool counts = among == Among::Everybody || known.report.domain == this->ownReport.domain;
        return counts && this->isLive(known, now) && !known.report.leaving && rendezvous(duty, name) > own;
    };
    return static_cast<std::size_t>(std::count_if(this->others.begin(), this->others.end(), goesBefore));
}

void Membership::learn(const InstanceReport& report, Millis heardAt, Millis now)
{
    if (report.instance.empty() || report.instance == this->ownReport.instance || now - heardAt > this->options.forget)
        return;
    const auto found = this->others.find(report.instance);
    if (found == this->others.end() && this->others.size() >= this->options.mostInstances)
        return;
    Known& known = this->others[report.instance];
    // A peer may pass on what it heard long ago, even of an earlier incarnation.
    if (known.everHeard && heardAt <= known.heardAt)
        return;
    // A new incarnation is not the one that the list said is leaving.
    if (known.everHeard && known.report.incarnation != report.incarnation)
        known.listedLeaving = false;
    known.report = report;
    known.heardAt = heardAt;
    known.everHeard = true;
}

bool Membership::isLive(const Known& known, Millis now) const
{
    return known.everHeard && now - known.heardAt <= this->options.silence;
}

bool Membership::mayDecide(const Known& known, Millis now) const
{
    return this->isLive(known, now) && known.report.domain == this->ownReport.domain && known.report.driverReady
        && !known.report.leaving && !known.listedLeaving;
}

// A fresh instance that decided at once would take the domain from the one that
// holds it, only because it has not heard it yet.
bool Membership::hasSettled(Millis now) const
{
    if (now - this->startedAt >= this->options.settling)
        return true;
    const auto neighbours = this->neighbourAddresses();
    return !neighbours.empty() && std::all_of(neighbours.begin(), neighbours.end(), [this, now](const std::string& address) {
        if (this->silentAddresses.contains(address))
            return true;
        return std::any_of(this->others.begin(), this->others.end(), [&](const auto& entry) {
            return entry.second.report.plannerAddress == address && this->isLive(entry.second, now);
        });
    });
}

const InstanceReport* Membership::claimant(Millis now) const
{
    const InstanceReport* best = nullptr;
    const auto consider = [&best](const InstanceReport& report) {
        if (!best || report.epoch > best->epoch || (report.epoch == best->epoch && report.instance > best->instance))
            best = &report;
    };
    if (this->ownReport.activePlanner && this->ownReport.driverReady && !this->ownReport.leaving)
        consider(this->ownReport);
    for (const auto& [name, known] : this->others) {
        if (known.report.activePlanner && this->mayDecide(known, now))
            consider(known.report);
    }
    return best;
}

const InstanceReport* Membership::byHash(Millis now) const
{
    const InstanceReport* best = nullptr;
    std::uint64_t highest = 0;
    const auto consider = [&](const InstanceReport& report) {
        const std::uint64_t hash = rendezvous(this->ownReport.domain, report.instance);
        if (!best || hash > highest) {
            best = &report;
            highest = hash;
        }
    };
    if (this->ownReport.driverReady && !this->ownReport.leaving && this->hasSettled(now))
        consider(this->ownReport);
    for (const auto& [name, known] : this->others) {
        if (this->mayDecide(known, now))
            consider(known.report);
    }
    return best;
}

void Membership::forgetOld(Millis now)
{
    std::erase_if(this->others, [this, now](const auto& entry) {
        const Known& known = entry.second;
        const Millis last = std::max(known.listedAt, known.everHeard ? known.heardAt : 0);
        return !known.listed && now - last > this->options.forget;
    });
}

} // namespace rattan::peers
