#include "standins/instance_answer.h"

#include <fmt/format.h>
#include <functional>
#include <sstream>

namespace rattan::testing {

namespace {

    platform::InstanceQuery queryOf(const http::Request& request)
    {
        platform::InstanceQuery query;
        query.domain = request.parameter("domain");
        std::istringstream kinds(request.parameter("kinds"));
        for (std::string word; std::getline(kinds, word, ',');) {
            if (const auto kind = platform::instanceKindNamed(word))
                query.kinds.push_back(*kind);
        }
        return query;
    }

} // namespace

http::Answer instancesAnswer(const std::vector<platform::Instance>& instances, const http::Request& request)
{
    const platform::InstanceQuery query = queryOf(request);
    Json wanted = Json::array();
    for (const platform::Instance& instance : instances) {
        if (platform::wants(query, instance))
            wanted.push_back(platform::toJson(instance));
    }
    http::Answer answer = http::jsonAnswer(200, { { "instances", std::move(wanted) } });
    const std::string tag = fmt::format("\"{:016x}\"", std::hash<std::string>()(answer.body));
    if (request.header("if-none-match") == tag)
        answer = { 304, "", "application/json", {} };
    answer.headers.emplace_back("ETag", tag);
    return answer;
}

} // namespace rattan::testing
