#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/sched/CeilingAllocator.h"
#include "briarhitch/sched/CeilingBuckets.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace briarhitch {

class MetricRegistry;

/** Name of the pool that owns a customer's ceiling. */
std::string ceilingPoolName(CustomerId customer);

/** The ceilings that this node owns: hands out allocations to entries and decides debits. */
class CeilingHost {
public:
    CeilingHost(NodeId self, Incarnation incarnation, std::function<bool()> hasLease, MetricRegistry& metrics, ClockHook now, CeilingTolerance tolerance = {});

    void onConfigChange(const ClusterConfig& config);
    /** Handles an allocation request. The encoded allocation is not valid if this node may not hand out any. */
    Result<std::string> onAllocationRequest(NodeId from, std::string_view body);
    /** Handles a CeilingDebit; returns an encoded CeilingDecision, undecided if this node may not decide. */
    Result<std::string> onDebit(std::string_view body);
    void onRefund(std::string_view body);
    [[nodiscard]] size_t poolCount() const { return pools_.size(); }

private:
    struct Pool {
        Epoch epoch;
        CeilingAllocator ledger;
        CeilingBuckets buckets;
    };

    void takeOver(const PoolAssignment& assignment);
    void setCeilings(const ClusterConfig& config);
    /** Charges what an entry admitted locally to its customer's account. */
    void charge(Pool& pool, const CeilingDebit& debit);

    NodeId self_;
    Incarnation incarnation_;
    std::function<bool()> hasLease_;
    MetricRegistry& metrics_;
    ClockHook now_;
    CeilingTolerance tolerance_;
    std::map<std::string, Pool> pools_;
    std::map<CustomerId, Ceiling> ceilings_;
};

}
