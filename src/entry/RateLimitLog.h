#pragma once

#include "briarhitch/core/Log.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/model/Target.h"

#include <optional>

namespace briarhitch {

const Log& rateLimitLog();

/** Logs that a target's rate limit has begun, changed or ended; `fields` say who told of it. */
void logRateLimitChange(const Target& target, std::optional<RequestRate> limit, std::optional<RequestRate> previous, LogFields fields);

}
