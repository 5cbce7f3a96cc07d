#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** Classifies the outcome of an attempt as evidence of its target's health. */
enum class OutcomeClass : uint8_t {
    Success,
    /** The target responded with an error of its own. */
    ServerError,
    /** The attempt was aborted or got no response. */
    Aborted,
    /** The target could not be reached, or a different target responded. */
    Unreachable,
};

/** Backs off a target that fails more often than its peers, and then admits single requests as probes. */
class TargetOutlierDetector {
public:
    /** `peerErrorRate`: fraction, 0 to 1, of the pool's recent attempts to which targets responded with errors. */
    void recordOutcome(OutcomeClass outcome, double peerErrorRate, Instant now);
    /** Whether the target may get another request while it runs `running`. */
    [[nodiscard]] bool allowsRequest(uint32_t running, Instant now) const;
    [[nodiscard]] bool isBackedOff() const { return consecutiveBackoffs_ > 0; }
    /** Earliest time of the next probe. */
    [[nodiscard]] Instant probeAt() const { return probeAt_; }
    /** Fraction, 0 to 1, of recent attempts that failed. */
    [[nodiscard]] double failureRate() const { return failureRate_; }

private:
    void startBackoff(Instant now);

    double failureRate_ { 0 };
    int consecutiveBackoffs_ { 0 };
    Instant probeAt_ {};
};

}
