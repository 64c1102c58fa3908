#pragma once

// The open connections of a server and the stage of the request on each of them, so that
// a stopping server closes each connection between two requests.
//
//     OpenConnections connections;
//     OpenConnection& connection = connections.add(socket);
//     connections.markRequestStarted(connection);   // the request line was read
//     connections.markRequestRead(connection);      // the complete request was read
//     connections.markAnswerReady(connection);      // the answer is known
//     connections.markRequestFinished(connection);  // the answer was written, or the request failed
//     connections.remove(connection);               // before its socket is closed
//     connections.closeWhenIdle();                  // closes each connection when it has no request
//     connections.waitUntilEmpty(limit);
//
// A connection is closed by shutting down its read side: a request that has arrived by
// then is still read and answered, and a later request is not read at all. Its caller can
// distinguish this from a request that was interrupted.
//
// Beyond `maxOpen` connections, each new one closes the one that has waited longest for its
// client: to begin a request, to send the rest of one, or for seconds to read its answer.
// Connections that have had an answer are closed last. Otherwise clients that send nothing would
// keep all others out. Thread-safe.

#include "base/clock.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <mutex>

namespace rattan::http {

enum class RequestStage {
    None,
    Reading,
    Answering,
    Sending, // The answer is being written.
};

struct OpenConnection {
    int socket;
    RequestStage stage { RequestStage::None };
    Millis waitingSince { 0 }; // When it was opened, its request was started, its answer was ready, or its last request was finished.
    bool hasAnswered { false }; // Whether an answer was sent on it.
    bool isClosing { false }; // It was shut down for another one.
    bool holdsLargeBody { false }; // A body that takes part of a shared budget.
};

class OpenConnections {
public:
    explicit OpenConnections(std::size_t maxOpen = std::numeric_limits<std::size_t>::max())
        : maxOpen(maxOpen)
    {
    }

    OpenConnection& add(int socket);
    void markRequestStarted(OpenConnection&);
    void markRequestRead(OpenConnection&);
    void markAnswerReady(OpenConnection&);
    void markRequestFinished(OpenConnection&);
    void markLargeBody(OpenConnection&); // Until its request is finished.
    void remove(OpenConnection&);

    // Closes the connection that has been sending a large body for longest, if that is `minTime`
    // milliseconds or more.
    void closeSlowestLargeBody(Millis minTime);

    // Shuts down the idle connections now, and every other one when its request ends.
    void closeWhenIdle();

    // Waits until all connections are removed. Returns false if some are still open after
    // `limit` milliseconds.
    bool waitUntilEmpty(Millis limit);

    std::int64_t requestsInProgress() const; // Requests that were read at least in part.
    std::int64_t requestsBeingAnswered() const; // Requests that were read completely.

private:
    std::int64_t count(RequestStage minStage) const;
    void closeLongestWaiting();
    static void close(OpenConnection&);

    const std::size_t maxOpen;
    const SystemClock clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::list<OpenConnection> connections; // Bounded by the connection limit of the server.
    std::size_t closing { 0 }; // Connections that are being closed for others.
    bool isClosing { false }; // All are.
};

} // namespace rattan::http
