// Runs one scenario: a Lua file under testing/scenarios/ with the verbs of
// testing/scenario/prelude.lua. Prints PASS or FAIL with the name; on failure
// also the seed, the trace of verbs and the ends of the processes' logs.

#include "base/random.h"
#include "base/settings.h"
#include "scenario/primitives.h"

#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <lua.hpp>

namespace rattan::testing {

namespace {

    constexpr std::uint64_t seedRange = 1000000;

    int withTraceback(lua_State* lua)
    {
        luaL_traceback(lua, lua, lua_tostring(lua, 1), 1);
        return 1;
    }

    // The checks that hold at the end of every scenario.
    bool checkEnd(lua_State* lua)
    {
        lua_getglobal(lua, "check_alive");
        if (lua_pcall(lua, 0, 0, 0) == LUA_OK)
            return true;
        fmt::print("{}\n", lua_tostring(lua, -1));
        return false;
    }

    // Runs the file; prints what went wrong and returns false if it fails.
    bool runFile(lua_State* lua, const std::string& path)
    {
        lua_pushcfunction(lua, &withTraceback);
        if (luaL_loadfile(lua, path.c_str()) == LUA_OK && lua_pcall(lua, 0, 0, -2) == LUA_OK) {
            lua_pop(lua, 1);
            return true;
        }
        fmt::print("{}\n", lua_tostring(lua, -1));
        return false;
    }

    int run(RunnerOptions options)
    {
        std::filesystem::create_directories(options.work);
        if (options.seed == 0)
            options.seed = static_cast<std::int64_t>(randomBelow(seedRange)) + 1;
        const std::string name = std::filesystem::path(options.scenario).stem();
        const SystemClock clock;
        const Millis started = clock.now();
        Primitives primitives(options);
        lua_State* lua = luaL_newstate();
        luaL_openlibs(lua);
        primitives.install(lua);
        const bool passed = runFile(lua, options.sources + "/testing/scenario/prelude.lua") && runFile(lua, options.scenario) && checkEnd(lua);
        if (!passed) {
            fmt::print("seed {}; repeat: testing/run-scenarios {} --seed {}\n", options.seed, name, options.seed);
            lua_getglobal(lua, "print_trace");
            if (lua_isfunction(lua, -1) && lua_pcall(lua, 0, 0, 0) != LUA_OK)
                fmt::print("no trace: {}\n", lua_tostring(lua, -1));
        }
        lua_close(lua);
        constexpr double millisPerSecond = 1000;
        const double seconds = static_cast<double>(clock.now() - started) / millisPerSecond;
        if (passed)
            fmt::print("PASS {} {:.1f}\n", name, seconds);
        else
            fmt::print("FAIL {}\n", name);
        return passed ? 0 : 1;
    }

} // namespace

} // namespace rattan::testing

int main(int argc, char** argv)
{
    using namespace rattan;
    testing::RunnerOptions options;
    Settings settings("rattan-scenario", "Runs one scenario against real processes.");
    settings.text("scenario", &options.scenario, "FILE", "The scenario, a Lua file.", true);
    settings.text("programs", &options.programs, "DIRECTORY", "Where the binaries are.", true);
    settings.text("sources", &options.sources, "DIRECTORY", "The root of the repository.", true);
    settings.text("work", &options.work, "DIRECTORY", "Where the processes' logs go.", true);
    settings.number("seed", &options.seed, 0, 1000000000, "", "Seed of the scenario's random choices; 0 takes one.");
    if (const auto code = settings.parse(argc, argv))
        return *code;
    std::signal(SIGPIPE, SIG_IGN);
    return testing::run(options);
}
