#pragma once

#include "briarhitch/entry/CeilingVerdict.h"
#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/NodeTransport.h"
#include "briarhitch/sched/CeilingLimiter.h"
#include "briarhitch/sched/CeilingShares.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace briarhitch {

class Loop;
class MetricRegistry;

struct CeilingClientSettings {
    NodeId self;
    CeilingTolerance tolerance {};
};

/** The entry's side of customers' ceilings: holds allocations and admits requests within them. */
class CeilingClient {
public:
    CeilingClient(Loop& loop, const CeilingClientSettings& settings, const ClusterView& view, NodeTransport& transport, MetricRegistry& metrics, ClockHook now);
    ~CeilingClient();

    /** Admits a request within this entry's allocation; blocks the calling fiber for up to about 1 s if there is none. */
    Result<void> admit(const Contract& contract, Tokens estimate);
    /** Must follow each successful admit(), when the request has ended; `unusedTokens` is the unused part of its estimate. */
    void release(CustomerId customer, Tokens unusedTokens);

    /**
     * Has the ceiling's owner admit or refuse one request. While the owner does not decide, this entry does, within an
     * equal share of the ceiling for each entry.
     */
    CeilingVerdict debit(const Contract& contract, Tokens tokens);
    /** Refunds a request that debit() admitted, by this decider, and that did not run. */
    void refund(const Contract& contract, Tokens tokens, CeilingDecider decider);

    /** Reports to the new owners of ceilings what this entry knows of their accounts. */
    void onConfigChange(const ClusterConfig& config);
    /** A link to this node opened: reports to it if it owns ceilings. */
    void onOutgoingLinkOpen(NodeId node);

private:
    struct Account;
    /** What this entry knows of a customer's account with the owner. */
    struct CustomerRecord {
        CeilingAmount left;
        CeilingAmount withheld;
        CeilingAmount withheldWithRoom;
        /** When the owner decided with `left` as the rest; none if it has not. */
        std::optional<Instant> leftAt;
        CeilingAmount unreportedUse;
        /** When the first of it was admitted. */
        Instant unreportedSince {};
        /** The local period for which this entry's share was begun; none while the owner decides. */
        std::optional<Instant> shareBegunFor;
    };
    struct PoolRecord {
        Epoch epoch;
        NodeId owner;
        /** No debit is sent to the owner until then, because it did not decide. */
        Instant skipOwnerUntil {};
        /** The owner's link is open, but it did not reply in time. */
        bool isUnresponsive { false };
        /** Since when this entry decides locally; none while the owner decides. */
        std::optional<Instant> localSince;
        Instant lastLocalDecisionAt {};
    };

    Account& findOrCreateAccount(const Contract& contract);
    void fetchAllocationInBackground(CustomerId customer);
    bool fetchAllocation(CustomerId customer);
    bool requestAllocation(Account& account, CustomerId customer);
    CeilingVerdict decide(const Contract& contract, Tokens tokens);
    CeilingVerdict debitLocally(const Contract& contract, Tokens tokens, const PoolAssignment* pool, std::string_view reason);
    [[nodiscard]] CeilingShare shareOf(const Contract& contract, const PoolRecord& pool) const;
    /** Whether the customer had used up its ceiling when the owner last decided, within the tolerance's window. */
    [[nodiscard]] bool isExhausted(const Contract& contract) const;
    void beginLocalPeriod(const PoolAssignment& pool, PoolRecord& record, std::string_view reason);
    void endLocalPeriod(const PoolAssignment& pool, PoolRecord& record);
    static void addUnreportedUse(CustomerRecord& customer, const CeilingAmount& use, Instant since);
    void sendSync(PoolId pool);

    Loop& loop_;
    CeilingClientSettings settings_;
    const ClusterView& view_;
    NodeTransport& transport_;
    MetricRegistry& metrics_;
    ClockHook now_;
    const Instant startedAt_;
    std::map<CustomerId, std::unique_ptr<Account>> accounts_;
    CeilingShares shares_;
    std::map<CustomerId, CustomerRecord> customers_;
    std::map<PoolId, PoolRecord> pools_;
};

}
