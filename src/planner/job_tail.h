#pragma once

// Follows `jobs.<domain>` on a thread of its own and hands the records on.
//
//     BoundedQueue<JobTailItem> ring(4096);
//     JobTail tail(log, domain, &ring);
//     tail.start();
//
// A page that was trimmed past the reader's place is taken up at the first kept
// record. While the log is down the thread asks again with growing pauses and
// says so by reachable(). When the ring is full the thread waits, so memory
// stays bounded; nothing is dropped. A record that does not parse is logged and
// passed over, the same at every reader.

#include "base/bounded_queue.h"
#include "platform/log.h"
#include "records/job_record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace rattan::planner {

struct JobTailItem {
    std::uint64_t offset { 0 };
    Millis atWall { 0 };
    records::JobRecord record;
};

class JobTail {
public:
    JobTail(platform::Log&, const std::string& domain, BoundedQueue<JobTailItem>* ring);
    ~JobTail();

    void start();
    void stop();

    // True once everything that was in the log when the reader came to it has
    // been handed on, and for good.
    bool caughtUp() const { return this->atEnd; }
    bool reachable() const { return this->logReachable; }

private:
    void run();
    void readPage();
    void handOn(const platform::LogPage&);
    void pause(std::chrono::milliseconds);

    platform::Log& log;
    const std::string stream;
    BoundedQueue<JobTailItem>* ring;
    std::uint64_t next { 0 };
    std::uint64_t failures { 0 };
    std::atomic<bool> atEnd { false };
    std::atomic<bool> logReachable { true };
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping { false };
    std::thread thread;
};

} // namespace rattan::planner
