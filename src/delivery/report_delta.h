#pragma once

// What has changed between two reports of a worker, so that an instance which polls
// for another one does not send whole lists again and again.
//
//     ReportEncoder encoder;                        // where the worker is polled, one a session
//     ReportDelta delta = encoder.encode(id, report);
//     ReportDecoder decoder;                        // at the other end of the session
//     std::optional<WorkerReport> same = decoder.decode(id, delta);
//
// Every delta has to be decoded once, in the order in which they were encoded; a new
// session begins with new objects on both sides. Nothing is decoded from a delta whose
// base is missing or that names places which do not exist. Not thread-safe.

#include "tasks/worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattan::delivery {

// A run that is still there; its position in the list of the report before.
struct ChangedTask {
    std::size_t position { 0 };
    std::int64_t percent { 0 };
    std::optional<std::string> checkpoint; // Empty: as before.
};

struct ReportDelta {
    Millis clock { 0 };
    Millis born { 0 };
    bool isSnapshot { false }; // Has no base: all that runs is listed in `added`.
    std::vector<ChangedTask> changed;
    std::vector<std::size_t> removed; // Places in the list of the report before, rising.
    std::vector<tasks::RunningTask> added;
    std::vector<tasks::EndedTask> ended; // All that are not acknowledged.
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
    std::map<std::string, std::vector<tasks::RunningTask>> running; // As of the last report.
};

} // namespace rattan::delivery
