#include "sched/TargetTable.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>

namespace briarhitch {

namespace {

    constexpr double slownessGain = 0.1;
    constexpr double mostSlowness = 10;
    constexpr double slownessSeconds = 20;

}

TargetTable::TargetTable(const Options& options)
    : options_(options)
{
}

TargetTable::Slot* TargetTable::find(TargetId target)
{
    auto it = slotsById_.find(target);
    return it == slotsById_.end() ? nullptr : &it->second;
}

const TargetTable::Slot* TargetTable::find(TargetId target) const
{
    auto it = slotsById_.find(target);
    return it == slotsById_.end() ? nullptr : &it->second;
}

int64_t TargetTable::startingWindow(const Target& target) const
{
    // Targets of one hardware generation are alike, so a new one starts where the others have got to.
    double sum = 0;
    double slots = 0;
    for (const auto& [id, slot] : slotsById_) {
        if (slot.listed && slot.target.hardware == target.hardware && id != target.id) {
            sum += static_cast<double>(slot.window.size());
            slots += std::max(1U, slot.target.slots);
        }
    }
    const double bySlot = slots > 0 ? sum / slots : static_cast<double>(options_.initialCostPerSlot);
    return std::max<int64_t>(1, static_cast<int64_t>(bySlot * std::max(1U, target.slots)));
}

void TargetTable::setTargets(const std::vector<Target>& targets, Instant now)
{
    for (auto& [id, slot] : slotsById_)
        slot.listed = false;
    active_.clear();
    // The means of whole generations are taken once, because a scan for each new target would be quadratic.
    std::map<std::string, int64_t> windowBySlot;
    for (const auto& target : targets) {
        auto slot = slotsById_.find(target.id);
        const uint32_t slots = std::max(1U, target.slots);
        if (slot == slotsById_.end() || slot->second.target.slots != target.slots) {
            auto [mean, isNew] = windowBySlot.try_emplace(target.hardware, 0);
            if (isNew)
                mean->second = std::max<int64_t>(1, startingWindow(target) / slots);
            TargetWindow window(mean->second * slots, options_.maxCostPerSlot * slots);
            if (slot == slotsById_.end())
                slot = slotsById_.try_emplace(target.id, window).first;
            slot->second.window = window;
        }
        slot->second.target = target;
        slot->second.listed = true;
        if (target.state == TargetState::Active)
            active_.push_back(target.id);
    }
    for (auto& [id, slot] : slotsById_)
        refresh(slot, now);
    absl::erase_if(slotsById_, [](const auto& entry) { return !entry.second.listed && entry.second.running == 0; });
}

bool TargetTable::mayGetWork(const Slot& slot, Instant now) const
{
    if (!slot.listed || slot.target.state != TargetState::Active || !slot.reachable)
        return false;
    if (options_.backsOff && !slot.health.allows(slot.running, now))
        return false;
    // A request may overshoot the window, or one that is larger than the window would never be sent.
    return slot.running < std::max(1U, slot.target.slots) && slot.used < slot.window.size();
}

void TargetTable::refresh(Slot& slot, Instant now)
{
    const TargetId id = slot.target.id;
    if (slot.openAt)
        open_.erase({ *slot.openAt, id });
    slot.openAt.reset();
    if (mayGetWork(slot, now)) {
        slot.openAt = utilization(id);
        open_.emplace(*slot.openAt, id);
    }
    const bool isUsable = slot.listed && slot.target.state == TargetState::Active && slot.reachable && !slot.health.isFailing();
    const int64_t capacity = isUsable ? slot.window.size() : 0;
    const int64_t slots = isUsable ? std::max(1U, slot.target.slots) : 0;
    capacity_ += capacity - slot.countedCapacity;
    slots_ += slots - slot.countedSlots;
    slot.countedCapacity = capacity;
    slot.countedSlots = slots;
}

void TargetTable::setReachable(TargetId target, bool reachable, Instant now)
{
    auto* slot = find(target);
    if (!slot || slot->reachable == reachable)
        return;
    slot->reachable = reachable;
    refresh(*slot, now);
}

bool TargetTable::isActive(TargetId target) const
{
    const auto* slot = find(target);
    return slot && slot->listed && slot->target.state == TargetState::Active;
}

bool TargetTable::isAvailable(TargetId target) const
{
    const auto* slot = find(target);
    return slot && slot->openAt;
}

std::optional<TargetId> TargetTable::leastUtilized(const std::function<bool(TargetId)>& accepts, size_t mostLooked) const
{
    for (const auto& [filled, target] : open_) {
        if (mostLooked-- == 0)
            break;
        if (accepts(target))
            return target;
    }
    return std::nullopt;
}

double TargetTable::utilization(TargetId target) const
{
    const auto* slot = find(target);
    assert(slot);
    return static_cast<double>(slot->used) / static_cast<double>(slot->window.size());
}

std::optional<Instant> TargetTable::nextAvailableAt(Instant now) const
{
    if (hasAvailable() || capacity_ > 0)
        return now;
    if (!probes_.empty())
        return probes_.begin()->first;
    // A probe is under way; its result opens or closes the target again.
    if (used_ > 0)
        return now;
    return std::nullopt;
}

void TargetTable::charge(TargetId target, int64_t cost, Instant now)
{
    auto* slot = find(target);
    assert(slot);
    slot->used += cost;
    used_ += cost;
    ++slot->running;
    refresh(*slot, now);
}

void TargetTable::release(TargetId target, int64_t cost, Instant now)
{
    auto* slot = find(target);
    assert(slot && slot->running > 0 && slot->used >= cost);
    slot->used -= cost;
    used_ -= cost;
    --slot->running;
    refresh(*slot, now);
    if (!slot->listed && slot->running == 0)
        slotsById_.erase(target);
}

void TargetTable::observe(TargetId target, Duration latency, Duration goal, Instant now)
{
    auto* slot = find(target);
    if (!slot || !options_.learnsWindows)
        return;
    slot->window.observe(latency, goal, slot->used, now);
    refresh(*slot, now);
}

void TargetTable::succeeded(TargetId target, Instant now)
{
    auto* slot = find(target);
    if (!slot || !slot->health.isFailing())
        return;
    slot->health.succeeded();
    refresh(*slot, now);
}

void TargetTable::failed(TargetId target, Instant now)
{
    auto* slot = find(target);
    if (!slot || !options_.backsOff)
        return;
    slot->health.failed(now);
    probes_.emplace(slot->health.probeAt(), target);
    refresh(*slot, now);
}

void TargetTable::refused(TargetId target, Instant now)
{
    auto* slot = find(target);
    if (!slot || !options_.learnsWindows)
        return;
    slot->window.shrink(now);
    refresh(*slot, now);
}

void TargetTable::tick(Instant now)
{
    while (!probes_.empty() && probes_.begin()->first <= now) {
        const TargetId target = probes_.begin()->second;
        probes_.erase(probes_.begin());
        if (auto* slot = find(target))
            refresh(*slot, now);
    }
}

double TargetTable::slowness(TargetId target, Instant now) const
{
    const auto* slot = find(target);
    if (!slot)
        return 1;
    // A target that is avoided because it was slow gives no new observations, so the old ones lose their weight.
    return 1 + (slot->slowness - 1) * std::exp(-toSeconds(now - slot->slownessAt) / slownessSeconds);
}

void TargetTable::observeSlowness(TargetId target, double ratio, Instant now)
{
    auto* slot = find(target);
    if (!slot)
        return;
    slot->slowness = slowness(target, now);
    slot->slowness += slownessGain * (std::min(ratio, mostSlowness) - slot->slowness);
    slot->slownessAt = now;
}

}
