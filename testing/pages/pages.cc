#include "pages/pages.h"

#include "base/settings.h"
#include "ctl/options.h"
#include "driver/events.h"
#include "driver/options.h"
#include "entry/events.h"
#include "entry/options.h"
#include "instance/events.h"
#include "peers/events.h"
#include "planner/events.h"
#include "planner/options.h"

#include <fmt/format.h>

namespace rattan::testing {

namespace {

    template <typename List>
    std::string eventRows(std::string_view title, const List& events)
    {
        std::string text = fmt::format("\n## {}\n\n| number | name | level | meaning |\n| --- | --- | --- | --- |\n", title);
        for (const Event& event : events)
            text += fmt::format("| {} | `{}` | {} | {} |\n", event.number, event.name, nameOf(event.level), event.meaning);
        return text;
    }

    std::string settingRows(const std::string& program, const Settings& settings)
    {
        std::string text = fmt::format("\n## {}\n\n| flag | environment | accepted | default | meaning |\n| --- | --- | --- | --- | --- |\n", program);
        for (const SettingInfo& info : settings.list())
            text += fmt::format("| `--{}` | `{}` | {} | {} | {} |\n", info.name, settings.environmentName(info.name), info.accepted,
                info.fallback.empty() ? "none" : "`" + info.fallback + "`", info.meaning);
        return text;
    }

    template <typename Options, typename Declare>
    std::string settingsOf(const std::string& program, Declare declare)
    {
        Options options;
        Settings settings(program, "");
        declare(settings, options);
        return settingRows(program, settings);
    }

} // namespace

std::string eventsPage()
{
    std::string text = "# Events\n\n"
                       "Each log line on standard error is one event: `time=` (ms since 1970) `level=` `event=` `name=`\n"
                       "`program=` `instance=` `trace=` and the event's own fields. Made by `docs/update`.\n";
    text += eventRows("Membership and configuration (in rattan-planner)", peers::peersEvents);
    text += eventRows("rattan-driver", driver::driverEvents);
    text += eventRows("rattan-planner", planner::events::plannerEvents);
    text += eventRows("rattan-entry", entry::entryEvents);
    text += eventRows("rattan-instance (on standard output)", instance::events::instanceEvents);
    return text;
}

std::string settingsPage()
{
    std::string text = "# Settings\n\n"
                       "A flag wins over the program's own environment variable, that over the shared one\n"
                       "(`RATTAN_` and the flag's name, for all programs), and that over the default. A value that is\n"
                       "not accepted ends the program at once with exit code 2 and one line that says what is. Every\n"
                       "program also has `--help` and `--version`. Made by `docs/update`.\n";
    text += settingsOf<entry::EntryOptions>("rattan-entry", [](auto& settings, auto& options) { entry::declareSettings(settings, options); });
    text += settingsOf<planner::PlannerOptions>("rattan-planner", [](auto& settings, auto& options) { planner::declareSettings(settings, options); });
    text += settingsOf<driver::DriverOptions>("rattan-driver", [](auto& settings, auto& options) { driver::declareSettings(settings, options); });
    text += settingsOf<ctl::Options>("rattanctl", [](auto& settings, auto& options) { ctl::declareSettings(settings, options); });
    return text;
}

} // namespace rattan::testing
