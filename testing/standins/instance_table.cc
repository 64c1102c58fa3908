#include "standins/instance_table.h"

namespace rattan::testing {

bool InstanceTable::put(const platform::Instance& instance, Millis now)
{
    return this->push({ now, instance.id, instance }, now);
}

void InstanceTable::remove(const std::string& id, Millis now) { this->push({ now, id, std::nullopt }, now); }

std::vector<platform::Instance> InstanceTable::visible(Millis now)
{
    this->advance(now);
    std::vector<platform::Instance> instances;
    instances.reserve(this->shown.size());
    for (const auto& [id, instance] : this->shown)
        instances.push_back(instance);
    return instances;
}

bool InstanceTable::push(Change change, Millis now)
{
    this->advance(now);
    if (this->pending.size() >= mostPending || this->shown.size() >= mostInstances)
        return false;
    this->pending.push_back(std::move(change));
    return true;
}

void InstanceTable::advance(Millis now)
{
    while (!this->pending.empty() && this->pending.front().at + this->lag <= now) {
        const Change& change = this->pending.front();
        if (change.instance)
            this->shown[change.id] = *change.instance;
        else
            this->shown.erase(change.id);
        this->pending.pop_front();
    }
}

} // namespace rattan::testing
