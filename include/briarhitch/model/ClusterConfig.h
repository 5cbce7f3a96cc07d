#pragma once

#include "briarhitch/model/Contract.h"
#include "briarhitch/model/Routing.h"
#include "briarhitch/model/RoutingPatch.h"
#include "briarhitch/model/Target.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** An entry VM as the control log knows it. */
struct NodeRecord {
    NodeId id;
    Incarnation incarnation;
    std::string region;
    std::string zone;
    /** Address for links between own processes. */
    std::string host;
    uint16_t port { 0 };
    bool draining { false };
    /** Set when its lease has certainly ended; cleared by its next heartbeat. */
    bool lost { false };
    bool servesCallers { true };
    /** Pools go to such nodes first. */
    bool prefersPools { false };

    bool operator==(const NodeRecord&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(id, incarnation, region, zone, host, port, draining, lost, servesCallers, prefersPools);
    }
};

enum class PoolKind : uint8_t {
    Model,
    Service,
    /** Owns the ceilings of a part of the customers. */
    Ceiling,
};

/** A pool and its present owner. */
struct PoolAssignment {
    PoolId id;
    /** "model:NAME@SCOPE", "service:NAME@SCOPE" or "ceiling:N". */
    std::string name;
    PoolKind kind { PoolKind::Model };
    std::string scope;
    /** Rises with each assignment; zero means never assigned. */
    Epoch epoch;
    NodeId owner;
    Incarnation ownerIncarnation;
    /** An earlier owner whose lease may still hold; none if it has certainly ended. */
    NodeId previousOwner;

    bool operator==(const PoolAssignment&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(id, name, kind, scope, epoch, owner, ownerIncarnation, previousOwner);
    }
};

inline constexpr uint32_t ceilingPoolCount = 8;

/** What every node keeps in memory. */
struct ClusterConfig {
    /** Rises with each change of anything below. */
    Version version;
    std::map<CustomerId, Contract> customers;
    std::map<TargetId, Target> targets;
    std::map<NodeId, NodeRecord> nodes;
    std::map<PoolId, PoolAssignment> pools;
    Routing routing;

    bool operator==(const ClusterConfig&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(version, customers, targets, nodes, pools, routing);
    }
};

/** All objects that one configuration version changed, in their new form. */
struct ConfigDelta {
    Version version;
    std::vector<Contract> customers;
    std::vector<Target> targets;
    std::vector<NodeRecord> nodes;
    std::vector<PoolAssignment> pools;
    /** What changed in the routing document. */
    std::optional<RoutingPatch> routing {};
    /** Discovered targets that are gone. */
    std::vector<TargetId> removedTargets {};

    bool operator==(const ConfigDelta&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(version, customers, targets, nodes, pools, routing, removedTargets);
    }
};

/** Applies a delta if it is newer and its patch begins at the document in force; returns whether it was. Erased customers and retired targets stay as records. */
bool applyDelta(ClusterConfig& config, const ConfigDelta& delta);

}
