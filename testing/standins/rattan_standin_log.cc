// The platform's append-only log, as docs/STANDINS.md describes it.
//
// PUT /control takes {"mode":"open|refuse|hang","delay_ms":N,"lose_replies":N,
// "retention_ms":N,"trim":{"stream":S,"before":O}}. GET /control/history lists
// every append that took effect.

#include "base/settings.h"
#include "base/stop_signal.h"
#include "standins/log_store.h"
#include "standins/standin.h"

namespace rattan::testing {

namespace {

    constexpr std::size_t mostRecordsPerCall = 10000;
    constexpr std::int64_t longestWait = 30000;

    struct LogOptions {
        std::string listen { "127.0.0.1:0" };
        std::int64_t retention { 0 };
        std::int64_t appendsPerSecond { 600 };
    };

    class LogStandin {
    public:
        LogStandin(RelayHub& hub, const LogOptions& options)
            : standin(hub, options.listen, 512)
            , store({ .retention = options.retention, .appendsPerSecond = options.appendsPerSecond })
        {
            const std::string records = "/v1/streams/:stream/records";
            this->standin.server.route("POST", records, [this](const http::Request& request) { return this->append(request); });
            this->standin.server.route("GET", records, [this](const http::Request& request) { return this->read(request); });
            this->standin.server.route("PUT", "/control", [this](const http::Request& request) { return this->control(request); });
            this->standin.server.route("GET", "/control", [this](const http::Request&) { return this->describe(); });
            this->standin.server.route("GET", "/control/history", [this](const http::Request&) {
                return http::jsonAnswer(200, this->history.toJson(this->clock.now()));
            });
        }

        bool start() { return this->standin.start(); }

        void stop()
        {
            this->gate.release();
            {
                const std::lock_guard lock(this->mutex);
                this->stopping = true;
            }
            this->appended.notify_all();
            this->standin.server.stop();
        }

    private:
        http::Answer append(const http::Request& request)
        {
            if (auto refusal = this->gate.pass("log.append"))
                return *refusal;
            http::Answer answer;
            const auto body = bodyOf(request, answer);
            if (!body)
                return answer;
            if (!body->contains("records") || !(*body)["records"].is_array() || (*body)["records"].size() > mostRecordsPerCall)
                return http::errorAnswer({ ErrorCode::BadInput, "log.append", request.peer, "records must be an array", {} });
            const std::vector<Json> values = (*body)["records"];
            const std::string stream = request.parameter("stream");
            std::optional<std::uint64_t> first;
            {
                const std::lock_guard lock(this->mutex);
                if (!this->store.admit(this->clock.now()))
                    return http::errorAnswer({ ErrorCode::Overloaded, "log.append", "", "too many appends a second", std::chrono::seconds(1) });
                first = this->store.append(stream, values, this->clock.now(), this->clock.wall());
            }
            if (!first)
                return http::errorAnswer({ ErrorCode::Overloaded, "log.append", "", "too many streams", std::chrono::seconds(1) });
            this->appended.notify_all();
            const bool lost = this->loseReplies.take();
            this->history.add({ { "at", this->clock.now() }, { "stream", stream }, { "first", *first }, { "records", values.size() }, { "reply_lost", lost } });
            answer = http::jsonAnswer(200, { { "first", *first }, { "next", *first + values.size() } });
            if (lost)
                markFault(answer, "drop");
            return answer;
        }

        static std::int64_t numberOf(const http::Request& request, const std::string& name, std::int64_t fallback, std::int64_t highest)
        {
            const std::string text = request.parameter(name);
            if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos)
                return fallback;
            return std::min<std::int64_t>(std::stoll(text), highest);
        }

        http::Answer read(const http::Request& request)
        {
            if (auto refusal = this->gate.pass("log.read"))
                return *refusal;
            const std::string stream = request.parameter("stream");
            const auto from = static_cast<std::uint64_t>(numberOf(request, "from", 0, std::numeric_limits<std::int64_t>::max()));
            const auto limit = static_cast<std::size_t>(numberOf(request, "limit", 1000, mostRecordsPerCall));
            const auto wait = std::chrono::milliseconds(numberOf(request, "wait_ms", 0, longestWait));
            std::unique_lock lock(this->mutex);
            this->appended.wait_for(lock, wait, [&] { return this->stopping || this->store.next(stream) > from; });
            // An outage that began while the read waited holds for it too.
            lock.unlock();
            if (auto refusal = this->gate.pass("log.read"))
                return *refusal;
            lock.lock();
            return http::jsonAnswer(200, this->store.page(stream, from, limit, this->clock.now()));
        }

        http::Answer control(const http::Request& request)
        {
            http::Answer answer;
            const auto knobs = bodyOf(request, answer);
            if (!knobs)
                return answer;
            this->gate.set(*knobs);
            if (knobs->contains("lose_replies"))
                this->loseReplies.set((*knobs)["lose_replies"]);
            const std::lock_guard lock(this->mutex);
            this->store.settings().retention = knobs->value("retention_ms", this->store.settings().retention);
            this->store.settings().appendsPerSecond = knobs->value("appends_per_second", this->store.settings().appendsPerSecond);
            if (knobs->contains("trim"))
                this->store.trim((*knobs)["trim"]["stream"], (*knobs)["trim"]["before"]);
            return http::jsonAnswer(200, Json::object());
        }

        http::Answer describe()
        {
            Json state = this->gate.state();
            state["lose_replies"] = this->loseReplies.remaining();
            const std::lock_guard lock(this->mutex);
            state["streams"] = this->store.summary();
            return http::jsonAnswer(200, state);
        }

        Standin standin;
        SystemClock clock;
        Gate gate;
        Countdown loseReplies;
        History history;
        std::mutex mutex;
        std::condition_variable appended;
        LogStore store;
        bool stopping { false };
    };

} // namespace

} // namespace rattan::testing

int main(int argc, char** argv)
{
    using namespace rattan;
    testing::LogOptions options;
    Settings settings("rattan-standin-log", "Stands in for the platform's append-only log.");
    settings.address("listen", &options.listen, "Address to serve on.");
    settings.number("retention-ms", &options.retention, 0, 86400000, "ms", "Age at which records are trimmed; 0 keeps them.");
    settings.number("appends-per-second", &options.appendsPerSecond, 1, 100000, "appends", "Appends taken before 429.");
    if (const auto code = settings.parse(argc, argv))
        return *code;
    const StopSignal stop;
    testing::RelayHub hub;
    testing::LogStandin standin(hub, options);
    if (!standin.start())
        return 1;
    stop.wait();
    standin.stop();
    return 0;
}
