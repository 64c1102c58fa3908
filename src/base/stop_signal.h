#pragma once

// Turns SIGTERM and SIGINT into a value the main thread can wait for.
//
//     StopSignal stop;          // before any other thread is started
//     startThreads();
//     stop.wait();              // returns once a signal came
//     stopThreads();            // graceful shutdown
//
// A program that can take changed settings while it runs uses next() instead,
// and reads them again on Signal::Reload (SIGHUP).

namespace rattan {

enum class Signal {
    Stop,
    Reload,
};

class StopSignal {
public:
    // Blocks the signals on this thread and all threads it starts later; also
    // ignores SIGPIPE, which a peer closing its socket would raise.
    // With `handlesReload` SIGHUP is blocked too; without, it ends the program.
    explicit StopSignal(bool handlesReload = false);

    void wait() const;

    // Blocks until either signal comes.
    Signal next() const;

private:
    bool handlesReload;
};

} // namespace rattan
