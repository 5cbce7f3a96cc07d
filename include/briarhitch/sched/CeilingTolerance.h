#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** Upper limit of a ceiling's use in any window: (rate x window + burst) x (1 + excessFraction) + slack. */
struct CeilingTolerance {
    Duration window { std::chrono::seconds(8) };
    double excessFraction { 0 };
    double slack { 0 };

    /** Use in a window beyond rate and burst that is allowed; 0 without a rate. */
    [[nodiscard]] double excess(double rate, double burst) const { return rate > 0 ? excessFraction * (rate * toSeconds(window) + burst) + slack : 0; }
};

/**
 * How all that may admit requests within one window divide the excess among them. Entries that have lost an owner which still
 * admits for others use unresponsiveOwnerRate of the rate until the owner has noticed, a quarter of the excess at most; in sum
 * that is the whole excess (docs/design.md, 6.9).
 */
struct CeilingExcessFractions {
    /** The owner's bucket holds this beyond the burst. */
    static constexpr double owner = 0.2;
    /** By this a request may exceed what is left. */
    static constexpr double overdraft = 0.08;
    /** What all entries together hold when they begin to decide locally. */
    static constexpr double localDecisions = 0.45;
    /** What an owner begins with if nobody knows what was used before. */
    static constexpr double unknownUse = 0.2;
    /** Fraction of the rate that entries use while they have a link to an owner that does not respond. */
    static constexpr double unresponsiveOwnerRate = 0.3;
};

}
