#include "briarhitch/rollout/PoolRollout.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** Part of the slack that one owner uses; a later one does not know what was granted before it, and gets the rest. */
    constexpr double slackFraction = 0.5;

    /** NAME of "service:NAME@SCOPE" or "model:NAME@SCOPE". */
    std::string serviceOf(const PoolAssignment& pool)
    {
        auto begin = pool.name.find(':');
        auto suffix = pool.scope.size() + 1;
        if (begin == std::string::npos || pool.name.size() < begin + 1 + suffix)
            return {};
        return pool.name.substr(begin + 1, pool.name.size() - begin - 1 - suffix);
    }

}

std::optional<PoolRollout> findPoolRollout(const ClusterConfig& config, PoolId pool, const std::optional<RolloutBounds>& bounds)
{
    auto assigned = config.pools.find(pool);
    if (!bounds || config.rollouts.empty() || assigned == config.pools.end() || assigned->second.kind == PoolKind::Ceiling)
        return std::nullopt;
    auto service = serviceOf(assigned->second);
    auto found = config.rollouts.find(service);
    if (found == config.rollouts.end())
        return std::nullopt;
    PoolRollout result;
    result.rollout = found->second;
    // The bound holds for all pools of the service together.
    auto poolCount = std::count_if(config.pools.begin(), config.pools.end(), [&](const auto& entry) { return entry.second.kind == assigned->second.kind && serviceOf(entry.second) == service; });
    result.slack = slackFraction * bounds->exposedSlack / static_cast<double>(poolCount);
    for (const auto& [id, target] : config.targets) {
        if (target.pool != pool || target.state != TargetState::Active)
            continue;
        ++(target.softwareVersion == result.rollout.targetVersion ? result.targetVersionTargets : result.otherTargets);
    }
    return result;
}

bool isRolledBack(const ClusterConfig& config, const Target& target)
{
    auto found = config.rollouts.find(target.serves);
    return found != config.rollouts.end() && found->second.state == RolloutState::RolledBack && found->second.targetVersion == target.softwareVersion;
}

}
