// The order of a turn matters: records before decisions, decisions before the
// exchange, and the events of the exchange decide at once, so that what the
// driver told never waits a turn for its answer.

#include "planner/decision_loop.h"

#include "base/log.h"
#include "planner/book_fetch.h"
#include "planner/events.h"

namespace rattan::planner {

namespace {

    constexpr std::size_t recordsPerTurn = 2000;

    // While learning, the survey is asked for every turn: leases are running out.
    constexpr Millis learningSurveyPeriod = 50;
    // A planner that cannot read the log begins with the jobs that the workers and
    // its peers tell of, rather than leave running gangs to lapse.
    constexpr Millis longestWaitForLog = 3000;

} // namespace

DecisionLoop::DecisionLoop(const PlannerOptions& options, std::string incarnation, SharedPlanner& shared,
    BoundedQueue<JobTailItem>& ring, LogWriter& writer, const JobTail& tail, peers::Peers& peers)
    : options(options)
    , incarnation(std::move(incarnation))
    , shared(shared)
    , ring(ring)
    , writer(writer)
    , tail(tail)
    , peers(peers)
{
}

DecisionLoop::~DecisionLoop() { this->stop(); }

void DecisionLoop::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void DecisionLoop::stop()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
}

void DecisionLoop::run()
{
    DriverLink driver(this->options.driver, this->incarnation);
    while (!this->stopping)
        this->turn(driver);
    this->writeRecords();
    this->standDown("the planner stops");
}

void DecisionLoop::turn(DriverLink& driver)
{
    this->takeRecords();
    const Millis now = SystemClock().now();
    this->takeText();
    this->followMembership();
    this->lookAtWorkers(driver, now);
    {
        const std::lock_guard lock(this->shared.mutex);
        this->shared.planner.tick(now, SystemClock().wall());
    }
    this->exchange(driver);
    this->writeRecords();
    const std::lock_guard lock(this->shared.mutex);
    this->peers.setActive(this->shared.planner.stage() != Stage::Standby, this->shared.planner.epoch());
}

void DecisionLoop::takeRecords()
{
    auto item = this->ring.popFor(std::chrono::milliseconds(this->options.turnMs));
    const std::lock_guard lock(this->shared.mutex);
    const Millis now = SystemClock().now();
    for (std::size_t taken = 0; item && taken < recordsPerTurn; ++taken) {
        this->shared.planner.applyRecord(*item, now);
        item = taken + 1 < recordsPerTurn ? this->ring.popFor(std::chrono::milliseconds(0)) : std::nullopt;
    }
}

void DecisionLoop::takeText()
{
    const config::Version version = this->peers.textInForce();
    if (version.number <= this->textGiven || !version.configuration)
        return;
    this->textGiven = version.number;
    const std::lock_guard lock(this->shared.mutex);
    this->shared.planner.applyText(static_cast<std::uint64_t>(version.number), *version.configuration, SystemClock().now());
}

void DecisionLoop::followMembership()
{
    const bool wanted = this->peers.ownIsActive();
    const Stage stage = [&] {
        const std::lock_guard lock(this->shared.mutex);
        return this->shared.planner.stage();
    }();
    if (!wanted) {
        this->wantedSince = 0;
        this->standDown("another instance decides for the failure domain");
        return;
    }
    const Millis now = SystemClock().now();
    if (this->wantedSince == 0)
        this->wantedSince = now;
    if (stage != Stage::Standby || !this->bookIsWhole(now))
        return;
    const std::lock_guard lock(this->shared.mutex);
    this->shared.planner.activate();
}

bool DecisionLoop::bookIsWhole(Millis now)
{
    if (this->tail.caughtUp() && this->ring.size() == 0)
        return true;
    if (now - this->wantedSince < longestWaitForLog)
        return false;
    this->fetchBookFromPeers();
    return true;
}

