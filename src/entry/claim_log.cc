#include "entry/claim_log.h"

#include "base/random.h"
#include "entry/claim_key.h"
#include "entry/events.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::entry {

namespace {

    constexpr std::string_view stream = "claims";
    constexpr std::string_view step = "entry.claim";
    constexpr std::size_t recordsPerRead = 2000;
    constexpr std::size_t attemptDigits = 16;
    constexpr std::chrono::milliseconds readWait(500);
    constexpr std::chrono::milliseconds pauseAfterFailure(200);
    constexpr std::chrono::milliseconds retryAfter(1000);
    constexpr Millis markPeriod = 60000;

    boost::leaf::error_id unavailable(std::string message)
    {
        return fail(ErrorCode::Unavailable, std::string(step), std::string(stream), std::move(message), retryAfter);
    }

    ClaimRecord outcomeRecord(const Claim& claim, const Outcome& outcome)
    {
        ClaimRecord record;
        record.kind = ClaimRecordKind::Outcome;
        record.workspace = claim.workspace;
        record.key = claim.key;
        record.attempt = claim.attempt;
        record.outcome = outcome.kind;
        record.status = outcome.status;
        record.answerKept = outcome.answer.size() <= largestKeptAnswer;
        if (record.answerKept)
            record.answer = outcome.answer;
        return record;
    }

} // namespace

ClaimLog::ClaimLog(platform::Log& log, std::string incarnation, ClaimLimits limits, const Clock& clock)
    : appender(log, std::string(stream))
    , log(log)
    , incarnation(std::move(incarnation))
    , limits(limits)
    , clock(clock)
    , index(limits)
{
}

ClaimLog::~ClaimLog() { this->stop(); }

void ClaimLog::start()
{
    this->appender.start();
    this->thread = std::thread([this] { this->run(); });
}

void ClaimLog::stop()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
    this->appender.stop();
}

Result<Claim> ClaimLog::claim(const ClaimOrder& order)
{
    BOOST_LEAF_CHECK(this->checkKey(order.key));
    BOOST_LEAF_AUTO(known, this->look(order.workspace, order.key));
    Claim claim { false, order.workspace, order.key, this->incarnation + "." + randomHex(attemptDigits), known };
    if (known.stage != KeyStage::Free)
        return claim;
    {
        const std::lock_guard lock(this->mutex);
        if (this->pending.size() >= mostPending)
            return fail(ErrorCode::Overloaded, std::string(step), "", "too many claims wait for the log", retryAfter);
        this->pending[claim.attempt];
    }
    return this->awaitRuling(std::move(claim), order);
}

Result<Claim> ClaimLog::awaitRuling(Claim claim, const ClaimOrder& order)
{
    ClaimRecord record;
    record.kind = ClaimRecordKind::Claim;
    record.workspace = claim.workspace;
    record.key = claim.key;
    record.attempt = claim.attempt;
    record.claimant = this->incarnation;
    record.operation = order.operation;
    record.fingerprint = order.fingerprint;
    const auto left = [&] { return std::chrono::milliseconds(std::max<Millis>(order.deadline - this->clock.now(), 0)); };
    const auto appended = attempt([&] { return this->appender.append(toJson(record), left()); });
    const bool surelyNot = !appended && (appended.error.code == ErrorCode::Unavailable || appended.error.code == ErrorCode::Overloaded);
    std::unique_lock lock(this->mutex);
    Pending& mine = this->pending[claim.attempt];
    if (!surelyNot)
        this->ruled.wait_for(lock, left(), [&] { return mine.verdict.has_value(); });
    const std::optional<ClaimVerdict> verdict = mine.verdict;
    this->pending.erase(claim.attempt);
    claim.view = this->index.look(claim.workspace, claim.key).value_or(KeyView {});
    lock.unlock();
    if (surelyNot)
        return fail(appended.error);
    if (verdict == ClaimVerdict::First && this->clock.now() < order.deadline) {
        claim.mine = true;
        return claim;
    }
    if (verdict == ClaimVerdict::Later)
        return claim;
    // Whatever the reason, nothing was sent under this attempt, and from here on
    // nothing will be.
    this->giveUp(claim);
    if (verdict == ClaimVerdict::OutOfTime)
        return fail(ErrorCode::BadInput, std::string(step), "", "the key's time is outside the window by the log's clock");
    if (verdict == ClaimVerdict::Uncovered)
        return unavailable("earlier claims were trimmed before this instance read them");
    return fail(ErrorCode::Timeout, std::string(step), std::string(stream), "the log did not confirm the claim in time", retryAfter);
}

