#pragma once

#include "briarhitch/core/Clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace briarhitch {

/** Sum of amounts over the last window, kept in slots; amounts of the slot that is only partly in the window do not count. */
class SlidingSum {
public:
    SlidingSum() = default;
    /** `window` must be positive. */
    explicit SlidingSum(Duration window)
        : slotLength_(window / slotCount)
    {
    }

    void add(double amount, Instant now)
    {
        advance(now);
        slots_[0] += amount;
    }
    /** Adds an amount that came evenly over the whole window. */
    void addEvenly(double amount, Instant now)
    {
        advance(now);
        for (auto& slot : slots_)
            slot += amount / slotCount;
    }
    [[nodiscard]] double sum(Instant now)
    {
        advance(now);
        double result = 0;
        for (size_t i = 0; i < slotCount; ++i)
            result += slots_[i];
        return result;
    }

    /** The same from this time on; the slot that is only partly after it does not count. */
    [[nodiscard]] double sumSince(Instant from, Instant now)
    {
        advance(now);
        auto first = (from.time_since_epoch() + slotLength_ - Duration(1)) / slotLength_;
        auto count = std::clamp<int64_t>(currentNumber_ - first + 1, 0, slotCount);
        return std::accumulate(slots_.begin(), slots_.begin() + count, 0.0);
    }

private:
    static constexpr size_t slotCount = 8;

    void advance(Instant now)
    {
        auto number = now.time_since_epoch() / slotLength_;
        auto steps = static_cast<size_t>(std::max<int64_t>(0, number - currentNumber_));
        currentNumber_ = std::max<int64_t>(currentNumber_, number);
        if (steps == 0)
            return;
        for (size_t i = slotCount; i-- > 0;)
            slots_[i] = i >= steps ? slots_[i - steps] : 0;
    }

    Duration slotLength_ { std::chrono::seconds(1) };
    int64_t currentNumber_ { 0 };
    /** The current slot first. */
    std::array<double, slotCount> slots_ {};
};

}
