#pragma once

#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/wire/Messages.h"

namespace briarhitch {

/**
 * What the changes alter in the configuration's suspects; empty if they are known. Counts only grow, since owners report
 * independently. `timeMs`: wall clock of the leader.
 */
ConfigDelta suspectsDelta(const ClusterConfig& config, const RecordSuspects& changes, int64_t timeMs);

}
