#include "tasks/records.h"

#include "base/json.h"
#include "base/name_lookup.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>

namespace rattan::tasks {

namespace {

    struct KindName {
        RecordKind kind;
        std::string_view prefix;
    };

    constexpr std::array<KindName, 6> kinds { {
        { RecordKind::Job, "job/" },
        { RecordKind::Cancel, "cancel/" },
        { RecordKind::State, "state/" },
        { RecordKind::Progress, "progress/" },
        { RecordKind::Estimates, "learned/" },
        { RecordKind::LeaseLimit, "lease/" },
    } };

    constexpr std::array<std::string_view, 5> stateNames { "queued", "running", "completed", "failed", "cancelled" };

    Json resourcesJson(const Resources& resources) { return Json::array({ resources.milliCores, resources.memoryMb, resources.accelerators }); }

    Resources resourcesOf(const Json& json) { return { json.at(0).get<std::int64_t>(), json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>() }; }

    // Fields with default values are omitted, since most steps use few of them.
    template <typename T>
    void putUnlessDefault(Json& json, const char* name, const T& value, const T& defaults)
    {
        if (value != defaults)
            json[name] = value;
    }

    template <typename T>
    void getIfPresent(const Json& json, const char* name, T& value)
    {
        if (const auto found = json.find(name); found != json.end())
            value = found->get<T>();
    }

    Json stepJson(const Step& step)
    {
        static const Step defaults;
        Json json { { "count", step.count }, { "each", resourcesJson(step.perTask) } };
        putUnlessDefault(json, "estimate", step.estimate, defaults.estimate);
        putUnlessDefault(json, "after", step.dependsOn, defaults.dependsOn);
        putUnlessDefault(json, "saves", step.savesProgress, defaults.savesProgress);
        putUnlessDefault(json, "gang", step.gang, defaults.gang);
        putUnlessDefault(json, "sameRack", step.sameRack, defaults.sameRack);
        putUnlessDefault(json, "label", step.label, defaults.label);
        putUnlessDefault(json, "dataRack", step.dataRack, defaults.dataRack);
        putUnlessDefault(json, "perWorker", step.maxPerWorker, defaults.maxPerWorker);
        putUnlessDefault(json, "speculative", step.speculative, defaults.speculative);
        putUnlessDefault(json, "longRunning", step.longRunning, defaults.longRunning);
        putUnlessDefault(json, "fills", step.usesIdleCores, defaults.usesIdleCores);
        putUnlessDefault(json, "image", step.image, defaults.image);
        putUnlessDefault(json, "tailTarget", step.tailTarget, defaults.tailTarget);
        putUnlessDefault(json, "mayMiss", step.maxUnavailable, defaults.maxUnavailable);
        return json;
    }

    Step stepOf(const Json& json)
    {
        Step step;
        step.count = json.at("count").get<std::int64_t>();
        step.perTask = resourcesOf(json.at("each"));
        getIfPresent(json, "estimate", step.estimate);
        getIfPresent(json, "after", step.dependsOn);
        getIfPresent(json, "saves", step.savesProgress);
        getIfPresent(json, "gang", step.gang);
        getIfPresent(json, "sameRack", step.sameRack);
        getIfPresent(json, "label", step.label);
        getIfPresent(json, "dataRack", step.dataRack);
        getIfPresent(json, "perWorker", step.maxPerWorker);
        getIfPresent(json, "speculative", step.speculative);
        getIfPresent(json, "longRunning", step.longRunning);
        getIfPresent(json, "fills", step.usesIdleCores);
        getIfPresent(json, "image", step.image);
        getIfPresent(json, "tailTarget", step.tailTarget);
        getIfPresent(json, "mayMiss", step.maxUnavailable);
        return step;
    }

    Json termsJson(const QueueTerms& terms)
    {
        return { { "queue", terms.queue }, { "version", terms.version }, { "service", terms.service }, { "priority", terms.priority },
            { "attempts", terms.maxAttempts }, { "stretch", terms.stretch }, { "target", terms.latencyTarget },
            { "advice", Json::array({ terms.advice.perRequest, terms.advice.perWorker, terms.advice.ticketValidity }) } };
    }

    QueueTerms termsOf(const Json& json)
    {
        QueueTerms terms;
        getIfPresent(json, "queue", terms.queue);
        getIfPresent(json, "version", terms.version);
        getIfPresent(json, "service", terms.service);
        getIfPresent(json, "priority", terms.priority);
        getIfPresent(json, "attempts", terms.maxAttempts);
        getIfPresent(json, "stretch", terms.stretch);
        getIfPresent(json, "target", terms.latencyTarget);
        if (const auto found = json.find("advice"); found != json.end())
            terms.advice = { found->at(0).get<Millis>(), found->at(1).get<Millis>(), found->at(2).get<Millis>() };
        return terms;
    }

    Json incarnationJson(const Incarnation& incarnation) { return Json::array({ incarnation.id, incarnation.born }); }

    Incarnation incarnationOf(const Json& json) { return { json.at(0).get<std::string>(), json.at(1).get<Millis>() }; }

