#include "standins/standin.h"

#include "http/client.h"
#include "relay/answer_framer.h"

#include <fmt/format.h>
#include <thread>

namespace rattan::testing {

namespace {

    constexpr int registrationTries = 100;
    constexpr std::chrono::milliseconds registrationPause { 100 };

    std::string modeName(Gate::Mode mode)
    {
        switch (mode) {
        case Gate::Mode::Refuse:
            return "refuse";
        case Gate::Mode::Hang:
            return "hang";
        case Gate::Mode::Open:
            break;
        }
        return "open";
    }

} // namespace

std::optional<http::Answer> Gate::pass(const std::string& step)
{
    std::unique_lock lock(this->mutex);
    if (this->delay > 0)
        this->changed.wait_for(lock, std::chrono::milliseconds(this->delay), [this] { return this->released; });
    if (this->mode == Mode::Hang)
        this->changed.wait_for(lock, hangLimit, [this] { return this->released || this->mode != Mode::Hang; });
    if (this->mode == Mode::Open)
        return std::nullopt;
    return http::errorAnswer({ ErrorCode::Unavailable, step, "", "an outage is on", std::chrono::seconds(1) });
}

void Gate::set(const Json& knobs)
{
    const std::lock_guard lock(this->mutex);
    if (knobs.contains("mode")) {
        const std::string name = knobs["mode"].get<std::string>();
        this->mode = name == "refuse" ? Mode::Refuse : name == "hang" ? Mode::Hang
                                                                      : Mode::Open;
    }
    this->delay = knobs.value("delay_ms", this->delay);
    this->changed.notify_all();
}

Json Gate::state() const
{
    const std::lock_guard lock(this->mutex);
    return { { "mode", modeName(this->mode) }, { "delay_ms", this->delay } };
}

void Gate::release()
{
    const std::lock_guard lock(this->mutex);
    this->released = true;
    this->changed.notify_all();
}

std::uint64_t History::add(Json entry)
{
    const std::lock_guard lock(this->mutex);
    this->entries.push_back(std::move(entry));
    if (this->entries.size() > capacity) {
        this->entries.pop_front();
        ++this->dropped;
    }
    return this->dropped + this->entries.size() - 1;
}

void History::complete(std::uint64_t number, const Json& fields)
{
    const std::lock_guard lock(this->mutex);
    if (number >= this->dropped && number - this->dropped < this->entries.size())
        this->entries[number - this->dropped].update(fields);
}

Json History::toJson(Millis now) const
{
    const std::lock_guard lock(this->mutex);
    return { { "now", now }, { "dropped", this->dropped }, { "entries", Json(std::vector<Json>(this->entries.begin(), this->entries.end())) } };
}

bool Countdown::take()
{
    std::int64_t current = this->left;
    while (current > 0) {
        if (this->left.compare_exchange_weak(current, current - 1))
            return true;
    }
    return false;
}

Standin::Standin(RelayHub& hub, std::string listen, std::int64_t connectionLimit)
    : server({ .address = "127.0.0.1:0", .maxBodyBytes = 16 << 20, .maxConnections = connectionLimit })
    , hub(hub)
    , listen(std::move(listen))
{
}

bool Standin::start()
{
    if (const auto error = attemptVoid([&] { return this->server.start(); })) {
        fmt::print(stderr, "{}: {}\n", error->step, error->message);
        return false;
    }
    try {
        this->publicAddress = this->hub.address(this->hub.open({ this->listen, this->server.address(), true }));
    } catch (const std::exception& problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return false;
    }
    fmt::print("listening {}\n", this->publicAddress);
    std::fflush(stdout);
    return true;
}

void markFault(http::Answer& answer, const std::string& fault) { answer.headers.emplace_back(answerFaultHeader, fault); }

std::optional<Json> bodyOf(const http::Request& request, http::Answer& refusal)
{
    auto parsed = attempt([&] { return parseJson(request.body, "standin.body", request.peer); });
    if (parsed && parsed->is_object())
        return std::move(*parsed);
    refusal = http::errorAnswer({ ErrorCode::BadInput, "standin.body", request.peer, "a JSON object is expected", {} });
    return std::nullopt;
}

bool registerInstance(const std::string& list, const platform::Instance& instance)
{
    if (list.empty())
        return true;
    http::Client client;
    const http::Call call { .method = "PUT", .address = list, .path = "/v1/instances/" + instance.id, .body = platform::toJson(instance).dump(), .canResend = true };
    for (int i = 0; i < registrationTries; ++i) {
        if (client.send(call).ok())
            return true;
        std::this_thread::sleep_for(registrationPause);
    }
    fmt::print(stderr, "the instance list at {} takes no registration of {}\n", list, instance.id);
    return false;
}

void removeInstance(const std::string& list, const std::string& id)
{
    if (list.empty())
        return;
    http::Client client;
    client.send({ .method = "DELETE", .address = list, .path = "/v1/instances/" + id });
}

} // namespace rattan::testing
