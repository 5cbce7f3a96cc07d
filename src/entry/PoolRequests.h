#pragma once

#include "briarhitch/sched/PoolScheduler.h"
#include "briarhitch/wire/Messages.h"

namespace briarhitch {

/** An entry's ask as the schedulers take it; `now` is when it arrived. */
PoolRequest toPoolRequest(const GrantRequest& ask, Instant deadline, Instant now);

}
