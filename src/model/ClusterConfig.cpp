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
    config.version = delta.version;
    return true;
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
