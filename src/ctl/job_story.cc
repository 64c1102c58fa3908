#include "ctl/job_story.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace rattan::ctl {

namespace {

    // Of a quoted value, up to and with its closing quote.
    std::string quotedValue(std::string_view& rest)
    {
        std::string value;
        rest.remove_prefix(1);
        while (!rest.empty() && rest.front() != '"') {
            if (rest.front() == '\\' && rest.size() > 1)
                rest.remove_prefix(1);
            value += rest.front();
            rest.remove_prefix(1);
        }
        if (!rest.empty())
            rest.remove_prefix(1);
        return value;
    }

    std::string field(const LogFields& fields, const std::string& name)
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }

    Millis numberOf(const std::string& text)
    {
        Millis value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    std::string runOf(const LogFields& fields) { return fmt::format("run {} of {}", field(fields, "run"), field(fields, "unit")); }

    std::string decision(const LogFields& fields, const std::string& job)
    {
        const std::string kind = field(fields, "kind");
        const std::string why = field(fields, "why");
        const std::string worker = field(fields, "worker");
        if (kind == "unit_placed")
            return fmt::format("{} is placed on {} ({})", runOf(fields), worker, why);
        if (kind == "unit_evicted" && field(fields, "job") != job)
            return fmt::format("{} of job {} is stopped for it", runOf(fields), field(fields, "job"));
        if (kind == "unit_evicted")
            return fmt::format("{} is stopped ({})", runOf(fields), why);
        if (kind == "tasks_placed")
            return fmt::format("first runs of step {} are placed ({})", field(fields, "unit"), why);
        if (kind == "guarantee_waits")
            return fmt::format("{} waits though guaranteed ({})", field(fields, "unit"), why);
        if (kind == "work_waits")
            return fmt::format("{} has waited longest of all ({})", field(fields, "unit"), why);
        if (kind == "job_idle")
            return fmt::format("nothing of it runs ({})", why);
        if (kind == "unit_retried")
            return fmt::format("{} is over ({}); it waits again", runOf(fields), why);
        if (kind == "unit_stalled")
            return fmt::format("{} stands still on {} ({})", runOf(fields), worker, why);
        if (kind == "job_finished")
            return fmt::format("the job is over: {}", why);
        return fmt::format("{} {} {}", kind, worker, why);
    }

    std::string sentence(const LogFields& fields, const std::string& job)
    {
        std::string name = field(fields, "name");
        if (name == "caller.answered")
            return fmt::format("a caller is told {} after {} ms{}{}", field(fields, "outcome"), field(fields, "waited_ms"),
                field(fields, "why").empty() ? "" : ": ", field(fields, "why"));
        if (name == "plan.decided")
            return decision(fields, job);
        if (name == "plan.order_refused")
            return fmt::format("the {} of {} is not taken by {} ({}{})", field(fields, "order"), field(fields, "run"), field(fields, "worker"),
                field(fields, "answer"), field(fields, "status").empty() ? "" : " " + field(fields, "status"));
        if (name == "lead.taken")
            return fmt::format("it plans from now on, in term {}", field(fields, "term"));
        if (name == "lead.lost")
            return fmt::format("it plans no more ({})", field(fields, "why"));
        return name;
    }

} // namespace

std::optional<LogFields> parseLogLine(std::string_view line)
{
    LogFields fields;
    // A collector may have put something of its own before the first field.
    const std::size_t begin = line.find("time=");
    if (begin == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = line.substr(begin);
    while (!rest.empty()) {
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        const std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        if (!rest.empty() && rest.front() == '"') {
            fields[key] = quotedValue(rest);
        } else {
            const std::size_t end = std::min(rest.find(' '), rest.size());
            fields[key] = std::string(rest.substr(0, end));
            rest.remove_prefix(end);
        }
        while (!rest.empty() && rest.front() == ' ')
            rest.remove_prefix(1);
    }
    if (!fields.contains("name"))
        return std::nullopt;
    return fields;
}

void JobStory::read(std::string_view line)
{
    const bool own = line.find(this->job) != std::string_view::npos;
    const bool ofPlanner = line.find("name=lead.taken") != std::string_view::npos || line.find("name=lead.lost") != std::string_view::npos;
    if (!own && !ofPlanner)
        return;
    const std::optional<LogFields> fields = parseLogLine(line);
    if (!fields)
        return;
    this->entries.push_back({ numberOf(field(*fields, "time")), *fields });
    this->ownLines += own ? 1 : 0;
}

std::vector<std::string> JobStory::sentences() const
{
    std::vector<Entry> sorted = this->entries;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Entry& a, const Entry& b) { return a.at < b.at; });
    const auto isOwn = [](const Entry& entry) { return !field(entry.fields, "name").starts_with("lead."); };
    const auto first = std::find_if(sorted.begin(), sorted.end(), isOwn);
    const auto last = std::find_if(sorted.rbegin(), sorted.rend(), isOwn).base();
    std::vector<std::string> sentences;
    for (auto entry = first; entry < last; ++entry) {
        constexpr double millisPerSecond = 1000;
        const double since = static_cast<double>(entry->at - first->at) / millisPerSecond;
        sentences.push_back(fmt::format("{:>9.3f} s  {}: {}", since, field(entry->fields, "instance"), sentence(entry->fields, this->job)));
    }
    return sentences;
}

} // namespace rattan::ctl
