#pragma once

#include "briarhitch/control/ChangeHistory.h"
#include "briarhitch/control/Commands.h"
#include "briarhitch/control/RunStore.h"
#include "briarhitch/control/StreamStore.h"
#include "briarhitch/model/ClusterConfig.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace briarhitch {

/**
 * The replicated state: configuration, results of changes and run records. Deterministic: equal
 * commands in equal order give equal results and equal snapshots on every voter.
 */
class StateMachine {
public:
    /** Most recent configuration changes that are kept as deltas; a node that is further behind gets a snapshot. */
    static constexpr size_t maxDeltas = 1024;
    /** A snapshot for a node must fit into one frame of 8 MiB; changes that would exceed this size are rejected. */
    static constexpr size_t maxConfigBytes = 6U << 20;
    /** Limited, because nodes register without an operator's action. */
    static constexpr size_t maxNodes = 4096;

    StateMachine();

    /** Applies an encoded command; returns an encoded ClaimResult for a claim, otherwise a CommandResult. */
    std::string apply(std::string_view command);
    [[nodiscard]] std::string takeSnapshot() const;
    /** Damaged if the bytes are no valid snapshot; the state is then unchanged. */
    Result<void> loadSnapshot(std::string_view snapshot);

    [[nodiscard]] const ClusterConfig& config() const { return config_; }
    [[nodiscard]] const RunStore& runs() const { return runs_; }
    [[nodiscard]] const StreamStore& streams() const { return streams_; }
    [[nodiscard]] const ChangeHistory& changes() const { return changes_; }
    /** The routing document as its operator sent it; empty if there is none. */
    [[nodiscard]] const std::string& routingSource() const { return routingSource_; }
    /** Configuration version of the last change of a node's record; zero if the node is unknown. */
    [[nodiscard]] Version nodeRecordVersion(NodeId node) const;
    /** Adds the changes after `applied` to the reply: as deltas if they are kept and smaller, otherwise as a snapshot and the later deltas. */
    void addChangesSince(Version applied, HeartbeatReply& reply) const;
    [[nodiscard]] const Contract* findCustomer(const std::string& name) const;
    [[nodiscard]] const Target* findTarget(const std::string& name) const;

private:
    CommandResult applyCommand(const Command& command);
    ClaimResult applyClaim(const Command& command);
    CommandResult applyChange(const ChangeHeader& change, uint64_t digest, const std::function<CommandResult()>& decide);
    CommandResult putCustomer(const PutCustomerCommand& command);
    CommandResult windDown(const WindDownCommand& command);
    CommandResult putTarget(const PutTargetCommand& command);
    CommandResult setTargetState(const SetTargetStateCommand& command);
    CommandResult registerNode(const RegisterNodeCommand& command, int64_t timeMs);
    CommandResult markNodeLost(const MarkNodeLostCommand& command, int64_t timeMs);
    CommandResult assignPools(const AssignPoolsCommand& command);
    CommandResult finishRun(const FinishRunCommand& command, int64_t timeMs);
    CommandResult putRouting(const PutRoutingCommand& command);
    CommandResult replaceDiscovered(const ReplaceDiscoveredCommand& command);
    CommandResult recordSuspects(const RecordSuspectsCommand& command, int64_t timeMs);
    /** Publishes a rollout's change; the object version of the result is the rollout's id. */
    CommandResult applyRollout(const std::string& service, Result<ConfigDelta> delta);
    /** The pool of a target; added to the delta if there is none yet. */
    PoolId findOrCreatePool(const Target& target, const std::string& scope, ConfigDelta& delta);
    CommandResult publishNode(const NodeRecord& node);
    [[nodiscard]] bool isMoveAllowed(const PoolMove& move) const;
    [[nodiscard]] bool isKeyTaken(const Contract& contract, CustomerId owner) const;
    [[nodiscard]] const PoolAssignment* findPool(const std::string& name) const;
    [[nodiscard]] CommandResult accepted(Version objectVersion) const;
    void publish(ConfigDelta delta);

    struct StoredDelta {
        ConfigDelta delta;
        size_t bytes { 0 };
    };
    struct EncodedSnapshot {
        Version version;
        EncodedConfig config;
    };

    /** Encoded size of the deltas after this version; not set if not all of them are kept. */
    [[nodiscard]] std::optional<size_t> deltaBytesSince(Version applied) const;

    ClusterConfig config_;
    /** Sum of the encoded sizes of the configuration's objects. */
    size_t configBytes_ { 0 };
    std::deque<StoredDelta> deltas_;
    /** The last snapshot sent to a node, for reuse; a cache that is not part of the replicated state. */
    mutable std::optional<EncodedSnapshot> encoded_;
    std::map<NodeId, Version> nodeRecordVersions_;
    ChangeHistory changes_;
    RunStore runs_;
    StreamStore streams_;
    std::string routingSource_;
    uint32_t nextCustomer_ { 1 };
    uint32_t nextTarget_ { 1 };
    uint32_t nextPool_ { 1 };
};

std::string_view toString(CustomerState state);
std::string_view toString(TargetState state);

}
