#pragma once

// Reading an operators' text for a command.

#include "config/parse.h"
#include "ctl/command.h"

#include <optional>
#include <string>

namespace rattan::ctl {

struct TextFile {
    std::string yaml;
    config::Configuration text;
};

// The text in a file, or its exit code after the faults were printed, one
// "FILE:LINE:COLUMN: ..." line each.
struct TextFileOutcome {
    std::optional<TextFile> file;
    ExitCode code { ExitCode::Ok };
};

TextFileOutcome readTextFile(Context&, const std::string& name);

// The text that is in force, or the exit code after the reason was printed.
// With nothing published yet, `version` is 0 and the text is empty.
struct TextInForce {
    ExitCode code { ExitCode::Ok };
    std::int64_t version { 0 };
    std::string author;
    std::string yaml;
    config::Configuration text;
};

TextInForce askTextInForce(Context&);

} // namespace rattan::ctl
