#include "entry/claim_record.h"

#include <array>

namespace rattan::entry {

namespace {

    constexpr std::array<std::string_view, 3> kindNames { "claim", "outcome", "mark" };
    constexpr std::size_t longestText = 400;
    constexpr std::int64_t highestStatus = 999;

    std::optional<OutcomeKind> outcomeOf(const std::string& name)
    {
        for (const OutcomeKind kind : { OutcomeKind::Done, OutcomeKind::NotRun, OutcomeKind::Unknown }) {
            if (nameOf(kind) == name)
                return kind;
        }
        return std::nullopt;
    }

    std::optional<ClaimRecord> parseOutcome(JsonReader& reader, ClaimRecord record)
    {
        record.kind = ClaimRecordKind::Outcome;
        const auto outcome = outcomeOf(reader.text("outcome", 1, longestText));
        record.status = static_cast<int>(reader.numberOr("status", 0, 0, highestStatus));
        record.answer = reader.textOr("answer", "", largestKeptAnswer * 2);
        record.answerKept = reader.flagOr("answer_kept", true);
        if (!outcome || reader.error())
            return std::nullopt;
        record.outcome = *outcome;
        return record;
    }

} // namespace

Json toJson(const ClaimRecord& record)
{
    Json json { { "kind", kindNames.at(static_cast<std::size_t>(record.kind)) } };
    if (record.kind == ClaimRecordKind::Mark)
        return json;
    json["workspace"] = record.workspace;
    json["key"] = record.key;
    json["attempt"] = record.attempt;
    if (record.kind == ClaimRecordKind::Claim) {
        json["claimant"] = record.claimant;
        json["operation"] = record.operation;
        json["fingerprint"] = record.fingerprint;
        return json;
    }
    json["outcome"] = nameOf(record.outcome);
    if (record.outcome == OutcomeKind::Done) {
        json["status"] = record.status;
        json["answer"] = record.answer;
        json["answer_kept"] = record.answerKept;
    }
    return json;
}

std::optional<ClaimRecord> parseClaimRecord(const Json& json)
{
    JsonReader reader(json, "claims.record");
    reader.allowUnknownFields();
    ClaimRecord record;
    const std::string kind = reader.text("kind", 1, longestText);
    if (kind == "mark")
        return record;
    record.workspace = reader.text("workspace", 1, longestText);
    record.key = reader.text("key", 1, longestText);
    record.attempt = reader.text("attempt", 1, longestText);
    if (kind == "outcome")
        return parseOutcome(reader, std::move(record));
    record.kind = ClaimRecordKind::Claim;
    record.claimant = reader.textOr("claimant", "", longestText);
    record.operation = reader.textOr("operation", "", longestText);
    record.fingerprint = reader.textOr("fingerprint", "", longestText);
    if (kind != "claim" || reader.error())
        return std::nullopt;
    return record;
}

} // namespace rattan::entry
