#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Units.h"

#include <array>

namespace briarhitch {

/**
 * Fractions of a full pool's granted work that went to each urgency and to work that meets or misses its objective, over
 * the last second. A queued request is overtaken by more urgent later arrivals, so only the remaining fraction is left
 * for it. Work that can meet its objective goes before work that misses it.
 */
class GrantedWorkFractions {
public:
    /** `work` in any unit, the same for all calls. */
    void recordGrant(Tier urgency, bool missesObjective, double work);
    /** `isPoolFull`: requests are queued. */
    void tick(Instant now, bool isPoolFull);
    /** Fraction, 0 to 1, of the work that went to requests which precede such a request in the queue. */
    [[nodiscard]] double fractionAhead(Tier urgency, bool missesObjective) const;

private:
    static size_t indexOf(Tier urgency, bool missesObjective) { return urgency.value() + (missesObjective ? size_t(Tier::count) : 0); }

    std::array<double, size_t(2) * Tier::count> fractions_ {};
    std::array<double, size_t(2) * Tier::count> granted_ {};
    Instant lastTick_ {};
};

}
