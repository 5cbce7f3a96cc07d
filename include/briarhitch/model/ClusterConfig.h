#pragma once

#include "briarhitch/model/Contract.h"
#include "briarhitch/model/Rollout.h"
#include "briarhitch/model/Routing.h"
#include "briarhitch/model/RoutingPatch.h"
#include "briarhitch/model/StreamBinding.h"
#include "briarhitch/model/Suspect.h"
#include "briarhitch/model/Target.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace briarhitch {

/** An entry VM as recorded in the replicated control log. */
struct NodeRecord {
    NodeId id;
    Incarnation incarnation;
    std::string region;
    std::string zone;
    /** Address on which the entry accepts links from the fleet's other processes. */
    std::string host;
    uint16_t port { 0 };
    bool draining { false };
    /** Set once its lease has expired by every clock of the fleet; cleared by its next heartbeat. */
    bool lost { false };
    bool servesCallers { true };
    /** Pools are assigned to such nodes before others. */
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
    /** Keeps the account of the ceilings of a subset of the customers. */
    Ceiling,
};

/** A pool and its current owner. */
struct PoolAssignment {
    PoolId id;
    /** "model:NAME@SCOPE", "service:NAME@SCOPE" or "ceiling:N". */
    std::string name;
    PoolKind kind { PoolKind::Model };
    std::string scope;
    /** Increases with each assignment; zero if never assigned. */
    Epoch epoch;
    NodeId owner;
    Incarnation ownerIncarnation;
    /** The owner before this one, if its lease may still be valid; not set if that lease has expired. */
    NodeId previousOwner;
    /** Software versions of the pool's targets, and of those that left it so recently that callers may continue their streams. */
    std::vector<std::string> softwareVersions {};

    /** The model or service in its name. */
    [[nodiscard]] std::string_view serves() const;
    /** Whether the stream began in a pool of the same service, as far as this is recorded. */
    [[nodiscard]] bool mayContinue(const StreamBinding& stream) const { return stream.service.empty() || stream.service == serves(); }

    bool operator==(const PoolAssignment&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(id, name, kind, scope, epoch, owner, ownerIncarnation, previousOwner, softwareVersions);
    }
};

inline constexpr uint32_t ceilingPoolCount = 8;

/** The cluster configuration that every node keeps in memory. */
struct ClusterConfig {
    /** Increases with each change of a field below. */
    Version version;
    std::map<CustomerId, Contract> customers;
    std::map<TargetId, Target> targets;
    std::map<NodeId, NodeRecord> nodes;
    std::map<PoolId, PoolAssignment> pools;
    Routing routing;
    /** Requests and prompt parts that crash targets. */
    std::map<SuspectId, SuspectRecord> suspects;
    /** The latest rollout of each service, by the name of the service. */
    std::map<std::string, Rollout> rollouts;

    bool operator==(const ClusterConfig&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(version, customers, targets, nodes, pools, routing, suspects, rollouts);
    }
};

/** Software versions of the targets in a pool. */
std::set<std::string> softwareVersionsInUse(const ClusterConfig& config, PoolId pool);

/**
 * The software version at which every stream of the pool began that callers may still continue, as far as this configuration
 * shows; none if there is more than one or no target.
 */
std::optional<std::string> soleSoftwareVersion(const ClusterConfig& config, PoolId pool);

/** Entries that serve callers and are not lost. */
std::vector<NodeId> callerServingNodes(const ClusterConfig& config);

/** All objects that one configuration version changed, with their new values. */
struct ConfigDelta {
    Version version;
    std::vector<Contract> customers;
    std::vector<Target> targets;
    std::vector<NodeRecord> nodes;
    std::vector<PoolAssignment> pools;
    /** Changes to the routing document, if any. */
    std::optional<RoutingPatch> routing {};
    /** Discovered targets that are no longer listed. */
    std::vector<TargetId> removedTargets {};
    std::vector<SuspectRecord> suspects {};
    std::vector<SuspectId> clearedSuspects {};
    std::vector<Rollout> rollouts {};

    bool operator==(const ConfigDelta&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(version, customers, targets, nodes, pools, routing, removedTargets, suspects, clearedSuspects, rollouts);
    }
};

/** Applies a delta if it is newer and its patch is based on the current routing document; returns whether it was applied. Erased customers and retired targets stay as records. */
bool applyDelta(ClusterConfig& config, const ConfigDelta& delta);

}
