#include "sched/TargetOutlierDetector.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // About the last ten attempts count.
    constexpr double gain = 0.12;
    // Ordinary services fail some of their requests, each of them alike; only more than that speaks against one.
    constexpr double failuresAllowed = 0.3;
    constexpr double peerFactor = 2;
    constexpr Duration firstBackoff = 300ms;
    constexpr Duration longestBackoff = 2s;
    constexpr int mostDoublings = 3;

}

void TargetOutlierDetector::note(OutcomeClass outcome, double peerFailures, Instant now)
{
    if (outcome == OutcomeClass::Good) {
        failures_ *= 1 - gain;
        // A probe that succeeds ends the back-off; what made it necessary does not count any more.
        if (backoffs_ > 0)
            failures_ = std::min(failures_, failuresAllowed / 2);
        backoffs_ = 0;
        return;
    }
    failures_ += gain * (1 - failures_);
    // Failures of work sent before the back-off began belong to the same incident; a failed probe prolongs it.
    if (backoffs_ > 0) {
        if (now >= probeAt_)
            backOff(now);
        return;
    }
    // A target that cannot be reached is of no use, however its peers do.
    bool isWorse = failures_ > failuresAllowed + peerFactor * peerFailures;
    if (outcome == OutcomeClass::Unreachable || isWorse)
        backOff(now);
}

void TargetOutlierDetector::backOff(Instant now)
{
    probeAt_ = now + std::min(longestBackoff, firstBackoff * (1 << std::min(backoffs_, mostDoublings)));
    ++backoffs_;
}

bool TargetOutlierDetector::allows(uint32_t running, Instant now) const
{
    return backoffs_ == 0 || (now >= probeAt_ && running == 0);
}

}
