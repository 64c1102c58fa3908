#pragma once

// Computes the configuration version in force from the log's `config` stream.
// All failure domains apply the same rule to the records in the same order, and
// so agree on the version.
//
//     Ledger ledger;
//     for (;;) {
//         const LogPage page = log.read("config", ledger.next(), limit, wait);
//         ledger.handleTrim(page.firstKept);
//         for (const LogRecord& record : page.records)
//             ledger.apply(record.offset, record.value);
//     }
//     use(ledger.inForce());
//
// A publish record is accepted if it amends the version that is current at its
// offset and its configuration is valid; it creates the next version number. Every
// other publish is lost or ignored, and its outcome contains the winning version or
// the reason. Version numbers only increase, so an append that is repeated after a
// lost reply is applied at most once.
//
// The log is trimmed and instances have no storage of their own, so the configuration
// in force is written again in restate records. A restate contains the offset up
// to which its writer had read (`upto`): publishes between that offset and the
// restate itself may have created newer versions. A reader that starts after the
// trim takes the restate as the state at `upto` and continues reading there, which
// decreases next(). Until it finds a restate whose `upto` has not been trimmed, it
// does not know the version at its offset: the version in force may be outdated,
// isCurrent() is false, and the outcome of a publish is undecided.
//
// The version of inForce() never decreases, whatever is read, trimmed or adopted.
// Not thread-safe. Parses a configuration for each publish that amends the current
// version, and, if it is newer than the version in force, for each checkpoint of a
// peer and for each restate that is read while the ledger is not current.

#include "base/json.h"
#include "config/configuration.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rattan::config {

struct Version {
    std::int64_t number { 0 }; // 0 if nothing has been published.
    std::string yaml;
    std::string author;
    std::shared_ptr<const Configuration> configuration; // Null for version 0.
};

// A version and the offset in the stream at which it was current.
struct Checkpoint {
    std::int64_t number { 0 };
    std::string yaml;
    std::string author;
    std::optional<std::uint64_t> upto; // The writer had read all records before this offset.
};

// The content of a publish record.
struct Publication {
    std::int64_t amends { 0 };
    std::string yaml;
    std::string author;
    std::string id; // Unique per publication; repeated appends of it have the same id.
};

enum class OutcomeKind {
    Accepted,
    Lost, // The publish amends a version that is not current, normally because another publish came first.
    Ignored, // Invalid, out of order, without effect, or a repeat of an accepted publication.
    Undecided, // The version at the reader's offset is not known.
};

std::string_view nameOf(OutcomeKind);

struct PublishOutcome {
    OutcomeKind kind { OutcomeKind::Undecided };
    std::int64_t version { 0 }; // The created version, or the version that won instead.
    std::string author; // The author of that version.
    std::string reason; // Human-readable; empty when accepted.
};

Json publishRecord(const Publication&);
Json restateRecord(const Checkpoint&);

class Ledger {
public:
    static constexpr std::size_t maxStoredOutcomes = 512;

    // Reports that records before this offset were trimmed. A ledger that has not read
    // up to it is not current afterwards, and next() returns that offset.
    void handleTrim(std::uint64_t newFirstKept);

    // Applies the record at next(); a record with any other offset is ignored.
    PublishOutcome apply(std::uint64_t offset, const Json& record);

    // Applies the checkpoint of a peer. Returns whether the version in force advanced.
    bool adopt(const Checkpoint&);

    // The offset to read next; decreases when a restate or the checkpoint of a peer
    // refers to an earlier offset.
    std::uint64_t next() const { return this->nextOffset; }

    // Whether the version at next() is known.
    bool isCurrent() const { return this->streamVersion.has_value(); }
    const Version& inForce() const { return this->activeVersion; }

    // The outcome of a publication, or empty if it is not among the last maxStoredOutcomes.
    std::optional<PublishOutcome> outcomeOf(const std::string& publication) const;

    // The version in force, with next() as its offset, for a restate or a peer. Empty
    // if the ledger is not current, if the version in force is newer than the one at
    // next(), or if nothing has been published.
    std::optional<Checkpoint> checkpoint() const;

private:
    // The version that is current at nextOffset; activeVersion may be newer.
    struct StreamVersion {
        std::int64_t number { 0 };
        std::string author;
    };

    PublishOutcome evaluate(std::uint64_t offset, const Json& record);
    PublishOutcome evaluatePublish(const Json& record);
    PublishOutcome evaluateRestate(std::uint64_t offset, const Json& record);
    PublishOutcome applyPublication(const Publication&);
    // Puts a version in force if it is newer and valid. Returns whether it did.
    bool advanceTo(const Checkpoint&);
    bool advanceTo(Version);
    void storeOutcome(const std::string& publication, const PublishOutcome&);

    std::uint64_t firstKept { 0 };
    std::uint64_t nextOffset { 0 };
    std::optional<StreamVersion> streamVersion { StreamVersion {} };
    Version activeVersion;
    std::map<std::string, PublishOutcome> outcomes;
    std::deque<std::string> outcomeOrder; // Oldest first.
};

} // namespace rattan::config
