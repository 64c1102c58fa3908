// Why at most one attempt is First for a key K with time T.
//
// A record of K counts only if T is at most the record's log time plus the
// slack, so all records of K that count were appended at T - slack or later. A
// reader that has read the stream without a hole since T - slack therefore has
// all of them, in the log's order, as has every other such reader; their folds
// are equal. A reader with a hole after T - slack rules Uncovered.
//
// In the fold a key has at most one holder, and the holder changes only by the
// holder's own not_run. A claimant appends that only if it has sent nothing and
// will send nothing. So between two dispatches there would have to be a not_run
// by somebody who dispatched, which there is not.
//
// Claims older than the window do not count. Instances with different windows
// still agree on what matters: a claim that one of them ignores as too old is
// followed only by claims that it ignores too.

#include "entry/claim_index.h"

#include "entry/claim_key.h"

#include <algorithm>

namespace rattan::entry {

ClaimIndex::ClaimIndex(ClaimLimits limits)
    : limits(limits)
{
}

std::optional<ClaimRuling> ClaimIndex::apply(const platform::LogRecord& entry)
{
    if (entry.offset < this->next)
        return std::nullopt;
    if (entry.offset > this->next)
        this->tearHole();
    this->next = entry.offset + 1;
    if (this->holed) {
        this->holed = false;
        this->coveredSince = entry.atWall;
    }
    this->latest = std::max(this->latest, entry.atWall);
    this->prune();
    const auto record = parseClaimRecord(entry.value);
    if (!record || record->kind == ClaimRecordKind::Mark)
        return std::nullopt;
    const auto time = timeOfKey(record->key);
    if (!time)
        return std::nullopt;
    const KeyId id { *time, record->workspace, record->key };
    const bool tooEarly = *time > entry.atWall + futureSlack;
    if (record->kind == ClaimRecordKind::Claim)
        return ClaimRuling { record->attempt, tooEarly ? ClaimVerdict::OutOfTime : this->applyClaim(id, *record, entry.atWall) };
    if (!tooEarly && *time >= entry.atWall - this->limits.window)
        this->applyOutcome(id, *record);
    return std::nullopt;
}

bool ClaimIndex::trimmedBefore(std::uint64_t firstKept)
{
    if (firstKept <= this->next)
        return false;
    this->tearHole();
    this->next = firstKept;
    return true;
}

bool ClaimIndex::covers(Millis keyTime) const
{
    if (this->holed)
        return false;
    if (this->evictedThrough && keyTime <= *this->evictedThrough)
        return false;
    return !this->coveredSince || keyTime - futureSlack > *this->coveredSince;
}

std::optional<KeyView> ClaimIndex::look(const std::string& workspace, const std::string& key) const
{
    const auto time = timeOfKey(key);
    if (!time)
        return std::nullopt;
    const auto found = this->keys.find({ *time, workspace, key });
    return found == this->keys.end() ? KeyView {} : found->second.view;
}

ClaimVerdict ClaimIndex::applyClaim(const KeyId& id, const ClaimRecord& claim, Millis at)
{
    if (id.time < at - this->limits.window)
        return ClaimVerdict::OutOfTime;
    if (this->evictedThrough && id.time <= *this->evictedThrough)
        return ClaimVerdict::Uncovered;
    KeyState& state = this->keys[id];
    const bool givenUp = std::find(state.abandoned.begin(), state.abandoned.end(), claim.attempt) != state.abandoned.end();
    if (givenUp || (!state.holder.empty() && state.holder != claim.attempt))
        return ClaimVerdict::Later;
    state.holder = claim.attempt;
    if (state.view.stage == KeyStage::Free) {
        state.view.stage = KeyStage::Claimed;
        state.view.claimant = claim.claimant;
        state.view.operation = claim.operation;
        state.view.fingerprint = claim.fingerprint;
    }
    return this->covers(id.time) ? ClaimVerdict::First : ClaimVerdict::Uncovered;
}

void ClaimIndex::applyOutcome(const KeyId& id, const ClaimRecord& outcome)
{
    if (this->evictedThrough && id.time <= *this->evictedThrough)
        return;
    KeyState& state = this->keys[id];
    if (state.holder == outcome.attempt) {
        if (state.view.stage == KeyStage::Claimed)
            this->finish(id, state, outcome);
        return;
    }
    // The claim's append was thought lost and arrives after its claimant gave
    // up. It must not hold the key then, since nobody would ever release it.
    if (outcome.outcome != OutcomeKind::NotRun)
        return;
    state.abandoned.push_back(outcome.attempt);
    if (state.abandoned.size() > abandonedPerKey)
        state.abandoned.pop_front();
}

void ClaimIndex::finish(const KeyId& id, KeyState& state, const ClaimRecord& outcome)
{
    if (outcome.outcome == OutcomeKind::NotRun) {
        state.abandoned.push_back(outcome.attempt);
        if (state.abandoned.size() > abandonedPerKey)
            state.abandoned.pop_front();
        state.holder.clear();
        state.view = KeyView {};
        return;
    }
    state.view.stage = KeyStage::Finished;
    state.view.outcome = outcome.outcome;
    state.view.status = outcome.status;
    state.view.answer = outcome.answer;
    state.view.answerKept = outcome.answerKept;
    this->answerBytes += outcome.answer.size();
    this->answered.push_back(id);
    this->dropAnswers();
}

// What was folded before a hole may be out of date: a holder may have released
// its key in it. Nothing of it is kept.
void ClaimIndex::tearHole()
{
    this->holed = true;
    this->keys.clear();
    this->answered.clear();
    this->answerBytes = 0;
}

void ClaimIndex::prune()
{
    while (!this->keys.empty()) {
        const auto oldest = this->keys.begin();
        const bool tooOld = oldest->first.time < this->latest - this->limits.window;
        if (!tooOld && this->keys.size() < this->limits.keys)
            return;
        // Keys past the window are refused for their age; the others for this.
        if (!tooOld)
            this->evictedThrough = std::max(this->evictedThrough.value_or(0), oldest->first.time);
        this->answerBytes -= oldest->second.view.answer.size();
        this->keys.erase(oldest);
    }
}

void ClaimIndex::dropAnswers()
{
    while (this->answerBytes > this->limits.answerBytes || this->answered.size() > this->limits.keys) {
        const auto found = this->keys.find(this->answered.front());
        this->answered.pop_front();
        if (found == this->keys.end())
            continue;
        KeyView& view = found->second.view;
        this->answerBytes -= view.answer.size();
        if (!view.answer.empty())
            view.answerKept = false;
        view.answer.clear();
    }
}

} // namespace rattan::entry
