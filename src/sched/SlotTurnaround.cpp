#include "sched/SlotTurnaround.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    constexpr double gain = 0.02;
    /** A suspended entry reports ends late; such a sample says nothing about the links. */
    constexpr double maxSampleMs = 100;

}

void SlotTurnaround::addSample(double occupiedMs, double callMs)
{
    double sample = std::clamp(occupiedMs - callMs, 0.0, maxSampleMs);
    meanMs_ += gain * (sample - meanMs_);
}

unsigned SlotTurnaround::extraRequests(unsigned slots, double callMs) const
{
    if (callMs <= 0)
        return 0;
    return std::min(slots, static_cast<unsigned>(std::lround(slots * meanMs_ / callMs)));
}

}
