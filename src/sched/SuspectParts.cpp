#include "briarhitch/sched/SuspectParts.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Crashes in a row, without a target that began to answer, after which a part is blocked.
    constexpr uint32_t crashesOfUnknownPart = 2;
    /** A part that targets answered shortly before is in many prompts, and breaks with each target that ends. */
    constexpr uint32_t crashesOfSoundPart = 5;
    constexpr Duration minTimeSinceStart = 1s;
    constexpr Duration startRetention = 10s;
    /** Between two records of starts of the same part. */
    constexpr Duration startInterval = 1s;
    /** Targets that end this close together have another cause in common, or are one target seen by several attempts. */
    constexpr Duration commonCauseInterval = 50ms;
    /** All attempts on a target that has ended break within this time. */
    constexpr Duration sameCrashInterval = 2s;

    // Time until a trial, by the number of crashes: short while a sound part may be blocked by chance, then so long that
    // few targets crash by trials.
    constexpr Duration firstBlock = 1s;
    constexpr Duration secondBlock = 4s;
    constexpr Duration thirdBlock = 15s;
    constexpr Duration longBlock = 60s;
    constexpr Duration maxBlock = 1h;
    constexpr uint32_t crashesUntilLongBlock = 5;
    /** A trial that neither started nor broke by then does not hold up others. */
    constexpr Duration trialTimeout = 10s;
    constexpr Duration blockAfterUndecidedTrial = 500ms;

    constexpr Duration suspicionRetention = 60s;
    constexpr Duration blockRetention = 10min;
    constexpr size_t maxSuspicions = 1024;
    constexpr size_t maxStarts = 16384;
    constexpr size_t maxEvidence = 8;

    Duration blockTime(uint32_t crashes)
    {
        if (crashes <= crashesOfUnknownPart)
            return firstBlock;
        if (crashes == crashesOfUnknownPart + 1)
            return secondBlock;
        if (crashes < crashesUntilLongBlock)
            return thirdBlock;
        constexpr uint32_t maxDoublings = 6;
        return std::min<Duration>(maxBlock, longBlock * (1U << std::min(crashes - crashesUntilLongBlock, maxDoublings)));
    }

}

bool SuspectParts::isBlockedAt(const Suspicion& suspicion, Instant now) const
{
    bool isTrialRunning = suspicion.trial && now - suspicion.trialBeganAt < trialTimeout;
    return suspicion.isBlocked && (now < suspicion.blockedUntil || isTrialRunning);
}

bool SuspectParts::isEnough(const Suspicion& suspicion, PromptPartId part, Instant now) const
{
    auto start = lastStartAt_.find(part);
    bool wasSound = start != lastStartAt_.end() && now - start->second < startRetention;
    if (!wasSound)
        return suspicion.crashes >= crashesOfUnknownPart;
    return suspicion.crashes >= crashesOfSoundPart && now - start->second >= minTimeSinceStart + startInterval;
}

void SuspectParts::addCrash(Suspicion& suspicion, const PartCrash& crash)
{
    bool isKnown = std::any_of(suspicion.evidence.begin(), suspicion.evidence.end(), [&](const PartCrash& known) {
        auto distance = known.at > crash.at ? known.at - crash.at : crash.at - known.at;
        return distance < commonCauseInterval || (known.target == crash.target && distance < sameCrashInterval);
    });
    if (isKnown)
        return;
    ++suspicion.crashes;
    suspicion.lastCrashAt = std::max(suspicion.lastCrashAt, crash.at);
    suspicion.evidence.push_back(crash);
    if (suspicion.evidence.size() > maxEvidence)
        suspicion.evidence.pop_front();
}

PartVerdict SuspectParts::verdictOf(PartState state, PromptPartId part, const Suspicion& suspicion, Instant now)
{
    return { state, part, suspicion.crashes, { suspicion.evidence.begin(), suspicion.evidence.end() }, suspicion.isBlocked ? std::max<Duration>(suspicion.blockedUntil - now, 0ms) : 0ms };
}

SuspectParts::Suspicion& SuspectParts::findOrCreate(PromptPartId part)
{
    if (auto known = suspicions_.find(part); known != suspicions_.end())
        return known->second;
    if (suspicions_.size() >= maxSuspicions) {
        auto isWeaker = [](const auto& left, const auto& right) { return std::pair(left.second.isBlocked, left.second.lastCrashAt) < std::pair(right.second.isBlocked, right.second.lastCrashAt); };
        suspicions_.erase(std::min_element(suspicions_.begin(), suspicions_.end(), isWeaker));
    }
    return suspicions_[part];
}

std::vector<PartVerdict> SuspectParts::recordBreak(const std::vector<PromptPartId>& parts, TargetId target, Instant now)
{
    std::vector<PartVerdict> verdicts;
    for (auto part : parts) {
        auto& suspicion = findOrCreate(part);
        auto crashesBefore = suspicion.crashes;
        addCrash(suspicion, { target, now });
        suspicion.trial.reset();
        if (suspicion.crashes == crashesBefore)
            continue;
        if (suspicion.isBlocked || isEnough(suspicion, part, now)) {
            suspicion.isBlocked = true;
            suspicion.blockedUntil = now + blockTime(suspicion.crashes);
            verdicts.push_back(verdictOf(PartState::Blocked, part, suspicion, now));
        } else if (!lastStartAt_.contains(part)) {
            verdicts.push_back(verdictOf(PartState::Suspected, part, suspicion, now));
        }
    }
    return verdicts;
}