    // Each unit is an array without field names: there may be hundreds of units, and names
    // would be most of the size.
    // `hosts`, if given, are the workers that all units name by their index.
    Json unitJson(const UnitProgress& unit, const std::map<Incarnation, std::size_t>* hosts)
    {
        Json row = Json::array({ unit.occurrence, unit.step, unit.index, unit.run, unit.failedRuns, static_cast<int>(unit.state) });
        if (unit.state == UnitState::Done)
            return row;
        row.push_back(unit.checkpoint);
        Json workers = Json::array();
        for (const Incarnation& incarnation : unit.workers)
            workers.push_back(hosts ? Json(hosts->at(incarnation)) : incarnationJson(incarnation));
        row.push_back(std::move(workers));
        if (unit.crashes.empty() && unit.startedMembers.empty())
            return row;
        Json crashes = Json::array();
        for (const CrashedRun& crashed : unit.crashes)
            crashes.push_back(Json::array({ crashed.run, crashed.task, static_cast<int>(crashed.evidence) }));
        row.push_back(std::move(crashes));
        row.push_back(unit.suspect);
        row.push_back(unit.startedMembers);
        return row;
    }

    // Throws an error of Json, so that a damaged record is unreadable.
    Incarnation hostOf(const std::vector<Incarnation>& hosts, const Json& index)
    {
        const auto number = index.get<std::size_t>();
        return number < hosts.size() ? hosts[number] : incarnationOf(Json());
    }

    UnitProgress unitOf(const Json& row, const std::vector<Incarnation>& hosts)
    {
        UnitProgress unit;
        unit.occurrence = row.at(0).get<std::int64_t>();
        unit.step = row.at(1).get<std::int64_t>();
        unit.index = row.at(2).get<std::int64_t>();
        unit.run = row.at(3).get<std::int64_t>();
        unit.failedRuns = row.at(4).get<std::vector<std::int64_t>>();
        unit.state = static_cast<UnitState>(row.at(5).get<int>());
        if (row.size() > 6)
            unit.checkpoint = row.at(6).get<std::string>();
        if (row.size() > 7) {
            for (const Json& incarnation : row.at(7))
                unit.workers.push_back(incarnation.is_array() ? incarnationOf(incarnation) : hostOf(hosts, incarnation));
        }
        if (row.size() > 10) {
            for (const Json& crashed : row.at(8))
                unit.crashes.push_back({ crashed.at(0).get<std::int64_t>(), crashed.at(1).get<std::int64_t>(), static_cast<CrashEvidence>(crashed.at(2).get<int>()) });
            unit.suspect = row.at(9).get<bool>();
            unit.startedMembers = row.at(10).get<std::vector<std::int64_t>>();
        }
        return unit;
    }

    bool isOnlyDone(const UnitProgress& unit) { return unit == UnitProgress { .occurrence = unit.occurrence, .step = unit.step, .index = unit.index, .state = UnitState::Done }; }

    // Units that are done, as rows of occurrence, step, first and last index.
    Json doneRangesJson(const std::vector<UnitProgress>& units)
    {
        Json rows = Json::array();
        const UnitProgress* last = nullptr;
        for (const UnitProgress& unit : units) {
            if (!isOnlyDone(unit))
                continue;
            if (last && last->occurrence == unit.occurrence && last->step == unit.step && last->index + 1 == unit.index)
                rows.back().back() = unit.index;
            else
                rows.push_back(Json::array({ unit.occurrence, unit.step, unit.index, unit.index }));
            last = &unit;
        }
        return rows;
    }

    void addDoneRange(const Json& row, std::vector<UnitProgress>& units)
    {
        for (std::int64_t index = row.at(2).get<std::int64_t>(); index <= row.at(3).get<std::int64_t>(); ++index)
            units.push_back({ .occurrence = row.at(0).get<std::int64_t>(), .step = row.at(1).get<std::int64_t>(), .index = index, .state = UnitState::Done });
    }

    Json progressJson(const Progress& progress)
    {
        Json json { { "state", nameOf(progress.state) }, { "started", progress.started } };
        if (!progress.reason.empty())
            json["reason"] = progress.reason;
        if (progress.occurrencesDone > 0)
            json["done"] = progress.occurrencesDone;
        if (progress.terms)
            json["terms"] = termsJson(*progress.terms);
        return json;
    }

