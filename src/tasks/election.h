#pragma once

// Which instance plans: the one whose claim is the newest record of the log of
// claims, for as long as it keeps renewing it.
//
//     Election election({ .holder = "front-a-1" }, now);
//     election.recordRead(claim, offset, now);     // every record of the log of claims
//     if (auto append = election.step(now))        // to be appended only if the log ends there
//         send(append->claim, append->at);
//     election.appended(outcome, now);
//     if (election.leads(now)) ...                 // asked before every order
//
// Why two that wait never lead at once: a claim is appended only at the end of the log
// that its writer has read, so each claim follows one that its writer knew. A
// holder counts its term from before it sent its last acknowledged renewal, or the first
// try of one that it reads, and for `term`. Another waits `takeover`, which is longer,
// from when it read that renewal, which was later. Times come from a clock that goes on
// while a machine is suspended, so a holder that was frozen finds its term over.
//
// The number of a claim is the term that orders to workers carry: it rises with
// each change of holder, and no two holders ever share one.

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rattan::tasks {

struct Claim {
    std::int64_t term { 0 };
    std::string holder; // Instance and process; empty: given up, anybody may follow at once.
    std::int64_t renewal { 0 }; // Counts up within a term.

    bool operator==(const Claim&) const = default;
};

struct ElectionOptions {
    std::string machine; // Of this process; no two processes that live share one.
    std::string holder; // This process: begins with the machine and a slash.
    Millis renewEvery { 300 }; // A renewal may take 400 ms at a slow store: two tries fit in a term.
    Millis term { 1000 }; // From sending a renewal; an order is out within it or not at all.
    Millis takeover { 1250 }; // Longer than a term by what clocks and messages may be off; work starts again within 1.5 s.
    Millis jitter { 0 }; // Added to takeover here, so that not all claim in one moment; longer where others should come first.
};

enum class AppendOutcome {
    Appended,
    EndMoved, // The log did not end there: read on.
    Unknown, // May still be appended; a read will show it.
    NotAppended,
};

class Election {
public:
    struct Append {
        Claim claim;
        std::int64_t offset { 0 };
    };

    Election(ElectionOptions, Millis now);

    // The log of claims ends here and was read to its end.
    void didReachEnd(std::int64_t end);
    void didReadClaim(const Claim&, std::int64_t offset, Millis now);

    // Whether this process would claim now, if it were ready to plan.
    bool wouldClaim(Millis now) const { return !this->pendingAppend && this->logEnd >= 0 && now >= this->nextRenewal && ((!this->isHolder && this->canClaim(now)) || (this->isHolder && !this->resigning && this->isTermOver(now))); }

    // The next claim to append, at most one at a time.
    std::optional<Append> step(Millis now);
    void didAppend(AppendOutcome, Millis now);

    // The log could not be read until now. Whoever comes back first is as likely as not
    // one that should leave planning to others, so its jitter counts from here.
    void didRegainLog(Millis now) { this->logRegainedAt = now; }

    // The holder is taken as gone: its term need not be waited for. Until the next claim
    // is read. Two may then lead for a moment, the earlier one without effect: workers
    // that the later one has asked, and the store, refuse its lower term.
    void suspectHolder(Millis now)
    {
        if (this->suspectedAt == 0)
            this->suspectedAt = now;
    }

    // Half the term has passed since the last renewal that had an effect, and the last
    // try had none, as far as is known.
    bool renewalFailed() const { return this->isHolder && this->failedRenewalTerm == this->newest.term; }

    // Gives the term up: the next append is a claim without holder.
    void resign() { this->resigning = this->isHolder; }

    // Gives the term up and never claims again; for a process that ends.
    void retire()
    {
        this->retired = true;
        this->resign();
    }

    bool leads(Millis now) const
    {
        return this->isHolder && !this->resigning && this->confirmedTerm == this->newest.term && now < this->termEnd;
    }
    std::int64_t term() const { return this->newest.term; }

    // When the term ends unless it is renewed; meaningful while this process leads.
    Millis termEndTime() const { return this->termEnd; }
    const Claim& newestClaim() const { return this->newest; }

private:
    bool canClaim(Millis now) const;
    bool heldByPredecessor() const;
    bool isTermOver(Millis now) const;
    void confirm(std::int64_t term, Millis from, Millis now);
    Append propose(Claim, Millis now);

    const ElectionOptions options;
    Claim newest;
    std::int64_t logEnd { -1 }; // Of the log, as far as read; below 0: not read yet.
    Millis newestReadAt { 0 };
    bool isHolder { false }; // The newest claim is ours and of this process.
    bool resigning { false }; // Until the log shows that the term is given up.
    bool retired { false };
    Millis logRegainedAt { 0 };
    Millis suspectedAt { 0 }; // Since when the present holder is taken as gone; 0: it is not.
    std::int64_t failedRenewalTerm { 0 }; // In which the last try to renew failed.
    Millis termEnd { 0 }; // Of confirmedTerm.
    std::int64_t confirmedTerm { 0 }; // The last term in which this process led.
    std::optional<Append> pendingAppend;
    Millis proposalLastSentAt { 0 };
    std::optional<Claim> lastProposal; // The last one proposed, unless no try of it can lie in the log.
    Millis proposalFirstSentAt { 0 }; // When the first try of it was sent.
    Millis nextRenewal { 0 };
};

} // namespace rattan::tasks
