#include "briarhitch/model/ClusterConfig.h"

namespace briarhitch {

bool applyDelta(ClusterConfig& config, const ConfigDelta& delta)
{
    if (delta.version <= config.version)
        return false;
    if (delta.routing && !applyPatch(config.routing, *delta.routing))
        return false;
    for (const auto& contract : delta.customers)
        config.customers[contract.customer] = contract;
    for (const auto& target : delta.targets)
        config.targets[target.id] = target;
    for (const auto& node : delta.nodes)
        config.nodes[node.id] = node;
    for (const auto& pool : delta.pools)
        config.pools[pool.id] = pool;
    for (auto target : delta.removedTargets)
        config.targets.erase(target);
    for (const auto& suspect : delta.suspects)
        config.suspects[suspect.id] = suspect;
    for (auto suspect : delta.clearedSuspects)
        config.suspects.erase(suspect);
    for (const auto& rollout : delta.rollouts)
        config.rollouts[rollout.service] = rollout;
    config.version = delta.version;
    return true;
}

std::string_view PoolAssignment::serves() const
{
    std::string_view result = name;
    result = result.substr(0, result.find('@'));
    auto colon = result.find(':');
    return colon == std::string_view::npos ? std::string_view() : result.substr(colon + 1);
}

std::set<std::string> softwareVersionsInUse(const ClusterConfig& config, PoolId pool)
{
    std::set<std::string> versions;
    for (const auto& [id, target] : config.targets) {
        if (target.pool == pool)
            versions.insert(target.softwareVersion);
    }
    return versions;
}

std::optional<std::string> soleSoftwareVersion(const ClusterConfig& config, PoolId pool)
{
    // A log of an earlier version of this program does not have the versions of the pool.
    auto versions = softwareVersionsInUse(config, pool);
    if (auto assignment = config.pools.find(pool); assignment != config.pools.end())
        versions.insert(assignment->second.softwareVersions.begin(), assignment->second.softwareVersions.end());
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

std::vector<NodeId> callerServingNodes(const ClusterConfig& config)
{
    std::vector<NodeId> nodes;
    for (const auto& [id, node] : config.nodes) {
        if (node.servesCallers && !node.lost)
            nodes.push_back(id);
    }
    return nodes;
}

}
