// All readers agree on the version at every offset, by induction over offsets: two
// readers that know the version at offset n agree on it, and the rule depends only
// on that version and the record at n, so they agree at n+1. A reader learns a
// version in three ways: it starts at offset 0 with version 0, it applies the next
// record, or it takes a checkpoint, which another reader computed in one of these
// ways. Publication ids only identify repeats in reported outcomes and never affect
// the version, because a reader that starts late has not seen all of them.

#include "config/ledger.h"

#include "config/parse.h"

#include <array>
#include <fmt/format.h>

namespace rattan::config {

namespace {

    constexpr std::int64_t maxVersion = std::int64_t { 1 } << 52;
    constexpr std::size_t maxIdBytes = 256;

    PublishOutcome ignored(std::string reason) { return { OutcomeKind::Ignored, 0, {}, std::move(reason) }; }

    Result<Publication> parsePublication(const Json& record)
    {
        JsonReader reader(record, "config.publish");
        reader.allowUnknownFields();
        Publication publication;
        publication.amends = reader.number("amends", 0, maxVersion);
        publication.yaml = reader.text("text", 1, maxConfigurationBytes);
        publication.author = reader.textOr("author", "", maxIdBytes);
        publication.id = reader.textOr("publication", "", maxIdBytes);
        if (reader.number("version", 1, maxVersion) != publication.amends + 1)
            reader.addError("version must be one above amends");
        return reader.finish(std::move(publication));
    }

    Result<Checkpoint> parseCheckpoint(const Json& record)
    {
        JsonReader reader(record, "config.restate");
        reader.allowUnknownFields();
        Checkpoint checkpoint;
        checkpoint.number = reader.number("version", 1, maxVersion);
        checkpoint.yaml = reader.text("text", 1, maxConfigurationBytes);
        checkpoint.author = reader.textOr("author", "", maxIdBytes);
        if (reader.has("upto"))
            checkpoint.upto = static_cast<std::uint64_t>(reader.number("upto", 0, maxVersion));
        return reader.finish(std::move(checkpoint));
    }

