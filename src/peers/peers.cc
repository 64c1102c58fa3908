#include "peers/peers.h"

#include "base/random.h"
#include "peers/events.h"
#include "peers/greeter.h"

#include <algorithm>

namespace rattan::peers {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t pageRecords = 100;
    const std::string configDuty = "config";

    constexpr milliseconds shortestPause { 100 };

    // Of other domains, in one greeting.
    constexpr std::size_t foreignSample = 6;

    // Own domain's reports are passed on in one heartbeat of so many: they
    // matter only between instances that cannot hear each other directly.
    constexpr std::uint64_t gossipRounds = 4;

} // namespace

Peers::Peers(PeersOptions options, const Clock& clock, platform::InstanceList& instanceList, platform::Log& log)
    : options(std::move(options))
    , clock(clock)
    , instanceList(instanceList)
    , log(log)
    , membership(this->options.membership, this->options.own, this->options.seeds, clock.now())
    , keeper(this->options.config)
    , random(randomBelow(std::numeric_limits<std::uint64_t>::max()))
{
}

Peers::~Peers() { this->stop(); }

void Peers::start()
{
    this->threads.emplace_back([this] { this->greetAll(); });
    this->threads.emplace_back([this] { this->readList(); });
    this->threads.emplace_back([this] { this->tailConfig(); });
}

void Peers::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void Peers::leave()
{
    const std::lock_guard lock(this->mutex);
    InstanceReport own = this->membership.own();
    own.leaving = true;
    own.activePlanner = false;
    this->membership.updateOwn(own);
    this->hurry = true;
    this->changed.notify_all();
}

void Peers::setDriverReady(bool ready)
{
    const std::lock_guard lock(this->mutex);
    InstanceReport own = this->membership.own();
    own.driverReady = ready;
    this->membership.updateOwn(own);
}

void Peers::setActive(bool active, std::uint64_t epoch)
{
    const std::lock_guard lock(this->mutex);
    InstanceReport own = this->membership.own();
    this->hurry = this->hurry || own.activePlanner != active;
    own.activePlanner = active;
    own.epoch = epoch;
    this->membership.updateOwn(own);
    this->changed.notify_all();
}

config::Version Peers::textInForce() const
{
    const std::lock_guard lock(this->mutex);
    return this->keeper.inForce();
}

bool Peers::configIsCurrent() const
{
    const std::lock_guard lock(this->mutex);
    return this->keeper.isCurrent();
}

std::string Peers::activePlanner() const
{
    const std::lock_guard lock(this->mutex);
    const InstanceReport* active = this->membership.activePlanner(this->clock.now());
    return active ? active->plannerAddress : "";
}

bool Peers::ownIsActive() const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.ownIsActive(this->clock.now());
}

InstanceReport Peers::own() const
{
    const std::lock_guard lock(this->mutex);
    return this->ownLocked();
}

std::vector<InstanceReport> Peers::known() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<InstanceReport> reports = this->membership.known(this->clock.now());
    reports.front() = this->ownLocked();
    return reports;
}

std::vector<InstanceReport> Peers::sample()
{
    const std::lock_guard lock(this->mutex);
    std::vector<InstanceReport> reports = this->membership.live(this->clock.now());
    const auto foreign = std::partition(reports.begin(), reports.end(),
        [this](const InstanceReport& report) { return report.domain == this->options.own.domain; });
    std::shuffle(foreign, reports.end(), this->random);
    const auto kept = std::min(foreignSample, static_cast<std::size_t>(reports.end() - foreign));
    reports.erase(foreign + static_cast<std::ptrdiff_t>(kept), reports.end());
    return reports;
}

void Peers::heard(const InstanceReport& from, const std::vector<InstanceReport>& known)
{
    this->learn(from, known);
    const std::lock_guard lock(this->mutex);
    // The text is fetched in the next round, which then should not wait.
    if (from.configVersion > static_cast<std::uint64_t>(this->keeper.inForce().number)) {
        this->hurry = true;
        this->newerAt = from.plannerAddress;
        this->changed.notify_all();
    }
}

void Peers::learn(const InstanceReport& from, const std::vector<InstanceReport>& known)
{
    const std::lock_guard lock(this->mutex);
    const Millis now = this->clock.now();
    this->membership.heard(from, now);
    this->membership.told(known, now);
}

