#pragma once

// Detects failure domains that may be unreachable as a whole.
//
//     SuspectedDomains domains;
//     domains.addSilentWorker("east-a", "w1", now);
//     domains.addSilentWorker("east-a", "w2", now + 200);
//     domains.isSuspected("east-a", lastAnswerAt, now + 210)   // true for workers without an answer since
//
// It matters when a domain is cut off while urgent jobs arrive. Otherwise each start on the
// domain's workers would have to fail separately, and a job that was sent there can't start
// elsewhere until its lease ends ten seconds later. When two workers of a domain stop
// answering shortly after each other, the other workers of the domain must answer again
// before a unit is placed on them; healthy workers do so within about 10 ms. A single silent
// worker is not sufficient, since it may have crashed or a message may have been lost. Nor are
// several while other workers of the domain answer: if a few percent of all calls are lost, two
// workers are silent in nearly every second, and all workers of a sound domain would have to
// answer again and again before they get work. Not thread-safe.

#include "base/clock.h"

#include <map>
#include <string>

namespace rattan::tasks {

class SuspectedDomains {
public:
    // A worker of the domain has answered a call.
    void addAnswer(const std::string& domain, Millis now) { this->domains[domain].answeredAt = now; }

    void addSilentWorker(const std::string& domain, const std::string& worker, Millis now);

    // True if a worker of the domain whose last answer was at this time must answer again
    // before a unit is placed on it.
    bool isSuspected(const std::string& domain, Millis lastAnswerAt, Millis now) const;

private:
    // At usual rates, two starts in an unreachable domain fail within this time.
    static constexpr Millis correlationWindow = 1500;

    // Within this time before a call is found to be unanswered, at least one of a domain's workers has
    // answered another call if the domain is reachable. It is below the timeout of a start, so a domain
    // that is cut off has not answered for longer.
    static constexpr Millis maxAnswerPause = 150;

    // By then, each worker has answered or is known to be silent.
    static constexpr Millis suspicionDuration = 3000;

    struct Domain {
        std::string silentWorker; // The last worker that stopped answering.
        Millis silentAt { 0 }; // When it did.
        Millis answeredAt { -maxAnswerPause }; // When a worker last answered.
        Millis suspectedAt { 0 }; // 0 if the domain was never suspected.
    };

    std::map<std::string, Domain> domains;
};

} // namespace rattan::tasks
