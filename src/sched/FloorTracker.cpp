#include "sched/FloorTracker.h"

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Long enough to cover several requests of the longest kind.
    constexpr Duration averagingTime = 10s;
    constexpr double maxFloor = 0.5;

}

FloorTracker::FloorTracker(const std::map<WorkKindId, double>& floors)
    : total_(averagingTime)
{
    for (const auto& [kind, floor] : floors) {
        if (floor > 0)
            kinds_.emplace(kind, Kind { std::min(floor, maxFloor), DecayingRate(averagingTime), {}, 0 });
    }
}

double FloorTracker::floorOf(WorkKindId kind) const
{
    auto it = kinds_.find(kind);
    return it == kinds_.end() ? 0 : it->second.floor;
}

void FloorTracker::recordQueued(WorkKindId kind, uint64_t sequence, AttemptId attempt, int64_t cost)
{
    auto it = kinds_.find(kind);
    if (it == kinds_.end())
        return;
    it->second.queuedAttempts.emplace(sequence, attempt);
    it->second.cost += cost;
}

void FloorTracker::recordRemoved(WorkKindId kind, uint64_t sequence, int64_t cost)
{
    auto it = kinds_.find(kind);
    if (it == kinds_.end())
        return;
    auto& queuedAttempts = it->second.queuedAttempts;
    queuedAttempts.erase(queuedAttempts.lower_bound({ sequence, AttemptId {} }));
    it->second.cost -= cost;
}

void FloorTracker::recordGranted(WorkKindId kind, int64_t cost, Instant now)
{
    if (kinds_.empty())
        return;
    total_.add(static_cast<double>(cost), now);
    auto it = kinds_.find(kind);
    if (it != kinds_.end())
        it->second.rate.add(static_cast<double>(cost), now);
}

std::optional<AttemptId> FloorTracker::belowFloor(Instant now) const
{
    for (const auto& [id, kind] : kinds_) {
        if (!kind.queuedAttempts.empty() && kind.rate.rateAt(now) < kind.floor * total_.rateAt(now))
            return kind.queuedAttempts.begin()->second;
    }
    return std::nullopt;
}

int64_t FloorTracker::queuedCost(WorkKindId kind) const
{
    auto it = kinds_.find(kind);
    return it == kinds_.end() ? 0 : it->second.cost;
}

}
