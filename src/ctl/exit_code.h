#pragma once

// What the exit code of rattanctl says; docs/OPERATING.md repeats it.

namespace rattan::ctl {

enum class ExitCode {
    Ok = 0,
    Refused = 1, // Refused, or ended in a failure.
    Usage = 2, // The command line or a setting is wrong.
    Unavailable = 3, // No entry could serve it; nothing was done.
    Unknown = 4, // It may have been done; ask again.
};

} // namespace rattan::ctl
