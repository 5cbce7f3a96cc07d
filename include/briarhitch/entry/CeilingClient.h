#pragma once

#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/NodeTransport.h"
#include "briarhitch/sched/CeilingAccount.h"

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
    /** Must follow each enter() that succeeded. */
    void leave(CustomerId customer, Tokens unused);

private:
    struct Account;

    Account& accountOf(const Contract& contract);
    void fetchInBackground(CustomerId customer);
    bool fetch(CustomerId customer);
    bool fetchOnce(Account& account, CustomerId customer);

    Loop& loop_;
    const ClusterView& view_;
    NodeTransport& transport_;
    ClockHook now_;
    std::map<CustomerId, std::unique_ptr<Account>> accounts_;
};

}
