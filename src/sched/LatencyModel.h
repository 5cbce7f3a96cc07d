#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** Learns latency as a line over size: a fixed part and a part for each unit, from recent samples. */
class LatencyModel {
public:
    void learn(double size, Duration latency, Instant now);
    /** Zero if there were no samples lately, so that work is let through to get some. */
    [[nodiscard]] Duration expected(double size, Instant now) const;
    /** Mean distance of latencies from the line, in seconds. */
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
