#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/model/Contract.h"

#include <map>

namespace briarhitch {

/** Upper limit of a ceiling's use in any window: (rate x window + burst) x (1 + excessFraction) + slack. */
struct CeilingTolerance {
    Duration window { std::chrono::seconds(8) };
    double excessFraction { 0 };
    double slack { 0 };
};

/** Central enforcement of customers' rate ceilings: one token bucket per customer and unit. Does no I/O and reads no clock. */
class CeilingBuckets {
public:
    /** `isSuccessor`: a previous owner may have admitted requests that are not counted here. */
    CeilingBuckets(const CeilingTolerance& tolerance, bool isSuccessor);

    /** Replaces the customer's ceiling; bucket levels carry over. */
    void setCeiling(CustomerId customer, const Ceiling& ceiling, Instant now);
    [[nodiscard]] bool hasCustomer(CustomerId customer) const { return accounts_.contains(customer); }
    /** Debits one request. Errors: CeilingRequests or CeilingTokens, with the time until it would fit; NoOwner for an unknown customer. */
    Result<void> debit(CustomerId customer, Tokens tokens, Instant now);
    /** Debits tokens of requests that were admitted locally, without a debit here; returns how many of them the level covered. */
    Tokens charge(CustomerId customer, Tokens tokens, Instant now);
    /** Refunds a request that did not run. */
    void refund(CustomerId customer, Tokens tokens, Instant now);
    /** Tokens that the customer may still use at this moment; negative if it has used more than its ceiling, zero if it is unknown. */
    [[nodiscard]] Tokens tokensLeft(CustomerId customer, Instant now) const;

private:
    struct Bucket {
        double rate { 0 };
        double capacity { 0 };
        double level { 0 };
        Instant filledAt {};

        void fill(Instant now);
    };
    struct Account {
        Bucket requests;
        Bucket tokens;
    };

    void setBucket(Bucket& bucket, double rate, double burst, bool isNew, Instant now) const;

    CeilingTolerance tolerance_;
    bool isSuccessor_;
    std::map<CustomerId, Account> accounts_;
};

}
