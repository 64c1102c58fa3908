#pragma once

// The tickets that this process has minted, and what became of each.
//
//     const std::vector<std::string> tickets = book.mint("tours", 1);
//     const TicketUse use = book.begin(ticket, "tours", fingerprint);
//     if (use.mayDispatch)
//         book.finish(ticket, forwarder.forward(...));
//
// A ticket may be dispatched once; if that provably did not happen, it is as
// good as new. The table is bounded: once a used ticket has been dropped from
// it, that ticket and all before it are answered unknown. With the process its
// tickets end, so no replacement can dispatch under one. Thread-safe.

#include "entry/outcome.h"
#include "entry/ticket.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rattan::entry {

struct TicketUse {
    bool mayDispatch { false };
    Outcome outcome; // Unless it may be dispatched.
};

struct TicketLimits {
    std::size_t kept { 20000 };
    std::size_t answerBytes { 4 << 20 };
    Millis lifetime { 600000 };
};

class TicketBook {
public:
    static constexpr std::int64_t mostAtOnce = 100;

    TicketBook(std::string incarnation, TicketLimits, const Clock&);

    // Where this process is reached, once that is known; before the first mint.
    void setAddress(std::string);

    std::vector<std::string> mint(const std::string& workspace, std::int64_t count);

    bool isOwn(const Ticket& ticket) const { return ticket.incarnation == this->incarnation; }

    // One caller gets mayDispatch; all others get the outcome so far. The
    // fingerprint tells what is asked for: a used ticket answers only for that.
    TicketUse begin(const Ticket&, const std::string& workspace, const std::string& fingerprint);
    void finish(const Ticket&, const Outcome&);

    std::size_t size() const;

private:
    struct Use {
        bool finished { false };
        std::string fingerprint;
        Outcome outcome;
    };

    void makeRoom();

    const std::string incarnation;
    const TicketLimits limits;
    const Clock& clock;
    const std::string secret;
    mutable std::mutex mutex;
    std::string address;
    std::uint64_t nextSequence { 1 };
    std::uint64_t forgottenThrough { 0 };
    std::map<std::uint64_t, Use> uses; // By sequence number.
    std::size_t answerBytes { 0 };
};

} // namespace rattan::entry
