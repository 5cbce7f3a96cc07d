#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/sched/CeilingBuckets.h"
#include "briarhitch/sched/CeilingLedger.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace briarhitch {

/** Name of the pool that owns a customer's ceiling. */
std::string ceilingPoolName(CustomerId customer);

/** The ceilings that this node owns: gives entries their portions. */
class CeilingHost {
public:
    CeilingHost(NodeId self, Incarnation incarnation, std::function<bool()> hasLease, ClockHook now, CeilingTolerance tolerance = {});

    void onConfigChange(const ClusterConfig& config);
    /** CeilingRequest to CeilingAllocation; the allocation is not valid if this node may not give any. */
    Result<std::string> onCall(NodeId from, std::string_view body);
    /** CeilingDebit to CeilingDecision. */
    Result<std::string> onDebit(std::string_view body);
    void onRefund(std::string_view body);
    [[nodiscard]] size_t poolCount() const { return pools_.size(); }

private:
    struct Pool {
        Epoch epoch;
        CeilingLedger ledger;
        CeilingBuckets buckets;
    };

    void adopt(const PoolAssignment& assignment);
    void setCeilings(const ClusterConfig& config);

    NodeId self_;
    Incarnation incarnation_;
    std::function<bool()> hasLease_;
    ClockHook now_;
    CeilingTolerance tolerance_;
    std::map<std::string, Pool> pools_;
    std::map<CustomerId, Ceiling> ceilings_;
};

}
