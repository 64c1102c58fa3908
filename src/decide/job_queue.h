#pragma once

// Jobs that wait for a place, by rank and workspace, each workspace's in order.

#include "decide/job_record.h"

#include <array>
#include <map>
#include <set>
#include <tuple>

namespace rattan::decide::detail {

struct QueueEntry {
    Millis order { 0 };
    JobId job { 0 };
    bool operator<(const QueueEntry& other) const
    {
        return std::tie(this->order, this->job) < std::tie(other.order, other.job);
    }
};

class JobQueue {
public:
    using Line = std::set<QueueEntry>;
    using Lines = std::map<WorkspaceId, Line>; // Empty lines are taken out.

    void add(const JobRecord& job)
    {
        if (this->editLines(job.rank)[job.spec.workspace].insert({ job.order, job.spec.job }).second)
            ++this->count;
    }

    void remove(const JobRecord& job)
    {
        Lines& lines = this->editLines(job.rank);
        const auto line = lines.find(job.spec.workspace);
        if (line == lines.end() || line->second.erase({ job.order, job.spec.job }) == 0)
            return;
        --this->count;
        if (line->second.empty())
            lines.erase(line);
    }

    const Lines& linesOf(Urgency rank) const { return this->ranks.at(static_cast<std::size_t>(rank)); }
    std::size_t size() const { return this->count; }

private:
    Lines& editLines(Urgency rank) { return this->ranks.at(static_cast<std::size_t>(rank)); }

    std::array<Lines, urgencyCount> ranks;
    std::size_t count { 0 };
};

} // namespace rattan::decide::detail
