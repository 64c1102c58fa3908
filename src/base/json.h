#pragma once

// Parsing and validation of JSON input, based on nlohmann/json.
//
//     Result<Order> parseOrder(const Json& json)
//     {
//         JsonReader reader(json, "entry.order");
//         Order order;
//         order.key = reader.text("key", 1, 128);
//         order.count = reader.number("count", 1, 512);
//         return reader.finish(order);     // one error that names every bad field
//     }
//
// The cost of parsing is bounded by the size of the text, but a text of brackets takes about 80
// times its size in memory: for texts of untrusted senders, give JsonLimits. The parser is not
// recursive, so deeply nested input cannot overflow the stack.
// Fields that have the wrong type, are out of range, missing or unknown are reported together, in
// one BadInput error, up to JsonReader::maxErrors of them.

#include "base/error.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace rattan {

using Json = nlohmann::json;

// Parsing stops as soon as a limit is exceeded.
struct JsonLimits {
    std::size_t maxDepth { std::numeric_limits<std::size_t>::max() }; // Of arrays and objects in each other.
    std::size_t maxContainers { std::numeric_limits<std::size_t>::max() }; // Arrays and objects; each takes far more memory than its text.
};

// Parses `text`, and fails with BadInput unless it is exactly one JSON value. `step` and
// `peer` are copied into the error.
Result<Json> parseJson(std::string_view text, const std::string& step, const std::string& peer = "");

// Also fails with BadInput if the text exceeds a limit.
Result<Json> parseJson(std::string_view text, const JsonLimits&, const std::string& step);

// Reads the fields of one JSON object and collects an error for each invalid field. The
// object must outlive the reader.
class JsonReader {
public:
    // Further errors are only counted, and each is cut at `maxErrorBytes`: an error is sent back and
    // logged, and a text may have as many mistakes as bytes.
    static constexpr std::size_t maxErrors = 20;
    static constexpr std::size_t maxErrorBytes = 200;

    JsonReader(const Json& object, std::string step, std::string peer = "");

    // Read a required field. If it is missing or invalid, an error is added and a substitute
    // is returned: for text() an empty text or, if only its length is wrong, the text itself;
    // for number() minValue; for array() an empty array.
    std::string text(const std::string& name, std::size_t minBytes, std::size_t maxBytes);
    std::int64_t number(const std::string& name, std::int64_t minValue, std::int64_t maxValue);
    const Json& array(const std::string& name, std::size_t maxItems);

    // Read an optional field, or return `fallback` if it is missing. If it is present but
    // invalid, an error is added. anyOr() accepts every type.
    std::string textOr(const std::string& name, const std::string& fallback, std::size_t maxBytes);
    std::int64_t numberOr(const std::string& name, std::int64_t fallback, std::int64_t minValue, std::int64_t maxValue);
    bool flagOr(const std::string& name, bool fallback);
    const Json& anyOr(const std::string& name, const Json& fallback);

    bool has(const std::string& name) const;

    // Adds an error that the caller found.
    void addError(std::string message);

    // Accepts fields that were not read. Without this call each of them is an error.
    void allowUnknownFields() { this->unknownFieldsAllowed = true; }

    // All errors so far in one BadInput error, or nullopt if there are none.
    std::optional<Error> error() const;

    // Returns `value`, or fails with error() if there is one.
    template <typename T>
    Result<T> finish(T value) const
    {
        if (auto error = this->error())
            return fail(std::move(*error));
        return value;
    }

private:
    // The value of a field, or a null pointer if the field is missing. Adds an error if a
    // required field is missing.
    const Json* find(const std::string& name, bool required);

    static void addTo(std::vector<std::string>& messages, std::size_t& count, std::string message);

    const Json& object;
    std::string step;
    std::string peer;
    std::set<std::string> requestedFields;
    std::vector<std::string> errors;
    std::size_t errorCount { 0 };
    bool unknownFieldsAllowed { false };
};

} // namespace rattan
