#include "briarhitch/core/LineWriter.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration reportInterval = 1s;

}

LineWriter::LineWriter(int descriptor, const LineRateLimit& limit, ClockHook now)
    : descriptor_(descriptor)
    , limit_(limit)
    , now_(std::move(now))
    , availableBytes_(limit.burstBytes)
    , filledAt_(now_())
{
    int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

bool LineWriter::tryReserve(size_t bytes, Instant now)
{
    availableBytes_ = std::min(limit_.burstBytes, availableBytes_ + limit_.bytesPerSecond * toSeconds(now - filledAt_));
    filledAt_ = now;
    if (availableBytes_ < static_cast<double>(bytes) || pending_.size() + bytes > limit_.maxPendingBytes)
        return false;
    availableBytes_ -= static_cast<double>(bytes);
    return true;
}

void LineWriter::reportDropped(Instant now)
{
    if (droppedCount_ == reportedLines_ || now - reportedAt_ < reportInterval)
        return;
    std::string line = R"({"level":"warning","part":"log","message":"lines were dropped","lines":)" + std::to_string(droppedCount_ - reportedLines_) + "}\n";
    if (pending_.size() + line.size() > limit_.maxPendingBytes)
        return;
    pending_ += line;
    reportedLines_ = droppedCount_;
    reportedAt_ = now;
}

void LineWriter::write(std::string_view line)
{
    auto now = now_();
    reportDropped(now);
    if (tryReserve(line.size() + 1, now)) {
        pending_ += line;
        pending_ += '\n';
    } else {
        ++droppedCount_;
    }
    flush();
}

void LineWriter::flush()
{
    while (!pending_.empty()) {
        auto written = ::write(descriptor_, pending_.data(), pending_.size());
        if (written < 0 && errno == EINTR)
            continue;
        // The rest stays buffered for a slow reader. For a closed reader nothing helps, and the limit bounds the buffer.
        if (written <= 0)
            return;
        pending_.erase(0, static_cast<size_t>(written));
    }
}

}
