#include "tasks/election.h"

#include <utility>

namespace rattan::tasks {

Election::Election(ElectionOptions options, Millis now)
    : options(std::move(options))
    , newestReadAt(now)
{
}

void Election::caughtUp(std::int64_t end)
{
    if (end > this->end)
        this->end = end;
}

void Election::recordRead(const Claim& claim, std::int64_t offset, Millis now)
{
    if (offset<this->end&& this->newest.term> 0)
        return; // Read again after a reload.
    this->end = offset + 1;
    const bool own = claim.holder == this->options.holder;
    // Which of several tries lies there is not known: others may count from the first.
    const bool sent = this->underWay && own && claim == this->underWay->claim && now < this->triedFrom + this->options.term;
    this->newest = claim;
    this->newestReadAt = now;
    this->suspectedAt = 0;
    // A claim of ours that was appended although its answer never came counts
    // only once a renewal of it is confirmed: nobody knows how long it lay there.
    this->holds = own;
    this->resigning = this->resigning && own;
    if (sent)
        this->confirm(claim.term, this->triedFrom, now);
    if (own && !sent && this->confirmedTerm != claim.term)
        this->nextRenewal = now;
}

// A confirmation that comes when the term has run out is of no use: whoever asked
// meanwhile was told that it is over.
void Election::confirm(std::int64_t term, Millis from, Millis now)
{
    this->failedInTerm = 0;
    if (this->confirmedTerm == term && now >= this->leadsUntil)
        return;
    this->leadsUntil = from + this->options.term;
    this->confirmedTerm = term;
}

// A term that ran out is not taken up again, although nobody else has claimed:
// whoever led in it has broken off its calls, and records and orders that are
// still on their way would be taken for those of a second planner of that term.
bool Election::lapsed(Millis now) const { return this->confirmedTerm == this->newest.term && now >= this->leadsUntil; }

// The process that ran on this machine before. It has ended, or this one would
// not have been started; so its term need not be waited for.
bool Election::heldByPredecessor() const
{
    return !this->options.machine.empty() && this->newest.holder != this->options.holder && this->newest.holder.starts_with(this->options.machine + "/");
}

bool Election::mayClaim(Millis now) const
{
    if (this->retired || this->end < 0)
        return false;
    if (this->heldByPredecessor())
        return true;
    if (now < this->regainedAt + this->options.jitter)
        return false;
    if (this->newest.term > 0 && this->newest.holder.empty())
        return now >= this->newestReadAt + this->options.jitter / 2;
    if (this->suspectedAt > 0 && now >= this->suspectedAt + this->options.jitter)
        return true;
    return now >= this->newestReadAt + this->options.takeover + this->options.jitter;
}

Election::Append Election::propose(Claim claim, Millis now)
{
    if (this->tried != claim)
        this->triedFrom = now;
    this->tried = claim;
    this->underWay = Append { std::move(claim), this->end };
    this->sentAt = now;
    this->nextRenewal = now + this->options.renewEvery;
    return *this->underWay;
}

std::optional<Election::Append> Election::step(Millis now)
{
    if (this->underWay || this->end < 0 || now < this->nextRenewal)
        return std::nullopt;
    if (this->holds && this->resigning)
        return this->propose({ this->newest.term, "", this->newest.renewal + 1 }, now);
    if (this->holds && !this->lapsed(now))
        return this->propose({ this->newest.term, this->options.holder, this->newest.renewal + 1 }, now);
    if (this->holds)
        return this->propose({ this->newest.term + 1, this->options.holder, 1 }, now);
    if (this->mayClaim(now))
        return this->propose({ this->newest.term + 1, this->options.holder, 1 }, now);
    return std::nullopt;
}

void Election::appended(AppendOutcome outcome, Millis now)
{
    if (!this->underWay)
        return;
    const Append done = *this->underWay;
    this->underWay.reset();
    if (outcome == AppendOutcome::NotDone && this->triedFrom == this->sentAt)
        this->tried.reset();
    if (outcome == AppendOutcome::Elsewhere) {
        // Somebody else's claim, or ours whose answer was lost, lies there unread.
        // Trying again before it is read would only fail again.
        this->nextRenewal = now + this->options.renewEvery / 4;
        return;
    }
    if (outcome != AppendOutcome::Appended) {
        // A renewal whose answer was lost may have been read meanwhile; and one alone that
        // failed says little, since there is time for another.
        const bool wasRead = this->holds && this->newest.term == done.claim.term && this->newest.renewal >= done.claim.renewal;
        if (!wasRead && done.claim.term == this->newest.term && now + this->options.term / 2 >= this->leadsUntil)
            this->failedInTerm = done.claim.term;
        this->nextRenewal = now + this->options.renewEvery / 2;
        return;
    }
    if (done.at + 1 < this->end)
        return; // A later claim was read meanwhile.
    this->end = done.at + 1;
    this->newest = done.claim;
    this->newestReadAt = now;
    this->suspectedAt = 0;
    this->holds = done.claim.holder == this->options.holder;
    this->resigning = this->resigning && this->holds;
    if (this->holds)
        this->confirm(done.claim.term, this->sentAt, now);
}

} // namespace rattan::tasks
