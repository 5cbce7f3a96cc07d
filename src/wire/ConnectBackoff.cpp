#include "wire/ConnectBackoff.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Long enough for many round trips within a region; a VM without power does not respond at all.
    constexpr Duration shortestTimeout = 150ms;
    constexpr Duration longestTimeout = 1s;
    constexpr int timeoutDivisor = 4;
    constexpr Duration shortestPause = 30ms;
    constexpr Duration longestPause = 1s;
    // Limits the time that the pause adds to an outage to an eighth of the outage.
    constexpr int pauseDivisor = 8;

}

ConnectBackoff ConnectBackoff::after(Duration outage)
{
    return { std::clamp(outage / timeoutDivisor, shortestTimeout, longestTimeout), std::clamp(outage / pauseDivisor, shortestPause, longestPause) };
}

}
