#include "sched/PoolCapacity.h"

#include <algorithm>

namespace briarhitch {

void PoolCapacity::clear()
{
    total_ = 0;
    byVersion_.clear();
}

void PoolCapacity::add(const Target& target, double capacity)
{
    total_ += capacity;
    byVersion_[target.softwareVersion] += capacity;
}

double PoolCapacity::drainMs(const QueuedWork& ahead, const PoolRequest& request) const
{
    if (total_ <= 0)
        return 0;
    auto drainOfVersion = [&](const std::string& version, double capacity) { return capacity > 0 ? (ahead.unboundMs() + ahead.boundMs(version)) / capacity : 0; };
    if (request.softwareVersion) {
        auto it = byVersion_.find(*request.softwareVersion);
        return it == byVersion_.end() ? 0 : drainOfVersion(it->first, it->second);
    }
    // Requests that are bound to a version do not delay those that go to the targets of another one.
    double shortest = ahead.totalMs() / total_;
    for (const auto& [version, capacity] : byVersion_) {
        if (capacity > 0)
            shortest = std::min(shortest, drainOfVersion(version, capacity));
    }
    return shortest;
}

}
