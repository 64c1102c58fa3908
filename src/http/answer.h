#pragma once

// The request that an HTTP handler receives, and the answer that it returns.

#include "base/error.h"
#include "base/json.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace rattan::http {

// Why a body was not read to its end.
enum class BodyRefusal {
    None,
    TooLarge, // It is larger than the server's limit, as announced or as sent.
    NoMemory, // The bodies of other requests use the memory for bodies.
};

struct Request {
    std::string method;
    std::string path;
    std::string body; // Empty if it was refused.
    BodyRefusal bodyRefusal { BodyRefusal::None };
    std::string peer; // IP address of the caller.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::map<std::string, std::string> parameters; // From the path, by the names in the route pattern, and from the query.

    // The value of the header or parameter, or empty if it is absent.
    std::string header(const std::string& lowerCaseName) const;
    std::string parameter(const std::string& name) const;
};

struct Answer {
    int status { 200 };
    std::string body;
    std::string contentType { "application/json" };
    std::vector<std::pair<std::string, std::string>> headers;
};

Answer jsonAnswer(int status, const Json&);

// An answer with the body {"error":{"code","message","step","peer"}} and the status of
// the code. If Error::retryAfter is set, the answer has the header Retry-After, in whole
// seconds, rounded up.
Answer errorAnswer(const Error&);

int statusOf(ErrorCode);

} // namespace rattan::http
