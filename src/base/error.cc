#include "base/error.h"

#include <array>

namespace rattan {

namespace {

    struct CodeName {
        ErrorCode code;
        std::string_view name;
    };

    constexpr std::array codeNames {
        CodeName { ErrorCode::BadInput, "bad_input" },
        CodeName { ErrorCode::Unauthorized, "unauthorized" },
        CodeName { ErrorCode::Forbidden, "forbidden" },
        CodeName { ErrorCode::NotFound, "not_found" },
        CodeName { ErrorCode::MethodNotAllowed, "method_not_allowed" },
        CodeName { ErrorCode::TooLarge, "too_large" },
        CodeName { ErrorCode::Conflict, "conflict" },
        CodeName { ErrorCode::Infeasible, "infeasible" },
        CodeName { ErrorCode::Overloaded, "overloaded" },
        CodeName { ErrorCode::Unavailable, "unavailable" },
        CodeName { ErrorCode::Timeout, "timeout" },
        CodeName { ErrorCode::Interrupted, "interrupted" },
        CodeName { ErrorCode::Internal, "internal" },
    };

} // namespace

std::string_view nameOf(ErrorCode code)
{
    for (const CodeName& entry : codeNames) {
        if (entry.code == code)
            return entry.name;
    }
    return "internal";
}

} // namespace rattan
