#include "config/checks.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace rattan::config {

namespace {

    void addFault(ParseState& state, const std::string& path, std::string message, std::string accepted)
    {
        const auto position = state.positions.find(path);
        state.faults.push_back({ position == state.positions.end() ? Position {} : position->second, path, std::move(message), std::move(accepted) });
    }

    template <typename Item>
    void checkUnique(ParseState& state, const std::string& path, const std::vector<Item>& items)
    {
        std::set<std::string_view> seen;
        for (std::size_t i = 0; i < items.size(); ++i) {
            if (!items[i].name.empty() && !seen.insert(items[i].name).second)
                addFault(state, fmt::format("{}[{}].name", path, i), fmt::format("'{}' is already taken in this list", items[i].name), "a name of its own");
        }
    }

    // Depth-first search over the services. A dependency on a service that is on
    // the current path closes a cycle. The search is iterative with an explicit
    // stack, because a chain can be as long as the list of services.
    class DependencyCycleSearch {
    public:
        DependencyCycleSearch(const Configuration& configuration, ParseState& state)
            : configuration(configuration)
            , state(state)
            , visitStates(configuration.services.size(), VisitState::Unvisited)
        {
            for (std::size_t i = 0; i < configuration.services.size(); ++i)
                this->indexOf.try_emplace(configuration.services[i].name, i);
        }

        void run()
        {
            for (std::size_t i = 0; i < this->visitStates.size(); ++i) {
                if (this->visitStates[i] == VisitState::Unvisited)
                    this->visitFrom(i);
            }
        }

    private:
        enum class VisitState {
            Unvisited,
            OnPath,
            Finished,
        };

        struct PathEntry {
            std::size_t service;
            std::size_t nextDependency;
        };

        void visitFrom(std::size_t start)
        {
            this->visitStates[start] = VisitState::OnPath;
            this->path.push_back({ start, 0 });
            while (!this->path.empty()) {
                PathEntry& entry = this->path.back();
                const auto& dependsOn = this->configuration.services[entry.service].dependsOn;
                if (entry.nextDependency == dependsOn.size()) {
                    this->visitStates[entry.service] = VisitState::Finished;
                    this->path.pop_back();
                    continue;
                }
                this->followDependency(entry.service, entry.nextDependency++);
            }
        }

        void followDependency(std::size_t service, std::size_t dependency)
        {
            const auto found = this->indexOf.find(this->configuration.services[service].dependsOn[dependency]);
            if (found == this->indexOf.end())
                return;
            const std::size_t next = found->second;
            if (this->visitStates[next] == VisitState::OnPath)
                this->reportCycle(service, dependency, next);
            if (this->visitStates[next] != VisitState::Unvisited)
                return;
            this->visitStates[next] = VisitState::OnPath;
            this->path.push_back({ next, 0 });
        }

        void reportCycle(std::size_t service, std::size_t dependency, std::size_t next)
        {
            std::string cycle;
            bool isInCycle = false;
            for (const PathEntry& entry : this->path) {
                isInCycle = isInCycle || entry.service == next;
                if (isInCycle)
                    cycle += this->configuration.services[entry.service].name + " -> ";
            }
            addFault(this->state, fmt::format("services[{}].depends_on[{}]", service, dependency),
                "a cycle of dependencies: " + cycle + this->configuration.services[next].name, "dependencies without a cycle");
        }

        const Configuration& configuration;
        ParseState& state;
        std::vector<VisitState> visitStates;
        std::map<std::string_view, std::size_t> indexOf;
        std::vector<PathEntry> path;
    };

} // namespace

void checkNames(const Configuration& configuration, ParseState& state)
{
    checkUnique(state, "operators", configuration.operators);
    checkUnique(state, "services", configuration.services);
    checkUnique(state, "job_classes", configuration.jobClasses);
    checkUnique(state, "workspaces", configuration.workspaces);
    for (std::size_t i = 0; i < configuration.services.size(); ++i)
        checkUnique(state, fmt::format("services[{}].operations", i), configuration.services[i].operations);
}

void checkDependencies(const Configuration& configuration, ParseState& state)
{
    std::set<std::string_view> serviceNames;
    for (const Service& service : configuration.services)
        serviceNames.insert(service.name);
    for (std::size_t i = 0; i < configuration.services.size(); ++i) {
        std::set<std::string_view> seen;
        const auto& dependsOn = configuration.services[i].dependsOn;
        for (std::size_t j = 0; j < dependsOn.size(); ++j) {
            const std::string path = fmt::format("services[{}].depends_on[{}]", i, j);
            if (!dependsOn[j].empty() && !serviceNames.contains(dependsOn[j]))
                addFault(state, path, fmt::format("no service is named '{}'", dependsOn[j]), "the name of a service of this text");
            else if (!dependsOn[j].empty() && !seen.insert(dependsOn[j]).second)
                addFault(state, path, fmt::format("'{}' stands twice in this list", dependsOn[j]), "each service once");
        }
    }
    DependencyCycleSearch(configuration, state).run();
}

// Rejects tokens with two holders. They could not be distinguished, and a caller
// would get the rights of whichever holder is found first.
void checkTokens(const Configuration& configuration, ParseState& state)
{
    std::map<std::string_view, std::string> holders;
    const auto check = [&](const std::string& path, const std::string& digest) {
        if (digest.empty())
            return;
        const auto [holder, isNew] = holders.try_emplace(digest, path);
        if (!isNew)
            addFault(state, path + ".token_sha256", "the same token as " + holder->second, "a token of its own");
    };
    for (std::size_t i = 0; i < configuration.operators.size(); ++i)
        check(fmt::format("operators[{}]", i), configuration.operators[i].tokenSha256);
    for (std::size_t i = 0; i < configuration.workspaces.size(); ++i)
        check(fmt::format("workspaces[{}]", i), configuration.workspaces[i].tokenSha256);
}

} // namespace rattan::config
