#include "entry/auth.h"

#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace rattan::entry {

namespace {

    constexpr std::string_view scheme = "Bearer ";
    constexpr std::size_t longestToken = 512;
    constexpr std::string_view step = "entry.authenticate";

    bool sameDigest(const std::string& left, const std::string& right)
    {
        return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
    }

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::string hex;
    for (const unsigned char byte : digest)
        hex += fmt::format("{:02x}", byte);
    return hex;
}

Result<Caller> authenticate(const std::string& authorizationHeader, const config::Configuration* text,
    const std::string& bootstrapSha256)
{
    if (authorizationHeader.rfind(scheme, 0) != 0 || authorizationHeader.size() > longestToken)
        return fail(ErrorCode::Unauthorized, std::string(step), "", "an 'Authorization: Bearer TOKEN' header is expected");
    const std::string digest = sha256Hex(std::string_view(authorizationHeader).substr(scheme.size()));
    std::optional<Caller> found;
    // Every entry is compared, so that the time does not tell which one matched.
    if (text) {
        for (const config::Operator& one : text->operators) {
            if (sameDigest(digest, one.tokenSha256))
                found = Caller { CallerKind::Operator, one.name };
        }
        for (const config::Workspace& one : text->workspaces) {
            if (sameDigest(digest, one.tokenSha256))
                found = Caller { CallerKind::Workspace, one.name };
        }
    } else if (sameDigest(digest, bootstrapSha256)) {
        found = Caller { CallerKind::Operator, "bootstrap" };
    }
    if (!found)
        return fail(ErrorCode::Unauthorized, std::string(step), "", "nobody holds this token");
    return *found;
}

} // namespace rattan::entry
