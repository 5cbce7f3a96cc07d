#include "sched/DecayingRate.h"

#include <cmath>

namespace briarhitch {

void DecayingRate::add(double amount, Instant now)
{
    rate_ = rateAt(now) + amount / timeConstant_;
    updated_ = now;
}

double DecayingRate::rateAt(Instant now) const
{
    return rate_ * std::exp(-toSeconds(now - updated_) / timeConstant_);
}

}
