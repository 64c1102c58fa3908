#include "tasks/catalog.h"

#include <algorithm>
#include <cctype>

namespace rattan::tasks {

namespace {

    std::string_view withoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

    bool sameHost(std::string_view left, std::string_view right)
    {
        left = withoutPort(left);
        right = withoutPort(right);
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
            return std::tolower(a) == std::tolower(b);
        });
    }

} // namespace

const Queue* Catalog::queueFor(std::string_view host, std::string_view path) const
{
    const Queue* best = nullptr;
    for (const Queue& queue : this->queues) {
        if (!path.starts_with(queue.pathPrefix) || !sameHost(queue.host, host))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const std::string* Catalog::workspaceFor(std::string_view key) const
{
    const auto found = this->workspaceOfKey.find(key);
    return found == this->workspaceOfKey.end() ? nullptr : &found->second;
}

std::int64_t Catalog::guaranteedAcceleratorsOf(std::string_view workspace) const
{
    for (const Workspace& rule : this->workspaces) {
        if (rule.name == workspace)
            return rule.guaranteedAccelerators;
    }
    return 0;
}

} // namespace rattan::tasks
