#include "control/SuspectChanges.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** When there are more, the ones whose records changed first are removed. */
    constexpr size_t maxSuspects = 4096;

    /** The record after a report; none if it is known. */
    std::optional<SuspectRecord> merged(const SuspectRecord* known, const SuspectRecord& report, int64_t timeMs)
    {
        auto result = known ? *known : report;
        result.crashes = std::max(result.crashes, report.crashes);
        result.sendsAfterThirdCrash = std::max(result.sendsAfterThirdCrash, report.sendsAfterThirdCrash);
        result.wasSound = result.wasSound || report.wasSound;
        result.longestProgressMs = std::max(result.longestProgressMs, report.longestProgressMs);
        if (known && result == *known)
            return std::nullopt;
        result.changedAtMs = timeMs;
        return result;
    }

    void removeOldest(std::map<SuspectId, SuspectRecord>& suspects, std::vector<SuspectId>& removed)
    {
        auto oldest = std::min_element(suspects.begin(), suspects.end(), [](const auto& left, const auto& right) { return left.second.changedAtMs < right.second.changedAtMs; });
        removed.push_back(oldest->first);
        suspects.erase(oldest);
    }

}

ConfigDelta suspectsDelta(const ClusterConfig& config, const RecordSuspects& changes, int64_t timeMs)
{
    ConfigDelta delta;
    auto suspects = config.suspects;
    for (const auto& report : changes.blocked) {
        auto known = suspects.find(report.id);
        auto record = merged(known == suspects.end() ? nullptr : &known->second, report, timeMs);
        if (!record)
            continue;
        if (known == suspects.end() && suspects.size() >= maxSuspects)
            removeOldest(suspects, delta.clearedSuspects);
        suspects[report.id] = *record;
        delta.suspects.push_back(*record);
    }
    for (auto id : changes.cleared) {
        if (suspects.erase(id) > 0)
            delta.clearedSuspects.push_back(id);
    }
    return delta;
}

}
