#pragma once

#include "briarhitch/sched/PoolScheduler.h"

#include <map>
#include <string>

namespace briarhitch {

/** The work of queued requests, in milliseconds of slot time: of those that any target may run, and of those bound to one software version. */
class QueuedWork {
public:
    void add(const PoolRequest& request, double costMs);
    [[nodiscard]] double unboundMs() const { return unboundMs_; }
    [[nodiscard]] double boundMs(const std::string& softwareVersion) const;
    [[nodiscard]] double totalMs() const { return unboundMs_ + boundMs_; }

private:
    double unboundMs_ { 0 };
    double boundMs_ { 0 };
    std::map<std::string, double> boundMsByVersion_;
};

}
