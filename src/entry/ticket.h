#pragma once

// Tickets: the right to dispatch one request once, bound to the process that
// minted them.
//
// A ticket names that process's incarnation and RPC address, a sequence number
// and the end of its life, and carries an HMAC under a random key that never
// leaves the process. Others can read where to take it; only the process itself
// can tell whether it is genuine, and only it may dispatch under it.

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rattan::entry {

struct Ticket {
    std::string incarnation;
    std::string address; // RPC, of the entry that minted it.
    std::uint64_t sequence { 0 };
    Millis expires { 0 }; // On the clock of that entry.
    std::string code; // HMAC-SHA256 in hex.
};

std::string toText(const Ticket&);

// Empty when the text has not the form of a ticket; genuine or not is not said.
std::optional<Ticket> parseTicket(const std::string&);

// HMAC-SHA256 over all other fields and the workspace, in hex.
std::string ticketCode(const Ticket&, const std::string& workspace, const std::string& secret);

// Constant time.
bool sameCode(const std::string& left, const std::string& right);

} // namespace rattan::entry
