#pragma once

// Neighbours known from the platform's list alone: the first live instance of
// the domain by name decides.

#include "planner/config_follower.h"
#include "planner/neighbours.h"
#include "planner/options.h"
#include "platform/instance_list.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace rattan::planner {

class ListNeighbours final : public Neighbours {
public:
    ListNeighbours(const PlannerOptions&, InstanceReport own, platform::InstanceList&, platform::Log&);
    ~ListNeighbours() override;

    void start();
    void stop();
    void leave();

    config::Version textInForce() const override;
    std::string activePlanner() const override;
    bool ownIsActive() const override;
    InstanceReport own() const override;
    std::vector<InstanceReport> known() const override;
    void heard(const InstanceReport&, const std::vector<InstanceReport>&) override { }

private:
    void run();

    InstanceReport ownReport;
    platform::InstanceList& list;
    ConfigFollower follower;
    mutable std::mutex mutex;
    std::vector<InstanceReport> reports;
    std::atomic<bool> leaving { false };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

} // namespace rattan::planner
