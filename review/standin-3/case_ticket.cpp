// Jobs of a queue with advice that never begin.
//
//     case-ticket PROGRAM DIRECTORY RECORD TROUBLE
//
// The tickets of a queue's advice service are valid for 900 ms. The service answers within 100 ms and
// allows every second executor; starts arrive within milliseconds. Without trouble: 3,000 ms.

#include "site.hpp"

using namespace review;

int main(int argc, char** argv)
{
    if (argc != 5)
        return 2;
    const Millis valid = std::string(argv[4]) != "0" ? 900 : 3000;
    constexpr Millis decide = 50;
    constexpr Millis period = 5;
    constexpr int jobs = 6;
    Record record(argv[3]);
    std::mutex mutex;
    std::map<std::string, Millis> tickets; // When they end, by step, executor and ticket.
    std::atomic<int> calls { 0 };
    Server advice([&](const Request& request) -> Response {
        const Json body = Json::parse(request.body);
        const std::string step = body["step"];
        const std::lock_guard lock(mutex); // One call at a time.
        sleepFor(decide + period * static_cast<Millis>(body["workers"].size()));
        Json allowed = Json::array();
        for (const std::string id : body["workers"]) {
            if ((id.back() - '0') % 2 != 0)
                continue;
            const std::string ticket = "ticket-" + std::to_string(++calls);
            tickets[step + "/" + id + "/" + ticket] = steadyNow() + valid;
            allowed.push_back({ id, ticket });
        }
        record.line("advice on " + step + ": " + allowed.dump());
        return { .status = 200, .body = Json { { "allowed", allowed }, { "valid_ms", valid } }.dump() };
    });
    Site site({ .program = argv[1], .directory = argv[2], .advice = advice.address() }, record);
    std::atomic<int> rejected { 0 };
    for (int i = 0; i < 8; ++i) {
        Executor& executor = site.addExecutor("i-000000000" + std::to_string(i));
        executor.before = [&](const Request& request) -> std::optional<Response> {
            if (request.path != "/run-start")
                return std::nullopt;
            const Json order = Json::parse(request.body);
            const std::string task = order["task"];
            const std::string key = task.substr(0, task.rfind('.')) + "/" + executor.id + "/" + order.value("ticket", "");
            {
                const std::lock_guard lock(mutex);
                const auto found = tickets.find(key);
                if (found != tickets.end() && steadyNow() < found->second)
                    return std::nullopt;
            }
            ++rejected;
            return Response { .status = 409, .body = Json { { "reason", "ticket" }, { "clock_ms", executor.clock() }, { "born", executor.born } }.dump() };
        };
    }
    Json route = Site::route("patient", 2);
    route["advice"] = { { "decide_ms", decide }, { "period_ms", period }, { "valid_ms", valid } };
    site.putConfiguration(Json::array({ route }));
    site.startInstances();
    if (!site.awaitReady(15000))
        site.finish(2);
    std::vector<std::string> ids;
    const Json steps = Json::array({ { { "count", 2 }, { "cpu", 1000 }, { "mem_mb", 1000 }, { "gpu", 1 }, { "estimate_ms", 1000 } } });
    for (int i = 0; i < jobs; ++i) {
        ids.push_back("00000000000000b" + std::to_string(i));
        if (site.client(static_cast<std::size_t>(i % 3), "POST", "patient", ids.back(), Json { { "spec", "text" }, { "steps", steps } }.dump()).status != 200)
            site.finish(2);
        sleepFor(500);
    }
    int completed = 0;
    for (const Millis until = steadyNow() + 40000; steadyNow() < until && completed < jobs; sleepFor(2000)) {
        completed = 0;
        for (const std::string& id : ids)
            completed += site.state(1, "patient", id) == "completed" ? 1 : 0;
    }
    record.line("result: " + std::to_string(completed) + " of " + std::to_string(jobs) + " jobs are completed, " + std::to_string(site.endCounts["done"]) + " runs ended done; starts rejected for want of a ticket: " + std::to_string(rejected));
    site.finish(site.endCounts["done"] == 0 && rejected == 0 ? 1 : completed == jobs ? 0
                                                                                     : 2);
}
