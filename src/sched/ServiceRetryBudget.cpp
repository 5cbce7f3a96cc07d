#include "briarhitch/sched/ServiceRetryBudget.h"

#include <algorithm>

namespace briarhitch {

namespace {

    // The nodes' windows do not start together, and a request may arrive at a target later than it was counted here.
    constexpr double usedPart = 0.7;

}

ServiceRetryBudget::ServiceRetryBudget(const ServiceRetryBudgetSettings& settings)
    : settings_(settings)
{
}

int64_t ServiceRetryBudget::slotNumber(Instant now) const
{
    return now.time_since_epoch() / (settings_.window / static_cast<int64_t>(slotCount));
}

ServiceRetryBudget::Slot& ServiceRetryBudget::slotAt(const std::string& service, Instant now)
{
    auto number = slotNumber(now);
    auto& slots = windows_[service].slots;
    auto& slot = slots[static_cast<size_t>(number) % slots.size()];
    if (slot.number != number)
        slot = { number, 0, 0 };
    return slot;
}

void ServiceRetryBudget::countRequest(const std::string& service, Instant now)
{
    ++slotAt(service, now).requests;
}

bool ServiceRetryBudget::acquireRetry(const std::string& service, size_t nodes, Instant now)
{
    auto& present = slotAt(service, now);
    double requests = 0;
    double repeats = 0;
    for (const auto& slot : windows_[service].slots) {
        if (present.number - slot.number > static_cast<int64_t>(slotCount))
            continue;
        requests += slot.requests;
        repeats += slot.repeats;
    }
    double slack = settings_.slack / static_cast<double>(std::max<size_t>(1, nodes));
    if (repeats + 1 > usedPart * (settings_.ratio * requests + slack))
        return false;
    ++present.repeats;
    return true;
}

}
