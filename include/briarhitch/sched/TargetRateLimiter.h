#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/sched/TargetRateLimits.h"

#include <map>
#include <optional>

namespace briarhitch {

/**
 * Spaces the requests to targets with a rate limit, with one token bucket per target. When a limit ends, the rate rises
 * over three seconds, because work that waited would otherwise reach the target at once and make it limit its rate again.
 */
class TargetRateLimiter {
public:
    /** Limits a target's requests; a rate of zero blocks it. A target that had no limit starts without saved-up requests. */
    void setRate(TargetId target, RequestRate rate, Instant now);
    void endLimit(TargetId target, Instant now);
    /** Ends the limits that have ended, and removes those of targets that are not known any more. */
    void followEnds(const TargetRateLimits& limits, Instant now);
    /** Removes targets whose rate has risen to its end after a limit. */
    void tick(Instant now);

    [[nodiscard]] bool allowsRequest(TargetId target, Instant now) const;
    [[nodiscard]] bool isLimited(TargetId target) const { return buckets_.contains(target); }
    [[nodiscard]] bool isBlocked(TargetId target) const;
    /** None without a limit. */
    [[nodiscard]] std::optional<RequestRate> rate(TargetId target, Instant now) const;
    /** Zero without a limit. For a blocked target, the longest time that Duration holds. */
    [[nodiscard]] Duration timeUntilAllowed(TargetId target, Instant now) const;
    /** Whether no request was sent for so long that the target may have ended its limit unnoticed. */
    [[nodiscard]] bool needsProbe(TargetId target, Instant now) const;
    [[nodiscard]] const auto& targets() const { return buckets_; }

    /** Counts requests that will reach the target, also beyond the limit. */
    void recordRequests(TargetId target, double count, Instant now);
    /** Returns a counted request that was not sent. */
    void refundRequest(TargetId target, Instant now);

private:
    struct Bucket {
        RequestRate rate;
        /** Requests that may be sent at `filledAt`; negative after requests beyond the limit. */
        double level { 0 };
        Instant filledAt;
        Instant lastRequestAt;
        /** When the limit ended; the rate has been rising since then. */
        std::optional<Instant> endedAt;

        [[nodiscard]] double rateAt(Instant now) const;
        [[nodiscard]] double levelAt(Instant now) const;
        void fill(Instant now);
    };

    std::map<TargetId, Bucket> buckets_;
};

}
