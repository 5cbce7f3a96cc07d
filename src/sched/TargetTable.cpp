#include "sched/TargetTable.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>

namespace briarhitch {

namespace {

    constexpr double slownessGain = 0.1;
    constexpr double maxSlowness = 10;
    constexpr double slownessDecaySeconds = 20;

}

TargetTable::TargetTable(const Options& options)
    : options_(options)
{
}

TargetTable::TargetEntry* TargetTable::find(TargetId target)
{
    auto it = entries_.find(target);
    return it == entries_.end() ? nullptr : &it->second;
}

const TargetTable::TargetEntry* TargetTable::find(TargetId target) const
{
    auto it = entries_.find(target);
    return it == entries_.end() ? nullptr : &it->second;
}

int64_t TargetTable::windowForNewTarget(const Target& target) const
{
    // Targets of one hardware generation perform alike, so a new target starts with their mean window.
    double sum = 0;
    double slots = 0;
    for (const auto& [id, targetEntry] : entries_) {
        if (targetEntry.isListed && targetEntry.target.hardware == target.hardware && id != target.id) {
            sum += static_cast<double>(targetEntry.window.size());
            slots += std::max(1U, targetEntry.target.slots);
        }
    }
    const double perSlot = slots > 0 ? sum / slots : static_cast<double>(options_.initialCostPerSlot);
    return std::max<int64_t>(1, static_cast<int64_t>(perSlot * std::max(1U, target.slots)));
}

void TargetTable::setTargets(const std::vector<Target>& targets, Instant now)
{
    for (auto& [id, targetEntry] : entries_)
        targetEntry.isListed = false;
    active_.clear();
    // The mean of each generation is computed once, because a scan for each new target would be quadratic.
    std::map<std::string, int64_t> windowPerSlot;
    for (const auto& target : targets) {
        auto targetEntry = entries_.find(target.id);
        const uint32_t slots = std::max(1U, target.slots);
        if (targetEntry == entries_.end() || targetEntry->second.target.slots != target.slots) {
            auto [mean, isNew] = windowPerSlot.try_emplace(target.hardware, 0);
            if (isNew)
                mean->second = std::max<int64_t>(1, windowForNewTarget(target) / slots);
            TargetWindow window(mean->second * slots, options_.maxCostPerSlot * slots);
            if (targetEntry == entries_.end())
                targetEntry = entries_.try_emplace(target.id, window).first;
            targetEntry->second.window = window;
        }
        targetEntry->second.target = target;
        targetEntry->second.isListed = true;
        if (target.state == TargetState::Active)
            active_.push_back(target.id);
    }
    for (auto& [id, targetEntry] : entries_)
        updateAvailability(targetEntry, now);
    absl::erase_if(entries_, [](const auto& entry) { return !entry.second.isListed && entry.second.running == 0; });
}

bool TargetTable::acceptsWork(const TargetEntry& targetEntry, Instant now) const
{
    if (!targetEntry.isListed || targetEntry.target.state != TargetState::Active || !targetEntry.reachable)
        return false;
    if (options_.backsOff && !targetEntry.backoff.allowsRequest(targetEntry.running, now))
        return false;
    if (options_.rateLimiter && !options_.rateLimiter->allowsRequest(targetEntry.target.id, now))
        return false;
    // A request may overshoot the window; otherwise one larger than the window would never be sent.
    return targetEntry.running < std::max(1U, targetEntry.target.slots) && targetEntry.used < targetEntry.window.size();
}

void TargetTable::updateAvailability(TargetEntry& targetEntry, Instant now)
{
    const TargetId id = targetEntry.target.id;
    if (targetEntry.orderKey)
        available_.erase({ *targetEntry.orderKey, id });
    targetEntry.orderKey.reset();
    if (acceptsWork(targetEntry, now)) {
        targetEntry.orderKey = utilization(id);
        available_.emplace(*targetEntry.orderKey, id);
    }
    const bool isUsable = targetEntry.isListed && targetEntry.target.state == TargetState::Active && targetEntry.reachable && !targetEntry.backoff.isFailing();
    const int64_t capacity = isUsable ? targetEntry.window.size() : 0;
    const int64_t slots = isUsable ? std::max(1U, targetEntry.target.slots) : 0;
    capacity_ += capacity - targetEntry.countedCapacity;
    slots_ += slots - targetEntry.countedSlots;
    targetEntry.countedCapacity = capacity;
    targetEntry.countedSlots = slots;
}

void TargetTable::setReachable(TargetId target, bool reachable, Instant now)
{
    auto* targetEntry = find(target);
    if (!targetEntry || targetEntry->reachable == reachable)
        return;
    targetEntry->reachable = reachable;
    updateAvailability(*targetEntry, now);
}

bool TargetTable::isActive(TargetId target) const
{
    const auto* targetEntry = find(target);
    return targetEntry && targetEntry->isListed && targetEntry->target.state == TargetState::Active;
}

bool TargetTable::isAvailable(TargetId target) const
{
    const auto* targetEntry = find(target);
    return targetEntry && targetEntry->orderKey;
}

std::optional<TargetId> TargetTable::leastUtilized(const std::function<bool(TargetId)>& accepts, size_t maxExamined) const
{
    for (const auto& [filled, target] : available_) {
        if (maxExamined-- == 0)
            break;
        if (accepts(target))
            return target;
    }
    return std::nullopt;
}

double TargetTable::utilization(TargetId target) const
{
    const auto* targetEntry = find(target);
    assert(targetEntry);
    return static_cast<double>(targetEntry->used) / static_cast<double>(targetEntry->window.size());
}

std::optional<Instant> TargetTable::nextAvailableAt(Instant now) const
{
    if (hasAvailable() || capacity_ > 0)
        return now;
    if (!probeTimes_.empty())
        return probeTimes_.begin()->first;
    // A probe is running; its result decides whether the target becomes available.
    if (used_ > 0)
        return now;
    return std::nullopt;
}

void TargetTable::charge(TargetId target, int64_t cost, Instant now)
{
    auto* targetEntry = find(target);
    assert(targetEntry);
    targetEntry->used += cost;
    used_ += cost;
    ++targetEntry->running;
    updateAvailability(*targetEntry, now);
}

void TargetTable::release(TargetId target, int64_t cost, Instant now)
{
    auto* targetEntry = find(target);
    assert(targetEntry && targetEntry->running > 0 && targetEntry->used >= cost);
    targetEntry->used -= cost;
    used_ -= cost;
    --targetEntry->running;
    updateAvailability(*targetEntry, now);
    if (!targetEntry->isListed && targetEntry->running == 0)
        entries_.erase(target);
}

void TargetTable::observe(TargetId target, Duration latency, Duration goal, Instant now)
{
    auto* targetEntry = find(target);
    if (!targetEntry || !options_.adjustsWindows)
        return;
    targetEntry->window.observe(latency, goal, targetEntry->used, now);
    updateAvailability(*targetEntry, now);
}

void TargetTable::recordSuccess(TargetId target, Instant now)
{
    auto* targetEntry = find(target);
    if (!targetEntry || !targetEntry->backoff.isFailing())
        return;
    targetEntry->backoff.recordSuccess();
    updateAvailability(*targetEntry, now);
}

void TargetTable::recordFailure(TargetId target, Instant now)
{
    auto* targetEntry = find(target);
    if (!targetEntry || !options_.backsOff)
        return;
    targetEntry->backoff.recordFailure(now);
    probeTimes_.emplace(targetEntry->backoff.probeAt(), target);
    updateAvailability(*targetEntry, now);
}

void TargetTable::recordTargetRefusal(TargetId target, Instant now)
{
    auto* targetEntry = find(target);
    if (!targetEntry || !options_.adjustsWindows)
        return;
    targetEntry->window.shrink(now);
    updateAvailability(*targetEntry, now);
}

void TargetTable::tick(Instant now)
{
    while (!probeTimes_.empty() && probeTimes_.begin()->first <= now) {
        const TargetId target = probeTimes_.begin()->second;
        probeTimes_.erase(probeTimes_.begin());
        if (auto* targetEntry = find(target))
            updateAvailability(*targetEntry, now);
    }
    if (!options_.rateLimiter)
        return;
    for (const auto& [target, bucket] : options_.rateLimiter->targets()) {
        if (auto* targetEntry = find(target))
            updateAvailability(*targetEntry, now);
    }
}

double TargetTable::slowness(TargetId target, Instant now) const
{
    const auto* targetEntry = find(target);
    if (!targetEntry)
        return 1;
    // A slow target is avoided and gets no new observations, so the old ones decay.
    return 1 + (targetEntry->slowness - 1) * std::exp(-toSeconds(now - targetEntry->slownessAt) / slownessDecaySeconds);
}

void TargetTable::observeSlowness(TargetId target, double ratio, Instant now)
{
    auto* targetEntry = find(target);
    if (!targetEntry)
        return;
    targetEntry->slowness = slowness(target, now);
    targetEntry->slowness += slownessGain * (std::min(ratio, maxSlowness) - targetEntry->slowness);
    targetEntry->slownessAt = now;
}

}
