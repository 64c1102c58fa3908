#include "decide/view.h"

#include <array>

namespace rattan::decide {

namespace {

    constexpr std::array<std::string_view, 3> adjacencyNames { "worker", "rack", "domain" };
    constexpr std::array<std::string_view, 3> urgencyNames { "urgent", "ordinary", "patient" };
    constexpr std::array<std::string_view, 5> failureNames { "start_failed", "reserve_refused", "member_lost",
        "lease_lapsed", "other" };
    constexpr std::array<std::string_view, 8> stopNames { "cancelled", "reclaimed", "preempted", "moved", "overuse",
        "incomplete", "unanswered", "unknown" };
    constexpr std::array<std::string_view, 4> outcomeNames { "done", "failed", "cancelled", "refused" };
    constexpr std::array<std::string_view, 3> rightNames { "guaranteed", "borrowed", "firm" };
    constexpr std::array<std::string_view, 3> policyNames { "first_fit", "backfill", "guaranteed" };
    constexpr std::array<std::string_view, 6> stateNames { "queued", "claiming", "starting", "running", "checkpointing",
        "stopping" };

    template <typename Names, typename Value>
    std::string_view pick(const Names& names, Value value)
    {
        return names.at(static_cast<std::size_t>(value));
    }

} // namespace

std::string_view nameOf(Adjacency value) { return pick(adjacencyNames, value); }
std::string_view nameOf(Urgency value) { return pick(urgencyNames, value); }
std::string_view nameOf(FailureReason value) { return pick(failureNames, value); }
std::string_view nameOf(StopReason value) { return pick(stopNames, value); }
std::string_view nameOf(Outcome value) { return pick(outcomeNames, value); }
std::string_view nameOf(Right value) { return pick(rightNames, value); }
std::string_view nameOf(Policy value) { return pick(policyNames, value); }
std::string_view nameOf(JobState value) { return pick(stateNames, value); }

} // namespace rattan::decide
