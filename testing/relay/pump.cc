#include "relay/pump.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace rattan::testing {

namespace {

    bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

} // namespace

Pump::Pump(int from, int to, bool answers)
    : from(from)
    , to(to)
    , answers(answers)
{
}

bool Pump::wantsWrite(Millis now) const { return !this->chunks.empty() && this->chunks.front().due <= now; }

std::optional<Millis> Pump::nextDue() const
{
    if (this->chunks.empty())
        return std::nullopt;
    return this->chunks.front().due;
}

bool Pump::readSome(Millis now, const LinkRule& rule, std::mt19937_64& random)
{
    std::array<char, 16384> buffer;
    const ssize_t count = recv(this->from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0)
        return wouldBlock();
    if (count == 0) {
        this->ended = true;
        return true;
    }
    this->readBytes += static_cast<std::uint64_t>(count);
    Millis due = now + rule.delay;
    if (rule.loss > 0 && std::uniform_real_distribution<double>(0, 1)(random) < rule.loss)
        due += retransmission;
    // TCP keeps its order: nothing overtakes a chunk that was held back.
    due = std::max(due, this->lastDue);
    this->lastDue = due;
    const std::string bytes(buffer.data(), static_cast<std::size_t>(count));
    if (!this->answers) {
        this->push(due, bytes, false);
        return true;
    }
    for (const FramedAnswer& answer : this->framer.feed(bytes)) {
        DamagedAnswer damaged = damage(answer);
        this->push(due, std::move(damaged.bytes), damaged.closes);
    }
    return true;
}

bool Pump::writeDue(Millis now)
{
    while (this->wantsWrite(now)) {
        Chunk& chunk = this->chunks.front();
        const ssize_t count = send(this->to, chunk.bytes.data(), chunk.bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0)
            return wouldBlock();
        this->queuedBytes -= static_cast<std::size_t>(count);
        chunk.bytes.erase(0, static_cast<std::size_t>(count));
        if (!chunk.bytes.empty())
            return true;
        if (chunk.closes)
            return false;
        this->chunks.pop_front();
    }
    if (this->finished() && !this->shutDown) {
        shutdown(this->to, SHUT_WR);
        this->shutDown = true;
    }
    return true;
}

void Pump::push(Millis due, std::string bytes, bool closes)
{
    this->queuedBytes += bytes.size();
    this->chunks.push_back({ due, std::move(bytes), closes });
}

} // namespace rattan::testing
