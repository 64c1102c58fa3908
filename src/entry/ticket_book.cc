#include "entry/ticket_book.h"

#include <algorithm>
#include <array>
#include <openssl/rand.h>
#include <stdexcept>

namespace rattan::entry {

namespace {

    constexpr std::string_view step = "entry.ticket";
    constexpr std::size_t secretBytes = 32;
    constexpr std::chrono::milliseconds askAgain(500);

    // A guessable secret would let a caller make tickets of its own.
    std::string newSecret()
    {
        std::array<unsigned char, secretBytes> bytes {};
        if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
            throw std::runtime_error("no random bytes for the ticket secret");
        return { bytes.begin(), bytes.end() };
    }

    Outcome refused(OutcomeKind kind, ErrorCode code, std::string message, std::chrono::milliseconds retryAfter = {})
    {
        return { kind, 0, {}, true, Error { code, std::string(step), "", std::move(message), retryAfter } };
    }

} // namespace

TicketBook::TicketBook(std::string incarnation, TicketLimits limits, const Clock& clock)
    : incarnation(std::move(incarnation))
    , limits(limits)
    , clock(clock)
    , secret(newSecret())
{
}

void TicketBook::setAddress(std::string rpcAddress)
{
    const std::lock_guard lock(this->mutex);
    this->address = std::move(rpcAddress);
}

std::vector<std::string> TicketBook::mint(const std::string& workspace, std::int64_t count)
{
    std::vector<std::string> tickets;
    const std::lock_guard lock(this->mutex);
    for (std::int64_t i = 0; i < count; ++i) {
        Ticket ticket { this->incarnation, this->address, this->nextSequence++, this->clock.now() + this->limits.lifetime, {} };
        ticket.code = ticketCode(ticket, workspace, this->secret);
        tickets.push_back(toText(ticket));
    }
    return tickets;
}

TicketUse TicketBook::begin(const Ticket& ticket, const std::string& workspace, const std::string& fingerprint)
{
    if (!this->isOwn(ticket))
        return { false, refused(OutcomeKind::Unknown, ErrorCode::Conflict, "the process that minted the ticket is gone; whether it ran the request is not known") };
    if (!sameCode(ticket.code, ticketCode(ticket, workspace, this->secret)))
        return { false, refused(OutcomeKind::Unknown, ErrorCode::Forbidden, "the ticket is not one of this workspace") };
    const std::lock_guard lock(this->mutex);
    const auto found = this->uses.find(ticket.sequence);
    if (found != this->uses.end()) {
        if (found->second.fingerprint != fingerprint)
            return { false, refused(OutcomeKind::Unknown, ErrorCode::Conflict, "the ticket was used for another request") };
        if (found->second.finished)
            return { false, found->second.outcome };
        return { false, refused(OutcomeKind::Unknown, ErrorCode::Conflict, "the request runs now", askAgain) };
    }
    if (ticket.sequence <= this->forgottenThrough)
        return { false, refused(OutcomeKind::Unknown, ErrorCode::Conflict, "what became of this ticket is no longer known") };
    if (this->clock.now() > ticket.expires)
        return { false, refused(OutcomeKind::NotRun, ErrorCode::BadInput, "the ticket has expired unused") };
    this->makeRoom();
    this->uses.emplace(ticket.sequence, Use { false, fingerprint, {} });
    return { true, {} };
}

void TicketBook::finish(const Ticket& ticket, const Outcome& outcome)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->uses.find(ticket.sequence);
    if (found == this->uses.end())
        return;
    if (outcome.kind == OutcomeKind::NotRun) {
        this->uses.erase(found);
        return;
    }
    found->second.finished = true;
    found->second.outcome = outcome;
    this->answerBytes += outcome.answer.size();
    for (auto use = this->uses.begin(); use != this->uses.end() && this->answerBytes > this->limits.answerBytes; ++use) {
        std::string& answer = use->second.outcome.answer;
        if (answer.empty())
            continue;
        this->answerBytes -= answer.size();
        use->second.outcome.answerKept = false;
        answer.clear();
    }
}

std::size_t TicketBook::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->uses.size();
}

void TicketBook::makeRoom()
{
    while (this->uses.size() >= this->limits.kept) {
        const auto oldest = this->uses.begin();
        this->forgottenThrough = std::max(this->forgottenThrough, oldest->first);
        this->answerBytes -= oldest->second.outcome.answer.size();
        this->uses.erase(oldest);
    }
}

} // namespace rattan::entry
