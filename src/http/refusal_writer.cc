#include "http/refusal_writer.h"

#include "base/clock.h"

#include <array>
#include <cerrno>
#include <fmt/format.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>

namespace rattan::http::detail {

namespace {

    constexpr Millis maxDiscardTime = 200;
    constexpr std::size_t maxDiscardedBytes = 1 << 20;

    std::string serialize(const Answer& answer)
    {
        std::string text = fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            answer.status, MHD_get_reason_phrase_for(static_cast<unsigned>(answer.status)), answer.contentType, answer.body.size());
        for (const auto& [name, value] : answer.headers)
            text += fmt::format("{}: {}\r\n", name, value);
        return text + "\r\n" + answer.body;
    }

} // namespace

void writeRefusal(int socket, const Answer& answer)
{
    const std::string text = serialize(answer);
    // A client that does not read its earlier answers gets none to this request.
    if (send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
        return;
    shutdown(socket, SHUT_WR);
    const SystemClock clock;
    const Millis deadline = clock.now() + maxDiscardTime;
    std::array<char, 16384> buffer; // NOLINT: not initialized, since it is only written.
    for (std::size_t discarded = 0; discarded < maxDiscardedBytes;) {
        const Millis remaining = deadline - clock.now();
        pollfd descriptor { socket, POLLIN, 0 };
        if (remaining <= 0 || poll(&descriptor, 1, static_cast<int>(remaining)) <= 0)
            return;
        const ssize_t count = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR))
            return;
        discarded += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
}

} // namespace rattan::http::detail