void Peers::greetAll()
{
    Greeter greeter(this->options.greetTimeout);
    std::uint64_t round = 0;
    do {
        const GreetRound greeting { .own = this->own(),
            .known = round % gossipRounds == 0 ? this->sample() : std::vector<InstanceReport>(),
            .targets = this->targets(),
            .version = static_cast<std::uint64_t>(this->textInForce().number) };
        greeter.run(greeting, [this](const GreetAnswer& answer) {
            if (!answer.reached) {
                const std::lock_guard lock(this->mutex);
                this->membership.unanswered(answer.address);
                return;
            }
            this->learn(answer.own, answer.known);
            if (answer.text.number > 0)
                this->takeConfig(answer.text, answer.address);
        });
        this->noteActive();
        ++round;
    } while (this->waitForRound());
}

// A heartbeat's time, or less when there is news; but never without a pause, so
// that a peer whose text is refused here cannot make this thread spin.
bool Peers::waitForRound()
{
    if (!this->pause(shortestPause))
        return false;
    std::unique_lock lock(this->mutex);
    const milliseconds rest = milliseconds(this->options.membership.heartbeat) - shortestPause;
    this->changed.wait_for(lock, rest, [this] { return this->stopping || this->hurry; });
    this->hurry = false;
    return !this->stopping;
}

// Everybody in our own domain, and one instance of another domain: 112
// instances each choosing one of 104 twice a second hear of a change within a
// few rounds, and the links between regions carry two small calls a second.
std::vector<std::string> Peers::targets()
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> addresses = this->membership.neighbourAddresses();
    const std::vector<std::string> foreign = this->membership.foreignAddresses();
    if (!foreign.empty())
        addresses.push_back(foreign[this->random() % foreign.size()]);
    if (!this->newerAt.empty() && std::find(addresses.begin(), addresses.end(), this->newerAt) == addresses.end())
        addresses.push_back(this->newerAt);
    this->newerAt.clear();
    return addresses;
}

void Peers::readList()
{
    bool reachable = true;
    do {
        const auto instances = attempt([this] { return this->instanceList.instances(); });
        if (instances) {
            const std::lock_guard lock(this->mutex);
            this->membership.list(*instances, this->clock.now());
        } else if (reachable) {
            logEvent(listDown, { { "peer", instances.error.peer }, { "message", instances.error.message } });
        }
        reachable = instances.value.has_value();
    } while (this->pause(milliseconds(this->options.listPeriod)));
}

void Peers::tailConfig()
{
    bool reachable = true;
    milliseconds wait { 0 };
    do
        wait = this->isReader() ? this->readOnce(reachable) : this->options.logRetry;
    while (this->pause(wait));
}

bool Peers::isReader() const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.rank(configDuty, Membership::Among::Domain, this->clock.now()) < this->options.readers;
}

// One long poll of the stream; answers how long to wait before the next.
milliseconds Peers::readOnce(bool& reachable)
{
    const std::uint64_t from = [this] {
        const std::lock_guard lock(this->mutex);
        return this->keeper.next();
    }();
    const auto page = attempt([&] { return this->log.read("config", from, pageRecords, this->options.logWait); });
    if (page.value.has_value() != reachable)
        logEvent(page ? configLogBack : configLogDown, { { "step", page.error.step }, { "message", page.error.message } });
    reachable = page.value.has_value();
    if (!page)
        return this->options.logRetry;
    std::optional<Json> restate;
    {
        const std::lock_guard lock(this->mutex);
        const Millis now = this->clock.now();
        if (this->keeper.read(*page, now, this->clock.wall()))
            logEvent(configInForce, { { "version", this->keeper.inForce().number }, { "from", "log" } });
        const std::size_t rank = this->membership.rank(configDuty, Membership::Among::Everybody, now);
        restate = this->keeper.restateDue(rank, now, this->clock.wall());
    }
    // A restate whose reply is lost may stand in the log twice, to no harm.
    if (restate && attempt([&] { return this->log.append("config", { *restate }); }))
        logEvent(configRestated, { { "version", (*restate)["version"].dump() } });
    return milliseconds(0);
}

// Waits unless stopping; false once it is time to end.
bool Peers::pause(milliseconds span)
{
    std::unique_lock lock(this->mutex);
    return !this->changed.wait_for(lock, span, [this] { return this->stopping; });
}

void Peers::takeConfig(const config::Checkpoint& text, const std::string& from)
{
    const std::lock_guard lock(this->mutex);
    if (this->keeper.adopt(text))
        logEvent(configInForce, { { "version", text.number }, { "from", from } });
}

void Peers::noteActive()
{
    const std::string active = this->activePlanner();
    if (active == this->lastActive)
        return;
    this->lastActive = active;
    logEvent(activeChanged, { { "planner", active }, { "domain", this->options.own.domain } });
}

InstanceReport Peers::ownLocked() const
{
    InstanceReport report = this->membership.own();
    report.configVersion = static_cast<std::uint64_t>(this->keeper.inForce().number);
    return report;
}

} // namespace rattan::peers
