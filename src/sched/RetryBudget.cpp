#include "briarhitch/sched/RetryBudget.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int requestsByRetry = 10;
    constexpr int mostRetriesSaved = 10;
    constexpr Duration idleTime = 10min;

}

void RetryBudget::requestArrived(CustomerId customer, Instant now)
{
    dropIdle(now);
    auto& savings = savings_[customer];
    if (now - savings.lastRequest > idleTime)
        savings.credit = 0;
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
