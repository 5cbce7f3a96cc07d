#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/sched/CeilingAllocator.h"
#include "briarhitch/sched/CeilingBuckets.h"
#include "briarhitch/wire/Messages.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace briarhitch {

class MetricRegistry;

/** Name of the pool that owns a customer's ceiling. */
std::string ceilingPoolName(CustomerId customer);

struct CeilingHostSettings {
    NodeId self;
    Incarnation incarnation;
    CeilingTolerance tolerance {};
};

/** Functions of the rest of the node that a CeilingHost calls. All must be set. */
struct CeilingHostHooks {
    std::function<bool()> hasLease;
    /** This node's configuration is older than that of another node. */
    std::function<void()> onConfigOutdated;
    ClockHook now;
};

/**
 * The ceilings that this node owns: hands out allocations to entries and decides debits. A new owner of a ceiling learns
 * from the entries what was left under the previous one, and decides nothing until it has heard from all of them or a
 * timeout has passed.
 */
class CeilingHost {
public:
    CeilingHost(const CeilingHostSettings& settings, MetricRegistry& metrics, CeilingHostHooks hooks);

    void onConfigChange(const ClusterConfig& config);
    /** Handles an allocation request. The encoded allocation is not valid if this node may not hand out any. */
    Result<std::string> onAllocationRequest(NodeId from, std::string_view body);
    /** Handles a CeilingDebit; returns an encoded CeilingDecision, undecided if this node may not decide. */
    Result<std::string> onDebit(std::string_view body);
    void onRefund(std::string_view body);
    void onSync(NodeId from, std::string_view body);
    /** While an entry is disconnected, its equal part of each rate is left to it. */
    void onEntryConnected(NodeId node);
    void onEntryDisconnected(NodeId node);
    [[nodiscard]] size_t poolCount() const { return pools_.size(); }

private:
    struct KnownLeft {
        CeilingAmount left;
        CeilingAmount withheld;
        CeilingAmount withheldWithRoom;
        Instant at;
    };
    /** When an entry was disconnected, and is connected again. */
    struct Absence {
        Instant from;
        Instant until;
    };
    /** What entries reported to an owner that does not decide yet. */
    struct TakeoverReports {
        std::set<NodeId> awaited;
        std::map<CustomerId, std::vector<KnownLeft>> left;
        std::map<CustomerId, CeilingAmount> unreportedUse;
        /** An entry started within the tolerance's window, so that its predecessor's use may be unknown. */
        bool hasRecentStart { false };
    };
    struct Pool {
        Epoch epoch;
        Instant assignedAt;
        CeilingAllocator ledger;
        CeilingBuckets buckets;
        bool isDeciding { false };
        TakeoverReports reports {};
    };
    struct EarlySync {
        Instant receivedAt;
        NodeId from;
        CeilingSync sync;
    };

    void takeOver(const PoolAssignment& assignment);
    void replayEarlySyncs();
    void applySync(NodeId from, const std::string& name, Pool& pool, const CeilingSync& sync);
    /** Gives the accounts what the entry did not use of its parts of the rates while it was disconnected. */
    void settle(NodeId entry, const std::string& name, Pool& pool, const CeilingSync& sync);
    /** Whether this node may decide debits of the pool; begins to if it may by now. */
    bool mayDecide(const std::string& name, Pool& pool);
    void beginDeciding(const std::string& name, Pool& pool);
    void setCeilings(const ClusterConfig& config);
    void countLocalUse(const CeilingAmount& used);
    /** At most once a second for each customer. */
    void logReached(CustomerId customer, const Pool& pool);
    void updateGainedFraction();
    [[nodiscard]] double entryFraction() const;
    /** Time for which this owner has left their parts of the rates to entries that are disconnected or have not reported since. */
    [[nodiscard]] Duration withheldTime(const std::string& name, const Pool& pool) const;
    [[nodiscard]] Duration withheldTime(const Pool& pool, const Absence& absence) const;
    /** `withheldTime` at the entries' parts of the customer's rates. */
    [[nodiscard]] CeilingAmount withheldFrom(const std::string& name, const Pool& pool, CustomerId customer) const;

    CeilingHostSettings settings_;
    MetricRegistry& metrics_;
    CeilingHostHooks hooks_;
    std::map<std::string, Pool> pools_;
    std::map<PoolId, std::string> poolNames_;
    std::map<CustomerId, Ceiling> ceilings_;
    /** Entries that serve callers. */
    std::set<NodeId> entries_;
    std::set<NodeId> connected_;
    /** Entries without a link to this node, and since when. */
    std::map<NodeId, Instant> disconnectedSince_;
    /** Of entries that are connected again: pools for which they have not reported yet, and when their parts of the rates were left to them. */
    std::map<std::pair<NodeId, std::string>, Absence> unsettled_;
    std::deque<EarlySync> earlySyncs_;
    std::map<CustomerId, Instant> reachedLoggedAt_;
};

}
