#pragma once

#include "briarhitch/core/Clock.h"

#include <cstdint>

namespace briarhitch {

/** Exponential back-off of a failing target, with single requests as probes. */
class TargetBackoff {
public:
    void recordFailure(Instant now);
    void recordSuccess() { consecutiveFailures_ = 0; }
    /** Whether the target may get another request while it runs `running`. */
    [[nodiscard]] bool allowsRequest(uint32_t running, Instant now) const;
    [[nodiscard]] bool isFailing() const { return consecutiveFailures_ > 0; }
    /** Earliest time of the next probe. */
    [[nodiscard]] Instant probeAt() const { return probeAt_; }

private:
    int consecutiveFailures_ { 0 };
    Instant probeAt_ {};
};

}
