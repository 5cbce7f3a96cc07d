#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/model/Contract.h"

#include <map>

namespace briarhitch {

/** How far the use of a ceiling may go beyond it in any window: (rate x window + burst) x (1 + over) + slack. */
struct CeilingTolerance {
    Duration window { std::chrono::seconds(8) };
    double excessFraction { 0 };
    double slack { 0 };
};

/** Exact use of customers' rate ceilings in one place: one bucket for each customer and unit. Pure. */
class CeilingBuckets {
public:
    /** `isSuccessor`: an earlier owner has admitted requests that this one does not know of. */
    CeilingBuckets(const CeilingTolerance& tolerance, bool isSuccessor);

    /** Levels carry over to the new ceiling. */
    void setCeiling(CustomerId customer, const Ceiling& ceiling, Instant now);
    [[nodiscard]] bool hasCustomer(CustomerId customer) const { return accounts_.contains(customer); }
    /** Takes one request out; CeilingRequests or CeilingTokens, with the time at which it would fit. */
    Result<void> debit(CustomerId customer, Tokens tokens, Instant now);
    /** Counts tokens that were used without asking here. */
    void charge(CustomerId customer, Tokens tokens, Instant now);
    /** Gives back a request that did not run. */
    void refund(CustomerId customer, Tokens tokens, Instant now);

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
