#include "sched/FloorTracker.h"

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Long enough to hold several requests of the longest kind.
    constexpr Duration measuredTime = 10s;
    constexpr double largestFloor = 0.5;

}

FloorTracker::FloorTracker(const std::map<WorkKindId, double>& floors)
    : total_(measuredTime)
{
    for (const auto& [kind, part] : floors) {
        if (part > 0)
            kinds_.emplace(kind, Kind { std::min(part, largestFloor), DecayingRate(measuredTime), {}, 0 });
    }
}

double FloorTracker::floorOf(WorkKindId kind) const
{
    auto it = kinds_.find(kind);
    return it == kinds_.end() ? 0 : it->second.part;
}

void FloorTracker::queued(WorkKindId kind, uint64_t sequence, AttemptId attempt, int64_t cost)
{
    auto it = kinds_.find(kind);
    if (it == kinds_.end())
        return;
    it->second.waiting.emplace(sequence, attempt);
    it->second.cost += cost;
}

void FloorTracker::left(WorkKindId kind, uint64_t sequence, int64_t cost)
{
    auto it = kinds_.find(kind);
    if (it == kinds_.end())
        return;
    auto& waiting = it->second.waiting;
    waiting.erase(waiting.lower_bound({ sequence, AttemptId {} }));
    it->second.cost -= cost;
}

void FloorTracker::granted(WorkKindId kind, int64_t cost, Instant now)
{
    if (kinds_.empty())
        return;
    total_.add(static_cast<double>(cost), now);
    auto it = kinds_.find(kind);
    if (it != kinds_.end())
        it->second.rate.add(static_cast<double>(cost), now);
}

std::optional<AttemptId> FloorTracker::due(Instant now) const
{
    for (const auto& [id, kind] : kinds_) {
        if (!kind.waiting.empty() && kind.rate.at(now) < kind.part * total_.at(now))
            return kind.waiting.begin()->second;
    }
    return std::nullopt;
}

int64_t FloorTracker::queuedCost(WorkKindId kind) const
{
    auto it = kinds_.find(kind);
    return it == kinds_.end() ? 0 : it->second.cost;
}

}
