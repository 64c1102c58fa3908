#include "entry/config_publisher.h"

#include "base/random.h"
#include "base/trace.h"

#include <fmt/format.h>

namespace rattan::entry {

namespace {

    constexpr std::string_view step = "entry.publish";
    constexpr std::string_view stream = "config";
    constexpr std::size_t longestText = 1 << 20;
    constexpr std::size_t longestAuthor = 200;
    constexpr std::size_t publicationDigits = 24;
    constexpr std::size_t recordsPerRead = 200;
    constexpr std::chrono::milliseconds retryAfter(1000);

    struct Publication {
        std::uint64_t version { 0 }; // Zero: the record is no publication.
        std::string id;
        std::string text;
    };

    Publication readPublication(const Json& value)
    {
        JsonReader reader(value, std::string(step));
        reader.allowUnknown();
        Publication seen;
        seen.version = static_cast<std::uint64_t>(reader.number("version", 0, std::numeric_limits<std::int64_t>::max()));
        seen.id = reader.text("publication", 0, longestAuthor);
        seen.text = reader.text("text", 1, longestText);
        if (reader.text("kind", 1, longestAuthor) != "publish" || reader.error())
            return {};
        return seen;
    }

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
    const std::string publication = randomHex(publicationDigits);
    const Json record { { "kind", "publish" }, { "version", amends + 1 }, { "amends", amends }, { "text", order.text },
        { "author", order.author }, { "publication", publication } };
    const auto appended = attempt([&] { return this->log.append(std::string(stream), { record }); });
    const bool surelyNot = !appended && (appended.error.code == ErrorCode::Unavailable || appended.error.code == ErrorCode::Overloaded);
    if (surelyNot)
        return fail(ErrorCode::Unavailable, std::string(step), appended.error.peer, "the log did not take the text; nothing was published: " + appended.error.message, retryAfter);
    return this->awaitOutcome(order, publication, limit);
}

Result<PublishOutcome> ConfigPublisher::awaitOutcome(const ConfigOrder& order, const std::string& publication,
    std::chrono::milliseconds limit)
{
    const auto made = static_cast<std::uint64_t>(order.amends) + 1;
    if (!this->watch.waitFor(made, limit))
        return fail(ErrorCode::Timeout, std::string(step), std::string(stream), "the text is not in force yet and may still come into force; ask for the version later", retryAfter);
    const auto active = this->watch.active();
    if (active->version == made && active->source == order.text && active->author == order.author)
        return PublishOutcome { true, made, order.author };
    // Later versions may have followed mine already; the log tells who made it.
    std::uint64_t from = 0;
    while (true) {
        BOOST_LEAF_AUTO(page, this->log.read(std::string(stream), from, recordsPerRead, std::chrono::milliseconds(0)));
        for (const platform::LogRecord& record : page.records) {
            from = record.offset + 1;
            const Publication seen = readPublication(record.value);
            if (seen.version != made || !attempt([&] { return this->parser(seen.text); }))
                continue;
            if (seen.id == publication)
                return PublishOutcome { true, made, order.author };
            return lostTo(*active);
        }
        if (page.records.empty() || from >= page.next)
            return lostTo(*active);
    }
}

} // namespace rattan::entry
