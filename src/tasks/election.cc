#include "tasks/election.h"

#include <algorithm>
#include <utility>

namespace rattan::tasks {

Election::Election(ElectionOptions options, Millis now)
    : options(std::move(options))
    , newestReadAt(now)
{
}

void Election::didReachEnd(std::int64_t end)
{
    if (end > this->logEnd)
        this->logEnd = end;
}

void Election::didReadClaim(const Claim& claim, std::int64_t offset, Millis now)
{
    if (offset<this->logEnd&& this->newest.term> 0)
        return; // The log is read again after a reload.
    this->logEnd = offset + 1;
    const bool isOwn = claim.holder == this->options.holder;
    // It is unknown which of several attempts was appended, and other instances may count
    // from the first one. The answer to the append may have been lost or have said EndMoved.
    const bool isPendingClaim = isOwn && claim == this->lastProposal && now < this->proposalFirstSentAt + this->options.term;
    this->newest = claim;
    this->newestReadAt = now;
    this->suspectedAt = 0;
    // A claim by this process whose append was never confirmed is valid only once a
    // renewal is confirmed, since it may have been in the log for any length of time.
    this->isHolder = isOwn;
    this->resigning = this->resigning && isOwn;
    if (isPendingClaim)
        this->confirm(claim.term, this->proposalFirstSentAt, now);
    if (isOwn && !isPendingClaim && this->confirmedTerm != claim.term)
        this->nextRenewal = now;
}

// A confirmation that arrives after the end of the term has no effect, since leads() may
// have returned false in the meantime.
void Election::confirm(std::int64_t term, Millis from, Millis now)
{
    this->failedRenewalTerm = 0;
    if (this->confirmedTerm == term && now >= this->termEnd)
        return;
    this->termEnd = from + this->options.term;
    this->confirmedTerm = term;
}

// A term that has ended is not resumed, even if no other instance has claimed. The planner
// of that term has aborted its calls, and its records and orders still in transit could
// not be told apart from those of a second planner in the same term.
bool Election::isTermOver(Millis now) const { return this->confirmedTerm == this->newest.term && now >= this->termEnd; }

// True if the holder is the process that ran on this machine before this one. It must have
// ended for this one to be started, so there is no need to wait for the end of its term.
bool Election::heldByPredecessor() const
{
    return !this->options.machine.empty() && this->newest.holder != this->options.holder && this->newest.holder.starts_with(this->options.machine + "/");
}

bool Election::canClaim(Millis now) const
{
    if (this->retired || this->logEnd < 0)
        return false;
    if (this->heldByPredecessor())
        return true;
    if (now < this->logRegainedAt + this->options.jitter)
        return false;
    if (this->newest.term > 0 && this->newest.holder.empty())
        return now >= this->newestReadAt + this->options.jitter / 2;
    if (this->suspectedAt > 0 && now >= this->suspectedAt + this->options.jitter)
        return true;
    return now >= this->newestReadAt + this->options.takeoverDelay + this->options.jitter;
}

Election::Append Election::propose(Claim claim, Millis now)
{
    if (this->lastProposal != claim)
        this->proposalFirstSentAt = now;
    this->lastProposal = claim;
    this->pendingAppend = Append { std::move(claim), this->logEnd };
    this->proposalLastSentAt = now;
    this->nextRenewal = now + this->options.renewInterval;
    return *this->pendingAppend;
}

std::optional<Election::Append> Election::step(Millis now)
{
    if (this->pendingAppend || this->logEnd < 0 || now < this->nextRenewal)
        return std::nullopt;
    if (this->isHolder && this->resigning)
        return this->propose({ this->newest.term, "", this->newest.renewal + 1 }, now);
    if (this->isHolder && !this->isTermOver(now))
        return this->propose({ this->newest.term, this->options.holder, this->newest.renewal + 1 }, now);
    if (this->isHolder)
        return this->propose({ this->newest.term + 1, this->options.holder, 1 }, now);
    if (this->canClaim(now))
        return this->propose({ this->newest.term + 1, this->options.holder, 1 }, now);
    return std::nullopt;
}

void Election::didConfirmLog(Millis at, Millis now)
{
    if (this->inDoubtSince == 0 || at < this->inDoubtSince)
        return;
    this->inDoubtSince = 0;
    if (this->isHolder)
        this->nextRenewal = std::min(this->nextRenewal, now);
}

void Election::didAppend(AppendOutcome outcome, Millis now)
{
    if (!this->pendingAppend)
        return;
    const Append append = *this->pendingAppend;
    this->pendingAppend.reset();
    const bool isRenewalUnread = this->isHolder && (this->newest.term != append.claim.term || this->newest.renewal < append.claim.renewal);
    if (isRenewalUnread && (outcome == AppendOutcome::Unknown || outcome == AppendOutcome::EndMoved))
        this->inDoubtSince = now;
    if (outcome == AppendOutcome::NotAppended && this->proposalFirstSentAt == this->proposalLastSentAt)
        this->lastProposal.reset();
    if (outcome == AppendOutcome::EndMoved) {
        // The log has an unread claim, by another process or by this one with its answer
        // lost. Another attempt before it is read would fail again.
        this->nextRenewal = now + this->options.renewInterval / 4;
        return;
    }
    if (outcome != AppendOutcome::Appended) {
        // A renewal whose answer was lost may have been read in the meantime. A single
        // failure early in the term is not reported, since there is time for another attempt.
        const bool wasRead = this->isHolder && this->newest.term == append.claim.term && this->newest.renewal >= append.claim.renewal;
        if (!wasRead && append.claim.term == this->newest.term && now + this->options.term / 2 >= this->termEnd)
            this->failedRenewalTerm = append.claim.term;
        this->nextRenewal = now + this->options.renewInterval / 2;
        return;
    }
    if (append.offset + 1 < this->logEnd)
        return; // A later claim was read in the meantime.
    this->logEnd = append.offset + 1;
    this->newest = append.claim;
    this->newestReadAt = now;
    this->suspectedAt = 0;
    this->isHolder = append.claim.holder == this->options.holder;
    this->resigning = this->resigning && this->isHolder;
    if (this->isHolder)
        this->confirm(append.claim.term, this->proposalLastSentAt, now);
}

} // namespace rattan::tasks
