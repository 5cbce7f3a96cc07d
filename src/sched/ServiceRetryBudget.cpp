#include "briarhitch/sched/ServiceRetryBudget.h"

#include <algorithm>

namespace briarhitch {

namespace {

    // Leaves a margin: the nodes' windows are not aligned, and a request may reach a target later than it was counted here.
    constexpr double usableFraction = 0.7;

}

ServiceRetryBudget::ServiceRetryBudget(const ServiceRetryBudgetSettings& settings)
    : settings_(settings)
{
}

int64_t ServiceRetryBudget::timeSlotNumber(Instant now) const
{
    return now.time_since_epoch() / (settings_.window / static_cast<int64_t>(timeSlotCount));
}

ServiceRetryBudget::TimeSlot& ServiceRetryBudget::timeSlotAt(const std::string& service, Instant now)
{
    auto number = timeSlotNumber(now);
    auto& timeSlots = windows_[service].timeSlots;
    auto& timeSlot = timeSlots[static_cast<size_t>(number) % timeSlots.size()];
    if (timeSlot.number != number)
        timeSlot = { number, 0, 0 };
    return timeSlot;
}

void ServiceRetryBudget::recordRequest(const std::string& service, Instant now)
{
    ++timeSlotAt(service, now).requests;
}

bool ServiceRetryBudget::acquireRetry(const std::string& service, size_t nodes, Instant now)
{
    auto& current = timeSlotAt(service, now);
    double requests = 0;
    double retries = 0;
    for (const auto& timeSlot : windows_[service].timeSlots) {
        if (current.number - timeSlot.number > static_cast<int64_t>(timeSlotCount))
            continue;
        requests += timeSlot.requests;
        retries += timeSlot.retries;
    }
    double slack = settings_.slack / static_cast<double>(std::max<size_t>(1, nodes));
    if (retries + 1 > usableFraction * (settings_.ratio * requests + slack))
        return false;
    ++current.retries;
    return true;
}

}
