// A fresh reader finds its place in two ways: at offset 0, as long as the log
// still has it, or at a restate whose `upto` is still kept. The best such entry
// point is tracked while reading; when it has reached half the time that the log
// keeps a record, or is lost, the text is written again. Half leaves the other
// half for outages of the log.

#include "peers/config_keeper.h"

#include <algorithm>

namespace rattan::peers {

bool ConfigKeeper::read(const platform::LogPage& page, Millis, Millis wall)
{
    const std::int64_t before = this->ledger.inForce().number;
    this->firstKept = std::max(this->firstKept, page.firstKept);
    this->ledger.handleTrim(page.firstKept);
    for (const platform::LogRecord& record : page.records) {
        // A restate may send the reader back; the rest of the page is read then.
        if (record.offset != this->ledger.next())
            break;
        this->note(record);
        this->ledger.apply(record.offset, record.value);
    }
    this->caughtUp = this->ledger.next() >= page.next;
    if (!this->needsRestate(wall))
        this->dueSince = 0;
    return this->ledger.inForce().number > before;
}

bool ConfigKeeper::adopt(const config::Checkpoint& checkpoint) { return this->ledger.adopt(checkpoint); }

std::optional<Json> ConfigKeeper::restateDue(std::size_t rank, Millis now, Millis wall)
{
    // A reader that is behind may be about to read somebody else's restate.
    if (!this->caughtUp || !this->needsRestate(wall)) {
        this->dueSince = 0;
        return std::nullopt;
    }
    if (this->dueSince == 0)
        this->dueSince = now;
    const Millis turn = static_cast<Millis>(std::min(rank, this->options.mostSteps)) * this->options.rankStep;
    if (now - this->dueSince < turn || (this->triedAt > 0 && now - this->triedAt < this->options.retry))
        return std::nullopt;
    const auto checkpoint = this->ledger.checkpoint();
    if (!checkpoint)
        return std::nullopt;
    this->triedAt = now;
    return config::restateRecord(*checkpoint);
}

void ConfigKeeper::note(const platform::LogRecord& record)
{
    if (record.offset == 0 && !this->entry)
        this->entry = Entry { 0, record.atWall };
    if (!record.value.is_object() || record.value.value("kind", Json()) != "restate")
        return;
    const auto upto = record.value.find("upto");
    if (upto == record.value.end() || !upto->is_number_unsigned() || upto->get<std::uint64_t>() > record.offset)
        return;
    if (!this->entry || upto->get<std::uint64_t>() >= this->entry->upto)
        this->entry = Entry { upto->get<std::uint64_t>(), record.atWall };
}

bool ConfigKeeper::needsRestate(Millis wall) const
{
    if (this->ledger.inForce().number == 0)
        return false;
    const bool usable = this->entry && this->entry->upto >= this->firstKept;
    return !usable || wall - this->entry->atWall > this->options.retention / 2;
}

} // namespace rattan::peers
