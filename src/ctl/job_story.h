#pragma once

// The story of a job out of collected log lines: who accepted it, what it waited
// for, where each of its runs began and how it ended.
//
//     JobStory story("5c0e7a21d94b36f8");
//     while (std::getline(file, line))
//         story.read(line);
//     for (const std::string& sentence : story.sentences()) ...
//
// Lines of any instances may come in any order; those that are no log lines, or
// tell of other jobs, are passed over. Changes of the planner within the job's
// life are part of its story. Bounded by the lines that concern the job.

#include "base/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattan::ctl {

using LogFields = std::map<std::string, std::string>;

// The fields of one line; empty if it is no log line.
std::optional<LogFields> parseLogLine(std::string_view);

class JobStory {
public:
    explicit JobStory(std::string job)
        : job(std::move(job))
    {
    }

    void read(std::string_view line);
    bool empty() const { return this->ownLines == 0; }

    // In the order of time, each beginning with the time since the first.
    std::vector<std::string> sentences() const;

private:
    struct Entry {
        Millis at { 0 };
        LogFields fields;
    };

    std::string job;
    std::vector<Entry> entries;
    std::size_t ownLines { 0 };
};

} // namespace rattan::ctl
