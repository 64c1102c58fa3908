#pragma once

// What the calling thread has used of the machine, to tell why a piece of work took long.
//
//     const ThreadUsage before = ThreadUsage::current();
//     doWork();
//     const ThreadUsage used = ThreadUsage::current() - before;
//
// A thread that worked all the time has used about as much processor time as has passed. One
// that waited for a processor has used less and counts involuntary context switches. One whose
// process or machine was suspended has used next to nothing and counts few of them. Major page
// faults are waits for memory that was not resident. From getrusage(2), which counts since the
// start of the thread.

#include "base/clock.h"

#include <cstdint>

namespace rattan {

struct ThreadUsage {
    Millis processorTime { 0 }; // In user and kernel mode.
    std::int64_t involuntarySwitches { 0 }; // The thread could have gone on, but another one got the processor.
    std::int64_t majorFaults { 0 }; // Page faults that had to wait for a disk.

    static ThreadUsage current();

    // What was used between two readings of the same thread.
    ThreadUsage operator-(const ThreadUsage& earlier) const;
};

} // namespace rattan
