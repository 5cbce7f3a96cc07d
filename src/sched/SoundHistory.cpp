#include "briarhitch/sched/SoundHistory.h"

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration retention = 10s;
    /** Between two records of the same suspect. */
    constexpr Duration recordInterval = 1s;
    constexpr size_t maxRecords = 16384;

}

void SoundHistory::remember(SuspectId id, Instant now)
{
    auto [it, isNew] = lastAt_.try_emplace(id, now);
    if (!isNew && now - it->second < recordInterval)
        return;
    it->second = now;
    records_.push_back({ id, now });
    while (!records_.empty() && (records_.size() > maxRecords || records_.front().at < now - retention)) {
        auto oldest = lastAt_.find(records_.front().id);
        if (oldest != lastAt_.end() && oldest->second == records_.front().at)
            lastAt_.erase(oldest);
        records_.pop_front();
    }
}

bool SoundHistory::isWithin(SuspectId id, Duration time, Instant now) const
{
    auto known = lastAt_.find(id);
    return known != lastAt_.end() && now - known->second < time;
}

}
