#include "sched/TargetBackoff.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration firstBackoff = 500ms;
    constexpr Duration longestBackoff = 30s;
    constexpr int mostDoublings = 6;

}

void TargetBackoff::failed(Instant now)
{
    // Failures of work sent before the back-off began belong to the same incident.
    if (failures_ > 0 && now < probeAt_)
        return;
    probeAt_ = now + std::min(longestBackoff, firstBackoff * (1 << std::min(failures_, mostDoublings)));
    ++failures_;
}

bool TargetBackoff::allows(uint32_t running, Instant now) const
{
    if (failures_ == 0)
        return true;
    return now >= probeAt_ && running == 0;
}

}
