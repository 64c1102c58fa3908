#include "driver/event_log.h"

#include <algorithm>

namespace rattan::driver {

namespace {

    bool isAdvice(GangEventKind kind) { return kind == GangEventKind::Progress || kind == GangEventKind::Usage; }

} // namespace

void EventLog::add(GangEvent event)
{
    if (isAdvice(event.kind) && this->events.size() >= this->capacity / 2)
        return;
    event.number = this->next++;
    this->events.push_back(std::move(event));
}

void EventLog::acknowledge(std::uint64_t number)
{
    // A planner of an earlier driver may hold a number that this one has not
    // reached; taking it would drop events that nobody has seen.
    if (number >= this->next)
        return;
    this->acknowledged = std::max(this->acknowledged, number);
    while (!this->events.empty() && this->events.front().number <= number)
        this->events.pop_front();
}

std::vector<GangEvent> EventLog::pending() const
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(this->capacity, this->events.size()));
    return { this->events.begin(), this->events.begin() + count };
}

} // namespace rattan::driver
