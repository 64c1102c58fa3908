#pragma once

// Appends job records on a thread of its own, until each has surely taken effect.
//
//     LogWriter writer(log, domain);
//     writer.start();
//     if (!writer.offer(record)) ...   // full: ask again later
//
// Records are appended in order, many in one append, since the log takes only
// several hundred appends a second. An append whose reply is lost is appended
// again: every job record is idempotent (planner/job_book.h says why). While the
// log is down records wait, at most `capacity` of them. stop() tries once more
// and then drops what is left; the records are rebuilt by the next planner.

#include "platform/log.h"
#include "records/job_record.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace rattan::planner {

class LogWriter {
public:
    static constexpr std::size_t capacity = 20000;
    static constexpr std::size_t recordsPerAppend = 200;

    LogWriter(platform::Log&, const std::string& domain);
    ~LogWriter();

    void start();
    void stop();

    // False when `capacity` records wait already; the caller keeps the record.
    bool offer(records::JobRecord);
    std::size_t waiting() const;

private:
    void run();
    bool appendSome();

    platform::Log& log;
    const std::string stream;
    mutable std::mutex mutex;
    std::condition_variable wake;
    std::deque<records::JobRecord> records;
    bool stopping { false };
    std::thread thread;
};

} // namespace rattan::planner
