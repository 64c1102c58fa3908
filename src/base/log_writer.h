#pragma once

// Writes log lines on a thread of its own, so that whoever logs never waits for
// whoever reads.
//
//     LogWriter writer(STDOUT_FILENO, { .maxQueuedLines = 4000 });
//     writer.write({ 1401, "" }, "time=...\n");
//     writer.stop();
//
// Bounded in three ways: lines that wait, lines of one source in a second, and the time
// that stop() takes. Of the lines that may wait, half are kept for sources that write
// little: those explain a failure, and must not be crowded out by routine. What was left
// out is counted and reported in a line of its own. Thread-safe.

#include "base/bounded_queue.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace rattan {

// What shares a budget: lines of one event, or of one variant of it.
struct LogSource {
    std::uint16_t event { 0 };
    std::string variant;

    // clang-tidy 14 takes the zero that a defaulted comparison is held against for a pointer.
    auto operator<=>(const LogSource&) const = default; // NOLINT(modernize-use-nullptr)
};

struct LogWriterOptions {
    std::size_t maxQueuedLines { 4000 }; // Waiting; about 1 MB.
    std::int64_t maxLinesPerSecond { 300 }; // Of one source.
    std::int64_t maxRareLinesPerSecond { 30 }; // A source with at most so many lines in a second is rare.
    std::chrono::milliseconds batchInterval { 100 }; // Lines that come within it share a write.
    std::chrono::milliseconds maxStopTime { 300 };
};

class LogWriter {
public:
    LogWriter(int descriptor, LogWriterOptions);
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    void write(const LogSource&, std::string line);

    // Writes what waits, if the reader takes it in time.
    void stop();

    std::uint64_t droppedLines() const { return this->shared->droppedLines; }

private:
    // Outlives the writer where its thread is stuck in a write.
    struct Shared {
        explicit Shared(std::size_t capacity)
            : queuedLines(capacity)
        {
        }

        BoundedQueue<std::string> queuedLines;
        std::atomic<std::uint64_t> droppedLines { 0 };
        std::atomic<bool> isThreadDone { false };
    };

    struct Budget {
        std::int64_t second { 0 };
        std::int64_t lineCount { 0 };
    };

    std::int64_t countLine(const LogSource&);

    const LogWriterOptions options;
    std::shared_ptr<Shared> shared;
    std::mutex mutex;
    std::map<LogSource, Budget> budgets;
    std::thread thread;
};

} // namespace rattan
