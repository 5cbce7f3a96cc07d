#pragma once

#include "briarhitch/core/NodeAddress.h"
#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/wire/Link.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarhitch {

class Loop;
class MetricRegistry;

struct ControlClientSettings {
    /** Addresses for links of all control voters. */
    std::vector<HostPort> voters;
    LinkSettings link;
    /** What this node tells of itself. */
    NodeRecord self;
    Duration heartbeatInterval { std::chrono::seconds(1) };
    /** A voter that has not answered a heartbeat by then is passed over for the next one. */
    Duration heartbeatTimeout { std::chrono::milliseconds(500) };
};

/** A node's connection to the control leader: heartbeats, lease, configuration, run records. */
class ControlClient {
public:
    ControlClient(Loop& loop, ControlClientSettings settings, ClusterView& view, MetricRegistry& metrics);
    ~ControlClient();

    void start();
    /** Whether the lease holds now, by this node's own clock. */
    [[nodiscard]] bool hasLease() const;
    /** True from the first heartbeat answer on. */
    [[nodiscard]] bool hasConfiguration() const;
    /** Sends the next heartbeat at once. */
    void heartbeatNow();
    /** Tells the leader to move this node's pools elsewhere. */
    void setDraining();
    /** New first addresses; processes that the leader named meanwhile stay known. */
    void setSeeds(const std::vector<HostPort>& seeds);
    /** Asked before each heartbeat for customers in wind-down that still have requests here. */
    void setBusyClosingCustomersHook(std::function<std::vector<CustomerId>()> hook);
    /** Commits a claim. NoQuorum: it may still be committed later; the run must then be treated as claimed. */
    Result<ClaimRunReply> claimRun(const ClaimRun& claim, Duration timeout);
    /** Commits an outcome; retries over leader changes until the time runs out. */
    Result<void> finishRun(const FinishRun& finish, Duration timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

}
