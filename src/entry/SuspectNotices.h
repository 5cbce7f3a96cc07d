#pragma once

#include "briarhitch/sched/CrashWatch.h"
#include "briarhitch/wire/Messages.h"

#include <string>
#include <vector>

namespace briarhitch {

/** What a target may end by when it runs the request: the request itself, then the shared parts of its prompt. */
std::vector<SuspectId> suspectsOf(const GrantRequest& request);
/** The shared parts of the request's prompt, as callers name them. */
std::string partsText(const GrantRequest& request);
AttemptEnd endOf(const AttemptFinished& finished);
/** "request blocked", "prompt part cleared" and so on, as the logs name it. */
std::string verdictName(const SuspectVerdict& verdict);
SuspectNotice toNotice(const SuspectVerdict& verdict, Instant now);
SuspectVerdict toVerdict(const SuspectNotice& notice, Instant now);
/** The refusal of a request; its reason names the suspect and the number of targets that it crashed. */
Error blockError(const SuspectBlock& block);

}
