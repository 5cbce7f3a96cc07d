#pragma once

#include "briarhitch/control/Commands.h"
#include "briarhitch/core/Clock.h"
#include "briarhitch/model/ClusterConfig.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace briarhitch {

/**
 * The leader's decision when a software version that no target of a pool has any more is removed from the pool's versions:
 * when no caller can still continue a stream that began at it. Does no I/O and reads no clock.
 */
class VersionRetirement {
public:
    /** The commands that are due; to be called again while a command has had no effect. */
    std::vector<RetireSoftwareVersionsCommand> decide(const ClusterConfig& config, Instant now);

private:
    /** When the last target of a version was first seen to be gone. */
    std::map<std::pair<PoolId, std::string>, Instant> unusedSince_;
};

}
