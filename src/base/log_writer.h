#pragma once

// Writes log lines on a separate thread, so that a thread that logs never waits for the
// reader of the log.
//
//     LogWriter writer(STDOUT_FILENO, { .maxQueuedLines = 4000 });
//     writer.write({ 1401, "" }, "time=...\n");
//     writer.stop();
//
// There are four limits: the number of queued lines, the size of a line, which may quote a
// caller, the number of lines per second of one source, and the duration of stop(). Half of the
// queue is reserved for sources that write few lines, because these lines explain failures and
// must not be crowded out by routine ones. Dropped lines are counted, and the count is reported
// in a separate log line. write() is thread-safe.

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

// Identifies the lines that share a limit: those of one event, or of one variant of it.
struct LogSource {
    std::uint16_t event { 0 };
    std::string variant;

    // clang-tidy 14 mistakes the zero in a defaulted comparison for a null pointer.
    auto operator<=>(const LogSource&) const = default; // NOLINT(modernize-use-nullptr)
};

struct LogWriterOptions {
    std::size_t maxQueuedLines { 4000 }; // Usually about 1 MB.
    std::size_t maxLineBytes { 8192 }; // A longer line is cut.
    std::int64_t maxLinesPerSecond { 300 }; // Per source.
    std::int64_t maxRareLinesPerSecond { 30 }; // Per source; its further lines in that second may fill only half of the queue.
    std::chrono::milliseconds batchInterval { 100 }; // Lines that arrive within it are written together.
    std::chrono::milliseconds maxStopTime { 300 };
};

class LogWriter {
public:
    LogWriter(int descriptor, LogWriterOptions);
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    // Queues a line, or drops and counts it if a limit is reached. Never waits for the reader.
    void write(const LogSource&, std::string line);

    // Writes the queued lines, waiting for at most maxStopTime. If the reader is too slow, the
    // thread is detached and the remaining lines may be lost.
    void stop();

    std::uint64_t droppedLines() const { return this->shared->droppedLines; }

private:
    // State shared with the thread. It outlives the LogWriter if the thread is blocked in a
    // write when stop() returns.
    struct Shared {
        explicit Shared(std::size_t capacity)
            : queuedLines(capacity)
        {
        }

        BoundedQueue<std::string> queuedLines;
        std::atomic<std::uint64_t> droppedLines { 0 };
        std::atomic<bool> isThreadDone { false };
    };

    // The lines of one source in one second.
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
