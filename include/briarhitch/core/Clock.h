#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>

namespace briarhitch {

/** A monotonic clock that includes the time in which the VM was suspended. */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using Duration = BootClock::duration;
using Instant = BootClock::time_point;
/** Source of the current time; tests inject their own. */
using ClockHook = std::function<Instant()>;

/** Milliseconds since the Unix epoch, for logs and incarnations only; it may jump. */
int64_t wallClockMs();

inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
inline int64_t toMs(Duration duration) { return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(); }
/** Milliseconds for a message, clamped to 0 ... 2^32 - 1. */
inline uint32_t clampMs(Duration duration) { return static_cast<uint32_t>(std::clamp<int64_t>(toMs(duration), 0, UINT32_MAX)); }
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}
