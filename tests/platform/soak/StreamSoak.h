#pragma once

#include "briarhitch/core/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarhitch::platform {

struct StreamSoakSettings {
    std::string binFolder;
    /** For the logs of a seed with violations. */
    std::string keepFolder;
    /** Time for which callers ask. */
    Duration length { 0 };
    /** How long two targets may run a stream at once. */
    Duration bound { 0 };
    /** Time for which targets work on after their connections have been closed. */
    Duration endDelay { 0 };
};

/** Plays one seed on a fleet of its own, prints what happened, and returns the violations. Odd seeds have no faults of processes. */
std::vector<std::string> playStreamSoak(uint64_t seed, const StreamSoakSettings& settings);

}
