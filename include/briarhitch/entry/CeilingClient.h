#pragma once

#include "briarhitch/entry/CeilingVerdict.h"
#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/NodeTransport.h"
#include "briarhitch/sched/CeilingBuckets.h"
#include "briarhitch/sched/CeilingLimiter.h"

#include <map>
#include <memory>
#include <string_view>

namespace briarhitch {

class Loop;
class MetricRegistry;

/** The entry's side of customers' ceilings: holds allocations and admits requests within them. */
class CeilingClient {
public:
    CeilingClient(Loop& loop, const ClusterView& view, NodeTransport& transport, MetricRegistry& metrics, ClockHook now);
    ~CeilingClient();

    /** Admits a request within this entry's allocation; blocks the calling fiber for up to about 1 s if there is none. */
    Result<void> admit(const Contract& contract, Tokens estimate);
    /**
     * Has the ceiling's owner admit or refuse one request. While the owner is unresponsive, this entry decides locally,
     * within an equal fraction of the ceiling for each entry.
     */
    CeilingVerdict debit(const Contract& contract, Tokens tokens);
    /** Refunds a request that was admitted by debit() and did not run. */
    void refund(const Contract& contract, Tokens tokens);
    /** Must follow each successful admit(), when the request has ended; `unusedTokens` is the unused part of its estimate. */
    void release(CustomerId customer, Tokens unusedTokens);

private:
    struct Account;

    Account& findOrCreateAccount(const Contract& contract);
    void fetchAllocationInBackground(CustomerId customer);
    bool fetchAllocation(CustomerId customer);
    bool requestAllocation(Account& account, CustomerId customer);
    CeilingVerdict decide(const Contract& contract, Tokens tokens);
    CeilingVerdict debitLocally(const Contract& contract, Tokens tokens);
    /** Logs when this entry begins or ceases to decide locally for a pool. */
    void recordDecider(const PoolAssignment* pool, CeilingDecider decider, std::string_view reason);

    Loop& loop_;
    const ClusterView& view_;
    NodeTransport& transport_;
    MetricRegistry& metrics_;
    ClockHook now_;
    std::map<CustomerId, std::unique_ptr<Account>> accounts_;
    /** This entry's fractions of the ceilings, used while their owners are unresponsive. */
    CeilingBuckets localBuckets_ { CeilingTolerance {}, false };
    /** Until when no debit is sent to the owner of a pool, because it did not reply. */
    std::map<PoolId, Instant> skipOwnerUntil_;
    /** Pools whose ceilings this entry decides locally, and since when. */
    std::map<PoolId, Instant> localSince_;
    /** Tokens admitted locally that have not been reported to the owner yet. */
    std::map<CustomerId, Tokens> locallyAdmitted_;
};

}
