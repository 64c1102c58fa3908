#pragma once

// The configuration in force at this instance, and the care for its record in
// the log. Pure; not thread-safe.
//
//     const LogPage page = log.read("config", keeper.next(), ...);
//     keeper.read(page, now, wall);
//     keeper.adopt({ .number = 8, .yaml = text });   // from a peer
//     if (const auto record = keeper.restateDue(rank, now, wall))
//         log.append("config", { *record });
//
// Instances keep nothing and the log keeps records for a limited time, so the
// text in force is written again before an instance that starts with nothing
// could no longer find it. Every instance watches for that; the one that goes
// first in a shared order acts at once, the others only if it does not. A
// restate names the offset up to which its writer had read, so a publish that
// races it loses nothing: readers go back there (config/ledger.h). And because
// it is followed by the writer's own reading of it, a restate that was overtaken
// is older than the newest entry point, and the next is due in its time.

#include "config/ledger.h"
#include "platform/log.h"

namespace rattan::peers {

struct ConfigKeeperOptions {
    Millis retention { 3600 * 1000 }; // Shortest time the log keeps a record.
    Millis rankStep { 5000 }; // How long each instance waits for those before it.
    Millis retry { 5000 }; // Between two restates of ours.
    std::size_t mostSteps { 24 };
};

class ConfigKeeper {
public:
    explicit ConfigKeeper(const ConfigKeeperOptions& options)
        : options(options)
    {
    }

    // A page read from next() on. True when a new version came into force.
    bool read(const platform::LogPage&, Millis now, Millis wall);

    // A version that a peer has in force. True when it was news.
    bool adopt(const config::Checkpoint&);

    std::uint64_t next() const { return this->ledger.next(); }
    bool isCurrent() const { return this->ledger.isCurrent(); }
    const config::Version& inForce() const { return this->ledger.inForce(); }

    // The record to append if the text has to be written again now and it is
    // this instance's turn; counts as tried. `rank`: see Membership::rank.
    std::optional<Json> restateDue(std::size_t rank, Millis now, Millis wall);

private:
    // Where a reader that starts with nothing can come to know its place.
    struct Entry {
        std::uint64_t upto { 0 };
        Millis atWall { 0 };
    };

    void note(const platform::LogRecord&);
    bool needsRestate(Millis wall) const;

    ConfigKeeperOptions options;
    config::Ledger ledger;
    std::uint64_t firstKept { 0 };
    std::optional<Entry> entry;
    bool caughtUp { false };
    Millis dueSince { 0 }; // 0: not due.
    Millis triedAt { 0 };
};

} // namespace rattan::peers
