#include "entry/config_publisher.h"

#include "base/random.h"
#include "base/trace.h"

#include <fmt/format.h>
#include <thread>

namespace rattan::entry {

namespace {

    constexpr std::string_view step = "entry.publish";
    constexpr std::string_view stream = "config";
    constexpr std::size_t longestText = 1 << 20;
    constexpr std::size_t longestAuthor = 200;
    constexpr std::size_t publicationDigits = 24;
    constexpr std::size_t recordsPerRead = 200;
    constexpr std::chrono::milliseconds retryAfter(1000);
    constexpr std::chrono::milliseconds readWait(200);
    constexpr std::chrono::milliseconds pauseAfterFailure(100);

    PublishOutcome lostTo(const ActiveConfig& winner) { return { false, winner.version, winner.author }; }

} // namespace

Result<ConfigOrder> parseConfigOrder(const std::string& body, const std::string& peer)
{
    BOOST_LEAF_AUTO(json, parseJson(body, std::string(step), peer));
    JsonReader reader(json, std::string(step), peer);
    ConfigOrder order;
    order.amends = reader.number("amends", 0, std::numeric_limits<std::int64_t>::max() - 1);
    order.text = reader.text("text", 1, longestText);
    order.author = reader.textOr("author", "", longestAuthor);
    return reader.finish(std::move(order));
}

ConfigPublisher::ConfigPublisher(platform::Log& log, const ConfigWatch& watch, TextParser parser)
    : log(log)
    , watch(watch)
    , parser(std::move(parser))
{
}

Result<PublishOutcome> ConfigPublisher::publish(const ConfigOrder& order, std::chrono::milliseconds limit)
{
    Span span("entry.publish");
    BOOST_LEAF_CHECK(this->parser(order.text));
    const auto amends = static_cast<std::uint64_t>(order.amends);
    // An operator may know a version that has not reached this instance yet.
    if (amends > 0 && !this->watch.waitFor(amends, limit / 2))
        return fail(ErrorCode::Conflict, std::string(step), "", fmt::format("version {} is not in force here", amends), retryAfter);
    const auto active = this->watch.active();
    if (active && active->version > amends)
        return lostTo(*active);
    const config::Publication publication { order.amends, order.text, order.author, randomHex(publicationDigits) };
    const auto appended = attempt([&] { return this->log.append(std::string(stream), { config::publishRecord(publication) }); });
    const bool surelyNot = !appended && (appended.error.code == ErrorCode::Unavailable || appended.error.code == ErrorCode::Overloaded);
    if (surelyNot)
        return fail(ErrorCode::Unavailable, std::string(step), appended.error.peer, "the log did not take the text; nothing was published: " + appended.error.message, retryAfter);
    return this->awaitVerdict(publication, limit);
}

// The reply to the append may be lost and others publish at the same time, so
// what counts is the verdict that every reader of the stream reaches alike.
Result<PublishOutcome> ConfigPublisher::awaitVerdict(const config::Publication& publication, std::chrono::milliseconds limit)
{
    const std::lock_guard lock(this->mutex);
    const SystemClock clock;
    const Millis deadline = clock.now() + limit.count();
    while (clock.now() < deadline) {
        const auto page = attempt([&] { return this->log.read(std::string(stream), this->ledger.next(), recordsPerRead, readWait); });
        if (!page) {
            std::this_thread::sleep_for(pauseAfterFailure);
            continue;
        }
        this->ledger.handleTrim(page->firstKept);
        for (const platform::LogRecord& record : page->records)
            this->ledger.apply(record.offset, record.value);
        const auto verdict = this->ledger.outcomeOf(publication.id);
        if (!verdict || verdict->kind == config::OutcomeKind::Undecided) {
            if (const auto outcome = this->outcomeInForce(publication))
                return *outcome;
            continue;
        }
        if (verdict->kind == config::OutcomeKind::Ignored)
            return fail(ErrorCode::BadInput, std::string(step), "", verdict->reason);
        return PublishOutcome { verdict->kind == config::OutcomeKind::Accepted, static_cast<std::uint64_t>(verdict->version), verdict->author };
    }
    return fail(ErrorCode::Timeout, std::string(step), std::string(stream), "the text may still come into force; ask for the version later", retryAfter);
}

// A reader that starts after everything was trimmed takes a restate for its
// start, and one that comes after our publish tells the version but no verdict.
// Its operator would be told "it may still come into force" of a text that is.
// Only one publish makes the version after the one it amends, so the text that
// is in force under that number tells who won.
std::optional<PublishOutcome> ConfigPublisher::outcomeInForce(const config::Publication& publication) const
{
    const auto active = this->watch.active();
    const auto made = static_cast<std::uint64_t>(publication.amends) + 1;
    if (!active || active->version != made)
        return std::nullopt;
    return PublishOutcome { active->source == publication.yaml && active->author == publication.author, made, active->author };
}

} // namespace rattan::entry
