#pragma once

// Lets a server limit a body while ulfius reads it. ulfius has no callback for this, but it
// enlarges a body with a function of orcania that can be replaced.
//
//     detail::installBodyGuards();        // before the first server starts
//     detail::guardBody(request, guard);  // on the thread that reads the request's body
//     detail::endGuard();                 // on the same thread: the body is read, or the request failed
//
// After a refusal ulfius ends the request without a callback and closes its connection.

#include <cstddef>
#include <ulfius.h>

namespace rattan::http::detail {

class BodyGuard {
public:
    virtual ~BodyGuard() = default;

    // Whether the body may be enlarged to this many bytes. Called on the thread that reads it.
    virtual bool mayGrow(std::size_t bytes) = 0;
};

// Idempotent. Replaces the allocation functions of orcania for the whole process.
void installBodyGuards();

// The request and the guard must exist until endGuard().
void guardBody(const _u_request*, BodyGuard&);
void endGuard();

} // namespace rattan::http::detail
