#pragma once

// Leader election among instances. The leader is the instance whose claim is the newest
// record in the claim log, as long as it keeps renewing that claim.
//
//     Election election({ .holder = "front-a-1" }, now);
//     election.didReadClaim(claim, offset, now);   // for each record of the claim log
//     if (auto append = election.step(now))        // append only if the log ends at that offset
//         send(append->claim, append->offset);
//     election.didAppend(outcome, now);
//     if (election.leads(now)) ...                 // check before each order
//
// Two instances that wait for terms to end never lead at the same time. A claim is
// appended only at the log end that its writer has read, so its writer knew the previous
// claim. The holder's term lasts `term` from the time before it sent its last acknowledged
// renewal, or, if it reads that renewal in the log, before the first attempt to send it.
// Other instances wait for `takeoverDelay`, which is longer, from the later time at which they
// read that renewal. The clock continues while a machine is suspended, so a holder that
// was frozen finds that its term has ended.
//
// The term number of a claim is part of each order to a worker. It increases with each
// change of holder, and no two holders share a term.

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rattan::tasks {

struct Claim {
    std::int64_t term { 0 };
    std::string holder; // Instance and process; empty if the term was given up and any instance may claim at once.
    std::int64_t renewal { 0 }; // Increases with each renewal within a term.

    bool operator==(const Claim&) const = default;
};

struct ElectionOptions {
    std::string machine; // Identifies where this process runs; no two live processes share it.
    std::string holder; // Identifies this process; begins with `machine` and a slash.
    Millis renewInterval { 300 }; // A renewal can take 400 ms with a slow store, so two attempts fit in a term.
    Millis term { 1000 }; // From sending a renewal. Orders are sent within the term only.
    Millis takeoverDelay { 1250 }; // Exceeds a term by the error of clocks and the delay of messages; work resumes within 1.5 s.
    Millis jitter { 0 }; // Added to `takeoverDelay`, so that instances don't all claim at once; larger on instances that should claim later.
};

enum class AppendOutcome {
    Appended,
    EndMoved, // The log has a different end; the new records must be read first.
    Unknown, // The claim may be appended, now or later; reading the log will show it.
    NotAppended,
};

class Election {
public:
    struct Append {
        Claim claim;
        std::int64_t offset { 0 };
    };

    Election(ElectionOptions, Millis now);

    // The claim log was read up to this offset, where it ends.
    void didReachEnd(std::int64_t end);
    void didReadClaim(const Claim&, std::int64_t offset, Millis now);

    // True if this process would claim a term now, provided it is ready to plan.
    bool wouldClaim(Millis now) const { return !this->pendingAppend && this->logEnd >= 0 && now >= this->nextRenewal && ((!this->isHolder && this->canClaim(now)) || (this->isHolder && !this->resigning && this->isTermOver(now))); }

    // Returns the next claim to append, if any. Only one append is in progress at a time.
    std::optional<Append> step(Millis now);
    void didAppend(AppendOutcome, Millis now);

    // True from an append of this holder whose outcome is unknown, or that met an unread claim,
    // until the log is read. A read at once leaves time for another attempt within the term.
    bool needsLogRead() const { return this->inDoubtSince > 0; }

    // Reports that every claim appended before `at` was read. Without the claim in doubt among
    // them, it is appended again at once: of all attempts at one offset, the log takes one.
    void didConfirmLog(Millis at, Millis now);

    // Reports that the log was unreadable until now. The first instance to regain the log
    // may well be one that should leave planning to others, so its jitter counts from now.
    void didRegainLog(Millis now) { this->logRegainedAt = now; }

    // Reports that the holder has probably failed, so that this process can claim without
    // waiting for the holder's term to end. Valid until the next claim is read. Two instances
    // may lead for a short time, but the earlier one has no effect: its term is lower, so the
    // store refuses it, and so do workers that the later one has called.
    void suspectHolder(Millis now)
    {
        if (this->suspectedAt == 0)
            this->suspectedAt = now;
    }

    // True if the last attempt to renew had no known effect, and half of the term has passed
    // since the last successful renewal.
    bool renewalFailed() const { return this->isHolder && this->failedRenewalTerm == this->newest.term; }

    // Gives up the term. The next claim to append has no holder.
    void resign() { this->resigning = this->isHolder; }

    // Gives up the term and never claims again. For a process that is shutting down.
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

    // When the term ends unless it is renewed. Valid only while this process leads.
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
    std::int64_t logEnd { -1 }; // As far as the log was read; negative if it has not been read.
    Millis newestReadAt { 0 };
    bool isHolder { false }; // The newest claim is by this process.
    bool resigning { false }; // True until the log shows that the term was given up.
    bool retired { false };
    Millis logRegainedAt { 0 };
    Millis suspectedAt { 0 }; // When the current holder was reported as failed, or 0.
    std::int64_t failedRenewalTerm { 0 }; // The term in which the last attempt to renew failed.
    Millis termEnd { 0 }; // The end of `confirmedTerm`.
    std::int64_t confirmedTerm { 0 }; // The last term in which this process led.
    std::optional<Append> pendingAppend;
    Millis proposalLastSentAt { 0 };
    std::optional<Claim> lastProposal; // Unset if no attempt to append the last one can be in the log.
    Millis proposalFirstSentAt { 0 };
    Millis inDoubtSince { 0 }; // When an append ended without a known effect, until the log is read, or 0.
    Millis nextRenewal { 0 };
};

} // namespace rattan::tasks
