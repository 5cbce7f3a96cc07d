#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** How one attempt speaks for or against its target. */
enum class OutcomeClass : uint8_t {
    Good,
    /** The target answered with an error of its own. */
    Error,
    /** The attempt broke, or got no answer. */
    Broken,
    /** The target could not be reached, or was another one. */
    Unreachable,
};

/** Judges a target by the outcomes of its attempts against those of its peers, and lets single requests probe it. */
class TargetOutlierDetector {
public:
    /** `peerFailures`: part of the pool's attempts that targets answered with errors lately, 0 to 1. */
    void note(OutcomeClass outcome, double peerFailures, Instant now);
    /** Whether the target may get one more request while it has `running`. */
    [[nodiscard]] bool allows(uint32_t running, Instant now) const;
    [[nodiscard]] bool isBackedOff() const { return backoffs_ > 0; }
    /** When the next probe may be sent. */
    [[nodiscard]] Instant probeAt() const { return probeAt_; }
    /** Part of the attempts that failed lately, 0 to 1. */
    [[nodiscard]] double failures() const { return failures_; }

private:
    void backOff(Instant now);

    double failures_ { 0 };
    int backoffs_ { 0 };
    Instant probeAt_ {};
};

}
