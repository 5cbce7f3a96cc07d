#include "sched/TargetBackoff.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration initialBackoff = 500ms;
    constexpr Duration maxBackoff = 30s;
    constexpr int maxDoublings = 6;

}

void TargetBackoff::recordFailure(Instant now)
{
    // Failures of requests sent before the back-off belong to the same incident.
    if (consecutiveFailures_ > 0 && now < probeAt_)
        return;
    probeAt_ = now + std::min(maxBackoff, initialBackoff * (1 << std::min(consecutiveFailures_, maxDoublings)));
    ++consecutiveFailures_;
}

bool TargetBackoff::allowsRequest(uint32_t running, Instant now) const
{
    if (consecutiveFailures_ == 0)
        return true;
    return now >= probeAt_ && running == 0;
}

}
