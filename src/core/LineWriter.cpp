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

LineWriter::LineWriter(int descriptor, const LineRateLimit& budget, ClockHook now)
    : descriptor_(descriptor)
    , budget_(budget)
    , now_(std::move(now))
    , allowance_(budget.burstBytes)
    , filledAt_(now_())
{
    int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

bool LineWriter::fits(size_t bytes, Instant now)
{
    allowance_ = std::min(budget_.burstBytes, allowance_ + budget_.bytesPerSecond * toSeconds(now - filledAt_));
    filledAt_ = now;
    if (allowance_ < static_cast<double>(bytes) || pending_.size() + bytes > budget_.maxPendingBytes)
        return false;
    allowance_ -= static_cast<double>(bytes);
    return true;
}

void LineWriter::reportDropped(Instant now)
{
    if (dropped_ == reported_ || now - reportedAt_ < reportInterval)
        return;
    std::string line = R"({"level":"warning","part":"log","message":"lines were dropped","lines":)" + std::to_string(dropped_ - reported_) + "}\n";
    if (pending_.size() + line.size() > budget_.maxPendingBytes)
        return;
    pending_ += line;
    reported_ = dropped_;
    reportedAt_ = now;
}

void LineWriter::write(std::string_view line)
{
    auto now = now_();
    reportDropped(now);
    if (fits(line.size() + 1, now)) {
        pending_ += line;
        pending_ += '\n';
    } else {
        ++dropped_;
    }
    flush();
}

void LineWriter::flush()
{
    while (!pending_.empty()) {
        auto written = ::write(descriptor_, pending_.data(), pending_.size());
        if (written < 0 && errno == EINTR)
            continue;
        // A reader that is behind gets the rest later; one that is gone never reads again, and the budget bounds what is kept.
        if (written <= 0)
            return;
        pending_.erase(0, static_cast<size_t>(written));
    }
}

}
