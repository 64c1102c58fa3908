#pragma once

// The HTTP API of docs/API.md: routes, authentication and the form of answers.
//
//     Api api(parts);
//     api.install(server);
//
// What each call does is in the parts; this only reads requests and writes
// answers. Thread-safe, as its parts are.

#include "entry/appender.h"
#include "entry/auth.h"
#include "entry/config_publisher.h"
#include "entry/config_watch.h"
#include "entry/planner_client.h"
#include "entry/request_service.h"
#include "entry/rpc_service.h"
#include "http/server.h"
#include "records/job_record.h"

#include <functional>
#include <string>

namespace rattan::entry {

struct ApiParts {
    std::string instance;
    std::string domain;
    std::string bootstrapSha256;
    ConfigWatch& config;
    PlannerClient& planner;
    ConfigPublisher& publisher;
    Appender& jobs;
    RequestService& requests;
    TicketBook& tickets;
    Gate& gate;
    ClaimLog& claims;
    EntryState& state;
    Metrics& metrics;
    const Clock& clock;
};

class Api {
public:
    explicit Api(ApiParts);

    void install(http::Server&);

private:
    enum class Audience {
        Anybody, // With a token.
        Workspaces,
        Operators,
    };
    using Handler = std::function<Result<http::Answer>(const Caller&, const http::Request&)>;

    // A route that authenticates, traces, counts and turns errors into answers.
    void route(http::Server&, const std::string& method, const std::string& pattern, Audience, Handler);
    Result<Caller> admit(const http::Request&, Audience) const;

    Result<http::Answer> postRequest(const Caller&, const http::Request&);
    Result<http::Answer> getRequest(const Caller&, const http::Request&);
    Result<http::Answer> postTickets(const Caller&, const http::Request&);
    Result<http::Answer> postJob(const Caller&, const http::Request&);
    Result<http::Answer> getJobs(const Caller&, const http::Request&);
    Result<http::Answer> getJob(const Caller&, const http::Request&);
    Result<http::Answer> deleteJob(const Caller&, const http::Request&);
    Result<http::Answer> postConfig(const Caller&, const http::Request&);
    Result<http::Answer> getConfig(const Caller&, const http::Request&);
    Result<http::Answer> getStatus(const Caller&, const http::Request&);
    Result<http::Answer> getTrace(const Caller&, const http::Request&);
    Result<http::Answer> postDrain(const Caller&, const http::Request&);
    http::Answer getHealth() const;
    http::Answer getMetrics() const;

    Result<void> appendJobRecord(const records::JobRecord&);

    ApiParts parts;
};

} // namespace rattan::entry
