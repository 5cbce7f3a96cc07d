#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/wire/Messages.h"

namespace briarhitch {

/** Enforces one customer's ceiling on this node, within the allocation received from the ceiling's owner. */
class CeilingLimiter {
public:
    /** How long an allocation stays usable, from the time it was requested, while its owner cannot be reached. */
    static constexpr Duration unreachableOwnerGracePeriod = std::chrono::seconds(5);

    explicit CeilingLimiter(CustomerId customer, const Ceiling& ceiling);

    void setCeiling(const Ceiling& ceiling) { ceiling_ = ceiling; }
    /** `requestedAt`: when the request was sent; the owner starts the allocation's lifetime no earlier. */
    void setAllocation(const CeilingPortion& allocation, Instant requestedAt, Instant now);
    /** Whether the contract sets any limit; without one, no allocation is needed. */
    [[nodiscard]] bool isLimited() const { return ceiling_ != Ceiling {}; }
    /** Whether the next allocation should be requested now. */
    [[nodiscard]] bool needsAllocation(Instant now) const;
    /** A request that reports the demand since the previous one, including refused requests. */
    CeilingAsk makeCeilingRequest(PoolId pool, Instant now);

    /**
     * Admits a request of this size or fails, with a retryAfter: NoOwner without a valid allocation, CeilingRequests,
     * CeilingTokens, CeilingInFlight. finished() must be called for every admitted request.
     */
    Result<void> admit(Tokens tokens, Instant now);
    /** `unused`: admitted tokens that were not used; they are refunded. */
    void finished(Tokens unused);
    [[nodiscard]] uint32_t inFlight() const { return inFlight_; }

private:
    struct Bucket {
        double rate { 0 };
        double level { 0 };
        Instant filledAt {};

        void fill(Instant now, double minBurst);
        void setRate(double newRate, Instant now, double minBurst);
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
