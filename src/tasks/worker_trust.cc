#include "tasks/worker_trust.h"

#include <algorithm>

namespace rattan::tasks {

void WorkerTrust::done()
{
    this->strikes = 0;
    this->until = 0;
    this->lastSpan = 0;
}

void WorkerTrust::failed(Millis now)
{
    ++this->strikes;
    if (this->strikes >= strikesToDistrust)
        this->distrust(now);
}

void WorkerTrust::stalled(Millis now)
{
    this->strikes = std::max(this->strikes + 1, strikesToDistrust);
    this->distrust(now);
}

void WorkerTrust::distrust(Millis now)
{
    if (now < this->until)
        return; // Runs that had started before end one after the other.
    this->lastSpan = std::min(std::max(this->lastSpan * 2, firstDistrust), longestDistrust);
    this->until = now + this->lastSpan;
}

bool WorkerTrust::takesWork(Millis now, bool free) const
{
    if (this->strikes < strikesToDistrust)
        return true;
    return now >= this->until && free;
}

} // namespace rattan::tasks
