#include "briarhitch/control/PoolAssigner.h"

#include "briarhitch/core/Digest.h"

#include <algorithm>
#include <tuple>

namespace briarhitch {

namespace {

    enum class Need : uint8_t {
        None,
        /** The current owner keeps the pool until the new one takes over. */
        Handover,
        /** The pool has no owner, or its owner is replaced without its cooperation. */
        Takeover,
    };

    Need needOf(const PoolAssignment& pool, const ClusterConfig& config, const LeaseTable& leases, bool hasPreferredNode, Instant now)
    {
        if (!pool.owner.isValid())
            return Need::Takeover;
        auto owner = config.nodes.find(pool.owner);
        bool isGone = owner == config.nodes.end() || owner->second.lost || owner->second.incarnation != pool.ownerIncarnation;
        // Only one process can bind a node's addresses, so a later incarnation proves that the one that owned the pool has ended.
        bool isRestarted = owner != config.nodes.end() && !owner->second.lost && owner->second.incarnation > pool.ownerIncarnation;
        if (isRestarted)
            return Need::Takeover;
        if (isGone)
            return leases.mayHoldLease(pool.owner, pool.ownerIncarnation, now) ? Need::None : Need::Takeover;
        bool isBetterNodeAvailable = hasPreferredNode && !owner->second.prefersPools;
        return owner->second.draining || isBetterNodeAvailable ? Need::Handover : Need::None;
    }

    /** Region of the targets of each pool; pools without targets are absent. */
    std::map<PoolId, std::string> regionsOf(const ClusterConfig& config)
    {
        std::map<PoolId, std::string> regions;
        for (const auto& [id, target] : config.targets) {
            if (target.state != TargetState::Retired || !regions.contains(target.pool))
                regions[target.pool] = target.region;
        }
        return regions;
    }

}

/** Nodes that may become owners, and the numbers of pools owned by each node and zone. */
struct PoolAssigner::Candidates {
    Candidates(const ClusterConfig& config, const LeaseTable& leases, Duration maxHeartbeatAge, Instant now)
    {
        for (const auto& [id, node] : config.nodes) {
            if (!node.lost && !node.draining && leases.hasRecentHeartbeat(id, node.incarnation, now) && leases.timeSinceHeartbeat(id, node.incarnation, now) < maxHeartbeatAge)
                nodes.push_back(&node);
        }
        for (const auto& [id, pool] : config.pools) {
            auto owner = config.nodes.find(pool.owner);
            if (owner != config.nodes.end())
                count(owner->second, 1);
        }
    }

    void count(const NodeRecord& node, int change)
    {
        poolsByNode[node.id] += change;
        poolsByZone[node.zone] += change;
    }

    /** The best owner: preferred for pools, near the pool's targets, its previous owner, fewest pools, zone with the fewest pools; ties are broken by a rendezvous hash. */
    const NodeRecord* chooseOwner(const PoolAssignment& pool, const std::string& region)
    {
        auto rank = [&](const NodeRecord* node) {
            bool isOutsideZone = pool.kind != PoolKind::Ceiling && node->zone != pool.scope && node->region == region && pool.scope != region;
            // A node that only restarted keeps its pools, so that few entries have to switch to another owner.
            bool isNewOwner = node->id != pool.owner;
            return std::tuple(!node->prefersPools, isOutsideZone, isNewOwner, poolsByNode[node->id], poolsByZone[node->zone], stableHash(pool.name, node->id.value()));
        };
        const NodeRecord* best = nullptr;
        for (const auto* node : nodes) {
            bool fits = pool.kind == PoolKind::Ceiling || node->region == region || node->zone == pool.scope;
            if (fits && (!best || rank(node) < rank(best)))
                best = node;
        }
        return best;
    }

    [[nodiscard]] bool hasPreferred() const
    {
        return std::any_of(nodes.begin(), nodes.end(), [](const NodeRecord* node) { return node->prefersPools; });
    }

    std::vector<const NodeRecord*> nodes;
    std::map<NodeId, int> poolsByNode;
    std::map<std::string, int> poolsByZone;
};

bool PoolAssigner::isHandoverComplete(const PoolAssignment& pool, const LeaseTable& leases, Instant now)
{
    if (!pool.previousOwner.isValid())
        return true;
    auto& handover = handovers_[pool.id];
    if (handover.epoch != pool.epoch)
        handover = { pool.epoch, now };
    return now >= handover.firstSeenAt + leases.settings().maxHoldTime();
}

bool PoolAssigner::isOwnerUnresponsive(const PoolAssignment& pool, const LeaseTable& leases, Instant now) const
{
    // A ceiling must be accounted for by one owner at a time.
    return takeoverTimeout_ && pool.kind != PoolKind::Ceiling && leases.isUnresponsive(pool.owner, pool.ownerIncarnation, *takeoverTimeout_, now);
}

std::vector<PoolMove> PoolAssigner::decide(const ClusterConfig& config, const LeaseTable& leases, const NodeRecordVersionHook& nodeRecordVersion, Instant now)
{
    std::vector<PoolMove> moves;
    Candidates candidates(config, leases, takeoverTimeout_.value_or(Duration::max()), now);
    auto regions = regionsOf(config);
    bool hasPreferredNode = candidates.hasPreferred();
    for (const auto& [id, pool] : config.pools) {
        // Until the handover is complete, the previous owner may hold a lease without knowing that it lost the pool.
        bool isHandoverDone = isHandoverComplete(pool, leases, now);
        auto need = isOwnerUnresponsive(pool, leases, now) ? Need::Takeover : needOf(pool, config, leases, hasPreferredNode, now);
        if (need == Need::None || !isHandoverDone)
            continue;
        const auto* owner = candidates.chooseOwner(pool, regions[id]);
        if (!owner)
            continue;
        auto currentOwner = config.nodes.find(pool.owner);
        if (currentOwner != config.nodes.end())
            candidates.count(currentOwner->second, -1);
        candidates.count(*owner, 1);
        // In a handover the current owner may renew its lease before the move is committed, whatever the state of its lease now.
        auto previous = need == Need::Handover ? pool.owner : NodeId();
        moves.push_back({ id, pool.epoch, owner->id, owner->incarnation, previous, nodeRecordVersion(pool.owner) });
    }
    return moves;
}

}
