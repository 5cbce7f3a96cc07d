#include "sched/DecayingRate.h"

#include <cmath>

namespace briarhitch {

void DecayingRate::add(double amount, Instant now)
{
    rate_ = at(now) + amount / timeConstant_;
    updated_ = now;
}

double DecayingRate::at(Instant now) const
{
    return rate_ * std::exp(-toSeconds(now - updated_) / timeConstant_);
}

}
