#include "tasks/evacuated_domains.h"

namespace rattan::tasks {

bool EvacuatedDomains::isNewer(const std::string& domain, std::int64_t offset)
{
    if (!this->offsets.contains(domain) && this->offsets.size() >= maxDomains)
        std::erase_if(this->offsets, [this](const auto& known) { return !this->active.contains(known.first); });
    if (!this->offsets.contains(domain) && this->offsets.size() >= maxDomains)
        return false;
    const auto [known, isNew] = this->offsets.try_emplace(domain, offset);
    if (!isNew && offset <= known->second)
        return false;
    known->second = offset;
    return true;
}

bool EvacuatedDomains::request(const std::string& domain, std::int64_t offset, Millis now)
{
    const bool newer = this->isNewer(domain, offset);
    if (this->loading && this->offsets.contains(domain) && offset >= this->offsets.at(domain))
        this->loaded.insert(domain);
    return newer && this->active.try_emplace(domain, now).second;
}

bool EvacuatedDomains::withdraw(const std::string& domain, std::int64_t offset)
{
    if (!this->isNewer(domain, offset))
        return false;
    this->loaded.erase(domain);
    return this->active.erase(domain) > 0;
}

void EvacuatedDomains::beginLoad()
{
    this->loading = true;
    this->loaded.clear();
}

std::vector<std::string> EvacuatedDomains::endLoad()
{
    std::vector<std::string> ended;
    for (const auto& [domain, since] : this->active) {
        if (this->loading && !this->loaded.contains(domain))
            ended.push_back(domain);
    }
    for (const std::string& domain : ended)
        this->active.erase(domain);
    this->loading = false;
    this->loaded.clear();
    return ended;
}

} // namespace rattan::tasks
