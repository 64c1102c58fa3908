#pragma once

// Who is asking: a bearer token becomes a workspace or an operator.
//
//     Result<Caller> caller = authenticate(request.header("authorization"), *config, bootstrapSha256);
//
// Only SHA-256 digests of tokens are configured. The digest of the presented
// token is compared with every configured one in constant time, so the time
// taken tells nothing about how close a guess came. Tokens are never logged.

#include "base/error.h"
#include "config/configuration.h"

#include <string>
#include <string_view>

namespace rattan::entry {

enum class CallerKind {
    Operator,
    Workspace,
};

struct Caller {
    CallerKind kind { CallerKind::Workspace };
    std::string name; // Of the workspace or the operator.
};

// The digest as 64 lower-case hex digits.
std::string sha256Hex(std::string_view);

// Unauthorized when there is no token or nobody holds it. The text may be null:
// then only the bootstrap operator is known, and only then is he known.
Result<Caller> authenticate(const std::string& authorizationHeader, const config::Configuration* text,
    const std::string& bootstrapSha256);

} // namespace rattan::entry
