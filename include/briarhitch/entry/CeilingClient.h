#pragma once

#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/NodeTransport.h"
#include "briarhitch/sched/CeilingBuckets.h"
#include "briarhitch/sched/CeilingLimiter.h"

#include <map>
#include <memory>

namespace briarhitch {

class Loop;

/** An entry's side of customers' ceilings: holds portions and admits requests within them. */
class CeilingClient {
public:
    CeilingClient(Loop& loop, const ClusterView& view, NodeTransport& transport, ClockHook now);
    ~CeilingClient();

    /** Counts a request; blocks the calling fiber for a short time if there is no portion yet. */
    Result<void> enter(const Contract& contract, Tokens estimate);
    /**
     * Has the ceiling's owner admit one request exactly. While the owner is silent, this entry admits by itself, within
     * its part of the ceiling.
     */
    Result<void> debit(const Contract& contract, Tokens tokens);
    /** Gives back a request that was admitted by debit() and did not run. */
    void refund(const Contract& contract, Tokens tokens);
    /** Must follow each enter() that succeeded. */
    void leave(CustomerId customer, Tokens unused);

private:
    struct Account;

    Account& accountOf(const Contract& contract);
    void fetchInBackground(CustomerId customer);
    bool fetch(CustomerId customer);
    bool fetchOnce(Account& account, CustomerId customer);
    Result<void> debitAlone(const Contract& contract, Tokens tokens);

    Loop& loop_;
    const ClusterView& view_;
    NodeTransport& transport_;
    ClockHook now_;
    std::map<CustomerId, std::unique_ptr<Account>> accounts_;
    /** This entry's parts of the ceilings, for while their owners are silent. */
    CeilingBuckets alone_ { CeilingTolerance {}, false };
    /** An owner that did not answer is not waited for again until then. */
    std::map<PoolId, Instant> silentUntil_;
    /** Tokens admitted by this entry that the owner does not know of yet. */
    std::map<CustomerId, Tokens> usedAlone_;
};

}
