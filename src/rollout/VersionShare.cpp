#include "briarhitch/rollout/VersionShare.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    /** Thousandths of a request. */
    constexpr int64_t oneRequest = 1000;
    constexpr uint32_t wholeShare = 1000;
    /** The slack is divided among this many routes, so that the first ones leave some to rarer ones. */
    constexpr int64_t routesOfSlack = 4;

}

void VersionShare::setRollout(const std::optional<PoolRollout>& rollout)
{
    bool isSameRollout = rollout && rollout_ && rollout->rollout.id == rollout_->rollout.id;
    bool isSameShare = isSameRollout && rollout->rollout.stage == rollout_->rollout.stage && rollout->rollout.sharePermille == rollout_->rollout.sharePermille;
    rollout_ = rollout;
    if (!isSameRollout) {
        hasHadOtherTargets_ = false;
        bool isInTrial = rollout && rollout->rollout.stage == RolloutStage::Trial;
        slack_ = isInTrial ? std::llround(rollout->slack * static_cast<double>(oneRequest)) : 0;
    }
    hasHadOtherTargets_ = hasHadOtherTargets_ || (rollout && rollout->otherTargets > 0);
    if (!isSameShare) {
        credits_.clear();
        // A rollout that returns to its trial has used its slack.
        unusedSlack_ = isSameRollout ? 0 : slack_;
    }
    selectCanaries();
}

void VersionShare::setTargets(const std::vector<Target>& targets)
{
    targets_ = targets;
    selectCanaries();
}

VersionShare::Rule VersionShare::rule() const
{
    if (!rollout_)
        return Rule::Any;
    const auto& rollout = rollout_->rollout;
    if (rollout.state == RolloutState::RolledBack)
        return Rule::OnlyOtherVersions;
    bool isMoved = rollout.state == RolloutState::Completed || rollout.stage == RolloutStage::Drain || rollout.sharePermille >= wholeShare;
    if (isMoved)
        return rollout_->targetVersionTargets > 0 ? Rule::OnlyTargetVersion : Rule::Any;
    // A pool that had only the target version from the start has no traffic to protect from it. If the other targets fail later,
    // the bound still holds, because they may come back.
    if (!hasHadOtherTargets_)
        return Rule::Any;
    // The shares of many entries, which do not know of each other, would add up to more than the bound.
    return rollout_->isLocalSelection ? Rule::OnlyOtherVersions : Rule::Share;
}

void VersionShare::selectCanaries()
{
    canaries_.clear();
    if (rule() != Rule::Share)
        return;
    std::vector<const Target*> candidates;
    uint64_t otherSlots = 0;
    for (const auto& target : targets_) {
        if (target.state != TargetState::Active)
            continue;
        if (isTargetVersion(target))
            candidates.push_back(&target);
        else
            otherSlots += target.slots;
    }
    std::sort(candidates.begin(), candidates.end(), [](const Target* left, const Target* right) { return left->id < right->id; });
    // One of each zone before the second of any, so that few targets already are near callers of several zones.
    std::map<std::string, size_t> zoneCounts;
    std::map<TargetId, size_t> rankInZone;
    for (const auto* target : candidates)
        rankInZone[target->id] = zoneCounts[target->zone]++;
    std::stable_sort(candidates.begin(), candidates.end(), [&](const Target* left, const Target* right) { return rankInZone[left->id] < rankInZone[right->id]; });
    // A fault that shows only under load would stay hidden if the share were spread over all targets.
    uint64_t wantedSlots = otherSlots * rollout_->rollout.sharePermille / wholeShare;
    uint64_t slots = 0;
    for (const auto* target : candidates) {
        slots += target->slots;
        if (!canaries_.empty() && slots > wantedSlots && otherSlots > 0)
            return;
        canaries_.insert(target->id);
    }
}

int64_t VersionShare::initialRouteCredit() const
{
    return std::min(unusedSlack_, slack_ / routesOfSlack);
}

int64_t VersionShare::creditOf(WorkKindId route) const
{
    auto found = credits_.find(route);
    return found == credits_.end() ? initialRouteCredit() : found->second;
}

bool VersionShare::hasCredit(const PoolRequest& request) const
{
    // Only first attempts count as requests that reached the service.
    int64_t ownShare = request.attempt.number == 1 ? rollout_->rollout.sharePermille : 0;
    return creditOf(request.kind) + ownShare >= oneRequest;
}

bool VersionShare::allows(const PoolRequest& request, const Target& target) const
{
    auto rule = this->rule();
    if (rule == Rule::Any)
        return true;
    if (rule == Rule::OnlyOtherVersions && rollout_->rollout.state == RolloutState::RolledBack)
        return !isTargetVersion(target);
    // The scheduler itself keeps streams at the version that began them.
    if (request.softwareVersion)
        return true;
    if (rule != Rule::Share)
        return isTargetVersion(target) == (rule == Rule::OnlyTargetVersion);
    return !isTargetVersion(target) || (canaries_.contains(target.id) && hasCredit(request));
}

bool VersionShare::isDue(const PoolRequest& request, const Target& target) const
{
    // A request that has failed somewhere else should not meet a second fault.
    bool isFirstTry = request.attempt.number == 1 && !request.softwareVersion && !request.migratesFrom.isValid();
    return rule() == Rule::Share && isFirstTry && isTargetVersion(target) && allows(request, target);
}

bool VersionShare::servesNewRequests(const Target& target) const
{
    auto rule = this->rule();
    return rule == Rule::Any || isTargetVersion(target) == (rule == Rule::OnlyTargetVersion);
}

void VersionShare::recordGrant(const PoolRequest& request, const Target& target)
{
    if (rule() != Rule::Share)
        return;
    auto [credit, isNew] = credits_.try_emplace(request.kind, initialRouteCredit());
    if (isNew)
        unusedSlack_ -= credit->second;
    if (request.attempt.number == 1)
        credit->second += rollout_->rollout.sharePermille;
    if (isTargetVersion(target))
        credit->second -= oneRequest;
    // Credit that is not used, because there are no canaries yet or they are full, would arrive there as a burst later.
    credit->second = std::min(credit->second, slack_ / routesOfSlack + oneRequest);
}

}
