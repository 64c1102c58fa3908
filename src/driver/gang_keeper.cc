// Orders come in at the top, exchanges go out at the bottom, and pump() stands
// between: after anything touched a gang it moves the gang's events to the log,
// marks its workers due when it has something urgent to send, and forgets it
// once it is gone.

#include "driver/gang_keeper.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::driver {

namespace {

    // How long the workers are read after a survey without an epoch.
    constexpr Millis readingTime = 10000;

} // namespace

GangKeeper::GangKeeper(const KeeperOptions& options)
    : options(options)
    , book(options)
    , log(options.mostEvents)
{
}

Result<void> GangKeeper::take(const std::string& planner, std::uint64_t epoch, std::uint64_t acknowledged,
    const std::vector<GangOrder>& orders, Millis now)
{
    BOOST_LEAF_CHECK(this->admitEpoch(planner, epoch, now));
    this->log.acknowledge(acknowledged);
    this->forgetAcknowledged(now);
    if (orders.empty())
        return {};
    if (epoch == 0)
        return fail(ErrorCode::BadInput, "driver.exchange", planner, "orders need an epoch above zero");
    BOOST_LEAF_CHECK(this->admitOrders(orders));
    for (const GangOrder& order : orders)
        this->apply(order, now);
    return {};
}

Result<Survey> GangKeeper::survey(const std::string& planner, std::uint64_t epoch, Millis now)
{
    BOOST_LEAF_CHECK(this->admitEpoch(planner, epoch, now));
    if (!this->isSweeping(now))
        this->startReading(now);
    this->readingUntil = now + readingTime;
    return this->book.survey(now);
}

void GangKeeper::listWorkers(const std::vector<platform::Instance>& instances, Millis now) { this->book.list(instances, now); }

Millis GangKeeper::advance(Millis now)
{
    const Millis gap = this->lastAdvance == 0 ? 0 : now - this->lastAdvance;
    this->lastAdvance = now;
    const bool suspended = gap > this->options.lease / 2;
    if (now < this->nextScan && !suspended)
        return 0;
    this->nextScan = now + scanPeriod;
    const bool period = now >= this->nextTick;
    if (period) {
        this->nextTick = now + this->options.period;
        ++this->tick;
    }
    if (suspended)
        this->doubtEpoch(now);
    std::vector<GangId> ids;
    for (const auto& [id, held] : this->gangs)
        ids.push_back(id);
    for (const GangId id : ids) {
        Gang& gang = this->gangs.at(id).gang;
        if (suspended)
            gang.resumed(now);
        gang.checkLimits(now, this->provenAt);
        if (period)
            gang.openRound(now);
        this->pump(id, now);
    }
    if (period && this->isSweeping(now))
        this->book.markPeriodDue(now, this->tick);
    this->book.markRetries(now);
    return suspended ? gap : 0;
}

std::optional<WorkerAsk> GangKeeper::nextAsk(Millis now)
{
    WorkerRecord* record = this->isSweeping(now) ? this->book.takeDue() : nullptr;
    if (!record)
        return std::nullopt;
    WorkerAsk ask { .worker = record->worker, .address = record->address };
    ask.exchange.holder = this->planner;
    ask.exchange.epoch = this->epoch;
    ask.builtAt = now;
    ask.validUntil = now + this->options.reply;
    ask.epochMatters = this->epoch > 0;
    if (this->epoch > 0)
        this->addGangOps(*record, ask, now);
    return ask;
}

void GangKeeper::answered(const WorkerAsk& ask, const platform::WorkerReport& report, Millis now)
{
    WorkerRecord* record = this->book.find(ask.worker);
    if (!record)
        return;
    this->book.release(*record, true, now);
    // An answer to an exchange of an earlier epoch proves nothing under this one.
    if (ask.exchange.epoch != this->epoch)
        return;
    record->answered = true;
    record->report = report;
    this->proveEpoch(ask, now);
    for (std::size_t i = 0; i < ask.sent.size() && i < report.results.size(); ++i) {
        const SentOp& sent = ask.sent[i];
        if (sent.gang.job == 0 && report.results[i].ok)
            record->orphans.erase(sent.op.op.lease);
        else if (const auto found = this->gangs.find(sent.gang); found != this->gangs.end())
            found->second.gang.opAnswered(sent.member, sent.op, report.results[i], now);
    }
    std::map<std::string_view, const platform::WorkerLease*> leases;
    for (const platform::WorkerLease& lease : report.leases)
        leases[lease.lease] = &lease;
    const std::set<GangId> present = record->gangs;
    for (const GangId id : present) {
        Gang& gang = this->gangs.at(id).gang;
        const auto lease = leases.find(leaseName(id));
        if (const auto member = this->memberAt(gang, ask.worker))
            gang.reported(*member, lease == leases.end() ? nullptr : lease->second, now);
        this->pump(id, now);
    }
}

