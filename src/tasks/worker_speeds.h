#pragma once

// How fast each worker is against the others, learned from the runs that ended
// there. Workers of one service differ by half, and nobody tells which are fast;
// a gang goes at the pace of its slowest member, so one slow worker among four
// makes the other three wait.
//
//     WorkerSpeeds speeds;
//     speeds.learnSiblings({ { "w1", 5000 }, { "w2", 6300 } });   // tasks of one step
//     speeds.learnGang({ "w1", "w3" }, forecast, 7100);
//     speeds.of("w1")                                             // 1.0: as fast as most
//
// Only ratios can be learned, so the mean of all logarithms is kept at zero.
// Estimates begin at the usual speed and move as far as the evidence is worth: a
// sample counts by how well its run time could be forecast. Not thread-safe.

#include "tasks/run_times.h"

#include <map>
#include <string>
#include <vector>

namespace rattan::tasks {

class WorkerSpeeds {
public:
    struct Sample {
        std::string worker;
        Millis duration { 0 };
    };

    // Tasks of one step that ran alone, from nothing to their end.
    void addSiblingRuns(const std::vector<Sample>&);

    // A gang that ran from nothing to its end; or one task by itself.
    void addGangRun(const std::vector<std::string>& workers, const RunTimes::Forecast&, Millis duration);

    double of(const std::string& worker) const;

    // Of a gang on these workers.
    double slowestOf(const std::vector<std::string>& workers) const;

    struct Estimate {
        double logSpeed { 0 };
        double weight { 1 }; // Of what is known, in samples as good as the prior.
    };

    // To hand over to a planner that follows.
    const std::map<std::string, Estimate>& all() const { return this->estimates; }
    void restore(const std::string& worker, const Estimate& estimate) { this->estimates[worker] = estimate; }

private:
    void update(const std::string& worker, double logSpeed, double variance);
    void center();

    std::map<std::string, Estimate> estimates;
};

} // namespace rattan::tasks
