#pragma once

// How the engine chooses which waiting jobs start, and where.

#include "decide/options.h"

#include <memory>

namespace rattan::decide::detail {

class Engine;
struct JobRecord;

class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    // The place of a job in its queue, fixed when it enters.
    virtual Millis orderOf(const Engine&, const JobRecord&) const = 0;

    // Room, the queue or the text has changed: start and claim what is due.
    virtual void dispatch(Engine&, Millis now) = 0;

    // When dispatch wants to be called although nothing changes.
    virtual Millis nextWake() const = 0;
};

std::unique_ptr<PlacementPolicy> makeFirstFit();
std::unique_ptr<PlacementPolicy> makeBackfill();
std::unique_ptr<PlacementPolicy> makeGuaranteed();

} // namespace rattan::decide::detail
