#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Units.h"

#include <map>

namespace briarhitch {

/**
 * Prevents starvation of less urgent kinds of work, which get no slots under strict priority once the others fill the
 * pool. Compares, over the last seconds, the fractions of each urgency's requests that were granted in time for their
 * objective. The work granted ahead of more urgent requests stays a small fraction of the pool's work.
 */
class UrgencyDeficits {
public:
    void recordSubmission(Tier urgency);
    /** `cost` in any unit, the same for all calls; `isForDeficit` if the request was granted before more urgent ones. */
    void recordGrant(Tier urgency, double cost, bool isForDeficit);
    /** Number of slots to give next to this urgency before more urgent ones. */
    [[nodiscard]] double deficit(Tier urgency) const;
    [[nodiscard]] bool hasDeficit(Tier urgency) const { return deficit(urgency) >= 1; }
    /** Decays counts with a time constant of a few seconds. */
    void tick(Instant now);

private:
    struct Counts {
        double requests { 0 };
        double granted { 0 };
        /** Cost of the requests that were granted before more urgent ones. */
        double deficitCost { 0 };

        [[nodiscard]] double grantedFraction() const { return requests > 0 ? granted / requests : 0; }
    };

    std::map<Tier, Counts> counts_;
    double cost_ { 0 };
    Instant lastTick_ {};
};

}
