#include "rollout/RolloutTally.h"

#include <algorithm>

namespace briarhitch {

namespace {

    void addTo(RolloutTotals& totals, const RolloutTotals& added)
    {
        for (const auto& [route, sides] : added)
            totals[route] += sides;
    }

    RolloutTotals totalsOf(const RolloutReport& report)
    {
        RolloutTotals totals;
        for (const auto& counters : report.counters) {
            auto& sides = totals[counters.route];
            (counters.isTargetVersion ? sides.target : sides.others) += { counters.granted, counters.answered, counters.bad, counters.samples, counters.logLatencySum };
        }
        return totals;
    }

    bool isBelow(const RolloutCounts& left, const RolloutCounts& right)
    {
        return left.granted < right.granted || left.answered < right.answered || left.bad < right.bad || left.samples < right.samples;
    }

    /** Whether a counter is lower than before, so that the owner must have begun anew. */
    bool hasRestarted(const RolloutTotals& before, const RolloutTotals& after)
    {
        return std::any_of(before.begin(), before.end(), [&](const auto& entry) {
            auto it = after.find(entry.first);
            auto sides = it == after.end() ? RolloutSides {} : it->second;
            return isBelow(sides.target, entry.second.target) || isBelow(sides.others, entry.second.others);
        });
    }

}

RolloutCounts& RolloutCounts::operator+=(const RolloutCounts& other)
{
    granted += other.granted;
    answered += other.answered;
    bad += other.bad;
    samples += other.samples;
    logLatencySum += other.logLatencySum;
    return *this;
}

RolloutCounts& RolloutCounts::operator-=(const RolloutCounts& other)
{
    granted -= other.granted;
    answered -= other.answered;
    bad -= other.bad;
    samples -= other.samples;
    logLatencySum -= other.logLatencySum;
    return *this;
}

RolloutSides& RolloutSides::operator+=(const RolloutSides& other)
{
    target += other.target;
    others += other.others;
    return *this;
}

RolloutSides& RolloutSides::operator-=(const RolloutSides& other)
{
    target -= other.target;
    others -= other.others;
    return *this;
}

RolloutSides sumOf(const RolloutTotals& totals)
{
    RolloutSides sum;
    for (const auto& [route, sides] : totals)
        sum += sides;
    return sum;
}

bool RolloutTally::add(const RolloutReport& report)
{
    auto& known = current_[report.pool];
    if (report.epoch < known.epoch)
        return false;
    auto totals = totalsOf(report);
    if (report.epoch != known.epoch || hasRestarted(known.totals, totals))
        addTo(earlier_, known.totals);
    known = { report.epoch, std::move(totals) };
    return true;
}

RolloutTotals RolloutTally::totals() const
{
    auto totals = earlier_;
    for (const auto& [pool, owner] : current_)
        addTo(totals, owner.totals);
    return totals;
}

}
