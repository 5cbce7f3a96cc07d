#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** Amount in each second, averaged over the recent past with exponential weights. */
class DecayingRate {
public:
    explicit DecayingRate(Duration timeConstant)
        : timeConstant_(toSeconds(timeConstant))
    {
    }

    void add(double amount, Instant now);
    /** Per second. */
    [[nodiscard]] double at(Instant now) const;

private:
    double timeConstant_;
    double rate_ { 0 };
    Instant updated_ {};
};

}
