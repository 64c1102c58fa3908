#pragma once

// A job as GET /v1/jobs/:key shows it, and in words.

#include "base/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan::ctl {

struct JobView {
    std::string key;
    std::string jobClass;
    std::string state;
    std::string reason;
    std::string waitsFor;
    std::string result;
    std::vector<std::string> workers;
    std::int64_t members { 0 };
    std::int64_t membersReady { 0 };
    std::int64_t accelerators { 0 }; // Of each member.
    std::int64_t attempt { 0 };

    bool isFinal() const;
    bool isDone() const { return this->state == "done"; }
};

JobView parseJobView(const Json&);

// One line: the state and what there is to say of it.
std::string describe(const JobView&);

} // namespace rattan::ctl