    std::string summarize(const Faults& faults)
    {
        const std::string first = describe(faults.front());
        return faults.size() == 1 ? first : fmt::format("{}; and {} more", first, faults.size() - 1);
    }

} // namespace

std::string_view nameOf(OutcomeKind kind)
{
    static constexpr std::array<std::string_view, 4> names { "accepted", "lost", "ignored", "undecided" };
    return names[static_cast<std::size_t>(kind)];
}

Json publishRecord(const Publication& publication)
{
    return { { "kind", "publish" }, { "version", publication.amends + 1 }, { "amends", publication.amends }, { "text", publication.yaml },
        { "author", publication.author }, { "publication", publication.id } };
}

Json restateRecord(const Checkpoint& checkpoint)
{
    Json record { { "kind", "restate" }, { "version", checkpoint.number }, { "text", checkpoint.yaml }, { "author", checkpoint.author } };
    if (checkpoint.upto)
        record["upto"] = *checkpoint.upto;
    return record;
}

void Ledger::handleTrim(std::uint64_t newFirstKept)
{
    this->firstKept = std::max(this->firstKept, newFirstKept);
    if (this->nextOffset >= this->firstKept)
        return;
    // Unread records were trimmed. Any of them may have changed the version, so
    // publishes cannot be evaluated until a checkpoint is applied.
    this->nextOffset = this->firstKept;
    this->streamVersion.reset();
}

PublishOutcome Ledger::apply(std::uint64_t offset, const Json& record)
{
    if (offset != this->nextOffset)
        return ignored("this record is not the next one");
    ++this->nextOffset;
    return this->evaluate(offset, record);
}

bool Ledger::adopt(const Checkpoint& checkpoint)
{
    const bool hasAdvanced = this->advanceTo(checkpoint);
    const bool isAhead = checkpoint.upto && (!this->streamVersion || *checkpoint.upto > this->nextOffset) && *checkpoint.upto >= this->firstKept;
    if (isAhead && checkpoint.number <= this->activeVersion.number) {
        this->streamVersion = StreamVersion { checkpoint.number, checkpoint.author };
        this->nextOffset = *checkpoint.upto;
    }
    return hasAdvanced;
}

std::optional<PublishOutcome> Ledger::outcomeOf(const std::string& publication) const
{
    const auto found = this->outcomes.find(publication);
    if (found == this->outcomes.end())
        return std::nullopt;
    return found->second;
}

std::optional<Checkpoint> Ledger::checkpoint() const
{
    if (!this->streamVersion || this->streamVersion->number != this->activeVersion.number || this->activeVersion.number == 0)
        return std::nullopt;
    return Checkpoint { this->activeVersion.number, this->activeVersion.yaml, this->activeVersion.author, this->nextOffset };
}

PublishOutcome Ledger::evaluate(std::uint64_t offset, const Json& record)
{
    if (!record.is_object() || !record.contains("kind") || !record["kind"].is_string())
        return ignored("not a record of this stream");
    const std::string& kind = record["kind"].get_ref<const std::string&>();
    if (kind == "publish")
        return this->evaluatePublish(record);
    if (kind == "restate")
        return this->evaluateRestate(offset, record);
    return ignored("not a kind of record of this stream");
}

PublishOutcome Ledger::evaluatePublish(const Json& record)
{
    const auto publication = attempt([&] { return parsePublication(record); });
    if (!publication)
        return ignored(publication.error.message);
    if (!this->streamVersion)
        return { OutcomeKind::Undecided, 0, {}, "this reader does not know its place in the log yet" };
    const auto earlier = this->outcomeOf(publication->id);
    if (earlier && earlier->kind == OutcomeKind::Accepted)
        return { OutcomeKind::Ignored, earlier->version, earlier->author, "a repeat of a publication that was accepted" };
    PublishOutcome publishOutcome = this->applyPublication(*publication);
    this->storeOutcome(publication->id, publishOutcome);
    return publishOutcome;
}

PublishOutcome Ledger::applyPublication(const Publication& publication)
{
    if (publication.amends != this->streamVersion->number) {
        return { OutcomeKind::Lost, this->streamVersion->number, this->streamVersion->author,
            fmt::format("it amends version {}, but version {} by '{}' was in force", publication.amends, this->streamVersion->number, this->streamVersion->author) };
    }
    ParseOutcome outcome = parse(publication.yaml);
    if (!outcome.configuration)
        return ignored("the text is refused: " + summarize(outcome.faults));
    this->streamVersion = StreamVersion { publication.amends + 1, publication.author };
    this->advanceTo({ this->streamVersion->number, publication.yaml, publication.author, std::make_shared<const Configuration>(std::move(*outcome.configuration)) });
    return { OutcomeKind::Accepted, this->streamVersion->number, publication.author, {} };
}

PublishOutcome Ledger::evaluateRestate(std::uint64_t offset, const Json& record)
{
    const auto checkpoint = attempt([&] { return parseCheckpoint(record); });
    if (!checkpoint)
        return ignored(checkpoint.error.message);
    if (this->streamVersion)
        return ignored("a restate tells this reader nothing new");
    if (checkpoint->upto && *checkpoint->upto > offset)
        return ignored("upto lies behind the record itself");
    this->advanceTo(*checkpoint);
    if (checkpoint->number > this->activeVersion.number)
        return ignored("the text is refused");
    if (!checkpoint->upto || *checkpoint->upto < this->firstKept)
        return { OutcomeKind::Undecided, checkpoint->number, checkpoint->author, "records after the restated place are gone" };
    this->streamVersion = StreamVersion { checkpoint->number, checkpoint->author };
    this->nextOffset = *checkpoint->upto;
    return { OutcomeKind::Accepted, checkpoint->number, checkpoint->author, {} };
}

bool Ledger::advanceTo(const Checkpoint& checkpoint)
{
    if (checkpoint.number <= this->activeVersion.number)
        return false;
    ParseOutcome outcome = parse(checkpoint.yaml);
    if (!outcome.configuration)
        return false;
    return this->advanceTo({ checkpoint.number, checkpoint.yaml, checkpoint.author, std::make_shared<const Configuration>(std::move(*outcome.configuration)) });
}

bool Ledger::advanceTo(Version version)
{
    if (version.number <= this->activeVersion.number)
        return false;
    this->activeVersion = std::move(version);
    return true;
}

void Ledger::storeOutcome(const std::string& publication, const PublishOutcome& publishOutcome)
{
    if (publication.empty())
        return;
    if (!this->outcomes.contains(publication))
        this->outcomeOrder.push_back(publication);
    this->outcomes[publication] = publishOutcome;
    if (this->outcomeOrder.size() > maxStoredOutcomes) {
        this->outcomes.erase(this->outcomeOrder.front());
        this->outcomeOrder.pop_front();
    }
}

} // namespace rattan::config
