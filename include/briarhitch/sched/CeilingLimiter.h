#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/wire/Messages.h"

namespace briarhitch {

/** A node's side of one customer's ceiling: admits requests within the portion that the ceiling's owner gave. */
class CeilingLimiter {
public:
    /** How long a portion is used when its owner cannot be reached. */
    static constexpr Duration unreachableOwnerGracePeriod = std::chrono::seconds(5);

    explicit CeilingLimiter(CustomerId customer, const Ceiling& ceiling);

    void setCeiling(const Ceiling& ceiling) { ceiling_ = ceiling; }
    /** `askedAt`: when the ask was sent, because the owner counts the lifetime from no earlier moment. */
    void setAllocation(const CeilingAllocation& portion, Instant askedAt, Instant now);
    /** Whether the contract sets any limit; without one, no portion is needed. */
    [[nodiscard]] bool isLimited() const { return ceiling_ != Ceiling {}; }
    /** Whether it is time to ask for the next portion. */
    [[nodiscard]] bool needsAllocation(Instant now) const;
    /** The demand of the last second, refused requests included. */
    CeilingRequest makeCeilingRequest(PoolId pool, Instant now);

    /**
     * Counts a request of this size. Errors, each with a retryAfter: NoOwner without a portion, CeilingRequests,
     * CeilingTokens, CeilingInFlight. Every admitted request must be reported as finished.
     */
    Result<void> admit(Tokens tokens, Instant now);
    /** `unused`: tokens that were admitted and not used. */
    void finished(Tokens unused);
    [[nodiscard]] uint32_t inFlight() const { return inFlight_; }

private:
    struct Bucket {
        double rate { 0 };
        double level { 0 };
        Instant filledAt {};

        void fill(Instant now, double leastBurst);
        void setRate(double newRate, Instant now, double leastBurst);
    };

    CustomerId customer_;
    Ceiling ceiling_;
    Ceiling allocation_;
    bool hasAllocation_ { false };
    Instant renewAt_ {};
    Instant usableUntil_ {};
    Bucket requests_;
    Bucket tokens_;
    uint32_t inFlight_ { 0 };
    double requestsSinceLastReport_ { 0 };
    double tokensSinceLastReport_ { 0 };
    Instant lastRequestAt_ {};
};

}
