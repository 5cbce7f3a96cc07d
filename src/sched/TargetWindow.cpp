#include "sched/TargetWindow.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr double decreaseFactor = 0.85;
    // Growth per latency within the goal, as a fraction of the size, before and after the first decrease.
    constexpr double initialIncrease = 0.04;
    constexpr double laterIncrease = 0.02;
    constexpr double minSizeFraction = 0.02;
    // Responses to requests sent before a decrease still reflect the old load, so they do not shrink the window again.
    constexpr Duration minShrinkInterval = 500ms;
    // Latency at low utilization does not show whether a larger window would be too large.
    constexpr double minUtilizationToGrow = 0.7;

}

TargetWindow::TargetWindow(int64_t initialSize, int64_t maxSize)
    : size_(static_cast<double>(initialSize))
    , maxSize_(static_cast<double>(maxSize))
{
    assert(initialSize > 0 && maxSize > 0);
}

void TargetWindow::observe(Duration latency, Duration goal, int64_t used, Instant now)
{
    if (latency > goal)
        shrink(now);
    else if (static_cast<double>(used) >= minUtilizationToGrow * size_)
        size_ = std::min(maxSize_, size_ * (1 + (shrunkAt_ == Instant {} ? initialIncrease : laterIncrease)));
}

void TargetWindow::shrink(Instant now)
{
    if (now - shrunkAt_ < minShrinkInterval)
        return;
    shrunkAt_ = now;
    size_ = std::max({ 1.0, minSizeFraction * maxSize_, size_ * decreaseFactor });
}

}
