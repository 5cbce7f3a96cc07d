#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Units.h"

#include <array>

namespace briarhitch {

/**
 * Which part of a full pool's work goes to each urgency, in time or late, over the last second. What waits behind
 * others is overtaken by those that arrive after it, and so gets only the rest. Work in time goes before late work.
 */
class GrantedWorkFractions {
public:
    /** `work` in any one unit. */
    void recordGrant(Tier urgency, bool isLate, double work);
    /** `isWaiting` if the pool is full. */
    void tick(Instant now, bool isWaiting);
    /** The part that goes to requests which overtake such a one, from 0 to 1. */
    [[nodiscard]] double fractionAhead(Tier urgency, bool isLate) const;

private:
    static size_t indexOf(Tier urgency, bool isLate) { return urgency.value() + (isLate ? size_t(Tier::count) : 0); }

    std::array<double, size_t(2) * Tier::count> parts_ {};
    std::array<double, size_t(2) * Tier::count> granted_ {};
    Instant lastTick_ {};
};

}
