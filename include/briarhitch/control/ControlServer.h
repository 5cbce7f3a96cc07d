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

struct ControlServerSettings {
    NodeId self;
    std::vector<ControlVoter> voters;
    /** In a fleet that forms itself: finds voters that are not in the list above. */
    std::function<std::optional<ControlVoter>(NodeId)> findVoter {};
    /** In a fleet that forms itself: the link addresses of all control processes, for the nodes. */
    std::function<std::vector<HostPort>()> controlProcesses {};
    /** Sends HeartbeatSolicitation to all nodes with an open link. */
    std::function<void()> callNodes {};
    LeaseSettings lease;
    /** See PoolAssigner; none: pools move only when the owner's lease has certainly ended. */
    std::optional<Duration> takeoverSilence {};
    uint64_t maxRunRecords { 0 };
    uint64_t maxAnswerBytes { 0 };
    Duration answerRetention { std::chrono::hours(24) };
    Duration proposeTimeout { std::chrono::seconds(2) };
    /** How often leases and pools are looked at. */
    Duration tickInterval { std::chrono::milliseconds(100) };
    /** The same while nodes register with a new leader. */
    Duration settlingTickInterval { std::chrono::milliseconds(20) };
    Duration settlingTime { std::chrono::seconds(1) };
};

/** What a node told in its last heartbeat to this leader. */
struct NodeReport {
    Incarnation incarnation;
    Version applied;
    std::vector<CustomerId> busyClosingCustomers;
};

/** Serves the nodes of the fleet: heartbeats, leases, claims; as the leader it also keeps pools assigned. */
class ControlServer {
public:
    ControlServer(Loop& loop, ControlServerSettings settings, StateMachine& state, MetricRegistry& metrics);
    ~ControlServer();

    /** To be called before anything else; the log's hooks may refer to this server. */
    void setLog(ReplicatedLog& log) { log_ = &log; }
    /** Hook for ReplicatedLogHooks. */
    void onRoleChange(bool isLeader, uint64_t term);
    /** Starts the fiber that looks after leases, pools and old answers. */
    void start();
    void stop();

    /** Hook for LinkHooks; answers all messages but those between voters. */
    Result<std::string> onRequest(const Peer& peer, MessageType type, std::string_view body);

    /** Whether this process leads and no other can have become the leader. */
    [[nodiscard]] bool isLeader() const;
    /** The present leader as far as it is known; may be this process. */
    [[nodiscard]] std::optional<ControlVoter> leader() const;
    [[nodiscard]] uint64_t term() const { return log_->term(); }
    /** Commits a change; NoQuorum: it may still be applied. */
    Result<CommandResult> propose(std::string command);
    /** Commits a checked routing document; accepted without effect if its version is not higher than the present one's. */
    Result<CommandResult> putRouting(const Routing& routing, const std::string& source);
    /** Commits what discovery lists, if it differs from what the configuration has. */
    Result<void> replaceDiscovered(const std::vector<Target>& targets, const std::string& poolScope);
    /** Nodes that may serve under a lease and have not reported this configuration version. */
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
    Result<void> registerIfChanged(const NodeRecord& node);
    [[nodiscard]] std::string redirect() const;
    [[nodiscard]] Duration tickInterval() const;
    /** Calls for heartbeats as soon as this leader can answer them. */
    void announceLeadership();
    void callNodes() const;
    void tick();
    void markLostNodes();
    void assignPools();
    void retireAnswers();
    void publishGauges();

    Loop& loop_;
    ControlServerSettings settings_;
    StateMachine& state_;
    MetricRegistry& metrics_;
    ReplicatedLog* log_ { nullptr };
    LeaseTable leases_;
    PoolAssigner assigner_;
    std::map<NodeId, NodeReport> reports_;
    bool leading_ { false };
    bool isAnnounced_ { false };
    Instant leadsSince_ {};
    std::shared_ptr<Lifetime> lifetime_;
};

}