std::vector<PartVerdict> SuspectParts::recordStart(const std::vector<PromptPartId>& parts, Instant now)
{
    std::vector<PartVerdict> cleared;
    for (auto part : parts) {
        recordSound(part, now);
        auto known = suspicions_.find(part);
        if (known == suspicions_.end())
            continue;
        if (known->second.isBlocked)
            cleared.push_back(verdictOf(PartState::Cleared, part, known->second, now));
        suspicions_.erase(known);
    }
    return cleared;
}

void SuspectParts::recordSound(PromptPartId part, Instant now)
{
    auto [it, isNew] = lastStartAt_.try_emplace(part, now);
    if (!isNew && now - it->second < startInterval)
        return;
    it->second = now;
    starts_.push_back({ part, now });
    while (!starts_.empty() && (starts_.size() > maxStarts || starts_.front().at < now - startRetention)) {
        auto oldest = lastStartAt_.find(starts_.front().part);
        if (oldest != lastStartAt_.end() && oldest->second == starts_.front().at)
            lastStartAt_.erase(oldest);
        starts_.pop_front();
    }
}

std::optional<PartVerdict> SuspectParts::merge(const PartVerdict& verdict, Instant now)
{
    if (verdict.state == PartState::Cleared) {
        suspicions_.erase(verdict.part);
        return std::nullopt;
    }
    auto& suspicion = findOrCreate(verdict.part);
    bool wasBlocked = suspicion.isBlocked;
    for (const auto& crash : verdict.evidence)
        addCrash(suspicion, crash);
    suspicion.crashes = std::max(suspicion.crashes, verdict.crashes);
    if (verdict.state == PartState::Blocked) {
        suspicion.isBlocked = true;
        suspicion.blockedUntil = std::max<Instant>(suspicion.blockedUntil, now + std::min(verdict.blockedFor, maxBlock));
    } else if (!wasBlocked && isEnough(suspicion, verdict.part, now)) {
        suspicion.isBlocked = true;
        suspicion.blockedUntil = now + blockTime(suspicion.crashes);
    }
    if (!suspicion.isBlocked)
        return std::nullopt;
    return verdictOf(PartState::Blocked, verdict.part, suspicion, now);
}

std::optional<PartBlock> SuspectParts::findBlock(const std::vector<PromptPartId>& parts, Instant now) const
{
    for (auto part : parts) {
        auto known = suspicions_.find(part);
        if (known != suspicions_.end() && isBlockedAt(known->second, now))
            return PartBlock { part, known->second.crashes, std::max<Duration>(known->second.blockedUntil - now, blockAfterUndecidedTrial) };
    }
    return std::nullopt;
}

std::optional<PartBlock> SuspectParts::findBlockWithoutTrial(const std::vector<PromptPartId>& parts, Instant now) const
{
    for (auto part : parts) {
        auto known = suspicions_.find(part);
        if (known != suspicions_.end() && known->second.isBlocked)
            return PartBlock { part, known->second.crashes, std::max<Duration>(known->second.blockedUntil - now, firstBlock) };
    }
    return std::nullopt;
}

bool SuspectParts::needsTrial(const std::vector<PromptPartId>& parts) const
{
    return std::any_of(parts.begin(), parts.end(), [this](PromptPartId part) {
        auto known = suspicions_.find(part);
        return known != suspicions_.end() && known->second.isBlocked;
    });
}

bool SuspectParts::hasSuspect(const std::vector<PromptPartId>& parts) const
{
    return std::any_of(parts.begin(), parts.end(), [this](PromptPartId part) { return suspicions_.contains(part) && !lastStartAt_.contains(part); });
}

void SuspectParts::beginTrial(const std::vector<PromptPartId>& parts, AttemptId attempt, Instant now)
{
    for (auto part : parts) {
        auto known = suspicions_.find(part);
        if (known == suspicions_.end() || !known->second.isBlocked)
            continue;
        known->second.trial = attempt;
        known->second.trialBeganAt = now;
    }
}

void SuspectParts::endTrial(const std::vector<PromptPartId>& parts, AttemptId attempt, Instant now)
{
    for (auto part : parts) {
        auto known = suspicions_.find(part);
        if (known == suspicions_.end() || known->second.trial != attempt)
            continue;
        known->second.trial.reset();
        known->second.blockedUntil = now + blockAfterUndecidedTrial;
    }
}

void SuspectParts::tick(Instant now)
{
    std::erase_if(suspicions_, [now](const auto& entry) {
        const auto& suspicion = entry.second;
        auto retention = suspicion.isBlocked ? blockRetention : suspicionRetention;
        return now - suspicion.lastCrashAt > retention && now > suspicion.blockedUntil + retention;
    });
}

std::vector<PartVerdict> SuspectParts::verdicts(Instant now) const
{
    std::vector<PartVerdict> result;
    for (const auto& [part, suspicion] : suspicions_)
        result.push_back(verdictOf(suspicion.isBlocked ? PartState::Blocked : PartState::Suspected, part, suspicion, now));
    return result;
}

size_t SuspectParts::blockedCount() const
{
    return static_cast<size_t>(std::count_if(suspicions_.begin(), suspicions_.end(), [](const auto& entry) { return entry.second.isBlocked; }));
}

}
