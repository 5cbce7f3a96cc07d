#include "sched/RefusalHistory.h"

#include <absl/hash/hash.h>
#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Longer than the largest retryAfter given to callers, which is seven seconds.
    constexpr Duration retention = 10s;
    // 2,000 refusals per second, five times those of the heaviest known burst.
    constexpr size_t maxRememberedRefusals = 20000;

    /** Hash of what stays the same when a caller retries; 0 if the request cannot be distinguished from others of its kind. */
    uint64_t hashOfWork(const PoolRequest& request)
    {
        if (request.prefix.empty())
            return 0;
        return absl::HashOf(request.customer.value(), request.kind.value(), request.promptTokens.value(), request.maxOutputTokens.value(), request.expectedOutputTokens.value(), request.prefix);
    }

}

void RefusalHistory::recordRefusal(const PoolRequest& request, Instant now)
{
    auto workHash = hashOfWork(request);
    if (workHash == 0)
        return;
    if (auto [it, isNew] = objectives_.try_emplace(workHash, request.objective); !isNew)
        it->second = std::min(it->second, request.objective);
    byAge_.emplace_back(now, workHash);
    tick(now);
}

std::optional<Instant> RefusalHistory::originalObjective(const PoolRequest& request) const
{
    auto it = objectives_.find(hashOfWork(request));
    return it == objectives_.end() ? std::nullopt : std::optional(it->second);
}

void RefusalHistory::tick(Instant now)
{
    while (!byAge_.empty() && (byAge_.front().first + retention < now || byAge_.size() > maxRememberedRefusals)) {
        objectives_.erase(byAge_.front().second);
        byAge_.pop_front();
    }
}

}
