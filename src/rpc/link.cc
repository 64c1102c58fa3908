#include "rpc/link.h"

#include <string_view>

namespace rattan::rpc::detail {

namespace {

    ErrorCode codeFor(const kj::Exception& problem)
    {
        const std::string_view text = problem.getDescription().cStr();
        switch (problem.getType()) {
        case kj::Exception::Type::DISCONNECTED:
            return text.find("connect(") != std::string_view::npos ? ErrorCode::Unavailable : ErrorCode::Interrupted;
        case kj::Exception::Type::OVERLOADED:
            return ErrorCode::Timeout;
        default:
            return ErrorCode::Internal;
        }
    }

} // namespace

Error toError(const kj::Exception& problem, const std::string& step, const std::string& peer)
{
    return { codeFor(problem), step, peer, problem.getDescription().cStr(), {} };
}

} // namespace rattan::rpc::detail
