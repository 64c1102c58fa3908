// The guarantees of a configuration apply to each failure domain, so every domain
// must have room for all of them at the same time. If a domain has too little room,
// a binary search finds the shortest prefix of the shapes, in the order of the
// configuration, that does not fit; its last shape is the one reported.

#include "config/checks.h"
#include "config/packing.h"

#include <fmt/format.h>
#include <map>
#include <optional>

namespace rattan::config {

namespace {

    struct Shape {
        std::string path;
        const Workspace* workspace;
        const GuaranteedShape* shape;
    };

    struct Domain {
        std::vector<RackCapacity> racks;
        std::int64_t workers { 0 };
        std::int64_t accelerators { 0 };
    };

    void addFault(ParseState& state, const std::string& path, std::string message, std::string accepted)
    {
        state.faults.push_back({ state.positions[path], path, std::move(message), std::move(accepted) });
    }

    std::vector<Shape> shapesOf(const Configuration& configuration)
    {
        std::vector<Shape> shapes;
        for (std::size_t i = 0; i < configuration.workspaces.size(); ++i) {
            const Workspace& workspace = configuration.workspaces[i];
            for (std::size_t j = 0; j < workspace.guarantees.size(); ++j)
                shapes.push_back({ fmt::format("workspaces[{}].guarantees[{}]", i, j), &workspace, &workspace.guarantees[j] });
        }
        return shapes;
    }

    std::map<std::string, Domain> domainsOf(const Configuration& configuration, ParseState& state)
    {
        std::map<std::string, Domain> domains;
        for (std::size_t i = 0; i < configuration.workers.size(); ++i) {
            const WorkerPool& pool = configuration.workers[i];
            Domain& domain = domains[pool.domain];
            domain.workers += pool.racks * pool.workersPerRack;
            domain.accelerators += pool.racks * pool.workersPerRack * pool.accelerators;
            if (domain.workers > maxWorkersPerDomain) {
                addFault(state, fmt::format("workers[{}]", i), fmt::format("failure domain '{}' has {} workers up to here", pool.domain, domain.workers),
                    fmt::format("at most {} workers in a failure domain", maxWorkersPerDomain));
                return {};
            }
            for (std::int64_t rack = 0; rack < pool.racks; ++rack)
                domain.racks.emplace_back(static_cast<std::size_t>(pool.workersPerRack), pool.accelerators);
        }
        return domains;
    }

    Fit tryFirstShapes(const Domain& domain, const std::vector<Shape>& shapes, std::size_t count, SearchBudget& budget)
    {
        std::vector<Piece> pieces;
        for (std::size_t i = 0; i < count; ++i) {
            for (std::int64_t copy = 0; copy < shapes[i].shape->count; ++copy)
                pieces.push_back({ shapes[i].shape->accelerators, shapes[i].shape->within });
        }
        return fits(domain.racks, pieces, budget);
    }

    std::string describe(const Shape& shape)
    {
        return fmt::format("{} x {} accelerators, one {} each, of workspace '{}'", shape.shape->count, shape.shape->accelerators,
            nameOf(shape.shape->within), shape.workspace->name);
    }

    // The index of the first shape that does not fit into a domain, or empty if all fit.
    struct Overflow {
        std::optional<std::size_t> shape;
        bool isProven { false }; // False if the search ran out of steps.
    };

    Overflow findOverflow(const Domain& domain, const std::vector<Shape>& shapes, SearchBudget& budget)
    {
        Fit fit = tryFirstShapes(domain, shapes, shapes.size(), budget);
        if (fit == Fit::Fits)
            return {};
        std::size_t fittingCount = 0;
        std::size_t failingCount = shapes.size();
        while (failingCount - fittingCount > 1) {
            const std::size_t middle = fittingCount + (failingCount - fittingCount) / 2;
            const Fit fitOfMiddle = tryFirstShapes(domain, shapes, middle, budget);
            if (fitOfMiddle == Fit::Fits) {
                fittingCount = middle;
                continue;
            }
            failingCount = middle;
            fit = fitOfMiddle;
        }
        return { failingCount - 1, fit == Fit::DoesNotFit };
    }

    void reportOverflow(const std::string& name, const Domain& domain, const Shape& shape, bool isProven, ParseState& state)
    {
        addFault(state, shape.path,
            fmt::format("{} {} failure domain '{}' together with the guarantees before it", describe(shape),
                isProven ? "does not fit into" : "could not be shown to fit into", name),
            fmt::format("guarantees that fit at once on its {} workers in {} racks with {} accelerators", domain.workers, domain.racks.size(),
                domain.accelerators));
    }

    bool isPieceCountBounded(const std::vector<Shape>& shapes, ParseState& state)
    {
        std::int64_t pieces = 0;
        for (const Shape& shape : shapes) {
            pieces += shape.shape->count;
            if (pieces > maxPieces) {
                addFault(state, shape.path, fmt::format("the guarantees have {} pieces up to here", pieces), fmt::format("at most {} pieces in all", maxPieces));
                return false;
            }
        }
        return true;
    }

    // Rejects a workspace whose limit is below its guarantees: such a guarantee
    // could never be met.
    void checkAcceleratorLimits(const Configuration& configuration, ParseState& state)
    {
        for (std::size_t i = 0; i < configuration.workspaces.size(); ++i) {
            const Workspace& workspace = configuration.workspaces[i];
            std::int64_t guaranteed = 0;
            for (const GuaranteedShape& shape : workspace.guarantees)
                guaranteed += shape.count * shape.accelerators;
            if (workspace.maxAccelerators > 0 && guaranteed > workspace.maxAccelerators) {
                addFault(state, fmt::format("workspaces[{}].most_accelerators", i), fmt::format("{} is below the {} that are guaranteed", workspace.maxAccelerators, guaranteed),
                    "0 for no limit, or at least what is guaranteed");
            }
        }
    }

} // namespace

void checkGuarantees(const Configuration& configuration, ParseState& state)
{
    checkAcceleratorLimits(configuration, state);
    const std::map<std::string, Domain> domains = domainsOf(configuration, state);
    const std::vector<Shape> shapes = shapesOf(configuration);
    if (shapes.empty() || !isPieceCountBounded(shapes, state))
        return;
    SearchBudget budget;
    std::map<std::vector<RackCapacity>, Overflow> overflowByRacks; // Identical domains are searched once.
    for (const auto& [name, domain] : domains) {
        const auto [entry, isNew] = overflowByRacks.try_emplace(domain.racks);
        if (isNew)
            entry->second = findOverflow(domain, shapes, budget);
        if (entry->second.shape)
            reportOverflow(name, domain, shapes[*entry->second.shape], entry->second.isProven, state);
    }
}

} // namespace rattan::config
