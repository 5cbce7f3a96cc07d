#pragma once

#include "briarhitch/core/Clock.h"

#include <string>

namespace briarhitch {

/** When requests may be sent to targets in other availability zones. */
struct ZoneSpillSettings {
    /** Off: targets in other zones only get a fixed penalty. */
    bool isEnabled { false };
    /** Cost of a megabyte of traffic between zones, relative to the value of a request of tier 0. */
    double costPerMb { 0 };
    /** One-way delay between zones. */
    Duration delay { 0 };
};

/** A zone starts or stops sending work to other zones. */
struct ZoneSpillEvent {
    std::string zone;
    bool isStart { false };
    std::string reason;
};

}
