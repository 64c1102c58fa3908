#include "ctl/job_view.h"

#include "ctl/json_field.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace rattan::ctl {

bool JobView::isFinal() const
{
    static constexpr std::array<std::string_view, 5> names { "done", "failed", "cancelled", "refused", "unknown" };
    return std::find(names.begin(), names.end(), this->state) != names.end();
}

JobView parseJobView(const Json& json)
{
    JobView view;
    view.key = textField(json, "key");
    view.jobClass = textField(json, "class");
    view.state = textField(json, "state");
    view.reason = textField(json, "reason");
    view.waitsFor = textField(json, "waits_for");
    view.result = textField(json, "result");
    view.workers = field<std::vector<std::string>>(json, "workers");
    view.members = numberField(json, "members");
    view.membersReady = numberField(json, "members_ready");
    view.accelerators = numberField(json, "accelerators");
    view.attempt = numberField(json, "attempt");
    return view;
}

std::string describe(const JobView& view)
{
    std::string text = view.state;
    if (view.state == "reserving")
        text += fmt::format(", {} of {} members ready", view.membersReady, view.members);
    if (!view.waitsFor.empty() && !view.isFinal())
        text += ", waits for " + view.waitsFor;
    if (!view.workers.empty() && !view.isFinal())
        text += fmt::format(" on {}", fmt::join(view.workers, ", "));
    if (view.attempt > 1)
        text += fmt::format(", attempt {}", view.attempt);
    if (!view.reason.empty())
        text += fmt::format(" ({})", view.reason);
    if (!view.result.empty())
        text += ": " + view.result;
    return text;
}

} // namespace rattan::ctl
