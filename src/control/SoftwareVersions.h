#pragma once

#include "briarhitch/control/Commands.h"
#include "briarhitch/model/ClusterConfig.h"

namespace briarhitch {

/** Adds the software versions of new and changed targets to those of their pools. */
void addSoftwareVersions(const ClusterConfig& config, ConfigDelta& delta);

/** The change that the command makes; without pools if there is none. */
ConfigDelta retiredVersionsDelta(const ClusterConfig& config, const RetireSoftwareVersionsCommand& command);

}
