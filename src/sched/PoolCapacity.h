#pragma once

#include "briarhitch/sched/PoolScheduler.h"
#include "sched/QueuedWork.h"

#include <map>
#include <string>

namespace briarhitch {

/** The slots of a pool's targets, weighted by speed: of those for new requests, and of those of each software version. */
class PoolCapacity {
public:
    void clear();
    /** `isForNewRequests`: requests that are bound to no version may use it. */
    void add(const Target& target, double capacity, bool isForNewRequests);
    /** Time in milliseconds until a target is free for the request when this work goes before it; zero without any capacity. */
    [[nodiscard]] double drainMs(const QueuedWork& ahead, const PoolRequest& request) const;

private:
    struct VersionCapacity {
        double total { 0 };
        double forNewRequests { 0 };
    };

    double totalForNewRequests_ { 0 };
    std::map<std::string, VersionCapacity> byVersion_;
};

}