void ClaimLog::settle(const Claim& claim, const Outcome& outcome)
{
    if (outcome.kind == OutcomeKind::NotRun)
        this->giveUp(claim);
    else
        this->appender.offer(toJson(outcomeRecord(claim, outcome)));
}

void ClaimLog::giveUp(const Claim& claim)
{
    Outcome released;
    released.kind = OutcomeKind::NotRun;
    this->appender.offer(toJson(outcomeRecord(claim, released)));
    logEvent(claimReleased, { { "key", claim.key }, { "attempt", claim.attempt } });
}

Result<KeyView> ClaimLog::look(const std::string& workspace, const std::string& key) const
{
    const std::lock_guard lock(this->mutex);
    if (!this->atEnd || !this->reachable)
        return unavailable("the claims stream cannot be read now");
    const auto view = this->index.look(workspace, key);
    if (!view)
        return fail(ErrorCode::BadInput, std::string(step), "", "the key must begin with its time, like 20260401T093000Z-name");
    if (view->stage == KeyStage::Free && !this->index.covers(*timeOfKey(key)))
        return unavailable("earlier claims were trimmed before this instance read them; a newer key will be taken");
    return *view;
}

bool ClaimLog::caughtUp() const
{
    const std::lock_guard lock(this->mutex);
    return this->atEnd && this->reachable;
}

Result<void> ClaimLog::checkKey(const std::string& key) const
{
    const auto time = timeOfKey(key);
    if (!time)
        return fail(ErrorCode::BadInput, std::string(step), "", "the key must begin with its time, like 20260401T093000Z-name");
    const Millis now = this->clock.wall();
    if (*time < now - this->limits.window)
        return fail(ErrorCode::BadInput, std::string(step), "", fmt::format("the key is older than {} s; an earlier claim could be forgotten", this->limits.window / 1000));
    if (*time > now + ClaimIndex::futureSlack)
        return fail(ErrorCode::BadInput, std::string(step), "", "the key's time is in the future");
    return {};
}

void ClaimLog::run()
{
    while (!this->stopping) {
        // Waiting for new records only makes sense once the old ones are read.
        if (!this->follow(this->caughtUp() ? readWait : std::chrono::milliseconds(0))) {
            std::this_thread::sleep_for(pauseAfterFailure);
            continue;
        }
        this->keepStreamAlive();
    }
}

bool ClaimLog::follow(std::chrono::milliseconds wait)
{
    std::uint64_t from = 0;
    {
        const std::lock_guard lock(this->mutex);
        from = this->index.position();
    }
    const auto page = attempt([&] { return this->log.read(std::string(stream), from, recordsPerRead, wait); });
    if (page) {
        this->take(*page);
        return true;
    }
    const std::lock_guard lock(this->mutex);
    if (this->reachable)
        logEvent(claimsUnreachable, { { "why", page.error.message }, { "peer", page.error.peer } });
    this->reachable = false;
    return false;
}

void ClaimLog::take(const platform::LogPage& page)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->index.trimmedBefore(page.firstKept))
            logEvent(claimsGap, { { "first_kept", page.firstKept } });
        for (const platform::LogRecord& record : page.records) {
            const auto ruling = this->index.apply(record);
            if (!ruling)
                continue;
            if (const auto found = this->pending.find(ruling->attempt); found != this->pending.end())
                found->second.verdict = ruling->verdict;
        }
        this->reachable = true;
        const bool end = this->index.position() >= page.next;
        if (end && !this->atEnd)
            logEvent(claimsCaughtUp, { { "position", this->index.position() }, { "keys", this->index.size() } });
        this->atEnd = this->atEnd || end;
    }
    this->ruled.notify_all();
}

// An instance that starts while the stream holds no record cannot know when the
// last one was trimmed, and would have to refuse every key for a while. A record
// now and then, from whichever instance notices first, prevents that.
void ClaimLog::keepStreamAlive()
{
    const std::lock_guard lock(this->mutex);
    const Millis now = this->clock.wall();
    if (now < std::max(this->index.lastRecordAt() + markPeriod, this->markAfter))
        return;
    this->appender.offer(toJson(ClaimRecord {}));
    this->markAfter = now + markPeriod + static_cast<Millis>(randomBelow(markPeriod));
}

} // namespace rattan::entry
