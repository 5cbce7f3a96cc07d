#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/model/Contract.h"
#include "briarhitch/sched/CeilingTolerance.h"
#include "briarhitch/sched/SlidingSum.h"

#include <map>

namespace briarhitch {

/** Central enforcement of customers' rate ceilings: one token bucket per customer and unit. Does no I/O and reads no clock. */
class CeilingBuckets {
public:
    explicit CeilingBuckets(const CeilingTolerance& tolerance);

    /** Replaces the customer's ceiling; what it has used carries over. A new customer has used nothing. */
    void setCeiling(CustomerId customer, const Ceiling& ceiling, Instant now);
    /** Lowers what the customer has left to this amount, which was left `age` ago. */
    void limitLeft(CustomerId customer, const CeilingAmount& left, Duration age, Instant now);
    /** Lowers what the customer has left to what it may use after a window in which its use is not known. */
    void limitLeftAfterUnknownUse(CustomerId customer, Instant now);
    /** Fraction of the rates that these buckets gain, 0 to 1; the rest is left to entries that decide locally. */
    void setGainedFraction(double fraction, Instant now);
    /**
     * Of the rates, `fraction` was left to an entry for this time, and `share` is its part of all that is left to entries now. Gives the
     * customer's buckets what the entry did not use of it, as far as they would have had room for it; charges them if it used more, in
     * `usedTime` until now.
     */
    void settle(CustomerId customer, double fraction, Duration time, double share, const CeilingAmount& used, Duration usedTime, Instant now);
    /** What the buckets would hold in addition if nothing had been left to entries. */
    [[nodiscard]] CeilingAmount withheld(CustomerId customer, Instant now) const;

    [[nodiscard]] bool hasCustomer(CustomerId customer) const { return accounts_.contains(customer); }
    /** Debits one request. Errors: CeilingRequests or CeilingTokens, with the time until it would fit; NoOwner for an unknown customer. */
    Result<void> debit(CustomerId customer, Tokens tokens, Instant now);
    /**
     * Debits what was used without a debit here in this time until now, while the buckets gained, less what they had no room for in
     * that time; refunds a negative amount.
     */
    void charge(CustomerId customer, const CeilingAmount& used, Duration time, Instant now);
    /** Refunds a request that did not run. */
    void refund(CustomerId customer, Tokens tokens, Instant now);
    /** What was admitted here and reported by entries within the tolerance's window, less what did not run; to the eighth of a window. */
    [[nodiscard]] CeilingAmount usedInWindow(CustomerId customer, Instant now) const;
    /** What the customer has left; zero if it is unknown. */
    [[nodiscard]] CeilingAmount left(CustomerId customer, Instant now) const;

private:
    struct Bucket {
        double rate { 0 };
        double capacity { 0 };
        double level { 0 };
        /** How far a request may take the level below zero. */
        double overdraft { 0 };
        /** Gain of the last window that did not fit; admits requests larger than the capacity. */
        SlidingSum unusedGain;
        /** The same for a shorter time in shorter slots, less what entries reported as used meanwhile. */
        SlidingSum reportableGain;
        /** What the level would be greater by if nothing had been left to entries. */
        double withheld { 0 };
        /** Use of the last window. */
        SlidingSum used;
        /** Use that a lower capacity hid; a higher one shows it again. */
        double hiddenUse { 0 };
        /** Size of the refused requests that were told to return later. */
        double returning { 0 };
        Instant filledAt {};

        /** Gains `amount`; `withheldAmount` of the rate is left to entries. */
        void gain(double amount, double withheldAmount, Instant now);
        [[nodiscard]] bool admits(double size, Instant now);
        void debit(double size, Instant now);
        void refund(double size);
        void charge(double size, Duration time, Instant now);
        void settle(double amount, double share, double used, Duration usedTime, Instant now);
        /** Time until a request of this size fits behind those that return before it. */
        Duration reserveReturn(double size);
    };
    struct Account {
        Bucket requests;
        Bucket tokens;
    };

    void fill(Bucket& bucket, Instant now) const;
    void setBucket(Bucket& bucket, double rate, double burst, bool isNew, Instant now) const;
    Account* findFilled(CustomerId customer, Instant now);

    CeilingTolerance tolerance_;
    double gainedFraction_ { 1 };
    std::map<CustomerId, Account> accounts_;
};

}
