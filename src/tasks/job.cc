#include "tasks/job.h"

namespace rattan::tasks {

Resources& Resources::operator+=(const Resources& other)
{
    this->milliCores += other.milliCores;
    this->memoryMb += other.memoryMb;
    this->accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other)
{
    this->milliCores -= other.milliCores;
    this->memoryMb -= other.memoryMb;
    this->accelerators -= other.accelerators;
    return *this;
}

Resources Resources::times(std::int64_t count) const
{
    return { this->milliCores * count, this->memoryMb * count, this->accelerators * count };
}

bool Resources::fitsIn(const Resources& other) const
{
    return this->milliCores <= other.milliCores && this->memoryMb <= other.memoryMb && this->accelerators <= other.accelerators;
}

bool movesWork(const QueueTerms& before, const QueueTerms& after)
{
    return before.service != after.service || before.priority != after.priority || !(before.advice == after.advice);
}

double coreEquivalents(const Resources& resources)
{
    return static_cast<double>(resources.milliCores) / 1000.0 + static_cast<double>(resources.accelerators * coresPerAccelerator);
}

} // namespace rattan::tasks
