#pragma once

#include "briarhitch/core/Clock.h"

#include <cstdint>

namespace briarhitch {

/** The cost that a target may run concurrently, adapted to latency: small increases, large decreases. */
class TargetWindow {
public:
    /** `initialSize` and `maxSize` in units of cost, both greater than zero. */
    TargetWindow(int64_t initialSize, int64_t maxSize);

    [[nodiscard]] int64_t size() const { return static_cast<int64_t>(size_); }
    /** Records a latency observed at a charged cost of `used`; `goal` is the longest latency of a target that is not overloaded. */
    void observe(Duration latency, Duration goal, int64_t used, Instant now);
    /** Shrinks the window, for example because the target refused work. */
    void shrink(Instant now);

private:
    double size_;
    double maxSize_;
    Instant shrunkAt_ {};
};

}
