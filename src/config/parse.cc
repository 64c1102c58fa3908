// Parsing has three passes: YAML to a bounded tree of nodes, nodes to fields with
// every value validated against the table of keys, then the checks that involve
// several values. The last pass also runs if some fields are invalid, so that its
// faults are reported together with theirs. Only checkGuarantees() is skipped unless
// the workers, the guarantees and the limits on accelerators are valid.

#include "config/parse.h"

#include "config/checks.h"
#include "config/section_reader.h"

#include <algorithm>
#include <fmt/format.h>

namespace rattan::config {

namespace {

    void readOperator(SectionReader& reader, Operator& target)
    {
        reader.name("name", target.name);
        reader.digest("token_sha256", target.tokenSha256);
    }

    void readPool(SectionReader& reader, WorkerPool& target)
    {
        reader.name("domain", target.domain);
        reader.number("racks", target.racks);
        reader.number("workers_per_rack", target.workersPerRack);
        reader.number("accelerators", target.accelerators);
        reader.number("cores", target.cores);
        reader.memory("memory", target.memoryMb);
    }

    void readOperation(SectionReader& reader, Operation& target)
    {
        reader.name("name", target.name);
        reader.urgency("urgency", target.urgency);
        reader.flag("idempotent", target.idempotent);
        reader.duration("deadline", target.deadline);
    }

    void readService(SectionReader& reader, Service& target)
    {
        reader.name("name", target.name);
        reader.names("depends_on", target.dependsOn);
        reader.items("operations", Section::Operations, target.operations, readOperation);
    }

    void readJobClass(SectionReader& reader, JobClass& target)
    {
        reader.name("name", target.name);
        reader.urgency("urgency", target.urgency);
        reader.flag("idempotent", target.idempotent);
        reader.flag("checkpointable", target.checkpointable);
        reader.duration("checkpoint_time", target.checkpointTime);
        reader.flag("stoppable", target.stoppable);
        reader.number("attempts", target.attempts);
    }

    void readGuarantee(SectionReader& reader, GuaranteedShape& target)
    {
        reader.number("count", target.count);
        reader.number("accelerators", target.accelerators);
        reader.adjacency("within", target.within);
    }

    void readWorkspace(SectionReader& reader, Workspace& target)
    {
        reader.name("name", target.name);
        reader.digest("token_sha256", target.tokenSha256);
        reader.items("guarantees", Section::Guarantees, target.guarantees, readGuarantee);
        reader.number("most_accelerators", target.maxAccelerators);
        reader.number("most_queued_jobs", target.maxQueuedJobs);
        reader.number("requests_per_second", target.requestsPerSecond);
    }

    Configuration readConfiguration(ParseState& state)
    {
        Configuration configuration;
        SectionReader reader(state, Section::TopLevel, state.tree.root, "");
        reader.number("format", configuration.format);
        reader.name("name", configuration.name);
        reader.items("operators", Section::Operators, configuration.operators, readOperator);
        reader.items("workers", Section::Workers, configuration.workers, readPool);
        reader.items("services", Section::Services, configuration.services, readService);
        reader.items("job_classes", Section::JobClasses, configuration.jobClasses, readJobClass);
        reader.items("workspaces", Section::Workspaces, configuration.workspaces, readWorkspace);
        reader.finish();
        return configuration;
    }

    // Whether checkGuarantees() must be skipped because of a fault. An invalid amount
    // leaves the default in its field, and the check would report faults with numbers
    // that are not in the operators' text.
    bool concernsPacking(const Fault& fault)
    {
        return fault.path.empty() || fault.path.rfind("workers", 0) == 0 || fault.path.find("guarantees") != std::string::npos
            || fault.path.find("most_accelerators") != std::string::npos;
    }

    void sortAndTruncate(Faults& faults)
    {
        std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) {
            return a.at.line != b.at.line ? a.at.line < b.at.line : a.at.column < b.at.column;
        });
        if (faults.size() > maxFaults) {
            const std::size_t omittedCount = faults.size() - maxFaults;
            faults.resize(maxFaults);
            faults.push_back({ {}, "", fmt::format("and {} faults more", omittedCount), "" });
        }
    }

} // namespace

ParseOutcome parse(const std::string& yaml)
{
    ParseOutcome outcome;
    if (yaml.size() > maxConfigurationBytes) {
        outcome.faults.push_back({ {}, "", fmt::format("the text has {} bytes", yaml.size()), fmt::format("at most {} bytes", maxConfigurationBytes) });
        return outcome;
    }
    const auto tree = readYaml(yaml, outcome.faults);
    if (!tree)
        return outcome;
    ParseState state { *tree, {}, {} };
    Configuration configuration = readConfiguration(state);
    const bool canPack = std::none_of(state.faults.begin(), state.faults.end(), concernsPacking);
    checkNames(configuration, state);
    checkDependencies(configuration, state);
    checkTokens(configuration, state);
    if (canPack)
        checkGuarantees(configuration, state);
    outcome.faults = std::move(state.faults);
    sortAndTruncate(outcome.faults);
    if (outcome.faults.empty())
        outcome.configuration = std::move(configuration);
    return outcome;
}

} // namespace rattan::config
