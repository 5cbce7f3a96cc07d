#pragma once

#include "briarhitch/core/Clock.h"

#include <cstdint>

namespace briarhitch {

/** Backs off a failing target and lets single requests probe it. */
class TargetBackoff {
public:
    void failed(Instant now);
    void succeeded() { failures_ = 0; }
    /** Whether the target may get one more request while it has `running`. */
    [[nodiscard]] bool allows(uint32_t running, Instant now) const;
    [[nodiscard]] bool isFailing() const { return failures_ > 0; }
    /** When the next probe may be sent. */
    [[nodiscard]] Instant probeAt() const { return probeAt_; }

private:
    int failures_ { 0 };
    Instant probeAt_ {};
};

}
