#include "ctl/console.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <unistd.h>

namespace rattan::ctl {

std::string Console::paint(Colour colour, std::string_view text) const
{
    static constexpr std::array<int, 4> codes { 31, 32, 33, 1 };
    if (!this->coloured)
        return std::string(text);
    return fmt::format("\x1b[{}m{}\x1b[0m", codes[static_cast<std::size_t>(colour)], text);
}

void TerminalConsole::line(std::string_view text)
{
    fmt::print("{}\n", text);
    std::fflush(stdout);
}

void TerminalConsole::remark(std::string_view text) { fmt::print(stderr, "rattanctl: {}\n", text); }

bool TerminalConsole::takesColour()
{
    const char* terminal = std::getenv("TERM");
    return isatty(STDOUT_FILENO) == 1 && terminal && std::string_view(terminal) != "dumb" && !std::getenv("NO_COLOR");
}

} // namespace rattan::ctl
