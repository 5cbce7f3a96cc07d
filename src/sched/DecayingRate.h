#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** Exponentially weighted average of an amount per second. */
class DecayingRate {
public:
    explicit DecayingRate(Duration timeConstant)
        : timeConstant_(toSeconds(timeConstant))
    {
    }

    void add(double amount, Instant now);
    /** Amount per second. */
    [[nodiscard]] double rateAt(Instant now) const;

private:
    double timeConstant_;
    double rate_ { 0 };
    Instant updated_ {};
};

}
