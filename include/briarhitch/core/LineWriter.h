#pragma once

#include "briarhitch/core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhitch {

struct LineRateLimit {
    /** Lines are dropped beyond this many bytes a second, on average. */
    double bytesPerSecond { 64 * 1024 };
    /** Bytes that a quiet time saves up. */
    double burstBytes { 512 * 1024 };
    /** Bytes kept while the reader of the descriptor is behind. */
    size_t maxPendingBytes { 256 * 1024 };
};

/**
 * Writes whole lines to a descriptor without ever blocking. What does not fit the budget, or what the reader does not
 * take, is dropped and counted; one line a second says how many lines were dropped.
 */
class LineWriter {
public:
    /** Makes the descriptor non-blocking. */
    LineWriter(int descriptor, const LineRateLimit& budget, ClockHook now);

    /** Takes a line without its end of line. */
    void write(std::string_view line);
    /** Tries to write what is pending; to be called before the process ends. */
    void flush();
    [[nodiscard]] uint64_t droppedLines() const { return dropped_; }
    [[nodiscard]] size_t pendingBytes() const { return pending_.size(); }

private:
    bool fits(size_t bytes, Instant now);
    void reportDropped(Instant now);

    int descriptor_;
    LineRateLimit budget_;
    ClockHook now_;
    double allowance_;
    Instant filledAt_;
    std::string pending_;
    uint64_t dropped_ { 0 };
    uint64_t reported_ { 0 };
    Instant reportedAt_ {};
};

}
