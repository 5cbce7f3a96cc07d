#include "briarhitch/sched/TargetRestrictions.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // A leaving target finishes its requests during its drain time, usually seconds, and then stops.
    constexpr Duration maxLeavingTime = 60s;
    constexpr Duration maxPause = 60s;
    // A pause of one node may be due to that node's own burst; pauses of several at once mean that the target is overloaded.
    constexpr size_t nodesToRestrictAll = 3;

}

void TargetRestrictions::recordLeaving(const Target& target, Instant now)
{
    auto& entry = targets_[target.id];
    entry.isLeaving = true;
    entry.leavingUntil = now + maxLeavingTime;
    entry.bornMs = target.bornMs;
}

void TargetRestrictions::recordPause(TargetId target, NodeId node, Duration pause, Instant now)
{
    if (pause <= Duration::zero())
        return;
    auto& until = targets_[target].pausedUntil[node];
    until = std::max<Instant>(until, now + std::min(pause, maxPause));
}

void TargetRestrictions::updateTargets(const std::map<TargetId, Target>& targets)
{
    std::erase_if(targets_, [&](const auto& item) {
        auto found = targets.find(item.first);
        return found == targets.end() || (item.second.isLeaving && found->second.bornMs != item.second.bornMs);
    });
}

void TargetRestrictions::tick(Instant now)
{
    for (auto& [id, entry] : targets_)
        std::erase_if(entry.pausedUntil, [&](const auto& pause) { return pause.second <= now; });
    std::erase_if(targets_, [&](const auto& item) { return !item.second.isLeavingAt(now) && item.second.pausedUntil.empty(); });
}

bool TargetRestrictions::isLeaving(TargetId target, Instant now) const
{
    auto it = targets_.find(target);
    return it != targets_.end() && it->second.isLeavingAt(now);
}

bool TargetRestrictions::isRestricted(TargetId target, NodeId node, Instant now) const
{
    auto it = targets_.find(target);
    if (it == targets_.end())
        return false;
    auto pause = it->second.pausedUntil.find(node);
    return it->second.isLeavingAt(now) || (pause != it->second.pausedUntil.end() && now < pause->second);
}

bool TargetRestrictions::isRestrictedForAll(TargetId target, Instant now) const
{
    auto it = targets_.find(target);
    if (it == targets_.end())
        return false;
    const auto& pauses = it->second.pausedUntil;
    auto activePauses = std::count_if(pauses.begin(), pauses.end(), [&](const auto& pause) { return now < pause.second; });
    return it->second.isLeavingAt(now) || static_cast<size_t>(activePauses) >= nodesToRestrictAll;
}

std::vector<TargetId> TargetRestrictions::restrictedTargets(NodeId node, Instant now) const
{
    std::vector<TargetId> result;
    for (const auto& [id, entry] : targets_) {
        if (isRestricted(id, node, now))
            result.push_back(id);
    }
    return result;
}

Duration TargetRestrictions::shortestPause(const std::vector<TargetId>& targets, NodeId node, Instant now) const
{
    Duration shortest { 0 };
    for (TargetId id : targets) {
        auto it = targets_.find(id);
        if (it == targets_.end() || it->second.isLeavingAt(now))
            continue;
        auto pause = it->second.pausedUntil.find(node);
        if (pause == it->second.pausedUntil.end() || pause->second <= now)
            continue;
        Duration left = pause->second - now;
        shortest = shortest == Duration::zero() ? left : std::min(shortest, left);
    }
    return shortest;
}

}
