// rattan-instance: serves callers and plans on the platform. See src/instance/program.h. The
// platform provides the path of the settings file.

#include "base/settings.h"
#include "instance/program.h"
#include "platform/caller_format.h"
#include "platform/configuration_format.h"
#include "platform/instance_settings.h"
#include "platform/store_format.h"
#include "platform/worker_format.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

namespace {

int checkSettings(const std::string& path)
{
    const auto settings = rattan::attempt([&] { return rattan::platform::readSettings(path); });
    if (!settings.value) {
        fmt::print(stderr, "rattan-instance: {}\n", settings.error.message);
        return rattan::Settings::badUsage;
    }
    fmt::print("settings are right: {} serves callers on {}\n", settings.value->name, settings.value->callerAddress);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::string path = rattan::platform::settingsPath();
    std::string toCheck;
    try {
        TCLAP::CmdLine command("Serves callers and plans on the platform.", ' ', RATTAN_VERSION);
        TCLAP::ValueArg<std::string> settingsArg("s", "settings", "Settings file; defaults to the path that the platform provides.", false, path, "FILE", command);
        TCLAP::ValueArg<std::string> checkArg("c", "check-settings", "Checks this settings file and exits.", false, "", "FILE", command);
        command.parse(argc, argv);
        path = settingsArg.getValue();
        toCheck = checkArg.getValue();
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    }
    if (!toCheck.empty())
        return checkSettings(toCheck);
    const rattan::platform::StoreFormat store;
    const rattan::platform::WorkerFormat workers;
    const rattan::platform::CallerFormat callers;
    const rattan::platform::ConfigurationFormat text;
    return rattan::instance::runInstance([&] { return rattan::platform::readSettings(path); }, { store, workers, callers, text });
}
