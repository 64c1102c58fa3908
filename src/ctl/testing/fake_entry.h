#pragma once

// An entry instance whose answers a test sets, and a console that records.

#include "ctl/program.h"
#include "http/server.h"

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rattan::ctl {

class RecordingConsole final : public Console {
public:
    void line(std::string_view text) override { this->lines += std::string(text) + "\n"; }
    void remark(std::string_view text) override { this->remarks += std::string(text) + "\n"; }

    std::string lines;
    std::string remarks;
};

// Moves the clock in place of sleeping.
class JumpingPause final : public Pause {
public:
    explicit JumpingPause(ManualClock& clock)
        : clock(clock)
    {
    }
    void wait(Millis time) override { this->clock.advance(time); }

private:
    ManualClock& clock;
};

class FakeEntry {
public:
    FakeEntry()
    {
        for (const std::string path : { "/v1/requests", "/v1/requests/:key", "/v1/jobs", "/v1/jobs/:key", "/v1/config", "/v1/status", "/v1/tickets", "/v1/traces/:id", "/v1/drain" }) {
            for (const std::string method : { "GET", "POST", "DELETE" })
                this->server.route(method, path, [this, method](const http::Request& request) { return this->answer(method, request); });
        }
        static_cast<void>(attemptVoid([&] { return this->server.start(); }));
    }
    ~FakeEntry() { this->server.stop(); }
    FakeEntry(const FakeEntry&) = delete;
    FakeEntry& operator=(const FakeEntry&) = delete;

    // Answers of one call, in turn; the last one stays.
    void expect(const std::string& call, int status, const Json& json)
    {
        const std::lock_guard lock(this->mutex);
        this->answers[call].push_back(http::jsonAnswer(status, json));
    }

    void expectError(const std::string& call, const Error& error)
    {
        const std::lock_guard lock(this->mutex);
        this->answers[call].push_back(http::errorAnswer(error));
    }

    const std::string& address() const { return this->server.address(); }
    void stop() { this->server.stop(); }

    std::vector<http::Request> requests() const
    {
        const std::lock_guard lock(this->mutex);
        return this->seen;
    }

    Json lastBody() const { return Json::parse(this->requests().back().body); }

private:
    http::Answer answer(const std::string& method, const http::Request& request)
    {
        const std::lock_guard lock(this->mutex);
        this->seen.push_back(request);
        auto& queue = this->answers[method + " " + request.path];
        if (queue.empty())
            return http::errorAnswer({ ErrorCode::NotFound, "fake", "", "no answer is set for " + method + " " + request.path, {} });
        http::Answer answer = queue.front();
        if (queue.size() > 1)
            queue.pop_front();
        return answer;
    }

    mutable std::mutex mutex;
    std::map<std::string, std::deque<http::Answer>> answers;
    std::vector<http::Request> seen;
    http::Server server { { .address = "127.0.0.1:0" } };
};

struct RunResult {
    ExitCode code { ExitCode::Ok };
    std::string lines;
    std::string remarks;
};

inline RunResult runWith(const std::vector<std::string>& entries, std::vector<std::string> arguments, bool isTerminal = false)
{
    std::string list;
    for (const std::string& entry : entries)
        list += (list.empty() ? "" : ",") + entry;
    if (!list.empty())
        arguments.push_back("--entry=" + list);
    RecordingConsole console;
    ManualClock clock;
    JumpingPause pause(clock);
    const ExitCode code = runProgram(arguments, { console, clock, pause, isTerminal });
    return { code, console.lines, console.remarks };
}

} // namespace rattan::ctl
