#include "sched/RecentAttempts.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration memory = 10min;

}

void RecentAttempts::remember(uint64_t repeatKey, TargetId target, Instant now)
{
    if (repeatKey == 0)
        return;
    forget(repeatKey, target);
    byKey_[repeatKey].push_back({ target, now + memory });
    byAge_.emplace_back(now + memory, repeatKey);
}

void RecentAttempts::forget(uint64_t repeatKey, TargetId target)
{
    auto uses = byKey_.find(repeatKey);
    if (uses == byKey_.end())
        return;
    uses->second.erase(std::remove_if(uses->second.begin(), uses->second.end(), [&](const Use& use) { return use.target == target; }), uses->second.end());
    if (uses->second.empty())
        byKey_.erase(uses);
}

bool RecentAttempts::had(uint64_t repeatKey, TargetId target) const
{
    if (repeatKey == 0)
        return false;
    auto uses = byKey_.find(repeatKey);
    return uses != byKey_.end() && std::any_of(uses->second.begin(), uses->second.end(), [&](const Use& use) { return use.target == target; });
}

void RecentAttempts::expire(Instant now)
{
    while (!byAge_.empty() && byAge_.front().first <= now) {
        auto uses = byKey_.find(byAge_.front().second);
        byAge_.pop_front();
        if (uses == byKey_.end())
            continue;
        uses->second.erase(std::remove_if(uses->second.begin(), uses->second.end(), [&](const Use& use) { return use.until <= now; }), uses->second.end());
        if (uses->second.empty())
            byKey_.erase(uses);
    }
}

}
