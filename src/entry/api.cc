#include "entry/api.h"

#include "base/trace.h"
#include "entry/answers.h"
#include "entry/events.h"

#include <fmt/format.h>

namespace rattan::entry {

namespace {

    constexpr int ok = 200;
    constexpr int accepted = 202;
    constexpr int conflict = 409;

    Result<std::int64_t> parseCount(const std::string& body, const std::string& peer)
    {
        BOOST_LEAF_AUTO(json, parseJson(body.empty() ? "{}" : body, "entry.tickets", peer));
        JsonReader reader(json, "entry.tickets", peer);
        const std::int64_t count = reader.numberOr("count", 1, 1, TicketBook::mostAtOnce);
        return reader.finish(count);
    }

    Json toJson(const FinishedSpan& span)
    {
        Json notes = Json::object();
        for (const auto& [key, value] : span.attributes)
            notes[key] = value;
        return { { "trace", span.context.traceId }, { "span", span.context.spanId }, { "parent", span.parentId },
            { "name", span.name }, { "program", span.program }, { "start_ms", span.startWall },
            { "duration_ms", span.durationMs }, { "notes", std::move(notes) } };
    }

    // Counts the requests that a stop waits for.
    class InFlight {
    public:
        explicit InFlight(EntryState& state)
            : state(state)
        {
            ++this->state.inFlight;
        }
        ~InFlight() { --this->state.inFlight; }
        InFlight(const InFlight&) = delete;
        InFlight& operator=(const InFlight&) = delete;

