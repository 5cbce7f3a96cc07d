#include "sched/TargetOutlierDetector.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Smoothing gain: an effective memory of about ten attempts.
    constexpr double gain = 0.12;
    // Healthy services fail some requests too, all at a similar rate; only a failure rate beyond that marks an outlier.
    constexpr double allowedFailureRate = 0.3;
    constexpr double peerErrorFactor = 2;
    constexpr Duration initialBackoff = 300ms;
    constexpr Duration maxBackoff = 2s;
    constexpr int maxDoublings = 3;

}

void TargetOutlierDetector::recordOutcome(OutcomeClass outcome, double peerErrorRate, Instant now)
{
    if (outcome == OutcomeClass::Success) {
        failureRate_ *= 1 - gain;
        // A successful probe ends the back-off, and the failures that caused it are discounted.
        if (consecutiveBackoffs_ > 0)
            failureRate_ = std::min(failureRate_, allowedFailureRate / 2);
        consecutiveBackoffs_ = 0;
        return;
    }
    failureRate_ += gain * (1 - failureRate_);
    // Failures of requests sent before the back-off belong to the same incident; only a failed probe extends it.
    if (consecutiveBackoffs_ > 0) {
        if (now >= probeAt_)
            startBackoff(now);
        return;
    }
    // An unreachable target is unusable whatever its peers' error rate.
    bool exceedsPeers = failureRate_ > allowedFailureRate + peerErrorFactor * peerErrorRate;
    if (outcome == OutcomeClass::Unreachable || exceedsPeers)
        startBackoff(now);
}

void TargetOutlierDetector::startBackoff(Instant now)
{
    probeAt_ = now + std::min(maxBackoff, initialBackoff * (1 << std::min(consecutiveBackoffs_, maxDoublings)));
    ++consecutiveBackoffs_;
}

bool TargetOutlierDetector::allowsRequest(uint32_t running, Instant now) const
{
    return consecutiveBackoffs_ == 0 || (now >= probeAt_ && running == 0);
}

}
