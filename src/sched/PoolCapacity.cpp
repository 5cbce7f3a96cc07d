#include "sched/PoolCapacity.h"

#include <algorithm>

namespace briarhitch {

void PoolCapacity::clear()
{
    totalForNewRequests_ = 0;
    byVersion_.clear();
}

void PoolCapacity::add(const Target& target, double capacity, bool isForNewRequests)
{
    auto& version = byVersion_[target.softwareVersion];
    version.total += capacity;
    if (!isForNewRequests)
        return;
    version.forNewRequests += capacity;
    totalForNewRequests_ += capacity;
}

double PoolCapacity::drainMs(const QueuedWork& ahead, const PoolRequest& request) const
{
    auto drainOfVersion = [&](const std::string& version, double capacity) { return capacity > 0 ? (ahead.unboundMs() + ahead.boundMs(version)) / capacity : 0; };
    if (request.softwareVersion) {
        auto it = byVersion_.find(*request.softwareVersion);
        return it == byVersion_.end() ? 0 : drainOfVersion(it->first, it->second.total);
    }
    if (totalForNewRequests_ <= 0)
        return 0;
    // Requests that are bound to a version do not delay those that go to the targets of another one.
    double shortest = ahead.totalMs() / totalForNewRequests_;
    for (const auto& [version, capacity] : byVersion_) {
        if (capacity.forNewRequests > 0)
            shortest = std::min(shortest, drainOfVersion(version, capacity.forNewRequests));
    }
    return shortest;
}

}
