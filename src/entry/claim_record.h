#pragma once

// The records of the stream `claims` (docs/DESIGN.md, "Streams in the log").

#include "base/json.h"
#include "entry/outcome.h"

#include <optional>
#include <string>

namespace rattan::entry {

enum class ClaimRecordKind {
    Claim, // An instance wants to dispatch the request with this key.
    Outcome, // What became of the claim with this attempt id.
    Mark, // Nothing; keeps the stream from being trimmed to its end.
};

struct ClaimRecord {
    ClaimRecordKind kind { ClaimRecordKind::Mark };
    std::string workspace;
    std::string key;
    std::string attempt; // Unique for each claim.
    std::string claimant; // Claim: the incarnation of the entry.
    std::string operation; // Claim: "service/operation".
    std::string fingerprint; // Claim: of the request.
    OutcomeKind outcome { OutcomeKind::Unknown };
    int status { 0 }; // Outcome done.
    std::string answer; // Outcome done.
    bool answerKept { true }; // False: the body was too large for the log.
};

// Largest answer that is kept in the log for a caller who asks again.
inline constexpr std::size_t largestKeptAnswer = 8192;

Json toJson(const ClaimRecord&);

// Empty for what is no such record; it is skipped by every reader alike.
std::optional<ClaimRecord> parseClaimRecord(const Json&);

} // namespace rattan::entry
