#pragma once

// Claims on keys through the platform's log: who may dispatch a request that
// must not run twice.
//
//     const Attempt<Claim> claim = attempt([&] { return claims.claim({ "tours", key, "booking/hold", fingerprint, deadline }); });
//     if (claim && claim->mine) {
//         ... dispatch ...
//         claims.settle(*claim, outcome);
//     }
//
// A claim counts once this instance has read its own record back and the fold of
// everything before it says that it was first. A lost reply to the append is
// therefore harmless: the record is either read or given up. A thread follows
// the stream; another appends, many records in one go. Thread-safe; claim blocks.

#include "entry/appender.h"
#include "entry/claim_index.h"
#include "entry/outcome.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace rattan::entry {

struct ClaimOrder {
    std::string workspace;
    std::string key;
    std::string operation; // "service/operation"
    std::string fingerprint;
    Millis deadline { 0 };
};

struct Claim {
    bool mine { false }; // This caller, and nobody else, may dispatch.
    std::string workspace;
    std::string key;
    std::string attempt;
    KeyView view; // Unless mine: what is known of the key.
};

class ClaimLog {
public:
    static constexpr std::size_t mostPending = 4000;

    ClaimLog(platform::Log&, std::string incarnation, ClaimLimits, const Clock&);
    ~ClaimLog();

    void start();

    // Ends the reading first and then appends what still waits.
    void stop();

    // BadInput if the key has no time in it or one outside the window; Unavailable
    // while the log cannot be asked; Timeout when no ruling came by the deadline.
    // In every one of these cases this instance has not dispatched and will not.
    Result<Claim> claim(const ClaimOrder&);

    // Tells everybody what became of a claim that was mine.
    void settle(const Claim&, const Outcome&);

    // What is known of a key; Unavailable until the stream was read to its end.
    Result<KeyView> look(const std::string& workspace, const std::string& key) const;

    bool caughtUp() const;

    // One read of the stream; start() repeats it. False if the log failed.
    bool follow(std::chrono::milliseconds wait);

private:
    struct Pending {
        std::optional<ClaimVerdict> verdict;
    };

    void run();
    Result<void> checkKey(const std::string& key) const;
    Result<Claim> awaitRuling(Claim, const ClaimOrder&);
    void take(const platform::LogPage&);
    void giveUp(const Claim&);
    void keepStreamAlive();

    Appender appender;
    platform::Log& log;
    const std::string incarnation;
    const ClaimLimits limits;
    const Clock& clock;
    mutable std::mutex mutex;
    std::condition_variable ruled;
    ClaimIndex index;
    std::map<std::string, Pending> pending; // By attempt id.
    bool atEnd { false };
    bool reachable { true };
    Millis markAfter { 0 };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

} // namespace rattan::entry
