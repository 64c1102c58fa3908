#pragma once

// One gang at its workers: reserve on all, start all, renew in rounds, stop all.
//
// Pure: time is an argument. GangKeeper asks a gang for the operations of a
// member, tells it what came of them and what the member's worker reports, and
// reads its phase and events. docs/GANGS.md says why the rules hold.
//
//     Gang gang = Gang::start(order, options, now);
//     for (const GangOp& op : gang.opsFor(0, now)) ...
//     gang.opAnswered(0, op, result, now);
//     gang.reported(0, lease, now);
//     if (gang.phase() == GangPhase::Gone) ...

#include "driver/gang_types.h"
#include "platform/worker.h"

namespace rattan::driver {

enum class GangPhase {
    Reserving,
    Starting,
    Adopting, // Waits for every member to be seen alive before renewing any.
    Running,
    Saving, // A checkpoint was ordered; stops once all have saved.
    Finished, // All done; the leases stay until the planner knows.
    Stopping,
    Gone,
};

std::string_view nameOf(GangPhase);

enum class MemberPhase {
    Wanted,
    Reserved,
    Running,
    Done,
    Gone, // Stopped, lapsed or never there: certainly not running.
};

// An operation and what its answer will confirm.
struct GangOp {
    platform::WorkerOp op;
    std::uint64_t round { 0 };
};

struct MemberState {
    GangMember member;
    MemberPhase phase { MemberPhase::Wanted };
    bool touched { false }; // An operation was sent: a lease may exist.
    bool startSent { false };
    std::uint64_t confirmedRound { 0 };
    Millis knownLapse { 0 }; // When the lease ends by the last answered operation.
    Millis lapsesBy { 0 }; // The lease is over by then, whatever became of unanswered ones.
    bool saveTaken { false };
    bool throttleTaken { true };
    platform::LeaseState reportedState { platform::LeaseState::Reserved };
    double progress { 0 };
    double savedProgress { 0 };
    std::int64_t usedAccelerators { 0 };
    std::int64_t usedMemoryMb { 0 };
    std::string result;
};

class Gang {
public:
    // Members at the same worker become one, for a lease is named once a worker.
    static Gang start(const GangOrder&, const KeeperOptions&, Millis now);

    // For a gang found at the workers; members are those that report its lease.
    static Gang adopt(const GangOrder&, const KeeperOptions&, Millis now);

    // What to send a member now; each call counts as sent.
    std::vector<GangOp> opsFor(std::size_t member, Millis now);

    void opAnswered(std::size_t member, const GangOp&, const platform::WorkerOpResult&, Millis now);

    // `mayHaveActed` is false only if the operation certainly never arrived.
    void opUnanswered(std::size_t member, const GangOp&, bool mayHaveActed, Millis now);

    // What the member's worker said of the lease after the answered
    // operations; null if it does not know the lease.
    void reported(std::size_t member, const platform::WorkerLease*, Millis now);

    // Once a period: a new round of renewals, if all confirmed the last.
    void openRound(Millis now);

    // Ends what has waited too long. `provenAt` is when a worker last accepted
    // the epoch: only until then is it certain that nobody else has taken the
    // leases over and renews them.
    void checkLimits(Millis now, Millis provenAt);

    void stop(const std::string& reason, Millis now);

    // Some members were not found: their workers may still be silent, so the
    // end is told only once the survey is complete.
    void failIncomplete(const std::string& reason, Millis now);
    void save(const std::string& reason, Millis now);
    void throttle(std::int64_t sharePercent);

    // The driver was suspended: what has not been running yet is given up.
    void resumed(Millis now);

    // The planner knows the end, or will not: the leases may be forgotten.
    void forget(Millis now);

    GangId id() const { return this->gangId; }
    GangPhase phase() const { return this->gangPhase; }
    const std::vector<MemberState>& members() const { return this->states; }
    Millis phaseSince() const { return this->since; }

    // Events since the last call, and whether operations wait to be sent.
    std::vector<GangEvent> takeEvents();
    bool takeHurry();

private:
    void enter(GangPhase, Millis now);
    void settle(Millis now);
    void settleStopping(Millis now);
    void catchUp(Millis now);
    void endWith(GangEventKind, const std::string& worker, const std::string& reason, Millis now);
    void loseMember(std::size_t member, const std::string& reason, Millis now);
    void finish(Millis now);
    void tell(GangEventKind, const std::string& worker = "", const std::string& reason = "");
    void tellUsage(Millis now);
    void tellProgress(Millis now);
    bool roundConfirmed() const;
    std::size_t readyMembers() const;
    double keptProgress() const;
    Json note(std::size_t member) const;
    platform::WorkerOp makeOp(platform::WorkerOpKind, std::size_t member, Millis ttl) const;

    GangId gangId;
    KeeperOptions options;
    std::string key;
    std::string workspace;
    Json payload;
    std::vector<MemberState> states;
    GangPhase gangPhase { GangPhase::Reserving };
    Millis since { 0 };
    std::uint64_t round { 0 };
    Millis roundStart { 0 };
    Millis earlierRoundStart { 0 };
    std::int64_t share { 100 };
    GangEvent ending;
    bool endingTold { false };
    bool hurry { true };
    Millis provenAt { 0 };
    bool incomplete { false };
    bool late { false }; // A period went by while the round was unconfirmed.
    Millis lastUsage { 0 };
    Millis lastProgress { 0 };
    std::uint32_t readyTold { 0 };
    std::vector<GangEvent> newEvents;
};

} // namespace rattan::driver
