// watch: follows a job until it ends. Entries and planners may be replaced
// meanwhile; a job that no entry can tell of for a while is still the same job,
// so the watch goes on and says so once.

#include "ctl/command.h"
#include "ctl/job_view.h"

#include <fmt/format.h>

namespace rattan::ctl {

namespace {

    constexpr int notFound = 404;

    // A job that was submitted just now, or whose planner was just replaced, may
    // be missing this long from the answers.
    constexpr Millis missingLimit = 30000;

    class Watch {
    public:
        explicit Watch(Context& context)
            : context(context)
            , started(context.clock.now())
            , lastSeen(context.clock.now())
        {
        }

        ExitCode run()
        {
            while (true) {
                const EntryReply reply = this->context.client.call("GET", "/v1/jobs/" + this->context.words[0]);
                if (const auto code = this->take(reply))
                    return *code;
                const Millis now = this->context.clock.now();
                if (this->context.options.forMs > 0 && now - this->started >= this->context.options.forMs) {
                    this->context.console.remark("the time to watch is over; the job goes on");
                    return ExitCode::Unknown;
                }
                this->context.pause.wait(this->context.options.intervalMs);
            }
        }

    private:
        std::optional<ExitCode> take(const EntryReply& reply)
        {
            if (reply.ok()) {
                this->lastSeen = this->context.clock.now();
                this->isSilent = false;
                return this->show(parseJobView(reply.json), reply.json);
            }
            if (reply.status == notFound && this->context.clock.now() - this->lastSeen < missingLimit)
                return std::nullopt;
            constexpr int firstClientError = 400;
            constexpr int firstServerError = 500;
            constexpr int tooManyRequests = 429;
            if (reply.status >= firstClientError && reply.status < firstServerError && reply.status != tooManyRequests)
                return complain(this->context, reply);
            if (!this->isSilent)
                this->context.console.remark(fmt::format("no entry can tell of the job ({}); still trying", reply.error.message));
            this->isSilent = true;
            return std::nullopt;
        }

        std::optional<ExitCode> show(const JobView& view, const Json& json)
        {
            const std::string text = describe(view);
            if (text != this->shown && this->context.options.json)
                this->context.console.line(json.dump(-1, ' ', false, Json::error_handler_t::replace));
            else if (text != this->shown)
                this->context.console.line(text);
            this->shown = text;
            if (!view.isFinal())
                return std::nullopt;
            if (view.state == "unknown")
                return ExitCode::Unknown;
            return view.isDone() ? ExitCode::Ok : ExitCode::Refused;
        }

        Context& context;
        const Millis started;
        Millis lastSeen;
        bool isSilent { false };
        std::string shown;
    };

} // namespace

ExitCode watch(Context& context) { return Watch(context).run(); }

} // namespace rattan::ctl
