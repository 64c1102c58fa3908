// Why every reader ends alike. By induction over offsets: two readers that know
// the version at offset n agree on it, and the rule looks at nothing but that
// version and the record at n, so they agree at n+1. A reader comes to know a
// version in three ways: it starts at offset 0 with version 0, it reads on, or
// it takes a checkpoint, which another reader computed in one of these ways.
// Ids of publications serve to name a repeat and never decide, because a reader
// that starts late has not seen them all.

#include "config/ledger.h"

#include "config/parse.h"

#include <array>
#include <fmt/format.h>

namespace rattan::config {

namespace {

    constexpr std::int64_t highestVersion = std::int64_t { 1 } << 52;
    constexpr std::size_t longestId = 256;

    Verdict ignored(std::string reason) { return { VerdictKind::Ignored, 0, {}, std::move(reason) }; }

    Result<Publication> parsePublication(const Json& record)
    {
        JsonReader reader(record, "config.publish");
        reader.allowUnknownFields();
        Publication publication;
        publication.amends = reader.number("amends", 0, highestVersion);
        publication.yaml = reader.text("text", 1, maximumTextBytes);
        publication.author = reader.textOr("author", "", longestId);
        publication.id = reader.textOr("publication", "", longestId);
        if (reader.number("version", 1, highestVersion) != publication.amends + 1)
            reader.addError("version must be one above amends");
        return reader.finish(std::move(publication));
    }

    Result<Checkpoint> parseCheckpoint(const Json& record)
    {
        JsonReader reader(record, "config.restate");
        reader.allowUnknownFields();
        Checkpoint checkpoint;
        checkpoint.number = reader.number("version", 1, highestVersion);
        checkpoint.yaml = reader.text("text", 1, maximumTextBytes);
        checkpoint.author = reader.textOr("author", "", longestId);
        if (reader.has("upto"))
            checkpoint.upto = static_cast<std::uint64_t>(reader.number("upto", 0, highestVersion));
        return reader.finish(std::move(checkpoint));
    }

    std::string summary(const Faults& faults)
    {
        const std::string first = describe(faults.front());
        return faults.size() == 1 ? first : fmt::format("{}; and {} more", first, faults.size() - 1);
    }

} // namespace

std::string_view nameOf(VerdictKind kind)
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

void Ledger::trimmed(std::uint64_t kept)
{
    this->firstKept = std::max(this->firstKept, kept);
    if (this->nextOffset >= this->firstKept)
        return;
    // Records went that were never read: any of them may have changed the
    // version, so a publish can no longer be judged from here.
    this->nextOffset = this->firstKept;
    this->tracked.reset();
}

Verdict Ledger::apply(std::uint64_t offset, const Json& record)
{
    if (offset != this->nextOffset)
        return ignored("this record is not the next one");
    ++this->nextOffset;
    return this->judge(offset, record);
}

bool Ledger::adopt(const Checkpoint& checkpoint)
{
    const bool isNews = this->raise(checkpoint);
    const bool isAhead = checkpoint.upto && (!this->tracked || *checkpoint.upto > this->nextOffset) && *checkpoint.upto >= this->firstKept;
    if (isAhead && checkpoint.number <= this->force.number) {
        this->tracked = Tracked { checkpoint.number, checkpoint.author };
        this->nextOffset = *checkpoint.upto;
    }
    return isNews;
}

std::optional<Verdict> Ledger::verdictOf(const std::string& publication) const
{
    const auto found = this->verdicts.find(publication);
    if (found == this->verdicts.end())
        return std::nullopt;
    return found->second;
}

std::optional<Checkpoint> Ledger::checkpoint() const
{
    if (!this->tracked || this->tracked->number != this->force.number || this->force.number == 0)
        return std::nullopt;
    return Checkpoint { this->force.number, this->force.yaml, this->force.author, this->nextOffset };
}

Verdict Ledger::judge(std::uint64_t offset, const Json& record)
{
    if (!record.is_object() || !record.contains("kind") || !record["kind"].is_string())
        return ignored("not a record of this stream");
    const std::string& kind = record["kind"].get_ref<const std::string&>();
    if (kind == "publish")
        return this->judgePublish(record);
    if (kind == "restate")
        return this->judgeRestate(offset, record);
    return ignored("not a kind of record of this stream");
}

Verdict Ledger::judgePublish(const Json& record)
{
    const auto publication = attempt([&] { return parsePublication(record); });
    if (!publication)
        return ignored(publication.error.message);
    if (!this->tracked)
        return { VerdictKind::Undecided, 0, {}, "this reader does not know its place in the log yet" };
    const auto earlier = this->verdictOf(publication->id);
    if (earlier && earlier->kind == VerdictKind::Accepted)
        return { VerdictKind::Ignored, earlier->version, earlier->author, "a repeat of a publication that was accepted" };
    Verdict verdict = this->accept(*publication);
    this->remember(publication->id, verdict);
    return verdict;
}

Verdict Ledger::accept(const Publication& publication)
{
    if (publication.amends != this->tracked->number) {
        return { VerdictKind::Lost, this->tracked->number, this->tracked->author,
            fmt::format("it amends version {}, but version {} by '{}' was in force", publication.amends, this->tracked->number, this->tracked->author) };
    }
    ParseOutcome outcome = parse(publication.yaml);
    if (!outcome.text)
        return ignored("the text is refused: " + summary(outcome.faults));
    this->tracked = Tracked { publication.amends + 1, publication.author };
    this->raise({ this->tracked->number, publication.yaml, publication.author, std::make_shared<const Text>(std::move(*outcome.text)) });
    return { VerdictKind::Accepted, this->tracked->number, publication.author, {} };
}

Verdict Ledger::judgeRestate(std::uint64_t offset, const Json& record)
{
    const auto checkpoint = attempt([&] { return parseCheckpoint(record); });
    if (!checkpoint)
        return ignored(checkpoint.error.message);
    if (this->tracked)
        return ignored("a restate tells this reader nothing new");
    if (checkpoint->upto && *checkpoint->upto > offset)
        return ignored("upto lies behind the record itself");
    this->raise(*checkpoint);
    if (checkpoint->number > this->force.number)
        return ignored("the text is refused");
    if (!checkpoint->upto || *checkpoint->upto < this->firstKept)
        return { VerdictKind::Undecided, checkpoint->number, checkpoint->author, "records after the restated place are gone" };
    this->tracked = Tracked { checkpoint->number, checkpoint->author };
    this->nextOffset = *checkpoint->upto;
    return { VerdictKind::Accepted, checkpoint->number, checkpoint->author, {} };
}

bool Ledger::raise(const Checkpoint& checkpoint)
{
    if (checkpoint.number <= this->force.number)
        return false;
    ParseOutcome outcome = parse(checkpoint.yaml);
    if (!outcome.text)
        return false;
    return this->raise({ checkpoint.number, checkpoint.yaml, checkpoint.author, std::make_shared<const Text>(std::move(*outcome.text)) });
}

bool Ledger::raise(Version version)
{
    if (version.number <= this->force.number)
        return false;
    this->force = std::move(version);
    return true;
}

void Ledger::remember(const std::string& publication, const Verdict& verdict)
{
    if (publication.empty())
        return;
    if (!this->verdicts.contains(publication))
        this->verdictOrder.push_back(publication);
    this->verdicts[publication] = verdict;
    if (this->verdictOrder.size() > verdictsKept) {
        this->verdicts.erase(this->verdictOrder.front());
        this->verdictOrder.pop_front();
    }
}

} // namespace rattan::config
