#pragma once

#include "briarhitch/sched/PoolScheduler.h"
#include "sched/QueuedWork.h"

#include <map>
#include <string>

namespace briarhitch {

/** The slots of a pool's targets, weighted by speed: of all, and of those of each software version. */
class PoolCapacity {
public:
    void clear();
    void add(const Target& target, double capacity);
    /** Time in milliseconds until a target is free for the request when this work goes before it; zero without any capacity. */
    [[nodiscard]] double drainMs(const QueuedWork& ahead, const PoolRequest& request) const;

private:
    double total_ { 0 };
    std::map<std::string, double> byVersion_;
};

}
