#pragma once

// Whether a whole failure domain may be out of reach.
//
//     DomainDoubts doubts;
//     doubts.wentSilent("east-a", "w1", now);
//     doubts.wentSilent("east-a", "w2", now + 200);
//     doubts.covers("east-a", heardAt, now + 210)      // true for workers not heard of since
//
// The load this answers: a domain is cut off while urgent jobs arrive. Each start there
// would have to fail by itself, and a job that was sent there can begin nowhere else
// until its lease is over, ten seconds later. Once two workers of a domain have
// fallen silent shortly after each other, the others have to answer again, which sound
// ones do within some 10 ms, before anything is placed on them. One silent worker alone
// says nothing: it may have crashed, or lost a message. Not thread-safe.

#include "base/clock.h"

#include <map>
#include <string>

namespace rattan::tasks {

class SuspectedDomains {
public:
    void addSilentWorker(const std::string& domain, const std::string& worker, Millis now);

    // Whether a worker of the domain that was last heard of then has to answer first.
    bool isSuspected(const std::string& domain, Millis lastAnswerAt, Millis now) const;

private:
    // Two starts to a domain that is cut off fail within this time at usual rates.
    static constexpr Millis correlationWindow = 1500;

    // By then every worker has answered, or has fallen silent by itself.
    static constexpr Millis suspicionDuration = 3000;

    struct Domain {
        std::string silentWorker; // The last one that fell silent,
        Millis silentAt { 0 }; // and when.
        Millis suspectedAt { 0 }; // 0: not doubted.
    };

    std::map<std::string, Domain> domains;
};

} // namespace rattan::tasks
