#pragma once

// How callers speak to an instance. Implemented where the platform's names are
// known; the gateway decides on what is asked in the types of this file.

#include "http/answer.h"
#include "http/client.h"
#include "tasks/catalog.h"
#include "tasks/job.h"
#include "tasks/progress.h"

#include <optional>
#include <string>

namespace rattan::instance {

enum class RequestKind {
    Submit,
    State,
    Cancel,
    Other, // A method that means nothing here.
};

struct CallerRequest {
    RequestKind kind { RequestKind::Other };
    std::string host;
    std::string path;
    std::string apiKey; // Empty: none was sent.
    Millis timeout { 0 }; // How long the caller waits; 0: not told.
    std::string body;
    bool forwarded { false }; // Another instance passed it on.
};

enum class Outcome {
    Accepted, // And stored.
    State,
    Cancelled, // And stored.
    Pending,
    NoSuchQueue,
    NoSuchJob,
    UnknownKey,
    Malformed,
    TooLarge,
    NoSuchMethod,
    NotNow, // Nothing was done and nothing will be; another time or instance may do.
    Unknown, // It may have been done, or may be later.
};

std::string_view nameOf(Outcome);

struct CallerAnswer {
    Outcome outcome { Outcome::NotNow };
    tasks::JobState state { tasks::JobState::Queued };
    std::int64_t pending { 0 };
    Millis retryAfter { 0 };
    std::string message; // For people.
    std::int64_t configurationVersion { 0 }; // Of the text it rests on, for the instance that passed the request on; 0: not told.
    bool givenWithoutStore { false }; // Given for want of the store: an instance that reaches it may know better.
};

class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    virtual CallerRequest parseRequest(const http::Request&) const = 0;

    // The job in the body; id, workspace and terms are filled in by the gateway.
    virtual Result<tasks::Job> parseJob(const std::string& body) const = 0;

    virtual bool isJobId(std::string_view) const = 0;

    virtual http::Answer encode(const CallerAnswer&) const = 0;

    // The request as another instance understands it, and its answer; nothing if that
    // is no answer of an instance.
    virtual http::Call encodeRequest(const CallerRequest&) const = 0;
    virtual std::optional<CallerAnswer> parseAnswer(RequestKind, const http::Reply&) const = 0;
};

// The operators' configuration.
class ConfigurationProtocol {
public:
    virtual ~ConfigurationProtocol() = default;

    // Whether the record under this key is the text itself.
    virtual bool isConfiguration(std::string_view key) const = 0;
    virtual Result<tasks::Catalog> parseConfiguration(std::string_view value) const = 0;
};

} // namespace rattan::instance
