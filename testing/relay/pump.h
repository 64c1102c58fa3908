#pragma once

// One direction of a relayed connection: bytes read from one socket wait here
// until they are due at the other.

#include "base/clock.h"
#include "relay/answer_framer.h"
#include "relay/relay_hub.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>

namespace rattan::testing {

class Pump {
public:
    static constexpr std::size_t mostQueuedBytes = 1 << 20;
    static constexpr Millis retransmission = 200; // The least TCP waits before it sends again.

    Pump(int from, int to, bool answers);

    // False once the source has ended or the queue is full.
    bool wantsRead() const { return !this->ended && this->queuedBytes < mostQueuedBytes; }
    // True when bytes are due and only the sink's room is missing.
    bool wantsWrite(Millis now) const;
    std::uint64_t bytesRead() const { return this->readBytes; }
    // When the next bytes are due; empty when nothing waits.
    std::optional<Millis> nextDue() const;

    // Reads what is there. False when the connection is broken.
    bool readSome(Millis now, const LinkRule&, std::mt19937_64& random);
    // Writes what is due. False when the connection is broken or has to close.
    bool writeDue(Millis now);
    bool finished() const { return this->ended && this->chunks.empty(); }

    int source() const { return this->from; }
    int sink() const { return this->to; }

private:
    struct Chunk {
        Millis due { 0 };
        std::string bytes;
        bool closes { false };
    };

    void push(Millis due, std::string bytes, bool closes);

    int from;
    int to;
    bool answers;
    bool ended { false };
    bool shutDown { false };
    Millis lastDue { 0 };
    std::size_t queuedBytes { 0 };
    AnswerFramer framer;
    std::deque<Chunk> chunks;
    std::uint64_t readBytes { 0 };
};

} // namespace rattan::testing
