// Homes are found one after the other, each best fit. When one cannot be found,
// all idle slots give theirs up and are homed anew, largest first; if that is
// not enough, tightest first. What still has no home is unmet: the workers that
// are left cannot hold it beside the gangs that may not be evicted. (A greedy
// search can miss a way; tests hold it against one that tries everything.)

#include "decide/guarantee_book.h"

#include <algorithm>

namespace rattan::decide::detail {

namespace {

    constexpr std::size_t smallBook = 256; // Slots.

} // namespace

std::int64_t Slot::homed() const
{
    std::int64_t sum = 0;
    for (const HomePiece& piece : this->pieces)
        sum += piece.units;
    return sum;
}

std::int64_t Slot::taken() const
{
    std::int64_t sum = 0;
    for (const HomePiece& piece : this->pieces)
        sum += piece.taken;
    return sum;
}

void GuaranteeBook::setRules(const std::vector<WorkspaceRule>& rules)
{
    this->retireSurplus(rules);
    std::map<std::pair<WorkspaceId, ShapeKey>, std::int64_t> have;
    for (const Slot& slot : this->slots) {
        if (!slot.retired)
            ++have[{ slot.workspace, { slot.units, slot.within } }];
    }
    for (const WorkspaceRule& rule : rules) {
        for (const GuaranteedShape& shape : rule.guarantees) {
            std::int64_t& count = have[{ rule.workspace, { shape.accelerators, shape.within } }];
            const std::int64_t kept = std::min(count, shape.count);
            count -= kept;
            for (std::int64_t i = kept; i < shape.count; ++i)
                this->addSlot(rule.workspace, shape);
        }
    }
    this->reindex();
    this->callsToSkip = 0;
    this->settle();
}

// Marks slots beyond what the rules ask for, idle ones before taken ones.
void GuaranteeBook::retireSurplus(const std::vector<WorkspaceRule>& rules)
{
    std::map<std::pair<WorkspaceId, ShapeKey>, std::int64_t> want;
    for (const WorkspaceRule& rule : rules) {
        for (const GuaranteedShape& shape : rule.guarantees)
            want[{ rule.workspace, { shape.accelerators, shape.within } }] += shape.count;
    }
    for (const bool idle : { false, true }) {
        for (SlotId id = 0; id < this->slots.size(); ++id) {
            Slot& slot = this->slots[id];
            if ((slot.taken() == 0) != idle)
                continue;
            std::int64_t& left = want[{ slot.workspace, { slot.units, slot.within } }];
            slot.retired = left <= 0;
            if (slot.retired)
                this->dropIdle(id);
            else
                --left;
        }
    }
}

void GuaranteeBook::addSlot(WorkspaceId workspace, const GuaranteedShape& shape)
{
    const Slot fresh { .workspace = workspace, .units = shape.accelerators, .within = shape.within };
    // A retired slot without gangs is an empty place in the list.
    const auto empty = std::find_if(
        this->slots.begin(), this->slots.end(), [](const Slot& slot) { return slot.retired && slot.pieces.empty(); });
    if (empty != this->slots.end())
        *empty = fresh;
    else
        this->slots.push_back(fresh);
}

void GuaranteeBook::reindex()
{
    this->byWorkspace.clear();
    this->byShape.clear();
    this->homeless.clear();
    for (SlotId id = 0; id < this->slots.size(); ++id) {
        const Slot& slot = this->slots[id];
        if (slot.retired)
            continue;
        this->byWorkspace[slot.workspace].push_back(id);
        this->byShape[{ slot.units, slot.within }].push_back(id);
        if (!slot.met())
            this->homeless.insert(id);
    }
}

void GuaranteeBook::hold(bool on)
{
    this->holding = on;
    this->callsToSkip = 0;
    this->settle();
}

void GuaranteeBook::workerChanged(WorkerId worker)
{
    const WorkerRecord& record = this->workers[worker];
    const auto found = this->byWorker.find(worker);
    if (found != this->byWorker.end() && (!record.usable() || record.unpromised() < 0)) {
        const std::set<SlotId> touched = found->second;
        for (const SlotId id : touched) {
            if (this->slots[id].taken() == 0)
                this->dropIdle(id);
            else
                this->dropIdleOn(id, worker);
        }
    }
    this->settle();
}

void GuaranteeBook::settle()
{
    if (this->holding)
        return;
    for (const SlotId id : this->hardestFirst({ this->homeless.begin(), this->homeless.end() }, PackOrder::Largest))
        this->fill(id);
    std::int64_t missing = 0;
    for (const SlotId id : this->homeless)
        missing += this->slots[id].units - this->slots[id].homed();
    // No order helps when there is simply not enough.
    if (missing == 0 || missing > this->workers.unpromised().total())
        return;
    // Packing anew costs as much as there are slots. After it was of no use, a
    // large book is packed again only once enough calls have paid for it.
    if (this->callsToSkip > 0) {
        --this->callsToSkip;
        return;
    }
    this->packAnew();
    if (!this->homeless.empty() && this->slots.size() > smallBook)
        this->callsToSkip = this->slots.size() / 4;
}

void GuaranteeBook::packAnew()
{
    this->repack(PackOrder::Largest);
    const std::size_t unmetThen = this->homeless.size();
    if (unmetThen == 0)
        return;
    this->repack(PackOrder::Tightest);
    if (this->homeless.size() > unmetThen)
        this->repack(PackOrder::Largest);
}

void GuaranteeBook::take(const std::vector<Grant>& grants)
{
    for (const Grant& grant : grants) {
        for (HomePiece& piece : this->slots[grant.slot].pieces) {
            if (piece.worker == grant.worker)
                piece.taken += grant.units;
        }
    }
}

void GuaranteeBook::release(const std::vector<Grant>& grants)
{
    for (const Grant& grant : grants) {
        Slot& slot = this->slots[grant.slot];
        for (HomePiece& piece : slot.pieces) {
            if (piece.worker == grant.worker)
                piece.taken -= grant.units;
        }
        const bool usable = this->workers[grant.worker].usable();
        if (slot.retired || (slot.taken() == 0 && (!usable || !slot.met())))
            this->dropIdle(grant.slot);
        else if (!usable)
            this->dropIdleOn(grant.slot, grant.worker);
    }
    if (!this->homeless.empty())
        this->settle();
}

void GuaranteeBook::trade(SlotId a, SlotId b)
{
    for (const HomePiece& piece : this->slots[a].pieces)
        this->byWorker[piece.worker].erase(a);
    for (const HomePiece& piece : this->slots[b].pieces)
        this->byWorker[piece.worker].erase(b);
    std::swap(this->slots[a].pieces, this->slots[b].pieces);
    for (const HomePiece& piece : this->slots[a].pieces)
        this->byWorker[piece.worker].insert(a);
    for (const HomePiece& piece : this->slots[b].pieces)
        this->byWorker[piece.worker].insert(b);
}

bool GuaranteeBook::bind(SlotId id, const std::vector<HomePiece>& pieces)
{
    this->dropIdle(id);
    for (const HomePiece& piece : pieces) {
        const std::set<SlotId> there = this->byWorker[piece.worker];
        for (const SlotId other : there) {
            if (this->workers[piece.worker].unpromised() >= piece.units)
                break;
            if (this->slots[other].taken() == 0)
                this->dropIdle(other);
        }
        if (this->workers[piece.worker].unpromised() < piece.units)
            return false;
    }
    for (const HomePiece& piece : pieces)
        this->plan(id, piece.worker, piece.units);
    if (!this->slots[id].met())
        this->fill(id);
    return true;
}

const std::vector<SlotId>& GuaranteeBook::of(WorkspaceId workspace) const
{
    static const std::vector<SlotId> none;
    const auto found = this->byWorkspace.find(workspace);
    return found == this->byWorkspace.end() ? none : found->second;
}

const std::vector<SlotId>& GuaranteeBook::alike(SlotId id) const
{
    return this->byShape.at({ this->slots[id].units, this->slots[id].within });
}

std::int64_t GuaranteeBook::unitsOf(WorkspaceId workspace) const
{
    std::int64_t sum = 0;
    for (const SlotId id : this->of(workspace))
        sum += this->slots[id].units;
    return sum;
}

// Adds (or with negative units takes away) part of a home.
void GuaranteeBook::plan(SlotId id, WorkerId worker, std::int64_t units)
{
    Slot& slot = this->slots[id];
    auto piece = std::find_if(
        slot.pieces.begin(), slot.pieces.end(), [worker](const HomePiece& one) { return one.worker == worker; });
    if (piece == slot.pieces.end())
        piece = slot.pieces.insert(piece, { worker, 0, 0 });
    piece->units += units;
    if (piece->units == 0) {
        slot.pieces.erase(piece);
        this->byWorker[worker].erase(id);
    } else {
        this->byWorker[worker].insert(id);
    }
    this->workers.edit(worker).planned += units;
    this->workers.refresh(worker);
    if (slot.retired || slot.met())
        this->homeless.erase(id);
    else
        this->homeless.insert(id);
}

// Gives up all of a home that no gang has.
void GuaranteeBook::dropIdle(SlotId id)
{
    const std::vector<HomePiece> pieces = this->slots[id].pieces;
    for (const HomePiece& piece : pieces)
        this->dropIdleOn(id, piece.worker);
}

void GuaranteeBook::dropIdleOn(SlotId id, WorkerId worker)
{
    for (const HomePiece& piece : this->slots[id].pieces) {
        if (piece.worker == worker && piece.units > piece.taken) {
            this->plan(id, worker, piece.taken - piece.units);
            return;
        }
    }
}

// Homes what a slot lacks, next to what it has; nothing changes when it fails.
bool GuaranteeBook::fill(SlotId id)
{
    const Slot& slot = this->slots[id];
    const std::int64_t missing = slot.units - slot.homed();
    const RoomIndex& index = this->workers.unpromised();
    if (index.total() < missing)
        return false;
    if (slot.within == Adjacency::Domain)
        return this->fillFrom(id, index.workers(), missing);
    if (slot.within == Adjacency::Rack) {
        if (!slot.pieces.empty())
            return this->fillFrom(id, index.workersOf(this->workers[slot.pieces.front().worker].rack), missing);
        const auto rack = index.racks().lower_bound({ missing, 0 });
        return rack != index.racks().end() && this->fillFrom(id, index.workersOf(rack->second), missing);
    }
    if (!slot.pieces.empty()) {
        const WorkerId worker = slot.pieces.front().worker;
        const WorkerRecord& record = this->workers[worker];
        if (!record.usable() || record.unpromised() < missing)
            return false;
        this->plan(id, worker, missing);
        return true;
    }
    const auto bucket = index.workers().lower_bound(missing);
    if (bucket == index.workers().end())
        return false;
    this->plan(id, *bucket->second.begin(), missing);
    return true;
}

// Takes the workers with the most left first, so that a home consists of few
// and large pieces; the last piece goes where it fits best.
bool GuaranteeBook::fillFrom(SlotId id, const RoomIndex::Buckets& buckets, std::int64_t missing)
{
    std::vector<HomePiece> pieces;
    for (auto bucket = buckets.rbegin(); bucket != buckets.rend() && missing > 0 && bucket->first > 0; ++bucket) {
        for (auto worker = bucket->second.begin(); worker != bucket->second.end() && missing >= bucket->first; ++worker) {
            pieces.push_back({ *worker, bucket->first, 0 });
            missing -= bucket->first;
        }
        if (missing <= 0 || missing >= bucket->first)
            continue;
        const auto fit = buckets.lower_bound(missing);
        if (fit->first < bucket->first) {
            pieces.push_back({ *fit->second.begin(), missing, 0 });
            missing = 0;
        } else {
            // The bucket itself fits best; its first workers may be taken already.
            for (const WorkerId worker : bucket->second) {
                const bool isTaken = std::any_of(
                    pieces.begin(), pieces.end(), [worker](const HomePiece& one) { return one.worker == worker; });
                if (!isTaken) {
                    pieces.push_back({ worker, missing, 0 });
                    missing = 0;
                    break;
                }
            }
        }
    }
    if (missing > 0)
        return false;
    for (const HomePiece& piece : pieces)
        this->plan(id, piece.worker, piece.units);
    return true;
}

// Slots whose gangs bind them to a place are served before those that may go
// anywhere.
void GuaranteeBook::repack(PackOrder order)
{
    std::vector<SlotId> idle;
    std::vector<SlotId> bound;
    for (SlotId id = 0; id < this->slots.size(); ++id) {
        if (this->slots[id].retired)
            continue;
        if (this->slots[id].taken() == 0)
            idle.push_back(id);
        else if (!this->slots[id].met())
            bound.push_back(id);
    }
    for (const SlotId id : idle)
        this->dropIdle(id);
    for (const SlotId id : this->hardestFirst(std::move(bound), order))
        this->fill(id);
    for (const SlotId id : this->hardestFirst(std::move(idle), order))
        this->fill(id);
}

std::vector<SlotId> GuaranteeBook::hardestFirst(std::vector<SlotId> ids, PackOrder order) const
{
    std::stable_sort(ids.begin(), ids.end(), [&](SlotId a, SlotId b) {
        const Slot& first = this->slots[a];
        const Slot& second = this->slots[b];
        const bool larger = first.units > second.units;
        const bool tighter = first.within < second.within;
        if (order == PackOrder::Largest)
            return first.units != second.units ? larger : tighter;
        return first.within != second.within ? tighter : larger;
    });
    return ids;
}

} // namespace rattan::decide::detail
