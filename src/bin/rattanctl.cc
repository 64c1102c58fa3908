// The command line for operators and callers; all of it is in src/ctl.

#include "ctl/program.h"

#include <csignal>

int main(int argc, char** argv)
{
    // A peer that closes its socket must not end the program.
    std::signal(SIGPIPE, SIG_IGN);
    rattan::ctl::TerminalConsole console;
    const rattan::SystemClock clock;
    rattan::ctl::SleepingPause pause;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(rattan::ctl::runProgram(arguments, { console, clock, pause, rattan::ctl::TerminalConsole::takesColour() }));
}
