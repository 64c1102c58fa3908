// rattan-entry: serves callers and operators over HTTP.

#include "base/stop_signal.h"
#include "config/parse.h"
#include "entry/events.h"
#include "entry/program.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace rattan::entry {

namespace {

    // All faults of a text in one message, each with its place.
    Result<config::Configuration> parseText(const std::string& yaml)
    {
        config::ParseOutcome outcome = config::parse(yaml);
        if (outcome.configuration)
            return std::move(*outcome.configuration);
        std::vector<std::string> faults;
        for (const config::Fault& fault : outcome.faults)
            faults.push_back(config::describe(fault));
        return fail(ErrorCode::BadInput, "config.parse", "", fmt::format("{}", fmt::join(faults, "\n")));
    }

    Level levelOf(const std::string& name)
    {
        for (const Level level : { Level::Debug, Level::Warning, Level::Error }) {
            if (nameOf(level) == name)
                return level;
        }
        return Level::Info;
    }

    int run(int argc, const char* const* argv)
    {
        EntryOptions options;
        Settings settings("rattan-entry", "Serves callers and operators of rattanrock.");
        declareSettings(settings, options);
        if (const auto code = settings.parse(argc, argv))
            return *code;
        if (!isPlainName(options.instance) || !isPlainName(options.domain)) {
            fmt::print(stderr, "rattan-entry: --instance and --domain may hold letters, digits and . _ : @ + - only\n");
            return Settings::badUsage;
        }
        const StopSignal stop;
        startLog("rattan-entry", options.instance, levelOf(options.logLevel));
        Program program(options, parseText);
        if (const auto error = attemptVoid([&] { return program.start(); })) {
            logEvent(entryNotStarted, { { "step", error->step }, { "peer", error->peer }, { "why", error->message } });
            return 1;
        }
        stop.wait();
        program.stop();
        return 0;
    }

} // namespace

} // namespace rattan::entry

int main(int argc, char** argv) { return rattan::entry::run(argc, argv); }
