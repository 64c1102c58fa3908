#pragma once

// Puts an operator's text on the platform's log and finds out whether it won.
//
// A publish names the version that it amends. It is accepted if that version is
// in force at its place in the log's order; so of two operators who amend the
// same version one wins, everywhere the same, and the other one is told so.

#include "config/ledger.h"
#include "entry/config_watch.h"
#include "platform/log.h"

#include <mutex>
#include <optional>
#include <string>

namespace rattan::entry {

struct ConfigOrder {
    std::int64_t amends { 0 };
    std::string text;
    std::string author;
};

struct PublishOutcome {
    bool accepted { false };
    std::uint64_t version { 0 }; // The version in force now; mine if accepted.
    std::string author; // Of that version.
};

Result<ConfigOrder> parseConfigOrder(const std::string& body, const std::string& peer);

class ConfigPublisher {
public:
    ConfigPublisher(platform::Log&, const ConfigWatch&, TextParser);

    // BadInput with every fault of the text; Timeout if the text may still come
    // into force.
    Result<PublishOutcome> publish(const ConfigOrder&, std::chrono::milliseconds limit);

private:
    std::optional<PublishOutcome> outcomeInForce(const config::Publication&) const;
    Result<PublishOutcome> awaitVerdict(const config::Publication&, std::chrono::milliseconds limit);

    platform::Log& log;
    const ConfigWatch& watch;
    TextParser parser;
    std::mutex mutex; // Publishes wait for their verdicts one after another.
    config::Ledger ledger;
};

} // namespace rattan::entry
