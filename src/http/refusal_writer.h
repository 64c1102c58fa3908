#pragma once

// Writes an answer to a client that is still sending its body.

#include "http/answer.h"

namespace rattan::http::detail {

// Sends the answer on a nonblocking socket, shuts down the sending side and then discards what
// arrives for a short time. If the socket were closed at once, the unread bytes would reset the
// connection, and the client could lose the answer.
void writeRefusal(int socket, const Answer&);

} // namespace rattan::http::detail
