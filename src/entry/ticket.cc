#include "entry/ticket.h"

#include "base/settings.h"

#include <array>
#include <charconv>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <vector>

namespace rattan::entry {

namespace {

    constexpr char separator = '~';
    constexpr std::string_view form = "t1";
    constexpr std::size_t fields = 6;
    constexpr std::size_t codeDigits = 64;
    constexpr std::size_t longestIncarnation = 100;

    std::string signedPart(const Ticket& ticket)
    {
        return fmt::format("{}{}{}{}{}{}{}{}{}", form, separator, ticket.incarnation, separator, ticket.address, separator,
            ticket.sequence, separator, ticket.expires);
    }

    std::vector<std::string> split(const std::string& text)
    {
        std::vector<std::string> parts;
        std::size_t start = 0;
        while (parts.size() <= fields) {
            const std::size_t end = text.find(separator, start);
            parts.push_back(text.substr(start, end - start));
            if (end == std::string::npos)
                break;
            start = end + 1;
        }
        return parts;
    }

    template <typename Number>
    bool readNumber(const std::string& text, Number& value)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

} // namespace

std::string toText(const Ticket& ticket) { return signedPart(ticket) + separator + ticket.code; }

std::optional<Ticket> parseTicket(const std::string& text)
{
    const std::vector<std::string> parts = split(text);
    if (parts.size() != fields || parts[0] != form || parts[1].empty() || parts[1].size() > longestIncarnation
        || parts[5].size() != codeDigits || !rattan::detail::isAddress(parts[2]))
        return std::nullopt;
    Ticket ticket;
    ticket.incarnation = parts[1];
    ticket.address = parts[2];
    ticket.code = parts[5];
    if (!readNumber(parts[3], ticket.sequence) || !readNumber(parts[4], ticket.expires))
        return std::nullopt;
    return ticket;
}

std::string ticketCode(const Ticket& ticket, const std::string& workspace, const std::string& secret)
{
    const std::string content = signedPart(ticket) + separator + workspace;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char*>(content.data()),
        content.size(), digest.data(), &length);
    std::string hex;
    for (unsigned i = 0; i < length; ++i)
        hex += fmt::format("{:02x}", digest.at(i));
    return hex;
}

bool sameCode(const std::string& left, const std::string& right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace rattan::entry