    private:
        EntryState& state;
    };

} // namespace

Api::Api(ApiParts parts)
    : parts(std::move(parts))
{
}

void Api::install(http::Server& server)
{
    const auto bind = [this](Result<http::Answer> (Api::*method)(const Caller&, const http::Request&)) {
        return [this, method](const Caller& caller, const http::Request& request) { return (this->*method)(caller, request); };
    };
    this->route(server, "POST", "/v1/requests", Audience::Workspaces, bind(&Api::postRequest));
    this->route(server, "GET", "/v1/requests/:key", Audience::Workspaces, bind(&Api::getRequest));
    this->route(server, "POST", "/v1/tickets", Audience::Workspaces, bind(&Api::postTickets));
    this->route(server, "POST", "/v1/jobs", Audience::Workspaces, bind(&Api::postJob));
    this->route(server, "GET", "/v1/jobs", Audience::Workspaces, bind(&Api::getJobs));
    this->route(server, "GET", "/v1/jobs/:key", Audience::Workspaces, bind(&Api::getJob));
    this->route(server, "DELETE", "/v1/jobs/:key", Audience::Workspaces, bind(&Api::deleteJob));
    this->route(server, "POST", "/v1/config", Audience::Operators, bind(&Api::postConfig));
    this->route(server, "GET", "/v1/config", Audience::Operators, bind(&Api::getConfig));
    this->route(server, "GET", "/v1/status", Audience::Anybody, bind(&Api::getStatus));
    this->route(server, "GET", "/v1/traces/:id", Audience::Operators, bind(&Api::getTrace));
    this->route(server, "POST", "/v1/drain", Audience::Operators, bind(&Api::postDrain));
    server.route("GET", "/v1/health", [this](const http::Request&) { return this->getHealth(); });
    server.route("GET", "/metrics", [this](const http::Request&) { return this->getMetrics(); });
}

void Api::route(http::Server& server, const std::string& method, const std::string& pattern, Audience audience, Handler handler)
{
    server.route(method, pattern, [this, method, pattern, audience, handler = std::move(handler)](const http::Request& request) {
        const InFlight counted(this->parts.state);
        Span span("entry.http", parseTraceparent(request.header("traceparent")));
        span.addAttribute("call", method + " " + pattern);
        auto answer = attempt([&]() -> Result<http::Answer> {
            BOOST_LEAF_AUTO(caller, this->admit(request, audience));
            span.addAttribute("caller", caller.name);
            return handler(caller, request);
        });
        http::Answer result = answer ? std::move(*answer) : http::errorAnswer(answer.error);
        result.headers.emplace_back("traceparent", span.context().traceparent());
        // The balancer keeps connections; this one is leaving and wants them gone.
        if (this->parts.state.leaving)
            result.headers.emplace_back("Connection", "close");
        span.addAttribute("status", fmt::to_string(result.status));
        this->parts.metrics.count("rattan_entry_http_total", { { "call", method + " " + pattern }, { "status", fmt::to_string(result.status) } });
        return result;
    });
}

Result<Caller> Api::admit(const http::Request& request, Audience audience) const
{
    const auto active = this->parts.config.active();
    BOOST_LEAF_AUTO(caller, authenticate(request.header("authorization"), active ? &active->text : nullptr, this->parts.bootstrapSha256));
    if (audience == Audience::Operators && caller.kind != CallerKind::Operator)
        return fail(ErrorCode::Forbidden, "entry.authenticate", "", "this call is for operators");
    if (audience == Audience::Workspaces && caller.kind != CallerKind::Workspace)
        return fail(ErrorCode::Forbidden, "entry.authenticate", "", "this call is for workspaces");
    return caller;
}

Result<http::Answer> Api::postRequest(const Caller& caller, const http::Request& request)
{
    BOOST_LEAF_AUTO(order, parseRequestOrder(request.body, request.peer));
    BOOST_LEAF_AUTO(report, this->parts.requests.run(caller.name, order));
    return outcomeAnswer(report.outcome, report.key);
}

Result<http::Answer> Api::getRequest(const Caller& caller, const http::Request& request)
{
    const std::string key = request.parameter("key");
    BOOST_LEAF_AUTO(outcome, this->parts.requests.look(caller.name, key));
    return outcomeAnswer(outcome, key);
}

Result<http::Answer> Api::postTickets(const Caller& caller, const http::Request& request)
{
    BOOST_LEAF_AUTO(count, parseCount(request.body, request.peer));
    return http::jsonAnswer(ok, { { "tickets", this->parts.tickets.mint(caller.name, count) } });
}

Result<http::Answer> Api::postConfig(const Caller& caller, const http::Request& request)
{
    constexpr std::chrono::milliseconds limit(10000);
    BOOST_LEAF_AUTO(order, parseConfigOrder(request.body, request.peer));
    if (order.author.empty())
        order.author = caller.name;
    BOOST_LEAF_AUTO(outcome, this->parts.publisher.publish(order, limit));
    if (outcome.accepted)
        return http::jsonAnswer(ok, { { "version", outcome.version } });
    http::Answer answer = http::errorAnswer({ ErrorCode::Conflict, "entry.publish", "",
        fmt::format("version {} by {} is in force; amend that one", outcome.version, outcome.author), {} });
    Json json = Json::parse(answer.body);
    json["winner"] = { { "version", outcome.version }, { "author", outcome.author } };
    return http::jsonAnswer(conflict, json);
}

Result<http::Answer> Api::getConfig(const Caller&, const http::Request&)
{
    const auto active = this->parts.config.active();
    if (!active)
        return fail(ErrorCode::NotFound, "entry.config", "", "no text is in force yet");
    return http::jsonAnswer(ok, { { "version", active->version }, { "text", active->source }, { "author", active->author } });
}

Result<http::Answer> Api::getStatus(const Caller&, const http::Request&)
{
    BOOST_LEAF_AUTO(view, this->parts.planner.domain());
    const auto active = this->parts.config.active();
    Json executors = Json::object();
    for (const config::Service& service : active ? active->text.services : std::vector<config::Service> {})
        executors[service.name] = this->parts.gate.load(service.name).executors;
    view["entry"] = { { "instance", this->parts.instance }, { "config_version", active ? active->version : 0 },
        { "leaving", this->parts.state.leaving.load() }, { "in_flight", this->parts.state.inFlight.load() },
        { "waiting", this->parts.gate.waiting() }, { "claims_caught_up", this->parts.claims.caughtUp() },
        { "executors_listed", this->parts.gate.listed() }, { "executors", std::move(executors) } };
    return http::jsonAnswer(ok, view);
}

Result<http::Answer> Api::getTrace(const Caller&, const http::Request& request)
{
    Json spans = Json::array();
    for (const FinishedSpan& span : spansOf(request.parameter("id")))
        spans.push_back(toJson(span));
    return http::jsonAnswer(ok, { { "spans", std::move(spans) } });
}

Result<http::Answer> Api::postDrain(const Caller& caller, const http::Request&)
{
    logEvent(entryDraining, { { "by", caller.name } });
    this->parts.state.leaving = true;
    BOOST_LEAF_CHECK(this->parts.planner.drain());
    return http::jsonAnswer(accepted, { { "state", "leaving" } });
}

http::Answer Api::getHealth() const
{
    if (!this->parts.state.leaving)
        return http::jsonAnswer(ok, { { "state", "live" } });
    return http::errorAnswer({ ErrorCode::Unavailable, "entry.health", "", "this instance is leaving", std::chrono::milliseconds(1000) });
}

http::Answer Api::getMetrics() const
{
    Metrics& metrics = this->parts.metrics;
    const auto active = this->parts.config.active();
    metrics.set("rattan_entry_in_flight", {}, this->parts.state.inFlight);
    metrics.set("rattan_entry_waiting", {}, static_cast<double>(this->parts.gate.waiting()));
    metrics.set("rattan_entry_config_version", {}, active ? static_cast<double>(active->version) : 0);
    metrics.set("rattan_entry_claims_caught_up", {}, this->parts.claims.caughtUp() ? 1 : 0);
    metrics.set("rattan_entry_tickets_held", {}, static_cast<double>(this->parts.tickets.size()));
    return { ok, metrics.prometheusText(), "text/plain; version=0.0.4", {} };
}

} // namespace rattan::entry
