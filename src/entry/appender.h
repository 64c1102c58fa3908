#pragma once

// Group commit: records that wait at the same time go to a stream of the log in
// one append, since the log takes only several hundred appends a second.
//
//     Appender appender(log, "claims");
//     appender.start();
//     const Attempt<std::uint64_t> offset = attempt([&] { return appender.append(record, 2000ms); });
//
// The error tells whether the record may be in the log: Unavailable and
// Overloaded say that it is not, Timeout and Interrupted that it may be, now or
// later. Thread-safe; append blocks, offer does not.

#include "platform/log.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace rattan::entry {

class Appender {
public:
    static constexpr std::size_t mostWaiting = 4000;
    static constexpr std::size_t mostInOneAppend = 200;

    Appender(platform::Log&, std::string stream);
    ~Appender();

    void start();
    void stop();

    // The record's offset, once the append is known to have taken effect.
    Result<std::uint64_t> append(Json record, std::chrono::milliseconds limit);

    // Nobody waits for this record; it is appended again until it surely took
    // effect, so repeating it must be harmless. False when too many wait.
    bool offer(Json record);

private:
    struct Item {
        Json record;
        bool untilDone { false };
        bool finished { false };
        Attempt<std::uint64_t> result;
    };
    using ItemPointer = std::shared_ptr<Item>;

    void run();
    bool push(const ItemPointer&);
    std::vector<ItemPointer> takeWaiting();
    void finish(const std::vector<ItemPointer>&, const Attempt<platform::AppendDone>&);

    platform::Log& log;
    const std::string stream;
    std::mutex mutex;
    std::condition_variable wake; // For the thread.
    std::condition_variable finished; // For those who wait.
    std::deque<ItemPointer> waiting;
    bool stopping { false };
    std::thread thread;
};

} // namespace rattan::entry
