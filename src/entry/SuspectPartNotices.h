#pragma once

#include "briarhitch/sched/SuspectParts.h"
#include "briarhitch/wire/Messages.h"

#include <string>

namespace briarhitch {

SuspectPartNotice toNotice(PoolId pool, const PartVerdict& verdict, Instant now);
PartVerdict toVerdict(const SuspectPartNotice& notice, Instant now);
/** Reason of a refusal; names the part and the number of targets that it crashed. */
std::string blockReason(const PartBlock& block);
/** When a caller whose request was refused may return: not before the next trial, and not at once. */
Duration blockRetryAfter(const PartBlock& block);

}
