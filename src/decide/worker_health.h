#pragma once

// Which workers may be given starts.
//
// A worker that fails everything looks always free and would draw every job of
// the queue and burn its attempts. After a few failed starts, of different jobs
// and with no success between, it is quarantined; then one start is tried at a
// time, rarely. A job that fails on several workers is itself the likelier
// cause, so its failures are taken back from the workers it visited.

#include "decide/action.h"
#include "decide/options.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rattan::decide::detail {

class WorkerHealth {
public:
    explicit WorkerHealth(const Options& options)
        : options(options)
    {
    }

    // True when the worker became quarantined by this.
    bool failed(WorkerId, JobId, Millis now);

    // True when this ended the worker's probing.
    bool succeeded(WorkerId);

    // This job fails everywhere: its failures say nothing of these workers.
    void forgive(JobId, const std::vector<WorkerId>&);

    // A start goes to this worker: while probing, no second one.
    void startGiven(WorkerId);

    // That start is answered or void; a probing worker may take the next.
    void startOver(WorkerId);

    // Workers whose next probe is due; each may take one start from now on.
    std::vector<WorkerId> probesDue(Millis now);

    bool isQuarantined(WorkerId worker) const { return this->blocked.contains(worker); }
    bool isProbing(WorkerId) const;
    Millis until(WorkerId) const;
    Millis nextProbe() const;
    std::vector<WorkerId> list() const { return { this->blocked.begin(), this->blocked.end() }; }

private:
    struct Record {
        std::set<JobId> strikes; // At most strikesToQuarantine.
        Millis length { 0 }; // Of the last quarantine; 0: never.
        Millis until { 0 };
        bool probing { false };
    };

    const Options& options;
    std::map<WorkerId, Record> records; // Only of workers with strikes.
    std::set<WorkerId> blocked; // Take no start now.
};

} // namespace rattan::decide::detail