void GangKeeper::failed(const WorkerAsk& ask, const Error& error, Millis now)
{
    WorkerRecord* record = this->book.find(ask.worker);
    if (!record)
        return;
    this->book.release(*record, error.code == ErrorCode::Conflict, now);
    if (ask.exchange.epoch != this->epoch)
        return;
    if (error.code == ErrorCode::Conflict && ask.epochMatters) {
        this->refuseEpoch(ask.exchange.epoch, ask.worker, now);
        return;
    }
    const bool mayHaveActed = error.code == ErrorCode::Timeout || error.code == ErrorCode::Interrupted || error.code == ErrorCode::Internal;
    for (const SentOp& sent : ask.sent) {
        const auto found = this->gangs.find(sent.gang);
        if (found != this->gangs.end())
            found->second.gang.opUnanswered(sent.member, sent.op, mayHaveActed, now);
    }
}

const Gang* GangKeeper::find(GangId id) const
{
    const auto found = this->gangs.find(id);
    return found == this->gangs.end() ? nullptr : &found->second.gang;
}

bool GangKeeper::isReachable(const std::string& worker)
{
    const WorkerRecord* record = this->book.find(worker);
    return !record || record->reachable;
}

Result<void> GangKeeper::admitEpoch(const std::string& planner, std::uint64_t epoch, Millis now)
{
    if (epoch == 0)
        return {};
    if (epoch < this->epoch || epoch <= this->refusedEpoch)
        return fail(ErrorCode::Conflict, "driver.epoch", planner,
            fmt::format("epoch {} is below {}", epoch, std::max(this->epoch, this->refusedEpoch + 1)));
    this->planner = planner;
    if (epoch == this->epoch)
        return {};
    this->epoch = epoch;
    this->provenAt = 0;
    this->book.beginSurvey(now);
    return {};
}

Result<void> GangKeeper::admitOrders(const std::vector<GangOrder>& orders) const
{
    std::size_t starts = 0;
    for (const GangOrder& order : orders) {
        if (order.members.size() > this->options.mostMembers || (order.id.job == 0 && order.kind != OrderKind::ReleaseOrphan))
            return fail(ErrorCode::BadInput, "driver.exchange", this->planner, "an order with too many members or no job");
        starts += order.kind == OrderKind::StartGang || order.kind == OrderKind::AdoptGang ? 1 : 0;
    }
    if (starts == 0)
        return {};
    if (this->log.isFull() || this->gangs.size() + starts > this->options.mostGangs)
        return fail(ErrorCode::Overloaded, "driver.exchange", this->planner, "too many gangs or unread events",
            std::chrono::milliseconds(this->options.period));
    return {};
}

void GangKeeper::refuseEpoch(std::uint64_t refused, const std::string& worker, Millis now)
{
    // Another planner decides here now. Its driver adopts the leases; stopping
    // them, or renewing them elsewhere, would tear gangs that it already holds.
    this->gangs.clear();
    this->book.dropGangs();
    this->epoch = 0;
    this->refusedEpoch = std::max(this->refusedEpoch, refused);
    this->log.add({ .kind = GangEventKind::EpochRefused, .worker = worker, .reason = fmt::format("epoch {} was refused", refused) });
    this->startReading(now);
}

// While the driver was suspended, another may have taken the leases over. Until
// every worker was asked again, no lease counts as lapsed.
void GangKeeper::doubtEpoch(Millis now)
{
    if (this->epoch > 0)
        this->book.beginSurvey(now);
}

void GangKeeper::proveEpoch(const WorkerAsk& ask, Millis now)
{
    if (this->book.isComplete(now))
        this->provenAt = std::max(this->provenAt, ask.builtAt);
}

void GangKeeper::startReading(Millis now)
{
    this->readingUntil = now + readingTime;
    this->book.beginSurvey(now);
}

void GangKeeper::addGangOps(WorkerRecord& record, WorkerAsk& ask, Millis now)
{
    for (const GangId id : record.gangs) {
        Gang& gang = this->gangs.at(id).gang;
        const auto member = this->memberAt(gang, record.worker);
        if (!member)
            continue;
        for (GangOp& op : gang.opsFor(*member, now)) {
            ask.exchange.ops.push_back(op.op);
            ask.sent.push_back({ id, *member, std::move(op) });
        }
    }
    for (const std::string& lease : record.orphans) {
        const GangOp stop { { .kind = platform::WorkerOpKind::Stop, .lease = lease }, 0 };
        ask.exchange.ops.push_back(stop.op);
        ask.sent.push_back({ GangId {}, 0, stop });
    }
}

std::optional<std::size_t> GangKeeper::memberAt(const Gang& gang, const std::string& worker) const
{
    const auto& members = gang.members();
    const auto found = std::find_if(members.begin(), members.end(),
        [&worker](const MemberState& state) { return state.member.worker == worker; });
    if (found == members.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - members.begin());
}

} // namespace rattan::driver
