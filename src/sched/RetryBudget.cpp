#include "briarhitch/sched/RetryBudget.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int requestsByRetry = 10;
    constexpr int mostRetriesSaved = 10;
    // Without any in hand, the first failure of a customer with few requests would never be retried.
    constexpr int startingRetries = 2;
    constexpr Duration idleTime = 10min;

}

void RetryBudget::recordRequest(CustomerId customer, Instant now)
{
    dropIdle(now);
    auto [it, isNew] = savings_.try_emplace(customer);
    auto& savings = it->second;
    if (isNew || now - savings.lastRequest > idleTime)
        savings.credit = startingRetries * requestsByRetry;
    savings.credit = std::min(savings.credit + 1, requestsByRetry * mostRetriesSaved);
    savings.lastRequest = now;
}

bool RetryBudget::tryRetry(CustomerId customer, Instant now)
{
    auto it = savings_.find(customer);
    if (it == savings_.end() || now - it->second.lastRequest > idleTime || it->second.credit < requestsByRetry)
        return false;
    it->second.credit -= requestsByRetry;
    return true;
}

void RetryBudget::dropIdle(Instant now)
{
    if (now - droppedAt_ < idleTime)
        return;
    droppedAt_ = now;
    absl::erase_if(savings_, [&](const auto& entry) { return now - entry.second.lastRequest > idleTime; });
}

}
