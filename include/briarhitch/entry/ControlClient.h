#pragma once

#include "briarhitch/core/NodeAddress.h"
#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/wire/Link.h"
#include "briarhitch/wire/StreamMessages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarhitch {

class Loop;
class MetricRegistry;

struct ControlClientSettings {
    /** Link addresses of the control voters to contact first. */
    std::vector<HostPort> voters;
    LinkSettings link;
    /** This node's record, sent with each heartbeat. */
    NodeRecord self;
    Duration heartbeatInterval { std::chrono::seconds(1) };
    /** Time without a reply to a heartbeat after which the next voter is tried. */
    Duration heartbeatTimeout { std::chrono::milliseconds(500) };
};

/** A node's client of the control leader: heartbeats, lease, configuration and run records. */
class ControlClient {
public:
    ControlClient(Loop& loop, ControlClientSettings settings, ClusterView& view, MetricRegistry& metrics);
    ~ControlClient();

    void start();
    /** Whether this node's lease is valid now, by its own clock. */
    [[nodiscard]] bool hasLease() const;
    /** True from the first heartbeat reply on that granted a lease. */
    [[nodiscard]] bool hasConfiguration() const;
    /**
     * Blocks the calling fiber until a heartbeat has been answered that was sent no earlier than `maxAge` before this call, so
     * that the view has all that was committed until then; false after the timeout.
     */
    bool confirmConfiguration(Duration maxAge, Duration timeout);
    /** Sends the next heartbeat without waiting for the interval to elapse. */
    void heartbeatNow();
    /** Marks this node as draining, so that the leader reassigns its pools; sends a heartbeat immediately. */
    void setDraining();
    /** Replaces the configured voter addresses; processes that the leader has announced are kept. */
    void setSeeds(const std::vector<HostPort>& seeds);
    /** The hook is called before each heartbeat and returns customers in wind-down with requests in flight on this node. */
    void setBusyClosingCustomersHook(std::function<std::vector<CustomerId>()> hook);
    /** Commits a claim. NoQuorum: it may still be committed later; the run must then be treated as claimed. */
    Result<ClaimRunReply> claimRun(const ClaimRun& claim, Duration timeout);
    /** Commits a run's outcome; retries across leader changes until the timeout. */
    Result<void> finishRun(const FinishRun& finish, Duration timeout);
    /** Commits changes of blocked suspects; may be repeated. */
    Result<void> recordSuspects(const RecordSuspects& changes, Duration timeout);
    /** Commits what streams are bound to; may be repeated. */
    Result<void> recordStreams(const RecordStreams& streams, Duration timeout);
    /** What a stream is bound to by the replicated log; none if it is not recorded. NoQuorum: no leader has answered in time. */
    Result<std::optional<StreamBinding>> findStream(StreamId stream, Duration timeout);
    /** Sends the counters of a rollout; an error if the leader did not accept them. */
    Result<void> reportRollout(const RolloutReport& report, Duration timeout);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

}
