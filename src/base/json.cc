#include "base/json.h"

#include <fmt/format.h>

namespace rattan {

namespace {

    const Json emptyArray = Json::array();

    // Builds the value, and ends the parse at the first container that exceeds a limit.
    class LimitedJsonBuilder final : public nlohmann::json_sax<Json> {
    public:
        explicit LimitedJsonBuilder(const JsonLimits& limits)
            : limits(limits)
        {
        }

        bool null() override { return this->add(nullptr); }
        bool boolean(bool value) override { return this->add(value); }
        bool number_integer(number_integer_t value) override { return this->add(value); }
        bool number_unsigned(number_unsigned_t value) override { return this->add(value); }
        bool number_float(number_float_t value, const string_t&) override { return this->add(value); }
        bool string(string_t& value) override { return this->add(std::move(value)); }
        bool binary(binary_t& value) override { return this->add(std::move(value)); }
        bool start_object(std::size_t) override { return this->open(Json::object()); }
        bool start_array(std::size_t) override { return this->open(Json::array()); }
        bool end_object() override { return this->close(); }
        bool end_array() override { return this->close(); }
        bool key(string_t& name) override
        {
            this->member = std::move(name);
            return true;
        }
        bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

        Json result;
        bool exceeded { false };

    private:
        bool add(Json value)
        {
            this->place(std::move(value));
            return true;
        }

        bool open(Json container)
        {
            this->exceeded = this->openContainers.size() >= this->limits.maxDepth || this->containers >= this->limits.maxContainers;
            if (this->exceeded)
                return false;
            ++this->containers;
            this->openContainers.push_back(this->place(std::move(container)));
            return true;
        }

        bool close()
        {
            this->openContainers.pop_back();
            return true;
        }

        // Only the innermost open container grows, so that pointers to the outer ones stay valid.
        Json* place(Json value)
        {
            if (this->openContainers.empty())
                return &(this->result = std::move(value));
            Json& parent = *this->openContainers.back();
            if (parent.is_object())
                return &(parent[this->member] = std::move(value));
            parent.push_back(std::move(value));
            return &parent.back();
        }

        const JsonLimits limits;
        std::size_t containers { 0 };
        std::string member; // The name of the next value in an object.
        std::vector<Json*> openContainers; // From the outermost to the innermost.
    };

} // namespace

Result<Json> parseJson(std::string_view text, const std::string& step, const std::string& peer)
{
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        return fail(ErrorCode::BadInput, step, peer, "the body is not JSON");
    return json;
}

Result<Json> parseJson(std::string_view text, const JsonLimits& limits, const std::string& step)
{
    LimitedJsonBuilder builder(limits);
    if (!Json::sax_parse(text, &builder))
        return fail(ErrorCode::BadInput, step, "", builder.exceeded ? "the body nests too deep or has too many arrays and objects" : "the body is not JSON");
    return std::move(builder.result);
}

JsonReader::JsonReader(const Json& object, std::string step, std::string peer)
    : object(object)
    , step(std::move(step))
    , peer(std::move(peer))
{
    if (!object.is_object())
        this->addError("a JSON object is expected");
}

std::string JsonReader::text(const std::string& name, std::size_t minBytes, std::size_t maxBytes)
{
    const Json* value = this->find(name, true);
    if (!value)
        return {};
    if (!value->is_string()) {
        this->addError(name + " must be a string");
        return {};
    }
    const std::string& result = value->get_ref<const std::string&>();
    if (result.size() < minBytes || result.size() > maxBytes)
        this->addError(fmt::format("{} must have {} to {} bytes", name, minBytes, maxBytes));
    return result;
}

std::int64_t JsonReader::number(const std::string& name, std::int64_t minValue, std::int64_t maxValue)
{
    const Json* value = this->find(name, true);
    if (!value)
        return minValue;
    const bool fits = value->is_number_unsigned()
        ? value->get<std::uint64_t>() <= static_cast<std::uint64_t>(std::max<std::int64_t>(maxValue, 0))
        : value->is_number_integer();
    if (!fits || value->get<std::int64_t>() < minValue || value->get<std::int64_t>() > maxValue) {
        this->addError(fmt::format("{} must be a whole number from {} to {}", name, minValue, maxValue));
        return minValue;
    }
    return value->get<std::int64_t>();
}

const Json& JsonReader::array(const std::string& name, std::size_t maxItems)
{
    const Json* value = this->find(name, true);
    if (!value)
        return emptyArray;
    if (!value->is_array() || value->size() > maxItems) {
        this->addError(fmt::format("{} must be an array of at most {} items", name, maxItems));
        return emptyArray;
    }
    return *value;
}

std::string JsonReader::textOr(const std::string& name, const std::string& fallback, std::size_t maxBytes)
{
    return this->find(name, false) ? this->text(name, 0, maxBytes) : fallback;
}

std::int64_t JsonReader::numberOr(const std::string& name, std::int64_t fallback, std::int64_t minValue, std::int64_t maxValue)
{
    return this->find(name, false) ? this->number(name, minValue, maxValue) : fallback;
}

bool JsonReader::flagOr(const std::string& name, bool fallback)
{
    const Json* value = this->find(name, false);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        this->addError(name + " must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

const Json& JsonReader::anyOr(const std::string& name, const Json& fallback)
{
    const Json* value = this->find(name, false);
    return value ? *value : fallback;
}

bool JsonReader::has(const std::string& name) const { return this->object.is_object() && this->object.contains(name); }

void JsonReader::addError(std::string message) { addTo(this->errors, this->errorCount, std::move(message)); }

void JsonReader::addTo(std::vector<std::string>& messages, std::size_t& count, std::string message)
{
    if (++count > maxErrors)
        return;
    if (message.size() > maxErrorBytes)
        message.resize(maxErrorBytes);
    messages.push_back(std::move(message));
}

std::optional<Error> JsonReader::error() const
{
    std::vector<std::string> messages = this->errors;
    std::size_t count = this->errorCount;
    if (this->object.is_object() && !this->unknownFieldsAllowed) {
        for (const auto& item : this->object.items()) {
            if (!this->requestedFields.contains(item.key()))
                addTo(messages, count, fmt::format("{} is not a known field", item.key().substr(0, maxErrorBytes / 2)));
        }
    }
    if (messages.empty())
        return std::nullopt;
    if (count > messages.size())
        messages.push_back(fmt::format("and {} more", count - messages.size()));
    return Error { ErrorCode::BadInput, this->step, this->peer, fmt::format("{}", fmt::join(messages, "; ")), {} };
}

const Json* JsonReader::find(const std::string& name, bool required)
{
    this->requestedFields.insert(name);
    if (this->has(name))
        return &this->object.at(name);
    if (required)
        this->addError(name + " is missing");
    return nullptr;
}

} // namespace rattan
