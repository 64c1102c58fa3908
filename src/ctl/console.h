#pragma once

// Where commands print. Results go to `line`, complaints and progress to
// `remark`, so that output can be piped. Tests record both.

#include <string>
#include <string_view>

namespace rattan::ctl {

enum class Colour {
    Red,
    Green,
    Yellow,
    Bold,
};

class Console {
public:
    virtual ~Console() = default;

    virtual void line(std::string_view) = 0;
    virtual void remark(std::string_view) = 0;

    // The text in colour, where results are printed in colour.
    std::string paint(Colour, std::string_view) const;
    void setColoured(bool on) { this->coloured = on; }

private:
    bool coloured { false };
};

// Standard output and standard error.
class TerminalConsole final : public Console {
public:
    void line(std::string_view) override;
    void remark(std::string_view) override;

    // Whether standard output is a terminal that takes colour.
    static bool takesColour();
};

} // namespace rattan::ctl
