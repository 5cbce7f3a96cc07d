#pragma once

#include "briarhitch/sched/PoolScheduler.h"
#include "briarhitch/wire/Messages.h"

namespace briarhitch {

/** Whether the request continues a stream of which it does not say at which software version it began. */
bool needsStreamVersion(const GrantRequest& grantRequest);

/** When the request arrived at its entry, given when its grant request was sent. */
Instant arrivalOf(const GrantRequest& grantRequest, Instant sentAt);

/** For a request that has not run, and whose caller continues the stream with a later one. */
Error supersededError();

/** Converts an entry's grant request to a scheduler request; `now` is its time of arrival. */
PoolRequest toPoolRequest(const GrantRequest& grantRequest, Instant deadline, Instant now);

}
