#include "sched/GrantedWorkFractions.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace briarhitch {

namespace {

    // Follows a burst within its first second.
    constexpr double memorySeconds = 1;

}

void GrantedWorkFractions::recordGrant(Tier urgency, bool isLate, double work)
{
    granted_[indexOf(urgency, isLate)] += work;
}

void GrantedWorkFractions::tick(Instant now, bool isWaiting)
{
    double gain = 1 - std::exp(-toSeconds(std::max<Duration>(now - lastTick_, Duration(0))) / memorySeconds);
    lastTick_ = now;
    double sum = std::accumulate(granted_.begin(), granted_.end(), 0.0);
    // A full pool that granted nothing since the last time tells nothing.
    if (isWaiting && sum <= 0)
        return;
    for (size_t i = 0; i < parts_.size(); ++i)
        parts_[i] += gain * ((isWaiting ? granted_[i] / sum : 0) - parts_[i]);
    granted_.fill(0);
}

double GrantedWorkFractions::fractionAhead(Tier urgency, bool isLate) const
{
    auto end = parts_.begin() + static_cast<std::ptrdiff_t>(indexOf(urgency, isLate));
    return std::min(1.0, std::accumulate(parts_.begin(), end, 0.0));
}

}
