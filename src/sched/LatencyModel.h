#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** Learns latency as a line over size: a fixed part and a part for each unit, from recent samples. */
class LatencyModel {
public:
    void learn(double size, Duration latency);
    /** Zero until there are samples. */
    [[nodiscard]] Duration expected(double size) const;
    /** Mean distance of latencies from the line, in seconds. */
    [[nodiscard]] double deviation() const { return weight_ > 0 ? deviation_ / weight_ : 0; }

private:
    double weight_ { 0 };
    double size_ { 0 };
    double latency_ { 0 };
    double sizeSquared_ { 0 };
    double product_ { 0 };
    double deviation_ { 0 };
};

}
