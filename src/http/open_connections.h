#pragma once

// The connections of a server, and how far each one's request has got, so that a stop
// ends each of them between two requests.
//
//     OpenConnections connections;
//     OpenConnection& connection = connections.opened(socket);
//     connections.began(connection);      // a request line was read
//     connections.tookOver(connection);   // the request was read whole, and is answered
//     connections.finished(connection);   // the answer was written, or never will be
//     connections.closing(connection);    // before its socket is closed
//     connections.end();                  // each is closed once nothing is in progress on it
//     connections.waitUntilNone(limit);
//
// What ends a connection is that nothing more can be read from it: a request that has
// arrived by then is still read and answered, and one that arrives later is not read
// at all, which its caller can tell from one that was cut. Thread-safe.

#include "base/clock.h"

#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>

namespace rattan::http {

enum class RequestStage {
    None,
    Reading,
    Answering,
};

struct OpenConnection {
    int socket;
    RequestStage stage { RequestStage::None };
};

class OpenConnections {
public:
    OpenConnection& add(int socket);
    void markRequestStarted(OpenConnection&);
    void markRequestRead(OpenConnection&);
    void markRequestFinished(OpenConnection&);
    void remove(OpenConnection&);

    // Ends what is idle now, and each other connection with its request.
    void closeWhenIdle();

    // False if some are open after so many milliseconds.
    bool waitUntilEmpty(Millis limit);

    std::int64_t requestsInProgress() const; // Requests of which a part was read.
    std::int64_t requestsBeingAnswered() const; // Requests that were read whole.

private:
    std::int64_t count(RequestStage minStage) const;

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::list<OpenConnection> connections; // As many as the server lets in.
    bool isClosing { false };
};

} // namespace rattan::http
