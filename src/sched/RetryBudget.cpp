#include "briarhitch/sched/RetryBudget.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int requestsPerRetry = 10;
    constexpr int maxSavedRetries = 10;
    // Without initial retries, the first failure of a customer with few requests would never be retried.
    constexpr int initialRetries = 2;
    constexpr Duration idleTimeout = 10min;

}

void RetryBudget::recordRequest(CustomerId customer, Instant now)
{
    pruneIdle(now);
    auto [it, isNew] = balances_.try_emplace(customer);
    auto& balance = it->second;
    if (isNew || now - balance.lastRequest > idleTimeout)
        balance.credit = initialRetries * requestsPerRetry;
    balance.credit = std::min(balance.credit + 1, requestsPerRetry * maxSavedRetries);
    balance.lastRequest = now;
}

bool RetryBudget::tryRetry(CustomerId customer, Instant now)
{
    auto it = balances_.find(customer);
    if (it == balances_.end() || now - it->second.lastRequest > idleTimeout || it->second.credit < requestsPerRetry)
        return false;
    it->second.credit -= requestsPerRetry;
    return true;
}

void RetryBudget::pruneIdle(Instant now)
{
    if (now - lastPrunedAt_ < idleTimeout)
        return;
    lastPrunedAt_ = now;
    absl::erase_if(balances_, [&](const auto& entry) { return now - entry.second.lastRequest > idleTimeout; });
}

}
