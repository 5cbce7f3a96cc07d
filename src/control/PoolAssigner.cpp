#include "briarhitch/control/PoolAssigner.h"

#include "briarhitch/core/Digest.h"

#include <algorithm>
#include <tuple>

namespace briarhitch {

namespace {

    enum class Need : uint8_t {
        None,
        /** The present owner goes on until the new one takes over. */
        Handover,
        /** Nobody owns the pool any more. */
        Takeover,
    };

    Need needOf(const PoolAssignment& pool, const ClusterConfig& config, const LeaseTable& leases, bool isPreferredLive, Instant now)
    {
        if (!pool.owner.isValid())
            return Need::Takeover;
        auto owner = config.nodes.find(pool.owner);
        bool isGone = owner == config.nodes.end() || owner->second.lost || owner->second.incarnation != pool.ownerIncarnation;
        // One process has a node's addresses, so a later incarnation has ended the one that owned the pool.
        bool isRestarted = owner != config.nodes.end() && !owner->second.lost && owner->second.incarnation > pool.ownerIncarnation;
        if (isRestarted)
            return Need::Takeover;
        if (isGone)
            return leases.mayHoldLease(pool.owner, pool.ownerIncarnation, now) ? Need::None : Need::Takeover;
        bool isSecondChoice = isPreferredLive && !owner->second.prefersPools;
        return owner->second.draining || isSecondChoice ? Need::Handover : Need::None;
    }

    /** Region of a pool's targets; empty for pools without targets. */
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

/** Live nodes that may get pools, with what they own. */
struct PoolAssigner::Candidates {
    Candidates(const ClusterConfig& config, const LeaseTable& leases, Duration longestSilence, Instant now)
    {
        for (const auto& [id, node] : config.nodes) {
            if (!node.lost && !node.draining && leases.hasRecentHeartbeat(id, node.incarnation, now) && leases.timeSinceHeartbeat(id, node.incarnation, now) < longestSilence)
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

    /** The node with the fewest pools, of the zone with the fewest pools, by rendezvous hash. */
    const NodeRecord* pick(const PoolAssignment& pool, const std::string& region)
    {
        auto rank = [&](const NodeRecord* node) {
            bool isFar = pool.kind != PoolKind::Ceiling && node->zone != pool.scope && node->region == region && pool.scope != region;
            // One that only restarted keeps what it had, so that few nodes have to find a new owner.
            bool isOther = node->id != pool.owner;
            return std::tuple(!node->prefersPools, isFar, isOther, poolsByNode[node->id], poolsByZone[node->zone], stableHash(pool.name, node->id.value()));
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
    // The account of a ceiling must be in one place.
    return takeoverTimeout_ && pool.kind != PoolKind::Ceiling && leases.isUnresponsive(pool.owner, pool.ownerIncarnation, *takeoverTimeout_, now);
}

std::vector<PoolMove> PoolAssigner::decide(const ClusterConfig& config, const LeaseTable& leases, const NodeRecordVersionHook& nodeRecordVersion, Instant now)
{
    std::vector<PoolMove> moves;
    Candidates candidates(config, leases, takeoverTimeout_.value_or(Duration::max()), now);
    auto regions = regionsOf(config);
    bool isPreferredLive = candidates.hasPreferred();
    for (const auto& [id, pool] : config.pools) {
        // Until then the owner before the present one may hold a lease without knowing that it lost the pool.
        bool settled = isHandoverComplete(pool, leases, now);
        auto need = isOwnerUnresponsive(pool, leases, now) ? Need::Takeover : needOf(pool, config, leases, isPreferredLive, now);
        if (need == Need::None || !settled)
            continue;
        const auto* owner = candidates.pick(pool, regions[id]);
        if (!owner)
            continue;
        auto present = config.nodes.find(pool.owner);
        if (present != config.nodes.end())
            candidates.count(present->second, -1);
        candidates.count(*owner, 1);
        // In a handover the present owner may renew its lease before the move is committed, whatever its lease is now.
        auto previous = need == Need::Handover ? pool.owner : NodeId();
        moves.push_back({ id, pool.epoch, owner->id, owner->incarnation, previous, nodeRecordVersion(pool.owner) });
    }
    return moves;
}

}
