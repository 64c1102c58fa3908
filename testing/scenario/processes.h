#pragma once

// The processes that a scenario starts, by name. Every one of them is ended,
// by its own id, when the scenario is over, and the kernel ends them if the
// runner itself dies. Not thread-safe.

#include "base/clock.h"

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace rattan::testing {

struct ProcessExit {
    bool signalled { false };
    int code { 0 }; // Exit code or signal number.
};

class Processes {
public:
    static constexpr std::size_t most = 60;

    ~Processes();

    // Standard output and error go to files under `directory`. Throws
    // std::runtime_error when there are too many or the program is missing.
    void start(const std::string& name, const std::vector<std::string>& command, const std::string& directory);
    pid_t idOf(const std::string& name) const { return this->pids.at(name); }
    bool isKnown(const std::string& name) const { return this->pids.contains(name); }
    void signal(const std::string& name, int number) const;
    // Whether the process blocks the signal, to take it when it is ready to. Before its main()
    // no program does, and the signal itself ends it.
    bool blocks(const std::string& name, int number) const;
    // Empty while it runs; the name is forgotten once it has ended.
    std::optional<ProcessExit> poll(const std::string& name);
    // Names of processes that ended without being waited for or killed here.
    std::vector<std::string> endedUnasked();
    void killAndForget(const std::string& name);
    void endAll();

private:
    std::map<std::string, pid_t> pids;
};

} // namespace rattan::testing
