#pragma once

// One command of rattanctl: its words, its flags and what it does.

#include "base/clock.h"
#include "ctl/console.h"
#include "ctl/entry_client.h"
#include "ctl/exit_code.h"
#include "ctl/options.h"

#include <functional>
#include <string>
#include <vector>

namespace rattan::ctl {

// Lets time pass between two looks; tests move a ManualClock instead.
class Pause {
public:
    virtual ~Pause() = default;
    virtual void wait(Millis) = 0;
};

class SleepingPause final : public Pause {
public:
    void wait(Millis) override;
};

// What a command works with.
struct Context {
    const Options& options;
    const std::vector<std::string>& words; // After the command's name.
    Console& console;
    EntryClient& client;
    const Clock& clock;
    Pause& pause;
};

struct Command {
    std::string name; // One word, or two like "submit job".
    std::vector<std::string> words; // Names of the words that follow, all required.
    std::string summary;
    void (*declare)(Settings&, Options&); // Flags of its own; may be null.
    ExitCode (*run)(Context&);
};

const std::vector<Command>& allCommands();

ExitCode validate(Context&);
ExitCode publish(Context&);
ExitCode diff(Context&);
ExitCode plan(Context&);
ExitCode status(Context&);
ExitCode submitJob(Context&);
ExitCode submitRequest(Context&);
ExitCode outcome(Context&);
ExitCode ticket(Context&);
ExitCode jobs(Context&);
ExitCode explain(Context&);
ExitCode cancel(Context&);
ExitCode watch(Context&);
ExitCode drain(Context&);
ExitCode trace(Context&);
ExitCode completion(Context&);

// Prints an answer as it is, for --json.
void printJson(Context&, const Json&);

// Prints an error answer or a failed call, and picks the exit code.
ExitCode complain(Context&, const EntryReply&);

// Prints a fault of the command line.
ExitCode misuse(Context&, std::string_view message);

} // namespace rattan::ctl
