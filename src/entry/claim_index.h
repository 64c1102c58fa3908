#pragma once

// What the stream `claims` says, folded record by record: which claim came first
// for each key, and what became of it.
//
//     index.apply(record);            // in log order, from any point on
//     if (const auto ruling = index.apply(own)) ... ruling->verdict == ClaimVerdict::First ...
//
// Every reader folds alike, by the log's order and the log's times alone, so at
// most one attempt is ever First for a key until that attempt's own claimant
// says that it was not run. A reader that has not seen every record that may
// matter to a key rules Uncovered, never First. Pure; not thread-safe.

#include "base/clock.h"
#include "entry/claim_record.h"
#include "platform/log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace rattan::entry {

enum class ClaimVerdict {
    First, // This attempt alone may dispatch.
    Later, // Another attempt was first.
    OutOfTime, // The key is too old or from the future by the log's time.
    Uncovered, // Earlier records for this key may have been missed.
};

struct ClaimRuling {
    std::string attempt;
    ClaimVerdict verdict { ClaimVerdict::Uncovered };
};

enum class KeyStage {
    Free, // No claim, or the last one was released.
    Claimed, // No outcome yet.
    Finished, // Done, or unknown for good.
};

// What is known of a key.
struct KeyView {
    KeyStage stage { KeyStage::Free };
    std::string claimant;
    std::string operation;
    std::string fingerprint;
    OutcomeKind outcome { OutcomeKind::Unknown }; // When finished.
    int status { 0 };
    std::string answer;
    bool answerKept { true };
};

struct ClaimLimits {
    Millis window { 600000 };
    std::size_t keys { 50000 };
    std::size_t answerBytes { 4 << 20 };
};

class ClaimIndex {
public:
    // How far a key's time may be ahead of the log's. The same for every
    // instance, since the fold depends on it.
    static constexpr Millis futureSlack = 10000;
    static constexpr std::size_t abandonedPerKey = 16;

    explicit ClaimIndex(ClaimLimits);

    // The ruling when the record is a claim.
    std::optional<ClaimRuling> apply(const platform::LogRecord&);

    // Records before this offset are gone; those not read yet never will be.
    // True if that tore a hole.
    bool trimmedBefore(std::uint64_t firstKept);

    // The offset to read next.
    std::uint64_t position() const { return this->next; }

    // Whether every record that may matter to a key of this time was read.
    bool covers(Millis keyTime) const;

    // Empty when the key has no time in it.
    std::optional<KeyView> look(const std::string& workspace, const std::string& key) const;

    std::size_t size() const { return this->keys.size(); }
    Millis lastRecordAt() const { return this->latest; }

private:
    struct KeyId {
        Millis time { 0 };
        std::string workspace;
        std::string key;

        bool operator<(const KeyId& other) const
        {
            return std::tie(this->time, this->workspace, this->key) < std::tie(other.time, other.workspace, other.key);
        }
    };
    struct KeyState {
        std::string holder; // Attempt id; empty while free.
        std::deque<std::string> abandoned; // Attempts given up before their claim came.
        KeyView view;
    };

    ClaimVerdict applyClaim(const KeyId&, const ClaimRecord&, Millis at);
    void applyOutcome(const KeyId&, const ClaimRecord&);
    void finish(const KeyId&, KeyState&, const ClaimRecord&);
    void tearHole();
    void prune();
    void dropAnswers();

    ClaimLimits limits;
    std::uint64_t next { 0 };
    bool holed { false }; // Until the next record tells the time after the hole.
    std::optional<Millis> coveredSince; // Empty: from the stream's beginning.
    std::optional<Millis> evictedThrough; // Key times dropped for want of room.
    Millis latest { 0 };
    std::map<KeyId, KeyState> keys; // The oldest first.
    std::deque<KeyId> answered; // Keys with an answer kept, in order.
    std::size_t answerBytes { 0 };
};

} // namespace rattan::entry
