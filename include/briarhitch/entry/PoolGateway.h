#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/wire/Messages.h"

#include <string>

namespace briarhitch {

/** How requests get their targets. */
class PoolGateway {
public:
    virtual ~PoolGateway() = default;

    /** The pool for a model or service, that of the own zone or region first. UnknownModel, NotFound. */
    [[nodiscard]] virtual Result<PoolId> findPool(PoolKind kind, const std::string& serves) const = 0;
    /**
     * Blocks the calling fiber until the pool's owner grants a target. The owner's refusals, NoOwner,
     * DeadlineUnreachable if nothing was heard by the deadline, or CallerLeft after abandon(). Nothing
     * was sent to a target whenever it fails.
     */
    virtual Result<Grant> acquire(const Ask& ask, Instant deadline) = 0;
    /** Ends a blocked acquire(); ignored if there is none. */
    virtual void cancelAcquire(AttemptId attempt) = 0;
    /** Whether the grant's epoch is still the newest one known. */
    [[nodiscard]] virtual bool isCurrent(const Grant& grant) const = 0;
    /** A grant will not be used; nothing was sent. */
    virtual void release(const Grant& grant) = 0;
    virtual void reportStarted(const Started& started) = 0;
    virtual void reportFinished(const Finished& finished) = 0;
    /** A target leaves or asked this node for a pause: it is granted to nobody, or not to this node. */
    virtual void reportAvailability(const TargetNotice& notice) = 0;
    /** Whether the target wants no new work from this node now. */
    [[nodiscard]] virtual bool isRestricted(TargetId target) const = 0;
};

}
