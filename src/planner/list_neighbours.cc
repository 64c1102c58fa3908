#include "planner/list_neighbours.h"

#include <algorithm>

namespace rattan::planner {

ListNeighbours::ListNeighbours(const PlannerOptions&, InstanceReport own, platform::InstanceList& list, platform::Log& log)
    : ownReport(std::move(own))
    , list(list)
    , follower(log)
{
}

ListNeighbours::~ListNeighbours() { this->stop(); }

void ListNeighbours::start()
{
    this->follower.start();
    this->thread = std::thread([this] { this->run(); });
}

void ListNeighbours::stop()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
    this->follower.stop();
}

void ListNeighbours::leave() { this->leaving = true; }

config::Version ListNeighbours::textInForce() const { return this->follower.inForce(); }

std::string ListNeighbours::activePlanner() const
{
    const std::lock_guard lock(this->mutex);
    const InstanceReport* first = nullptr;
    for (const InstanceReport& report : this->reports) {
        if (report.domain == this->ownReport.domain && !report.leaving && (!first || report.instance < first->instance))
            first = &report;
    }
    return first ? first->plannerAddress : "";
}

bool ListNeighbours::ownIsActive() const { return !this->leaving && this->activePlanner() == this->ownReport.plannerAddress; }

InstanceReport ListNeighbours::own() const
{
    InstanceReport report = this->ownReport;
    report.configVersion = static_cast<std::uint64_t>(this->follower.inForce().number);
    report.leaving = this->leaving;
    return report;
}

std::vector<InstanceReport> ListNeighbours::known() const
{
    const std::lock_guard lock(this->mutex);
    return this->reports;
}

void ListNeighbours::run()
{
    while (!this->stopping) {
        const auto instances = attempt([&] { return this->list.instances(); });
        if (instances) {
            const std::lock_guard lock(this->mutex);
            this->reports.clear();
            for (const platform::Instance& instance : *instances) {
                if (instance.kind != platform::InstanceKind::Entry)
                    continue;
                InstanceReport report;
                report.instance = instance.id;
                report.domain = instance.domain;
                report.plannerAddress = instance.rpc;
                report.entryAddress = instance.address;
                report.leaving = instance.leaving;
                this->reports.push_back(std::move(report));
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
}

} // namespace rattan::planner
