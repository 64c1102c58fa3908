#include "base/stop_signal.h"

#include <csignal>

namespace rattan {

namespace {

    sigset_t handledSignals(bool withReload)
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        if (withReload)
            sigaddset(&signals, SIGHUP);
        return signals;
    }

} // namespace

StopSignal::StopSignal(bool handlesReload)
    : handlesReload(handlesReload)
{
    const sigset_t signals = handledSignals(handlesReload);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait() const
{
    while (this->next() != Signal::Stop) { }
}

Signal StopSignal::next() const
{
    const sigset_t signals = handledSignals(this->handlesReload);
    int received = 0;
    sigwait(&signals, &received);
    return received == SIGHUP ? Signal::Reload : Signal::Stop;
}

} // namespace rattan
