#pragma once

#include "briarhitch/core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhitch {

struct LineRateLimit {
    /** Average rate above which lines are dropped. */
    double bytesPerSecond { 64 * 1024 };
    /** Maximum burst after an idle time. */
    double burstBytes { 512 * 1024 };
    /** Maximum number of bytes buffered while the reader of the descriptor is slow. */
    size_t maxPendingBytes { 256 * 1024 };
};

/**
 * Writes whole lines to a file descriptor without blocking. Lines beyond the rate limit or the buffer are dropped and
 * counted; at most one line per second reports how many lines were dropped.
 */
class LineWriter {
public:
    /** Makes the descriptor non-blocking. */
    LineWriter(int descriptor, const LineRateLimit& limit, ClockHook now);

    /** Writes or drops a line, given without its newline. */
    void write(std::string_view line);
    /** Tries to write buffered lines; must be called before the process ends. */
    void flush();
    [[nodiscard]] uint64_t droppedLines() const { return droppedCount_; }
    [[nodiscard]] size_t pendingBytes() const { return pending_.size(); }

private:
    bool tryReserve(size_t bytes, Instant now);
    void reportDropped(Instant now);

    int descriptor_;
    LineRateLimit limit_;
    ClockHook now_;
    double availableBytes_;
    Instant filledAt_;
    std::string pending_;
    uint64_t droppedCount_ { 0 };
    uint64_t reportedLines_ { 0 };
    Instant reportedAt_ {};
};

}
