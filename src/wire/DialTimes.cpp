#include "wire/DialTimes.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Many round trips within a region; a VM without power does not answer at all.
    constexpr Duration shortestTimeout = 150ms;
    constexpr Duration longestTimeout = 1s;
    constexpr int timeoutPart = 4;
    constexpr Duration shortestPause = 30ms;
    constexpr Duration longestPause = 1s;
    // What the pause may add to an outage is an eighth of it.
    constexpr int pausePart = 8;

}

DialTimes DialTimes::after(Duration outage)
{
    return { std::clamp(outage / timeoutPart, shortestTimeout, longestTimeout), std::clamp(outage / pausePart, shortestPause, longestPause) };
}

}
