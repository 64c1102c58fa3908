#pragma once

// The protocol between callers and an instance. Implemented in platform/, which knows the names
// on the wire; the gateway uses only the types of this file.

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
    Other, // An unsupported method.
};

struct CallerRequest {
    RequestKind kind { RequestKind::Other };
    std::string host;
    std::string path;
    std::string apiKey; // Empty if none was sent.
    Millis timeout { 0 }; // How long the caller waits; 0 if unknown.
    std::string body; // Empty if it was refused.
    http::BodyRefusal bodyRefusal { http::BodyRefusal::None };
    bool forwarded { false }; // Whether another instance forwarded it.
    std::int64_t configurationVersion { 0 }; // Of a forwarded request: an instance with an older version refuses it; 0 for none.
};

enum class Outcome {
    Accepted, // The job is stored.
    State,
    Cancelled, // The cancel is stored.
    Pending,
    NoSuchQueue,
    NoSuchJob,
    UnknownKey,
    Malformed,
    TooLarge,
    NoSuchMethod,
    NotNow, // Nothing was done and nothing will be done; a retry later or at another instance may succeed.
    Unknown, // The request may have been executed, or may be executed later.
};

std::string_view nameOf(Outcome);

struct CallerAnswer {
    Outcome outcome { Outcome::NotNow };
    tasks::JobState state { tasks::JobState::Queued };
    std::int64_t pending { 0 };
    Millis retryAfter { 0 };
    std::string message; // Human-readable.
    std::int64_t configurationVersion { 0 }; // The version that the answer is based on, or of a refusal the newest one known, for the instance that forwarded the request; 0 if unknown.
    std::string domain; // The failure domain of the instance that answered, for the instance that forwarded the request; empty if unknown.
    bool canPeerHelp { false }; // Whether a peer may have a better answer, so that the request may be forwarded. True for every refusal of the gateway except that of an overload, and for answers from data that may be outdated.
};

class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    virtual CallerRequest parseRequest(http::Request) const = 0;

    // Parses the job in the body. The gateway sets its id, workspace and terms.
    virtual Result<tasks::Job> parseJob(const std::string& body) const = 0;

    virtual bool isJobId(std::string_view) const = 0;

    virtual http::Answer encode(const CallerAnswer&) const = 0;

    // Encodes a request that is forwarded to another instance, and parses the other instance's
    // answer. parseAnswer() returns nothing if the reply is not from an instance.
    virtual http::Call encodeRequest(const CallerRequest&) const = 0;
    virtual std::optional<CallerAnswer> parseAnswer(RequestKind, const http::Reply&) const = 0;
};

// The format of the operators' configuration.
class ConfigurationProtocol {
public:
    virtual ~ConfigurationProtocol() = default;

    // Whether the record with this key is the configuration.
    virtual bool isConfiguration(std::string_view key) const = 0;
    virtual Result<tasks::Catalog> parseConfiguration(std::string_view value) const = 0;

    // The failure domain that the record with this key asks to evacuate, if it is such a request.
    // A record without a value withdraws the request.
    virtual std::optional<std::string> evacuatedDomain(std::string_view key) const = 0;
};

} // namespace rattan::instance
