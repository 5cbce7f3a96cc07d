#include "control/ConfigSizes.h"

#include "wire/Codec.h"

#include <string>

namespace briarhitch {

namespace {

    template <class Key, class T>
    size_t sizeAt(const std::map<Key, T>& objects, const Key& key)
    {
        auto it = objects.find(key);
        return it == objects.end() ? 0 : encode(it->second).size();
    }

}

size_t encodedSize(const Contract& contract) { return encode(contract).size(); }
size_t encodedSize(const Target& target) { return encode(target).size(); }
size_t encodedSize(const Routing& routing) { return encode(routing).size(); }
size_t encodedSize(const RoutingPatch& patch) { return encode(patch).size(); }

size_t encodedSize(const ConfigDelta& delta)
{
    size_t bytes = 0;
    auto add = [&bytes](const auto& objects) {
        for (const auto& object : objects)
            bytes += encode(object).size();
    };
    add(delta.customers);
    add(delta.targets);
    add(delta.nodes);
    add(delta.pools);
    add(delta.suspects);
    add(delta.rollouts);
    return bytes;
}

size_t encodedRoutingSize(const ClusterConfig& config)
{
    return config.routing.version.isValid() ? encodedSize(config.routing) : 0;
}

size_t replacedSize(const ClusterConfig& config, const ConfigDelta& delta)
{
    size_t bytes = 0;
    for (const auto& contract : delta.customers)
        bytes += sizeAt(config.customers, contract.customer);
    for (const auto& target : delta.targets)
        bytes += sizeAt(config.targets, target.id);
    for (const auto& node : delta.nodes)
        bytes += sizeAt(config.nodes, node.id);
    for (const auto& pool : delta.pools)
        bytes += sizeAt(config.pools, pool.id);
    for (auto target : delta.removedTargets)
        bytes += sizeAt(config.targets, target);
    for (const auto& suspect : delta.suspects)
        bytes += sizeAt(config.suspects, suspect.id);
    for (auto suspect : delta.clearedSuspects)
        bytes += sizeAt(config.suspects, suspect);
    for (const auto& rollout : delta.rollouts)
        bytes += sizeAt(config.rollouts, rollout.service);
    return bytes;
}

size_t encodedSize(const ClusterConfig& config)
{
    size_t bytes = 0;
    auto add = [&bytes](const auto& objects) {
        for (const auto& [id, object] : objects)
            bytes += encode(object).size();
    };
    add(config.customers);
    add(config.targets);
    add(config.nodes);
    add(config.pools);
    add(config.suspects);
    add(config.rollouts);
    return bytes + encodedRoutingSize(config);
}

}