// The log is down and this instance has just started. Jobs that it does not
// know would be taken for orphans and stopped; the peers know them.
void DecisionLoop::fetchBookFromPeers()
{
    for (const peers::InstanceReport& peer : this->peers.known()) {
        if (peer.domain != this->options.domain || peer.instance == this->options.instance)
            continue;
        const auto book = attempt([&] { return fetchBook(peer.plannerAddress, JobBookLimits().open + JobBookLimits().ended); });
        if (!book)
            continue;
        const std::lock_guard lock(this->shared.mutex);
        const Millis wall = SystemClock().wall();
        for (const records::JobRecord& record : *book)
            this->shared.planner.applyRecord({ 0, wall, record }, SystemClock().now());
        logEvent(events::bookFetched, { { "peer", peer.plannerAddress }, { "records", book->size() } });
    }
}

void DecisionLoop::lookAtWorkers(DriverLink& driver, Millis now)
{
    Stage stage = Stage::Standby;
    std::uint64_t epoch = 0;
    {
        const std::lock_guard lock(this->shared.mutex);
        stage = this->shared.planner.stage();
        epoch = stage == Stage::Learning ? this->shared.planner.epoch() : 0;
    }
    const Millis period = stage == Stage::Learning ? learningSurveyPeriod : this->options.surveyMs;
    if (now - this->lastSurvey < period)
        return;
    this->lastSurvey = now;
    const auto survey = attempt([&] { return driver.survey(epoch); });
    if (this->driverAnswers && !survey)
        logEvent(events::driverUnreachable, { { "step", survey.error.step }, { "peer", survey.error.peer }, { "error", survey.error.message } });
    this->driverAnswers = static_cast<bool>(survey);
    this->peers.setDriverReady(this->driverAnswers);
    if (!survey) {
        // Taking over again is how a planner learns what a driver that started
        // anew, or that follows a higher epoch, holds.
        if (stage != Stage::Standby)
            this->standDown("the driver does not answer the survey");
        return;
    }
    const std::lock_guard lock(this->shared.mutex);
    if (stage != Stage::Standby && this->shared.planner.stage() == stage)
        this->shared.planner.applySurvey(*survey, SystemClock().now());
}

void DecisionLoop::exchange(DriverLink& driver)
{
    std::uint64_t epoch = 0;
    {
        const std::lock_guard lock(this->shared.mutex);
        if (this->shared.planner.stage() == Stage::Standby)
            return;
        epoch = this->shared.planner.epoch();
        for (Order& order : this->shared.planner.takeOrders())
            this->unsent.push_back(std::move(order));
    }
    if (epoch == 0)
        return;
    const auto answer = attempt([&] { return driver.exchange(epoch, this->unsent); });
    if (!answer) {
        logEvent(events::driverUnreachable, { { "step", answer.error.step }, { "peer", answer.error.peer }, { "error", answer.error.message } });
        // An overloaded driver has refused the orders whole; they go again. Any
        // other failure leaves what it holds in doubt: learn it anew.
        if (answer.error.code != ErrorCode::Timeout)
            this->standDown("the driver does not take orders");
        return;
    }
    this->unsent.clear();
    const bool restarted = !this->driverIncarnation.empty() && this->driverIncarnation != answer->incarnation;
    this->driverIncarnation = answer->incarnation;
    if (restarted) {
        this->standDown("the driver was restarted and holds no gangs");
        return;
    }
    bool accepted = true;
    {
        const std::lock_guard lock(this->shared.mutex);
        accepted = this->shared.planner.applyEvents(answer->events, SystemClock().now());
    }
    if (!accepted)
        this->standDown("a worker has accepted a higher epoch");
}

void DecisionLoop::writeRecords()
{
    std::vector<records::JobRecord> records;
    {
        const std::lock_guard lock(this->shared.mutex);
        records = this->shared.planner.takeRecords();
    }
    for (records::JobRecord& record : records) {
        // The writer is full only after a long outage. A final that is dropped
        // leaves its job open, and a later planner ends it again.
        if (!this->writer.offer(std::move(record)))
            logEvent(events::appendFailed, { { "records", 1 }, { "error", "too many records wait for the log" } });
    }
}

void DecisionLoop::standDown(const std::string& reason)
{
    const std::lock_guard lock(this->shared.mutex);
    if (this->shared.planner.stage() == Stage::Standby)
        return;
    this->unsent.clear();
    this->shared.planner.standDown();
    logEvent(events::stoodDown, { { "reason", reason } });
}

} // namespace rattan::planner
