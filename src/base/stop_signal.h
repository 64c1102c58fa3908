#pragma once

// Lets the main thread wait for SIGTERM and SIGINT.
//
//     StopSignal stop;          // before any other thread starts
//     startThreads();
//     stop.wait();              // returns after SIGTERM or SIGINT
//     stopThreads();            // graceful shutdown
//
// A program that can reload its settings while it runs calls next() instead, and
// reloads them on Signal::Reload (SIGHUP).

namespace rattan {

enum class Signal {
    Stop,
    Reload,
};

class StopSignal {
public:
    // Blocks the signals in this thread and all threads that it starts later. Also
    // ignores SIGPIPE, which a write to a socket that the peer has closed would raise. If
    // `handlesReload` is true, SIGHUP is blocked as well; otherwise it ends the program.
    explicit StopSignal(bool handlesReload = false);

    // Blocks until SIGTERM or SIGINT arrives.
    void wait() const;

    // Blocks until one of the handled signals arrives, and returns its meaning.
    Signal next() const;

private:
    bool handlesReload;
};

} // namespace rattan