    // Only this project writes these records, so one that can't be parsed is damaged or from a
    // later version. Either way it is reported as an error, not interpreted in part.
    template <typename T, typename Function>
    Result<T> decode(std::string_view value, const char* step, Function&& read)
    {
        const Json json = Json::parse(value, nullptr, false);
        if (json.is_discarded())
            return fail(ErrorCode::BadInput, step, "", "the record is not JSON");
        try {
            return read(json);
        } catch (const Json::exception& problem) {
            return fail(ErrorCode::BadInput, step, "", problem.what());
        }
    }

} // namespace

std::string_view nameOf(JobState state) { return stateNames.at(static_cast<std::size_t>(state)); }

std::optional<JobState> parseJobState(std::string_view name)
{
    const auto state = indexOfName(stateNames, name);
    return state ? std::optional(static_cast<JobState>(*state)) : std::nullopt;
}

std::string formatKey(const RecordKey& key)
{
    for (const KindName& row : kinds) {
        if (row.kind == key.kind)
            return std::string(row.prefix) + key.job;
    }
    return {};
}

Result<RecordKey> parseKey(std::string_view text)
{
    for (const KindName& row : kinds) {
        if (text.starts_with(row.prefix))
            return RecordKey { row.kind, std::string(text.substr(row.prefix.size())) };
    }
    return fail(ErrorCode::BadInput, "tasks.key", "", "no kind of record: " + std::string(text));
}

std::string encodeJob(const Job& job)
{
    Json steps = Json::array();
    for (const Step& step : job.steps)
        steps.push_back(stepJson(step));
    Json json { { "workspace", job.workspace }, { "terms", termsJson(job.terms) }, { "text", job.text },
        { "steps", std::move(steps) }, { "accepted", job.acceptedAt } };
    if (job.repeats > 0) {
        json["repeats"] = job.repeats;
        json["startAt"] = job.startAt;
        json["interval"] = job.interval;
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Job> decodeJob(std::string_view id, std::string_view value)
{
    return decode<Job>(value, "tasks.job", [&](const Json& json) {
        Job job;
        job.id = id;
        getIfPresent(json, "workspace", job.workspace);
        job.terms = termsOf(json.at("terms"));
        getIfPresent(json, "text", job.text);
        for (const Json& step : json.at("steps"))
            job.steps.push_back(stepOf(step));
        getIfPresent(json, "repeats", job.repeats);
        getIfPresent(json, "startAt", job.startAt);
        getIfPresent(json, "interval", job.interval);
        getIfPresent(json, "accepted", job.acceptedAt);
        return job;
    });
}

std::string encodeState(JobState state) { return Json { { "state", nameOf(state) } }.dump(); }

Result<JobState> decodeState(std::string_view value)
{
    return decode<JobState>(value, "tasks.state", [](const Json& json) -> Result<JobState> {
        const auto state = parseJobState(json.at("state").get<std::string>());
        if (!state)
            return fail(ErrorCode::BadInput, "tasks.state", "", "no state of a job");
        return *state;
    });
}

std::string encodeProgress(const Progress& progress)
{
    Json json = progressJson(progress);
    for (const UnitProgress& unit : progress.units)
        json["units"].push_back(unitJson(unit, nullptr));
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encodeProgressBriefly(const Progress& progress)
{
    std::map<Incarnation, std::size_t> hosts;
    Json hostRows = Json::array();
    for (const UnitProgress& unit : progress.units) {
        for (const Incarnation& incarnation : unit.workers) {
            if (hosts.try_emplace(incarnation, hosts.size()).second)
                hostRows.push_back(incarnationJson(incarnation));
        }
    }
    Json json = progressJson(progress);
    json["hosts"] = std::move(hostRows);
    json["doneUnits"] = doneRangesJson(progress.units);
    for (const UnitProgress& unit : progress.units) {
        if (!isOnlyDone(unit))
            json["units"].push_back(unitJson(unit, &hosts));
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encodeProgress(const Progress& progress, std::size_t maxBytes)
{
    constexpr std::size_t minUnitBytes = 15; // Of a unit in the usual form.
    if (progress.units.size() * minUnitBytes < maxBytes) {
        std::string text = encodeProgress(progress);
        if (text.size() < maxBytes)
            return text;
    }
    return encodeProgressBriefly(progress);
}

Result<Progress> decodeProgress(std::string_view value)
{
    return decode<Progress>(value, "tasks.progress", [](const Json& json) -> Result<Progress> {
        Progress progress;
        if (const auto state = indexOfName(stateNames, json.at("state").get<std::string>()))
            progress.state = static_cast<JobState>(*state);
        getIfPresent(json, "started", progress.started);
        getIfPresent(json, "reason", progress.reason);
        getIfPresent(json, "done", progress.occurrencesDone);
        if (const auto terms = json.find("terms"); terms != json.end())
            progress.terms = termsOf(*terms);
        std::vector<Incarnation> hosts;
        if (const auto rows = json.find("hosts"); rows != json.end())
            std::transform(rows->begin(), rows->end(), std::back_inserter(hosts), incarnationOf);
        if (const auto ranges = json.find("doneUnits"); ranges != json.end()) {
            for (const Json& row : *ranges)
                addDoneRange(row, progress.units);
        }
        if (const auto units = json.find("units"); units != json.end()) {
            for (const Json& row : *units)
                progress.units.push_back(unitOf(row, hosts));
        }
        return progress;
    });
}

std::string encodeLeaseLimit(const LeaseLimit& limit) { return Json { { "term", limit.term }, { "remaining", limit.remaining } }.dump(); }

Result<LeaseLimit> decodeLeaseLimit(std::string_view value)
{
    return decode<LeaseLimit>(value, "tasks.lease", [](const Json& json) {
        return LeaseLimit { json.at("term").get<std::int64_t>(), json.at("remaining").get<Millis>() };
    });
}

std::string encodeCancel() { return "{}"; }

} // namespace rattan::tasks
