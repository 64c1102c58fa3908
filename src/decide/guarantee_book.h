#pragma once

// The homes of the guaranteed shapes.
//
// Every piece of every guaranteed shape is a Slot, and every slot has a home: so
// many units on a worker, or on several workers within its rack or the domain.
// Homes never overlap with each other or with firm gangs, so they are a standing
// witness that all guaranteed shapes can be met together. A gang that runs by
// guarantee sits in homes of its own workspace; the rest of every home may be
// lent to borrowed gangs, which can be evicted. Homes of idle slots are free to
// move, and two idle slots of one shape may trade homes.
//
// The idea of binding guaranteed cells late to hardware is that of HiveD
// (OSDI 2020); homes here are counts on workers and need no buddy hierarchy.

#include "decide/worker_table.h"

#include <cstddef>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace rattan::decide::detail {

using SlotId = std::size_t;

struct HomePiece {
    WorkerId worker { 0 };
    std::int64_t units { 0 };
    std::int64_t taken { 0 }; // By gangs of the workspace.
};

struct Slot {
    WorkspaceId workspace { 0 };
    std::int64_t units { 0 };
    Adjacency within { Adjacency::Worker };
    std::vector<HomePiece> pieces;
    bool retired { false }; // No longer in the text; freed when the last gang leaves.

    std::int64_t homed() const;
    std::int64_t taken() const;
    bool met() const { return this->homed() >= this->units; }
};

// Units of a slot's home that a gang has.
struct Grant {
    SlotId slot { 0 };
    WorkerId worker { 0 };
    std::int64_t units { 0 };
};

class GuaranteeBook {
public:
    explicit GuaranteeBook(WorkerTable& workers)
        : workers(workers)
    {
    }

    // Takes the guarantees of a new text. Slots that stay keep their homes. Gangs
    // in slots that go keep their grants until they are released.
    void setRules(const std::vector<WorkspaceRule>&);

    // While held, no homes are looked for: a planner that takes over learns its
    // workers one by one and homes everything once.
    void hold(bool);

    // A worker became usable, or ceased to be, or changed its capacity.
    void workerChanged(WorkerId);

    // Tries to home what has none; after units became free.
    void settle();

    void take(const std::vector<Grant>&);
    void release(const std::vector<Grant>&);

    // Two idle slots of one shape.
    void trade(SlotId, SlotId);

    // Moves an idle slot's home so that it has at least these pieces; homes of
    // other idle slots there give way. False, with nothing lost but idle homes
    // that settle() finds again, when taken homes or firm gangs are in the way.
    bool bind(SlotId, const std::vector<HomePiece>&);

    const std::vector<Slot>& all() const { return this->slots; }
    const std::vector<SlotId>& of(WorkspaceId) const;
    const std::set<SlotId>& unmet() const { return this->homeless; }

    // Slots of one size and adjacency.
    const std::vector<SlotId>& alike(SlotId) const;

    std::int64_t unitsOf(WorkspaceId) const;

private:
    enum class PackOrder {
        Largest,
        Tightest,
    };

    struct ShapeKey {
        std::int64_t units { 0 };
        Adjacency within { Adjacency::Worker };
        bool operator<(const ShapeKey& other) const
        {
            return std::tie(this->units, this->within) < std::tie(other.units, other.within);
        }
    };

    void addSlot(WorkspaceId, const GuaranteedShape&);
    void retireSurplus(const std::vector<WorkspaceRule>&);
    void plan(SlotId, WorkerId, std::int64_t units);
    void dropIdle(SlotId);
    void dropIdleOn(SlotId, WorkerId);
    bool fill(SlotId);
    bool fillFrom(SlotId, const RoomIndex::Buckets&, std::int64_t missing);
    void packAnew();
    void repack(PackOrder);
    std::vector<SlotId> hardestFirst(std::vector<SlotId>, PackOrder) const;
    void reindex();

    WorkerTable& workers;
    std::vector<Slot> slots;
    std::map<WorkspaceId, std::vector<SlotId>> byWorkspace;
    std::map<ShapeKey, std::vector<SlotId>> byShape;
    std::map<WorkerId, std::set<SlotId>> byWorker; // With a piece there.
    std::set<SlotId> homeless;
    std::size_t callsToSkip { 0 }; // Before settle() packs anew.
    bool holding { false };
};

} // namespace rattan::decide::detail
