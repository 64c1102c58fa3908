#pragma once

// Cuts a stream of HTTP/1.1 bytes from a server into whole answers, so that a
// relay can damage exactly one of them. Only answers with content-length are
// known, which is what http::Server sends.

#include <string>
#include <vector>

namespace rattan::testing {

// The header by which a stand-in asks its own relay to damage the answer.
inline constexpr const char* answerFaultHeader = "x-standin-fault";

enum class AnswerFault {
    None,
    Drop, // The connection closes and no byte comes.
    Cut, // Half of the body comes, then the connection closes.
    Extra, // The whole answer, then bytes that belong to no answer.
};

struct FramedAnswer {
    std::string bytes;
    AnswerFault fault { AnswerFault::None };
};

class AnswerFramer {
public:
    // Takes the next bytes and returns the answers that are now whole.
    std::vector<FramedAnswer> feed(const std::string& bytes);

private:
    std::string pending;
};

struct DamagedAnswer {
    std::string bytes;
    bool closes { false };
};

// What comes out of the relay for an answer.
DamagedAnswer damage(const FramedAnswer&);

} // namespace rattan::testing
