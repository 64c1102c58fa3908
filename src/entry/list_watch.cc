#include "entry/list_watch.h"

#include "entry/events.h"

namespace rattan::entry {

namespace {

    constexpr std::chrono::milliseconds probeTimeout(300);

    // Probes are made one after another; more would hold up the list.
    constexpr std::size_t mostProbes = 3;

} // namespace

ListWatch::ListWatch(platform::InstanceList& list, platform::Executors& executors, Gate& gate)
    : list(list)
    , executors(executors)
    , gate(gate)
{
}

ListWatch::~ListWatch() { this->stop(); }

void ListWatch::start()
{
    this->thread.start(period, [this] { this->poll(); });
}

void ListWatch::stop() { this->thread.stop(); }

void ListWatch::poll()
{
    const auto instances = attempt([&] { return this->list.instances(); });
    if (instances)
        this->gate.update(*instances);
    if (static_cast<bool>(instances) != this->reachable) {
        this->reachable = static_cast<bool>(instances);
        if (instances)
            logEvent(listReachable);
        else
            logEvent(listUnreachable, { { "peer", instances.error.peer }, { "why", instances.error.message } });
    }
    std::size_t probed = 0;
    for (const Probe& probe : this->gate.probes()) {
        if (++probed > mostProbes)
            return;
        this->gate.probed(probe.id, this->executors.healthy(probe.address, probeTimeout));
    }
}

} // namespace rattan::entry
