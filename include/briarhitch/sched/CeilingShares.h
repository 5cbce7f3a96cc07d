#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/model/Contract.h"
#include "briarhitch/sched/CeilingTolerance.h"

#include <cstddef>
#include <map>

namespace briarhitch {

/** Which part of customers' ceilings an entry may use by itself. */
struct CeilingShare {
    /** Entries that divide the ceiling equally; at least 1. */
    size_t entries { 1 };
    /** This entry's place in an order of all entries, from 0 to below 1. */
    double position { 0 };
    /** Fraction of the entry's equal part of the rate that it may use now. */
    double rateFraction { 1 };
};

/**
 * What one entry may admit while a ceiling's owner does not decide. In sum over all entries that is the rate and a fixed
 * part of the tolerance's excess, also where the share of one entry is smaller than a request. Does no I/O and reads no clock.
 */
class CeilingShares {
public:
    explicit CeilingShares(const CeilingTolerance& tolerance);

    /**
     * Begins to decide locally. What is left of an earlier share is topped up only if `mayTopUp`: the owner knows what was admitted
     * here before, and its account covered it.
     */
    void begin(CustomerId customer, const Ceiling& ceiling, const CeilingShare& share, bool mayTopUp, Instant now);
    /** Errors as of CeilingBuckets::debit(). begin() must have been called before. */
    Result<void> debit(CustomerId customer, const Ceiling& ceiling, const CeilingShare& share, Tokens tokens, Instant now);
    /** Refunds a request that was admitted here and did not run. */
    void refund(CustomerId customer, Tokens tokens);
    [[nodiscard]] CeilingAmount left(CustomerId customer) const;

private:
    struct Account {
        CeilingAmount left;
        Instant filledAt {};
    };

    [[nodiscard]] CeilingAmount startAmount(const Ceiling& ceiling, const CeilingShare& share) const;
    void fill(Account& account, const Ceiling& ceiling, const CeilingShare& share, Instant now) const;

    CeilingTolerance tolerance_;
    std::map<CustomerId, Account> accounts_;
};

}
