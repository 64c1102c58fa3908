#include "entry/answers.h"

#include <openssl/evp.h>
#include <vector>

namespace rattan::entry {

namespace {

    bool isUtf8(const std::string& text)
    {
        try {
            static_cast<void>(Json(text).dump());
            return true;
        } catch (const Json::type_error&) {
            return false;
        }
    }

    std::string base64(const std::string& bytes)
    {
        // Four digits for each three bytes begun, and a closing zero.
        std::vector<unsigned char> text((bytes.size() + 2) / 3 * 4 + 1);
        const int length = EVP_EncodeBlock(text.data(), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        return { text.begin(), text.begin() + length };
    }

    void putAnswer(Json& json, const Outcome& outcome)
    {
        if (!outcome.answerKept)
            json["answer_kept"] = false;
        else if (isUtf8(outcome.answer))
            json["answer"] = outcome.answer;
        else
            json["answer_base64"] = base64(outcome.answer);
    }

} // namespace

http::Answer outcomeAnswer(const Outcome& outcome, const std::string& key)
{
    constexpr int ok = 200;
    if (outcome.kind == OutcomeKind::Done) {
        Json json { { "outcome", nameOf(outcome.kind) }, { "status", outcome.status } };
        if (!key.empty())
            json["key"] = key;
        putAnswer(json, outcome);
        return http::jsonAnswer(ok, json);
    }
    http::Answer answer = http::errorAnswer(outcome.error);
    Json json = Json::parse(answer.body);
    json["outcome"] = nameOf(outcome.kind);
    if (!key.empty())
        json["key"] = key;
    answer.body = http::jsonAnswer(answer.status, json).body;
    return answer;
}

} // namespace rattan::entry
