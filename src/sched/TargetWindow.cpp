#include "sched/TargetWindow.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr double decrease = 0.85;
    // Parts of its size by which one good latency lets the window grow, before and after it first was too large.
    constexpr double firstIncrease = 0.04;
    constexpr double increase = 0.02;
    constexpr double smallestPart = 0.02;
    // Answers to work sent before a decrease still show the old load, so they do not shrink the window again.
    constexpr Duration shrinkPause = 500ms;
    // A window that is not used says nothing about whether a larger one would be too large.
    constexpr double usedPartToGrow = 0.7;

}

TargetWindow::TargetWindow(int64_t initial, int64_t most)
    : size_(static_cast<double>(initial))
    , most_(static_cast<double>(most))
{
    assert(initial > 0 && most > 0);
}

void TargetWindow::observe(Duration latency, Duration goal, int64_t used, Instant now)
{
    if (latency > goal)
        shrink(now);
    else if (static_cast<double>(used) >= usedPartToGrow * size_)
        size_ = std::min(most_, size_ * (1 + (shrunkAt_ == Instant {} ? firstIncrease : increase)));
}

void TargetWindow::shrink(Instant now)
{
    if (now - shrunkAt_ < shrinkPause)
        return;
    shrunkAt_ = now;
    size_ = std::max({ 1.0, smallestPart * most_, size_ * decrease });
}

}
