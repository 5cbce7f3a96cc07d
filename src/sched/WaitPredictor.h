#pragma once

#include "briarhitch/core/Units.h"
#include "sched/DecayingRate.h"

#include <array>

namespace briarhitch {

/**
 * Predicts how long a queue of a given cost takes to drain. The drain rate is measured while there is a queue; without
 * recent measurements it follows from the windows and the time that work stays at a target.
 */
class WaitPredictor {
public:
    /** Accepted work, by tier. */
    void arrived(Tier tier, int64_t cost, Instant now);
    void granted(int64_t cost);
    void completed(int64_t cost, Duration duration);
    /** Closes a measuring interval. `backlogged`: the queue was not empty at any time during it. */
    void tick(bool backlogged, Instant now);
    /** Cost per second that the pool takes from the queue; zero if nothing is known yet. */
    [[nodiscard]] double drainRate(int64_t capacity, int64_t slots, Instant now) const;
    /** The part of the drain rate that is left for a tier below more urgent arrivals. */
    [[nodiscard]] double drainRateFor(Tier tier, double drainRate, Instant now) const;

private:
    static constexpr Duration arrivalTime = std::chrono::seconds(10);

    std::array<DecayingRate, Tier::count> arrivals_ { DecayingRate(arrivalTime), DecayingRate(arrivalTime), DecayingRate(arrivalTime), DecayingRate(arrivalTime) };
    double grantedInInterval_ { 0 };
    Instant intervalStart_ {};
    /** Weighted cost and time of backlogged intervals. */
    double backloggedCost_ { 0 };
    double backloggedSeconds_ { 0 };
    Instant lastBacklogged_ {};
    /** Weighted sums over completed work. */
    double count_ { 0 };
    double cost_ { 0 };
    double costSeconds_ { 0 };
};

}
