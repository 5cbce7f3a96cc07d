#pragma once

#include "briarhitch/control/Commands.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/model/ClusterConfig.h"

namespace briarhitch {

/**
 * The new record for an order; an empty delta if the order is known. VersionConflict while a different rollout of the
 * service runs, NotFound if the routing document lacks the service, Unavailable without a document. `timeMs`: wall clock of the leader.
 */
Result<ConfigDelta> startRolloutDelta(const ClusterConfig& config, const StartRolloutCommand& command, int64_t timeMs);
/** The changed record; an empty delta if it has that content already. VersionConflict if another change was made first. */
Result<ConfigDelta> advanceRolloutDelta(const ClusterConfig& config, const AdvanceRolloutCommand& command);

}
