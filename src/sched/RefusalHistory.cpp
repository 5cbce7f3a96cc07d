#include "sched/RefusalHistory.h"

#include <absl/hash/hash.h>
#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Callers are told to come back after seven seconds at most.
    constexpr Duration memory = 10s;
    // 2,000 refusals a second, five times those of the heaviest burst measured.
    constexpr size_t mostRemembered = 20000;

    /** What stays the same between two tries; 0 if the request does not tell itself apart from others of its kind. */
    uint64_t workOf(const PoolRequest& request)
    {
        if (request.prefix.empty())
            return 0;
        return absl::HashOf(request.customer.value(), request.kind.value(), request.promptTokens.value(), request.maxOutputTokens.value(), request.expectedOutputTokens.value(), request.prefix);
    }

}

void RefusalHistory::recordRefusal(const PoolRequest& request, Instant now)
{
    auto work = workOf(request);
    if (work == 0)
        return;
    if (auto [it, isNew] = objectives_.try_emplace(work, request.objective); !isNew)
        it->second = std::min(it->second, request.objective);
    order_.emplace_back(now, work);
    tick(now);
}

std::optional<Instant> RefusalHistory::originalObjective(const PoolRequest& request) const
{
    auto it = objectives_.find(workOf(request));
    return it == objectives_.end() ? std::nullopt : std::optional(it->second);
}

void RefusalHistory::tick(Instant now)
{
    while (!order_.empty() && (order_.front().first + memory < now || order_.size() > mostRemembered)) {
        objectives_.erase(order_.front().second);
        order_.pop_front();
    }
}

}
