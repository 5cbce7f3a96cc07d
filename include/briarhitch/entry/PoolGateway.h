#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/sched/TargetRateLimits.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <optional>
#include <string>

namespace briarhitch {

/** What is known of a stream that a caller continues. */
struct StreamLookup {
    std::optional<StreamBinding> binding;
    /** Without a binding: nobody has recorded the stream. False: whoever would know has not answered. */
    bool isCertain { false };
};

/** Grants requests a slot on a target. */
class PoolGateway {
public:
    virtual ~PoolGateway() = default;

    /** The pool of a model or service; prefers the node's zone, then its region. UnknownModel or NotFound. */
    [[nodiscard]] virtual Result<PoolId> findPool(PoolKind kind, const std::string& modelOrService) const = 0;
    /**
     * Blocks the calling fiber until a target is granted. Errors: the owner's refusal, NoOwner, NoQuorum without a
     * lease, DeadlineUnreachable if there was no decision by the deadline, or CallerLeft after cancelAcquire(). On
     * failure nothing was sent to a target.
     */
    virtual Result<Grant> acquire(const GrantRequest& request, Instant deadline) = 0;
    /** Makes a blocked acquire() of this attempt fail with CallerLeft; ignored if there is none. */
    virtual void cancelAcquire(AttemptId attempt) = 0;
    /** Whether no newer epoch of the grant's pool is known. */
    [[nodiscard]] virtual bool isCurrent(const Grant& grant) const = 0;
    /** Returns an unused grant; nothing may have been sent to its target. */
    virtual void release(const Grant& grant) = 0;
    /** Blocks the calling fiber, at most until the deadline. */
    [[nodiscard]] virtual StreamLookup findStream(StreamId stream, Instant deadline) = 0;
    virtual void reportStarted(const AttemptStarted& started) = 0;
    /**
     * The hook is called when the caller of this granted attempt continues its stream with another request, and the attempt must be
     * stopped; at most once, and not after the attempt has been released or reported as finished.
     */
    virtual void onSuperseded(AttemptId attempt, std::function<void()> hook) = 0;
    virtual void reportFinished(const AttemptFinished& finished) = 0;
    /** Reports a leaving target (granted to no node from now on) or a pause (not granted to this node meanwhile). */
    virtual void reportAvailability(const TargetAvailabilityNotice& notice) = 0;
    /** Records what a target's response says about its rate limit. */
    virtual void reportRateLimit(PoolId pool, const RateLimitObservation& observation) = 0;
    /** Whether the target has named a rate limit. */
    [[nodiscard]] virtual bool isRateLimited(TargetId target) const = 0;
    /** Whether the target currently accepts no new work from this node. */
    [[nodiscard]] virtual bool isRestricted(TargetId target) const = 0;
};

}
