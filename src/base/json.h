#pragma once

// JSON at the edges, by nlohmann/json.
//
//     Result<Order> parseOrder(const Json& json)
//     {
//         JsonReader reader(json, "entry.order");
//         Order order;
//         order.key = reader.text("key", 1, 128);
//         order.count = reader.number("count", 1, 512);
//         return reader.finish(order);     // one error naming every bad field
//     }
//
// Parsing is bounded by the size of the text; depth costs no stack. Fields of
// the wrong type, out of range, missing or unknown are all reported at once.

#include "base/error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace rattan {

using Json = nlohmann::json;

// BadInput when the text is not one JSON value. `step` goes into the error.
Result<Json> parseJson(std::string_view text, const std::string& step, const std::string& peer = "");

class JsonReader {
public:
    JsonReader(const Json& object, std::string step, std::string peer = "");

    // Required fields; the value returned on a fault is a default to go on with.
    std::string text(const std::string& name, std::size_t minBytes, std::size_t maxBytes);
    std::int64_t number(const std::string& name, std::int64_t minValue, std::int64_t maxValue);
    const Json& array(const std::string& name, std::size_t maxItems);

    // Optional fields.
    std::string textOr(const std::string& name, const std::string& fallback, std::size_t maxBytes);
    std::int64_t numberOr(const std::string& name, std::int64_t fallback, std::int64_t minValue, std::int64_t maxValue);
    bool flagOr(const std::string& name, bool fallback);
    const Json& anyOr(const std::string& name, const Json& fallback);

    bool has(const std::string& name) const;
    void addError(std::string message);

    // Fields that nobody asked for become faults unless they are allowed.
    void allowUnknownFields() { this->unknownFieldsAllowed = true; }

    std::optional<Error> error() const;

    template <typename T>
    Result<T> finish(T value) const
    {
        if (auto error = this->error())
            return fail(std::move(*error));
        return value;
    }

private:
    const Json* find(const std::string& name, bool required);

    const Json& object;
    std::string step;
    std::string peer;
    std::set<std::string> requestedFields;
    std::vector<std::string> errors;
    bool unknownFieldsAllowed { false };
};

} // namespace rattan
