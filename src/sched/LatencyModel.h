#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** Linear regression of latency over size, from recent samples. */
class LatencyModel {
public:
    void addSample(double size, Duration latency, Instant now);
    /** Zero without recent samples, so that work is admitted and new samples are taken. */
    [[nodiscard]] Duration expected(double size, Instant now) const;
    /** Mean absolute deviation from the regression line, in seconds. */
    [[nodiscard]] double deviation(Instant now) const;

private:
    [[nodiscard]] bool hasRecentSamples(Instant now) const;

    Instant lastSample_ {};
    double weight_ { 0 };
    double size_ { 0 };
    double latency_ { 0 };
    double sizeSquared_ { 0 };
    double product_ { 0 };
    double deviation_ { 0 };
};

}
