#pragma once

// Which text is in force: the rule that every failure domain computes alike
// from the order of the log's `config` stream.
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
// A publish is accepted if it amends the version that stands at its place in
// the stream and its text passes the checks; the version it makes is one above.
// All else is lost or ignored, and says to whom or why. Since the version only
// rises, an append that is repeated after a lost reply cannot count twice.
//
// The log is trimmed and instances keep nothing, so the text in force is
// written again in a restate. A restate says up to which offset its writer had
// read (`upto`): publishes between there and the restate itself may have moved
// the version on. A reader that starts behind the trim takes the restate as the
// state at `upto`, and goes back to read on from there; next() then falls. Until
// it finds one whose `upto` is still kept, it does not know its place: the text
// in force may be old, isCurrent() is false, and no publish is judged.
//
// inForce() never goes back, whatever is read, trimmed or adopted.
// Not thread-safe; parses a text per accepted publish.

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
    std::int64_t number { 0 }; // 0: nothing has been published.
    std::string yaml;
    std::string author;
    std::shared_ptr<const Configuration> configuration; // Null for version 0.
};

// A version together with the place in the stream at which it stood.
struct Checkpoint {
    std::int64_t number { 0 };
    std::string yaml;
    std::string author;
    std::optional<std::uint64_t> upto; // All records before this offset were read.
};

struct Publication {
    std::int64_t amends { 0 };
    std::string yaml;
    std::string author;
    std::string id; // Unique; the same again when an append is repeated.
};

enum class OutcomeKind {
    Accepted,
    Lost, // Another publish came first.
    Ignored, // Not a record that can count, or a repeat.
    Undecided, // This reader does not know its place yet.
};

std::string_view nameOf(OutcomeKind);

struct PublishOutcome {
    OutcomeKind kind { OutcomeKind::Undecided };
    std::int64_t version { 0 }; // The version made, or the one that won.
    std::string author; // Whose version that is.
    std::string reason; // For people; empty when accepted.
};

Json publishRecord(const Publication&);
Json restateRecord(const Checkpoint&);

class Ledger {
public:
    static constexpr std::size_t maxStoredOutcomes = 512;

    // Records before this offset are gone. A ledger that has not read up to it
    // loses its place.
    void handleTrim(std::uint64_t newFirstKept);

    // Only the record at next() counts; any other is ignored.
    PublishOutcome apply(std::uint64_t offset, const Json& record);

    // Takes a version that a peer has in force. True when it was news.
    bool adopt(const Checkpoint&);

    // The offset to read next; falls when a restate sends the reader back.
    std::uint64_t next() const { return this->nextOffset; }

    bool isCurrent() const { return this->streamVersion.has_value(); }
    const Version& inForce() const { return this->activeVersion; }

    // How a publication ended, for the last maxStoredOutcomes of them.
    std::optional<PublishOutcome> outcomeOf(const std::string& publication) const;

    // What a restate or a peer may be given; empty while this reader does not
    // know its place or nothing is published.
    std::optional<Checkpoint> checkpoint() const;

private:
    // What the log's order says at nextOffset; `activeVersion` may be ahead of it.
    struct StreamVersion {
        std::int64_t number { 0 };
        std::string author;
    };

    PublishOutcome evaluate(std::uint64_t offset, const Json& record);
    PublishOutcome evaluatePublish(const Json& record);
    PublishOutcome evaluateRestate(std::uint64_t offset, const Json& record);
    PublishOutcome applyPublication(const Publication&);
    // Put a version in force if it is above the present one, and its text sound.
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
