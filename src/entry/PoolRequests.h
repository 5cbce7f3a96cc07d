#pragma once

#include "briarhitch/sched/PoolScheduler.h"
#include "briarhitch/wire/Messages.h"

namespace briarhitch {

/** Converts an entry's grant request to a scheduler request; `now` is its time of arrival. */
PoolRequest toPoolRequest(const GrantRequest& grantRequest, Instant deadline, Instant now);

}
