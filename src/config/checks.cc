#include "config/checks.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace rattan::config {

namespace {

    void fault(ReadState& state, const std::string& path, std::string message, std::string accepted)
    {
        const auto place = state.places.find(path);
        state.faults.push_back({ place == state.places.end() ? Position {} : place->second, path, std::move(message), std::move(accepted) });
    }

    template <typename Item>
    void checkUnique(ReadState& state, const std::string& path, const std::vector<Item>& items)
    {
        std::set<std::string_view> seen;
        for (std::size_t i = 0; i < items.size(); ++i) {
            if (!items[i].name.empty() && !seen.insert(items[i].name).second)
                fault(state, fmt::format("{}[{}].name", path, i), fmt::format("'{}' is already taken in this list", items[i].name), "a name of its own");
        }
    }

    // Walks the services depth first; a dependency on a service that is still
    // open closes a cycle. The walk keeps its own stack, for a chain may be as
    // long as the list of services.
    class CycleSearch {
    public:
        CycleSearch(const Text& text, ReadState& state)
            : text(text)
            , state(state)
            , marks(text.services.size(), Mark::New)
        {
            for (std::size_t i = 0; i < text.services.size(); ++i)
                this->indexOf.try_emplace(text.services[i].name, i);
        }

        void run()
        {
            for (std::size_t i = 0; i < this->marks.size(); ++i) {
                if (this->marks[i] == Mark::New)
                    this->walk(i);
            }
        }

    private:
        enum class Mark {
            New,
            Open,
            Done,
        };

        struct Step {
            std::size_t service;
            std::size_t nextDependency;
        };

        void walk(std::size_t start)
        {
            this->marks[start] = Mark::Open;
            this->path.push_back({ start, 0 });
            while (!this->path.empty()) {
                Step& step = this->path.back();
                const auto& dependsOn = this->text.services[step.service].dependsOn;
                if (step.nextDependency == dependsOn.size()) {
                    this->marks[step.service] = Mark::Done;
                    this->path.pop_back();
                    continue;
                }
                this->follow(step.service, step.nextDependency++);
            }
        }

        void follow(std::size_t service, std::size_t dependency)
        {
            const auto found = this->indexOf.find(this->text.services[service].dependsOn[dependency]);
            if (found == this->indexOf.end())
                return;
            const std::size_t next = found->second;
            if (this->marks[next] == Mark::Open)
                this->report(service, dependency, next);
            if (this->marks[next] != Mark::New)
                return;
            this->marks[next] = Mark::Open;
            this->path.push_back({ next, 0 });
        }

        void report(std::size_t service, std::size_t dependency, std::size_t next)
        {
            std::string cycle;
            bool within = false;
            for (const Step& step : this->path) {
                within = within || step.service == next;
                if (within)
                    cycle += this->text.services[step.service].name + " -> ";
            }
            fault(this->state, fmt::format("services[{}].depends_on[{}]", service, dependency),
                "a cycle of dependencies: " + cycle + this->text.services[next].name, "dependencies without a cycle");
        }

        const Text& text;
        ReadState& state;
        std::vector<Mark> marks;
        std::map<std::string_view, std::size_t> indexOf;
        std::vector<Step> path;
    };

} // namespace

void checkNames(const Text& text, ReadState& state)
{
    checkUnique(state, "operators", text.operators);
    checkUnique(state, "services", text.services);
    checkUnique(state, "job_classes", text.jobClasses);
    checkUnique(state, "workspaces", text.workspaces);
    for (std::size_t i = 0; i < text.services.size(); ++i)
        checkUnique(state, fmt::format("services[{}].operations", i), text.services[i].operations);
}

void checkDependencies(const Text& text, ReadState& state)
{
    std::set<std::string_view> known;
    for (const Service& service : text.services)
        known.insert(service.name);
    for (std::size_t i = 0; i < text.services.size(); ++i) {
        std::set<std::string_view> seen;
        const auto& dependsOn = text.services[i].dependsOn;
        for (std::size_t j = 0; j < dependsOn.size(); ++j) {
            const std::string path = fmt::format("services[{}].depends_on[{}]", i, j);
            if (!dependsOn[j].empty() && !known.contains(dependsOn[j]))
                fault(state, path, fmt::format("no service is named '{}'", dependsOn[j]), "the name of a service of this text");
            else if (!dependsOn[j].empty() && !seen.insert(dependsOn[j]).second)
                fault(state, path, fmt::format("'{}' stands twice in this list", dependsOn[j]), "each service once");
        }
    }
    CycleSearch(text, state).run();
}

// Two holders of one token could not be told apart: a caller would act with
// the rights of whichever is found first.
void checkTokens(const Text& text, ReadState& state)
{
    std::map<std::string_view, std::string> holders;
    const auto check = [&](const std::string& path, const std::string& digest) {
        if (digest.empty())
            return;
        const auto [holder, isNew] = holders.try_emplace(digest, path);
        if (!isNew)
            fault(state, path + ".token_sha256", "the same token as " + holder->second, "a token of its own");
    };
    for (std::size_t i = 0; i < text.operators.size(); ++i)
        check(fmt::format("operators[{}]", i), text.operators[i].tokenSha256);
    for (std::size_t i = 0; i < text.workspaces.size(); ++i)
        check(fmt::format("workspaces[{}]", i), text.workspaces[i].tokenSha256);
}

} // namespace rattan::config
