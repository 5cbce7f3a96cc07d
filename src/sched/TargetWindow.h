#pragma once

#include "briarhitch/core/Clock.h"

#include <cstdint>

namespace briarhitch {

/** The cost that one target may hold at a time, learned from latency: small steps up, large steps down. */
class TargetWindow {
public:
    /** `initial` and `most` in units of cost, both greater than zero. */
    TargetWindow(int64_t initial, int64_t most);

    [[nodiscard]] int64_t size() const { return static_cast<int64_t>(size_); }
    /** A latency was observed while the target held `used`; `goal` is what a target that is not overloaded needs. */
    void observe(Duration latency, Duration goal, int64_t used, Instant now);
    /** The target refused work. */
    void shrink(Instant now);

private:
    double size_;
    double most_;
    Instant shrunkAt_ {};
};

}
