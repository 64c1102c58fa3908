#include "ctl/options.h"

#include <limits>

namespace rattan::ctl {

namespace {

    constexpr std::int64_t minute = 60000;
    constexpr std::int64_t hour = 60 * minute;
    constexpr std::int64_t year = 24 * hour * 365;

    void declareKey(Settings& settings, Options& options)
    {
        settings.text("key", &options.key, "KEY", "Key of the job or request; minted when absent. The same key again is the same job or request.");
    }

    void declareRequestOnly(Settings& settings, Options& options)
    {
        settings.text("ticket", &options.ticket, "TICKET", "A ticket got before, in place of a key.");
        settings.number("deadline-ms", &options.deadlineMs, 0, hour, "ms (0: the operation's own)", "Time within which the answer is of use.");
        settings.text("body", &options.body, "JSON", "Body of the request; text that is not JSON is sent as a string.");
    }

} // namespace

void declareCommonSettings(Settings& settings, Options& options)
{
    settings.addresses("entry", &options.entries, "Entry instances, tried in turn.");
    settings.text("token", &options.token, "TOKEN", "Token of the workspace or operator. Better given by RATTAN_TOKEN: flags show in the list of processes.");
    settings.choice("colour", &options.colour, { "auto", "always", "never" }, "Colour in the output; auto means on a terminal only.");
    settings.number("timeout-ms", &options.timeoutMs, 100, hour, "ms", "Longest wait for one answer.");
}

void declarePublishSettings(Settings& settings, Options& options)
{
    settings.number("amends", &options.amends, -1, std::numeric_limits<std::int64_t>::max() - 1, "(-1: the version in force)", "Version that the text amends.");
    settings.text("author", &options.author, "NAME", "Who publishes; the operator's name when absent.");
}

void declareJobSettings(Settings& settings, Options& options)
{
    declareKey(settings, options);
    settings.text("class", &options.jobClass, "NAME", "Job class of the text in force.");
    settings.number("members", &options.members, 1, 512, "members", "Members of the gang.");
    settings.number("accelerators", &options.accelerators, 0, 64, "accelerators", "Accelerators of each member.");
    settings.number("cores", &options.cores, 0, 4096, "cores", "Processor cores of each member.");
    settings.number("memory-mb", &options.memoryMb, 0, 1 << 24, "MiB", "Memory of each member.");
    settings.choice("adjacent", &options.adjacent, { "worker", "rack", "domain" }, "Within what all members must lie.");
    settings.number("run-ms", &options.runMs, 1, year, "ms", "Run time that the caller expects.");
    settings.text("payload", &options.payload, "JSON", "Handed to the workers as it is.");
}

void declareRequestSettings(Settings& settings, Options& options)
{
    declareKey(settings, options);
    declareRequestOnly(settings, options);
}

void declareTicketSettings(Settings& settings, Options& options)
{
    settings.number("count", &options.count, 1, 100, "tickets", "Tickets to get.");
}

void declareListSettings(Settings& settings, Options& options)
{
    settings.number("limit", &options.limit, 1, 1000, "jobs", "Longest list.");
}

void declareWatchSettings(Settings& settings, Options& options)
{
    settings.number("interval-ms", &options.intervalMs, 50, hour, "ms", "Time between two looks.");
    settings.number("for-ms", &options.forMs, 0, year, "ms (0: no end)", "Give up watching after this.");
}

void declareExplainSettings(Settings& settings, Options& options)
{
    settings.text("logs", &options.logs, "FILE,...", "Tells the story of a job out of these collected logs, instead of asking an entry.");
}

void declareSettings(Settings& settings, Options& options)
{
    declareCommonSettings(settings, options);
    declarePublishSettings(settings, options);
    declareJobSettings(settings, options);
    declareRequestOnly(settings, options);
    declareTicketSettings(settings, options);
    declareListSettings(settings, options);
    declareWatchSettings(settings, options);
    declareExplainSettings(settings, options);
}

} // namespace rattan::ctl
