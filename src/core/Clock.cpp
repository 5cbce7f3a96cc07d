#include "briarhitch/core/Clock.h"

#include <ctime>

namespace briarhitch {

BootClock::time_point BootClock::now() noexcept
{
    // CLOCK_MONOTONIC stops while a VM is suspended, but a lease must expire then too.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
