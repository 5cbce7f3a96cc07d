#include "sched/GrantedWorkFractions.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace briarhitch {

namespace {

    // Short enough to adapt to a burst within its first second.
    constexpr double decaySeconds = 1;

}

void GrantedWorkFractions::recordGrant(Tier urgency, bool missesObjective, double work)
{
    granted_[indexOf(urgency, missesObjective)] += work;
}

void GrantedWorkFractions::tick(Instant now, bool isPoolFull)
{
    double gain = 1 - std::exp(-toSeconds(std::max<Duration>(now - lastTick_, Duration(0))) / decaySeconds);
    lastTick_ = now;
    double sum = std::accumulate(granted_.begin(), granted_.end(), 0.0);
    // No grants by a full pool since the last tick give no information.
    if (isPoolFull && sum <= 0)
        return;
    for (size_t i = 0; i < fractions_.size(); ++i)
        fractions_[i] += gain * ((isPoolFull ? granted_[i] / sum : 0) - fractions_[i]);
    granted_.fill(0);
}

double GrantedWorkFractions::fractionAhead(Tier urgency, bool missesObjective) const
{
    auto end = fractions_.begin() + static_cast<std::ptrdiff_t>(indexOf(urgency, missesObjective));
    return std::min(1.0, std::accumulate(fractions_.begin(), end, 0.0));
}

}
