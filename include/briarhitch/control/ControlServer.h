#pragma once

#include "briarhitch/consensus/ReplicatedLog.h"
#include "briarhitch/control/LeaseTable.h"
#include "briarhitch/control/PoolAssigner.h"
#include "briarhitch/control/StateMachine.h"
#include "briarhitch/settings/ControlSettings.h"
#include "briarhitch/wire/Link.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

class Loop;
class MetricRegistry;
class RolloutDriver;
class StreamBatch;
class VersionRetirement;

struct ControlServerSettings {
    NodeId self;
    std::vector<ControlVoter> voters;
    /** With dynamic membership: finds voters that are not in the list above. */
    std::function<std::optional<ControlVoter>(NodeId)> findVoter {};
    /** With dynamic membership: the link addresses of all control processes, to be sent to the nodes. */
    std::function<std::vector<HostPort>()> controlProcesses {};
    /** Sends HeartbeatSolicitation to every node with an open link, so that it sends a heartbeat at once. */
    std::function<void()> solicitHeartbeats {};
    LeaseSettings lease;
    /** See PoolAssigner; not set: a pool is only taken over once its owner's lease has expired. */
    std::optional<Duration> takeoverTimeout {};
    /** Not set: rollouts are not served. */
    std::optional<RolloutBounds> rollout {};
    uint64_t maxRunRecords { 0 };
    uint64_t maxResponseBytes { 0 };
    Duration responseRetention { std::chrono::hours(24) };
    Duration proposeTimeout { std::chrono::seconds(2) };
    /** How often leases and pools are checked. */
    Duration tickInterval { std::chrono::milliseconds(100) };
    /** The same during newLeaderPeriod after an election, while nodes register with the new leader. */
    Duration newLeaderTickInterval { std::chrono::milliseconds(20) };
    Duration newLeaderPeriod { std::chrono::seconds(1) };
};

/** Content of a node's last heartbeat to this leader. */
struct NodeReport {
    Incarnation incarnation;
    Version applied;
    std::vector<CustomerId> busyClosingCustomers;
};

/** Handles the nodes' heartbeats and claims; while this process leads, also grants leases and assigns pools. */
class ControlServer {
public:
    ControlServer(Loop& loop, ControlServerSettings settings, StateMachine& state, MetricRegistry& metrics);
    ~ControlServer();

    /** Must be called first. Not a constructor argument, because the log's hooks may refer to this server. */
    void setLog(ReplicatedLog& log) { log_ = &log; }
    /** To be used as ReplicatedLogHooks::onRoleChange. */
    void onRoleChange(bool isLeader, uint64_t term);
    /** Starts the fiber that expires leases, assigns pools and retires old responses. */
    void start();
    void stop();

    /** To be used as LinkHooks::onRequest; handles all messages except those between voters. */
    Result<std::string> onRequest(const Peer& peer, MessageType type, std::string_view body);

    /** Whether this process is the leader and its quorum lease rules out any other leader. */
    [[nodiscard]] bool isLeader() const;
    /** The current leader, if known; may be this process. */
    [[nodiscard]] std::optional<ControlVoter> leader() const;
    [[nodiscard]] uint64_t term() const { return log_->term(); }
    /** Commits a command. After NoQuorum it may still be applied. */
    Result<CommandResult> propose(std::string command);
    /** Commits a validated routing document; accepted without effect if its version is not higher than the current one's. */
    Result<CommandResult> putRouting(const Routing& routing, const std::string& source);
    /** Commits changes of blocked suspects. */
    Result<CommandResult> recordSuspects(const RecordSuspects& changes);
    /**
     * Commits an order to move a service to a software version; accepted without effect if it is known. NotFound if rollouts
     * are not enabled.
     */
    Result<CommandResult> startRollout(const std::string& service, const std::string& targetVersion, uint32_t durationMs);
    /** Not set if rollouts are not enabled. */
    [[nodiscard]] const RolloutDriver* rollouts() const { return rollouts_.get(); }
    /** Commits the list of discovered targets if it differs from the configuration. */
    Result<void> replaceDiscovered(const std::vector<Target>& targets, const std::string& poolScope);
    /** Nodes that may hold a lease and have not reported this configuration version or a later one. */
    [[nodiscard]] std::vector<NodeId> nodesBehind(Version version) const;
    /** Nodes that reported requests of this customer in flight. */
    [[nodiscard]] std::vector<NodeId> nodesBusyWith(CustomerId customer) const;
    [[nodiscard]] const NodeReport* findReport(NodeId node) const;
    [[nodiscard]] const LeaseTable& leases() const { return leases_; }
    [[nodiscard]] const StateMachine& state() const { return state_; }

private:
    struct Lifetime;

    Result<std::string> onHeartbeat(const Peer& peer, std::string_view body);
    Result<std::string> onClaim(const Peer& peer, std::string_view body);
    Result<std::string> onFinish(const Peer& peer, std::string_view body);
    Result<std::string> onRolloutReport(const Peer& peer, std::string_view body);
    Result<std::string> onRecordSuspects(const Peer& peer, std::string_view body);
    Result<std::string> onRecordStreams(const Peer& peer, std::string_view body);
    Result<std::string> onFindStream(const Peer& peer, std::string_view body);
    bool commitStreams(std::vector<StreamGroup> groups);
    Result<void> registerIfChanged(const NodeRecord& node);
    [[nodiscard]] std::string redirect() const;
    [[nodiscard]] Duration tickInterval() const;
    /** Solicits heartbeats once after each election, when this leader can reply to them. */
    void announceLeadership();
    void solicitHeartbeats() const;
    void tick();
    void markLostNodes();
    void assignPools();
    void retireResponses();
    void retireSoftwareVersions();
    void advanceRollouts();
    /** Logs a rollout's new record and makes the nodes fetch it. */
    void announceRollout(const std::string& service, Version version, const std::string& reason);
    [[nodiscard]] bool mayAnyNodeHoldLease() const;
    void publishGauges();

    Loop& loop_;
    ControlServerSettings settings_;
    StateMachine& state_;
    MetricRegistry& metrics_;
    ReplicatedLog* log_ { nullptr };
    LeaseTable leases_;
    PoolAssigner assigner_;
    std::unique_ptr<VersionRetirement> versionRetirement_;
    std::unique_ptr<RolloutDriver> rollouts_;
    std::unique_ptr<StreamBatch> streamBatch_;
    /** When this leader last proposed streams; none before its first time. */
    std::optional<Instant> streamsProposedAt_;
    std::map<NodeId, NodeReport> reports_;
    bool leading_ { false };
    bool isAnnounced_ { false };
    Instant leaderSince_ {};
    std::shared_ptr<Lifetime> lifetime_;
};

}
