#include "sched/RecentAttempts.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration retention = 10min;

}

void RecentAttempts::recordAttempt(uint64_t idempotencyKeyHash, TargetId target, Instant now)
{
    if (idempotencyKeyHash == 0)
        return;
    removeAttempt(idempotencyKeyHash, target);
    byKey_[idempotencyKeyHash].push_back({ target, now + retention });
    byAge_.emplace_back(now + retention, idempotencyKeyHash);
}

void RecentAttempts::removeAttempt(uint64_t idempotencyKeyHash, TargetId target)
{
    auto attempts = byKey_.find(idempotencyKeyHash);
    if (attempts == byKey_.end())
        return;
    attempts->second.erase(std::remove_if(attempts->second.begin(), attempts->second.end(), [&](const Attempt& attempt) { return attempt.target == target; }), attempts->second.end());
    if (attempts->second.empty())
        byKey_.erase(attempts);
}

bool RecentAttempts::wasAttempted(uint64_t idempotencyKeyHash, TargetId target) const
{
    if (idempotencyKeyHash == 0)
        return false;
    auto attempts = byKey_.find(idempotencyKeyHash);
    return attempts != byKey_.end() && std::any_of(attempts->second.begin(), attempts->second.end(), [&](const Attempt& attempt) { return attempt.target == target; });
}

void RecentAttempts::removeExpired(Instant now)
{
    while (!byAge_.empty() && byAge_.front().first <= now) {
        auto attempts = byKey_.find(byAge_.front().second);
        byAge_.pop_front();
        if (attempts == byKey_.end())
            continue;
        attempts->second.erase(std::remove_if(attempts->second.begin(), attempts->second.end(), [&](const Attempt& attempt) { return attempt.until <= now; }), attempts->second.end());
        if (attempts->second.empty())
            byKey_.erase(attempts);
    }
}

}
