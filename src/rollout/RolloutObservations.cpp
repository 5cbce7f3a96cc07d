#include "briarhitch/rollout/RolloutObservations.h"

#include <algorithm>
#include <cmath>

namespace briarhitch {

RolloutCounters& RolloutObservations::countersOf(const Attempt& attempt)
{
    auto& counters = counters_[{ attempt.route, attempt.isTargetVersion }];
    counters.route = attempt.route;
    counters.isTargetVersion = attempt.isTargetVersion;
    return counters;
}

void RolloutObservations::addSample(const Attempt& attempt, Duration latency)
{
    // Latencies arrive in whole milliseconds; zero has no logarithm.
    constexpr double minLatencyMs = 1;
    auto& counters = countersOf(attempt);
    ++counters.samples;
    counters.logLatencySum += std::log(std::max(minLatencyMs, toSeconds(latency) * 1000));
}

void RolloutObservations::attemptGranted(AttemptId attempt, WorkKindId route, bool isTargetVersion)
{
    attemptAdopted(attempt, route, isTargetVersion);
    ++countersOf(attempts_.at(attempt)).granted;
}

void RolloutObservations::attemptAdopted(AttemptId attempt, WorkKindId route, bool isTargetVersion)
{
    attempts_[attempt] = { route, isTargetVersion, false };
}

void RolloutObservations::attemptStarted(AttemptId attempt, Duration firstEvent)
{
    auto found = attempts_.find(attempt);
    if (found == attempts_.end() || std::exchange(found->second.isStarted, true))
        return;
    addSample(found->second, firstEvent);
}

void RolloutObservations::attemptFinished(AttemptId attempt, AttemptOutcome outcome, Duration duration)
{
    auto found = attempts_.find(attempt);
    if (found == attempts_.end())
        return;
    auto ended = found->second;
    attempts_.erase(found);
    bool isBad = outcome == AttemptOutcome::Errored || outcome == AttemptOutcome::Failed;
    // Cancelled and refused attempts, and those without a connection, say nothing of the version's answers.
    if (!isBad && outcome != AttemptOutcome::Completed)
        return;
    ++countersOf(ended).answered;
    if (isBad)
        ++countersOf(ended).bad;
    else if (!ended.isStarted)
        addSample(ended, duration);
}

void RolloutObservations::retain(const std::function<bool(AttemptId)>& isRunning)
{
    std::erase_if(attempts_, [&](const auto& entry) { return !isRunning(entry.first); });
}

std::vector<RolloutCounters> RolloutObservations::counters() const
{
    std::vector<RolloutCounters> result;
    result.reserve(counters_.size());
    for (const auto& [key, counters] : counters_)
        result.push_back(counters);
    return result;
}

bool RolloutObservations::hasGranted(bool isTargetVersion) const
{
    return std::any_of(counters_.begin(), counters_.end(), [&](const auto& entry) { return entry.first.second == isTargetVersion && entry.second.granted > 0; });
}

uint32_t RolloutObservations::runningCount(bool isTargetVersion) const
{
    return static_cast<uint32_t>(std::count_if(attempts_.begin(), attempts_.end(), [&](const auto& entry) { return entry.second.isTargetVersion == isTargetVersion; }));
}

}
