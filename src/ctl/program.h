#pragma once

// rattanctl as a function, so that tests can run it without a process.
//
//     rattanctl COMMAND [WORDS] [FLAGS]
//
// Flags may stand anywhere after the command, as "--name value" or
// "--name=value"; "--" ends them.

#include "ctl/command.h"

#include <string>
#include <vector>

namespace rattan::ctl {

struct Surroundings {
    Console& console;
    const Clock& clock;
    Pause& pause;
    bool isTerminal { false };
};

// The arguments without the program's name.
ExitCode runProgram(const std::vector<std::string>& arguments, const Surroundings&);

} // namespace rattan::ctl
