#pragma once

// The difference between two successive reports of a worker, so that a relay that polls
// workers for the planner does not send complete lists repeatedly.
//
//     ReportEncoder encoder;                        // where the worker is polled, one for each session
//     ReportDelta delta = encoder.encode(id, report);
//     ReportDecoder decoder;                        // at the other end of the session
//     std::optional<WorkerReport> decoded = decoder.decode(id, delta);
//
// Every delta must be decoded exactly once, in the order of encoding; a new session starts with
// new objects on both sides. decode() returns empty for a delta whose base is missing or that
// refers to positions that do not exist. Not thread-safe.

#include "tasks/worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattan::delivery {

// A run whose progress or checkpoint changed, by its position in the list of the previous
// report.
struct ChangedTask {
    std::size_t position { 0 };
    std::int64_t percent { 0 };
    std::optional<std::string> checkpoint; // Empty if unchanged.
};

struct ReportDelta {
    Millis clock { 0 };
    Millis born { 0 };
    bool isSnapshot { false }; // The delta has no base: `added` lists all running tasks.
    std::vector<ChangedTask> changed;
    std::vector<std::size_t> removed; // Positions in the list of the previous report, ascending.
    std::vector<tasks::RunningTask> added;
    std::vector<tasks::EndedTask> ended; // As in the report.
    bool hasMoreEnds { false }; // As in the report.
};

class ReportEncoder {
public:
    ReportDelta encode(const std::string& worker, const tasks::WorkerReport&);

private:
    struct LastReport {
        Millis born { 0 };
        std::vector<tasks::RunningTask> running;
    };

    std::map<std::string, LastReport> lastReports; // By worker.
};

class ReportDecoder {
public:
    std::optional<tasks::WorkerReport> decode(const std::string& worker, const ReportDelta&);

private:
    std::map<std::string, std::vector<tasks::RunningTask>> running; // As of the last report, by worker.
};

} // namespace rattan::delivery
