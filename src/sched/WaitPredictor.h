#pragma once

#include "briarhitch/core/Units.h"
#include "sched/DecayingRate.h"

#include <array>

namespace briarhitch {

/**
 * Estimates the rate at which a pool's queue drains. The rate is measured while there is a queue; without recent
 * measurements it is derived from the targets' windows and the time that requests spend at a target.
 */
class WaitPredictor {
public:
    /** Records the cost of an admitted request. */
    void recordArrival(Tier tier, int64_t cost, Instant now);
    void recordGrantedCost(int64_t cost);
    void recordCompletion(int64_t cost, Duration duration);
    /** Ends a measurement interval. `backlogged`: the queue was never empty during it. */
    void tick(bool backlogged, Instant now);
    /** Cost per second that the pool takes from the queue; zero if unknown. */
    [[nodiscard]] double drainRate(int64_t capacity, int64_t slots, Instant now) const;
    /** The drain rate, cost per second, that remains for a tier after more urgent arrivals. */
    [[nodiscard]] double drainRateForTier(Tier tier, double drainRate, Instant now) const;

private:
    static constexpr Duration arrivalTimeConstant = std::chrono::seconds(10);

    std::array<DecayingRate, Tier::count> arrivals_ { DecayingRate(arrivalTimeConstant), DecayingRate(arrivalTimeConstant), DecayingRate(arrivalTimeConstant), DecayingRate(arrivalTimeConstant) };
    double grantedInInterval_ { 0 };
    Instant intervalStart_ {};
    /** Exponentially decayed cost and seconds of backlogged intervals. */
    double backloggedCost_ { 0 };
    double backloggedSeconds_ { 0 };
    Instant lastBacklogged_ {};
    /** Exponentially decayed sums over completed requests. */
    double count_ { 0 };
    double cost_ { 0 };
    double costSeconds_ { 0 };
};

}
