#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Units.h"

#include <map>

namespace briarhitch {

/**
 * Which part of each urgency's requests gets a place in time, over the last seconds. Under strict order the least
 * urgent kind gets nothing as soon as the others fill the pool; this tells when it is owed a place. What it gives away
 * stays a small part of the pool's work.
 */
class UrgencyDeficits {
public:
    void recordSubmission(Tier urgency);
    /** `cost` in any one unit; `isOwed` if the request overtook more urgent ones. */
    void recordGrant(Tier urgency, double cost, bool isOwed);
    /** How many of the next places should go to this urgency, before more urgent ones. */
    [[nodiscard]] double deficit(Tier urgency) const;
    [[nodiscard]] bool hasDeficit(Tier urgency) const { return deficit(urgency) >= 1; }
    /** Forgets what is older than a few seconds. */
    void tick(Instant now);

private:
    struct Counts {
        double asked { 0 };
        double granted { 0 };
        /** Of the granted, what overtook more urgent requests. */
        double owedCost { 0 };

        [[nodiscard]] double part() const { return asked > 0 ? granted / asked : 0; }
    };

    std::map<Tier, Counts> counts_;
    double cost_ { 0 };
    Instant lastTick_ {};
};

}
