#include "briarhitch/sched/CrashSuspects.h"

#include "sched/SuspectVerdicts.h"

#include <absl/hash/hash.h>
#include <algorithm>
#include <array>
#include <numeric>
#include <tuple>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // What it takes to block a suspect that no target answered before: two crashes, or four after a part of the answer.
    constexpr uint32_t strengthOfCrash = 2;
    constexpr uint32_t strengthOfCrashAfterProgress = 1;
    constexpr uint32_t enoughStrength = 4;
    constexpr uint32_t firstBlockCrashes = enoughStrength / strengthOfCrash;
    /** Of a part that crashes targets after a part of the answer, at least one of so many requests ends its target. */
    constexpr uint32_t maxAttemptsPerCrash = 3;
    /** Going on for longer than this times as long as until a crash, and this much more, shows that the crash had another cause. */
    constexpr int survivalFactor = 2;
    constexpr Duration survivalMargin = 1s;
    /** An attempt that still runs ends a block after this time: what it has outlived by then counts until it ends. */
    constexpr Duration minSurvivalOfBlock = 10s;
    /** A suspect that targets answered shortly before is in many requests, and breaks with each target that ends. */
    constexpr uint32_t crashesOfSoundSuspect = 5;
    constexpr Duration minTimeSinceSound = 2s;
    constexpr Duration soundRetention = 10s;
    /** An answer that arrives this shortly before a record of the log shows that the record is out of date. */
    constexpr Duration recordLag = 5s;
    /** Targets that end this close together have another cause in common, or are one target seen by several attempts. */
    constexpr Duration commonCauseInterval = 50ms;
    /** All attempts on a target that has ended break within this time. */
    constexpr Duration sameCrashInterval = 2s;

    // Time until a trial, by the number of crashes: short while a sound suspect may be blocked by chance, then so long that
    // few targets crash by trials.
    constexpr Duration firstBlock = 1s;
    constexpr Duration secondBlock = 4s;
    constexpr Duration thirdBlock = 15s;
    constexpr Duration longBlock = 60s;
    constexpr Duration maxBlock = 1h;
    constexpr uint32_t crashesUntilLongBlock = 5;

    // Time until a trial of a request that was never answered: by then the targets that it crashed are back; and once it has
    // crashed three, by the times that it was sent since.
    constexpr Duration firstBlockOfRequest = 4s;
    constexpr uint32_t freeCrashes = 3;
    constexpr std::array<Duration, 3> blockOfRequest { 30s, 10min, 1h };

    /** A trial that was neither answered nor broken by then does not hold up others. */
    constexpr Duration trialTimeout = 10s;
    constexpr Duration blockAfterUndecidedTrial = 500ms;

    constexpr Duration partSuspicionRetention = 60s;
    constexpr Duration partBlockRetention = 10min;
    /** The same request may come again after hours. */
    constexpr Duration requestSuspicionRetention = 24h;
    constexpr size_t maxSuspicions = 1024;
    constexpr size_t maxEvidence = 8;
    constexpr size_t maxRequestsOfCrash = 16;

    Duration distance(Instant left, Instant right)
    {
        return left > right ? left - right : right - left;
    }

    bool isSameEnd(const SuspectCrash& crash, TargetId target, Instant at)
    {
        return crash.target == target && distance(crash.at, at) < sameCrashInterval;
    }

    bool haveRequestInCommon(const SuspectCrash& left, const SuspectCrash& right)
    {
        return std::any_of(left.requests.begin(), left.requests.end(), [&](RequestDigest request) { return std::find(right.requests.begin(), right.requests.end(), request) != right.requests.end(); });
    }

    void addRequests(SuspectCrash& crash, const std::vector<RequestDigest>& requests)
    {
        for (auto request : requests) {
            if (crash.requests.size() < maxRequestsOfCrash && std::find(crash.requests.begin(), crash.requests.end(), request) == crash.requests.end())
                crash.requests.push_back(request);
        }
    }

    uint32_t strengthOf(const SuspectCrash& crash)
    {
        return crash.progress ? strengthOfCrashAfterProgress : strengthOfCrash;
    }

    /** The crashes of one request, and all that it connects, as one. */
    std::vector<SuspectCrash> independentCrashes(const std::deque<SuspectCrash>& crashes)
    {
        std::vector<SuspectCrash> groups;
        for (const auto& crash : crashes) {
            auto joined = crash;
            std::erase_if(groups, [&](const SuspectCrash& group) {
                bool isConnected = haveRequestInCommon(group, joined);
                if (isConnected) {
                    joined.requests.insert(joined.requests.end(), group.requests.begin(), group.requests.end());
                    if (strengthOf(group) > strengthOf(joined))
                        joined.progress.reset();
                }
                return isConnected;
            });
            groups.push_back(std::move(joined));
        }
        return groups;
    }

    uint32_t countIndependent(const std::deque<SuspectCrash>& crashes)
    {
        return static_cast<uint32_t>(independentCrashes(crashes).size());
    }

    template <class Crashes>
    uint32_t totalStrength(const Crashes& crashes)
    {
        return std::accumulate(crashes.begin(), crashes.end(), 0U, [](uint32_t sum, const SuspectCrash& crash) { return sum + strengthOf(crash); });
    }

    Duration blockTimeByCrashes(uint32_t crashes)
    {
        if (crashes <= firstBlockCrashes)
            return firstBlock;
        if (crashes == firstBlockCrashes + 1)
            return secondBlock;
        if (crashes < crashesUntilLongBlock)
            return thirdBlock;
        constexpr uint32_t maxDoublings = 6;
        return std::min<Duration>(maxBlock, longBlock * (1U << std::min(crashes - crashesUntilLongBlock, maxDoublings)));
    }

}

uint32_t CrashSuspects::crashCount(const Suspicion& suspicion)
{
    return suspicion.olderCrashes + countIndependent(suspicion.evidence);
}

const SoundHistory& CrashSuspects::soundHistoryOf(SuspectId id, bool crashesAfterStart) const
{
    if (id.kind == SuspectKind::Request)
        return answeredRequests_;
    return crashesAfterStart ? answeredParts_ : startedParts_;
}

bool CrashSuspects::isEnough(SuspectId id, const Suspicion& suspicion, Instant now) const
{
    const auto& sound = soundHistoryOf(id, suspicion.longestProgress.has_value());
    // A part of many requests breaks with each target that ends.
    if (suspicion.longestProgress && crashCount(suspicion) * maxAttemptsPerCrash < suspicion.attempts)
        return false;
    if (suspicion.wasSound || sound.isWithin(id, soundRetention, now))
        return crashCount(suspicion) >= crashesOfSoundSuspect && !sound.isWithin(id, minTimeSinceSound, now);
    auto listed = id.kind == SuspectKind::PromptPart ? totalStrength(independentCrashes(suspicion.evidence)) : totalStrength(suspicion.evidence);
    auto strengthOfOlder = id.kind == SuspectKind::PromptPart && suspicion.longestProgress ? strengthOfCrashAfterProgress : strengthOfCrash;
    return suspicion.olderCrashes * strengthOfOlder + listed >= enoughStrength;
}

bool CrashSuspects::isFinal(SuspectId id, const Suspicion& suspicion)
{
    return id.kind == SuspectKind::Request && !suspicion.wasSound && crashCount(suspicion) >= freeCrashes && suspicion.sendsAfterThirdCrash >= blockOfRequest.size();
}

Duration CrashSuspects::blockTime(SuspectId id, const Suspicion& suspicion)
{
    auto crashes = crashCount(suspicion);
    if (suspicion.wasSound)
        return blockTimeByCrashes(crashes - std::min(crashes, crashesOfSoundSuspect - firstBlockCrashes));
    // A block after four crashes that came late is a first one, but the next crash may be the last that callers can bear.
    if (id.kind == SuspectKind::PromptPart)
        return blockTimeByCrashes(suspicion.longestProgress ? crashes - std::min(crashes, 1U) : crashes);
    if (crashes < freeCrashes)
        return firstBlockOfRequest;
    return blockOfRequest[std::min<size_t>(suspicion.sendsAfterThirdCrash, blockOfRequest.size() - 1)];
}

bool CrashSuspects::isBlockedAt(SuspectId id, const Suspicion& suspicion, Instant now)
{
    bool isTrialRunning = suspicion.trial && now - suspicion.trialBeganAt < trialTimeout;
    return suspicion.isBlocked && (now < suspicion.blockedUntil || isTrialRunning || isFinal(id, suspicion));
}

SuspectVerdict CrashSuspects::verdictOf(SuspectState state, SuspectId id, const Suspicion& suspicion, Instant now)
{
    SuspectVerdict verdict { state, id, crashCount(suspicion), suspicion.sendsAfterThirdCrash, suspicion.wasSound, suspicion.longestProgress, { suspicion.evidence.begin(), suspicion.evidence.end() }, {} };
    verdict.attempts = suspicion.attempts;
    if (suspicion.isBlocked)
        verdict.blockedFor = std::max<Duration>(suspicion.blockedUntil - now, 0ms);
    return verdict;
}

CrashSuspects::Suspicion& CrashSuspects::findOrCreate(SuspectId id, Instant now)
{
    if (auto known = suspicions_.find(id); known != suspicions_.end())
        return known->second;
    if (suspicions_.size() >= maxSuspicions) {
        // A single crash may bring more parts than there is room for; the hash keeps others of them after the next one.
        auto weightOf = [now](const auto& entry) {
            const auto& [suspect, suspicion] = entry;
            return std::tuple(suspicion.isBlocked, suspicion.evidence.size(), suspicion.lastCrashAt, absl::HashOf(suspect, now.time_since_epoch().count()));
        };
        suspicions_.erase(std::min_element(suspicions_.begin(), suspicions_.end(), [&](const auto& left, const auto& right) { return weightOf(left) < weightOf(right); }));
    }
    auto& suspicion = suspicions_[id];
    suspicion.wasSound = soundHistoryOf(id, false).isWithin(id, soundRetention, now);
    return suspicion;
}

void CrashSuspects::addCrash(SuspectId id, Suspicion& suspicion, const SuspectCrash& crash, Instant now) const
{
    // The start of an answer, which shows that a part was sound so far, shows nothing of crashes after it.
    if (crash.progress && !suspicion.longestProgress && id.kind == SuspectKind::PromptPart)
        suspicion.wasSound = answeredParts_.isWithin(id, soundRetention, now);
    if (crash.progress)
        suspicion.longestProgress = std::max(suspicion.longestProgress.value_or(*crash.progress), *crash.progress);
    auto known = std::find_if(suspicion.evidence.begin(), suspicion.evidence.end(), [&](const SuspectCrash& earlier) {
        // Targets that run the same deadly request end together only by chance.
        bool hasCommonCause = (id.kind == SuspectKind::PromptPart || suspicion.wasSound) && distance(earlier.at, crash.at) < commonCauseInterval;
        return isSameEnd(earlier, crash.target, crash.at) || hasCommonCause;
    });
    if (known != suspicion.evidence.end()) {
        addRequests(*known, crash.requests);
        if (crash.progress)
            known->progress = std::min(known->progress.value_or(*crash.progress), *crash.progress);
        return;
    }
    suspicion.lastCrashAt = std::max(suspicion.lastCrashAt, crash.at);
    suspicion.evidence.push_back(crash);
    if (suspicion.evidence.size() <= maxEvidence)
        return;
    auto oldest = std::move(suspicion.evidence.front());
    suspicion.evidence.pop_front();
    bool isListedStill = std::any_of(suspicion.evidence.begin(), suspicion.evidence.end(), [&](const SuspectCrash& later) { return haveRequestInCommon(oldest, later); });
    suspicion.olderCrashes += isListedStill ? 0 : 1;
}

std::vector<SuspectVerdict> CrashSuspects::recordRequestCrash(RequestDigest request, TargetId target, Instant at, std::optional<Duration> progress, Instant now)
{
    return recordCrash(SuspectId(request), { target, at, progress, {} }, 0, now);
}

std::vector<SuspectVerdict> CrashSuspects::recordPartCrash(PromptPartId part, RequestDigest request, TargetId target, Instant at, std::optional<Duration> progress, uint32_t running, Instant now)
{
    return recordCrash(SuspectId(part), { target, at, progress, { request } }, running, now);
}

std::vector<SuspectVerdict> CrashSuspects::recordCrash(SuspectId id, const SuspectCrash& crash, uint32_t running, Instant now)
{
    auto& suspicion = findOrCreate(id, now);
    auto crashesBefore = crashCount(suspicion);
    if (id.kind == SuspectKind::PromptPart && crashesBefore == 0)
        suspicion.attempts = running + 1;
    bool wasTrial = suspicion.trial.has_value();
    suspicion.trial.reset();
    addCrash(id, suspicion, crash, now);
    auto crashes = crashCount(suspicion);
    if (crashes == crashesBefore)
        return {};
    if (crashes < crashesBefore)
        return unblockIfTooWeak(id, suspicion, now);
    // A trial was counted when it began.
    if (id.kind == SuspectKind::Request && crashesBefore >= freeCrashes && !wasTrial)
        ++suspicion.sendsAfterThirdCrash;
    suspicion.isBlocked = suspicion.isBlocked || isEnough(id, suspicion, now);
    if (!suspicion.isBlocked)
        return suspicion.wasSound ? std::vector<SuspectVerdict>() : std::vector { verdictOf(SuspectState::Suspected, id, suspicion, now) };
    suspicion.blockedUntil = now + blockTime(id, suspicion);
    return { verdictOf(SuspectState::Blocked, id, suspicion, now) };
}

std::vector<SuspectVerdict> CrashSuspects::unblockIfTooWeak(SuspectId id, Suspicion& suspicion, Instant now) const
{
    if (!suspicion.isBlocked || isEnough(id, suspicion, now))
        return {};
    std::vector<SuspectVerdict> cleared;
    unblock(id, suspicion, now, cleared);
    return cleared;
}

void CrashSuspects::explainCrash(TargetId target, Instant at)
{
    std::deque<SuspectCrash> explained;
    for (const auto& [id, suspicion] : suspicions_) {
        bool isCause = id.kind == SuspectKind::Request && suspicion.isBlocked
            && std::any_of(suspicion.evidence.begin(), suspicion.evidence.end(), [&](const SuspectCrash& crash) { return isSameEnd(crash, target, at); });
        if (isCause)
            explained.insert(explained.end(), suspicion.evidence.begin(), suspicion.evidence.end());
    }
    if (!explained.empty())
        removeExplained(explained);
}

void CrashSuspects::removeExplained(const std::deque<SuspectCrash>& explained)
{
    auto isExplained = [&](const SuspectCrash& crash) {
        return std::any_of(explained.begin(), explained.end(), [&](const SuspectCrash& known) { return isSameEnd(known, crash.target, crash.at); });
    };
    for (auto it = suspicions_.begin(); it != suspicions_.end();) {
        auto& [id, suspicion] = *it;
        bool isBystander = id.kind == SuspectKind::Request && !suspicion.isBlocked;
        if (isBystander)
            std::erase_if(suspicion.evidence, isExplained);
        it = isBystander && suspicion.evidence.empty() && suspicion.olderCrashes == 0 ? suspicions_.erase(it) : std::next(it);
    }
}

std::vector<SuspectVerdict> CrashSuspects::recordStart(const std::vector<SuspectId>& ids, Instant now)
{
    std::vector<SuspectVerdict> cleared;
    for (auto id : ids) {
        if (id.kind != SuspectKind::PromptPart)
            continue;
        startedParts_.remember(id, now);
        auto known = suspicions_.find(id);
        if (known == suspicions_.end())
            continue;
        ++known->second.attempts;
        if (!known->second.longestProgress)
            clear(id, now, cleared);
    }
    return cleared;
}

void CrashSuspects::withdrawAttempt(const std::vector<SuspectId>& ids)
{
    for (auto id : ids) {
        auto known = suspicions_.find(id);
        if (known != suspicions_.end() && known->second.attempts > 0)
            --known->second.attempts;
    }
}

std::vector<SuspectVerdict> CrashSuspects::recordSurvival(const std::vector<SuspectId>& ids, Duration survived, Instant now)
{
    std::vector<SuspectVerdict> cleared;
    if (survived < minSurvivalOfBlock)
        return cleared;
    for (auto id : ids) {
        auto known = suspicions_.find(id);
        if (id.kind != SuspectKind::PromptPart || known == suspicions_.end())
            continue;
        auto& suspicion = known->second;
        if (suspicion.isBlocked && suspicion.longestProgress && isOutlived(suspicion, survived))
            unblock(id, suspicion, now, cleared);
    }
    return cleared;
}

bool CrashSuspects::isOutlived(const Suspicion& suspicion, Duration survived)
{
    auto isLonger = [survived](Duration progress) { return survived > survivalFactor * progress + survivalMargin; };
    const auto& evidence = suspicion.evidence;
    if (evidence.empty())
        return isLonger(suspicion.longestProgress.value_or(Duration::zero()));
    return std::all_of(evidence.begin(), evidence.end(), [&](const SuspectCrash& crash) { return isLonger(crash.progress.value_or(Duration::zero())); });
}

bool CrashSuspects::hasPartsWithProgress() const
{
    return std::any_of(suspicions_.begin(), suspicions_.end(), [](const auto& entry) { return entry.first.kind == SuspectKind::PromptPart && entry.second.longestProgress; });
}

std::vector<SuspectVerdict> CrashSuspects::recordAnswer(const std::vector<SuspectId>& ids, Instant now)
{
    std::vector<SuspectVerdict> cleared;
    for (auto id : ids) {
        if (id.kind == SuspectKind::Request) {
            answeredRequests_.remember(id, now);
        } else {
            startedParts_.remember(id, now);
            answeredParts_.remember(id, now);
        }
        clear(id, now, cleared);
    }
    return cleared;
}

std::vector<SuspectVerdict> CrashSuspects::recordSettledAnswer(const std::vector<SuspectId>& ids, Instant now)
{
    std::vector<SuspectVerdict> cleared;
    for (auto id : ids) {
        if (id.kind != SuspectKind::PromptPart)
            continue;
        startedParts_.remember(id, now);
        answeredParts_.remember(id, now);
        auto known = suspicions_.find(id);
        if (known != suspicions_.end() && known->second.isBlocked)
            unblock(id, known->second, now, cleared);
    }
    return cleared;
}

std::vector<SuspectVerdict> CrashSuspects::removePartCrashes(const std::vector<SuspectId>& ids, Instant until, Instant now)
{
    std::vector<SuspectVerdict> cleared;
    for (auto id : ids) {
        auto known = suspicions_.find(id);
        if (id.kind != SuspectKind::PromptPart || known == suspicions_.end())
            continue;
        auto& suspicion = known->second;
        auto crashesBefore = crashCount(suspicion);
        auto removed = std::erase_if(suspicion.evidence, [until](const SuspectCrash& crash) { return crash.at <= until; });
        if (suspicion.evidence.empty()) {
            clear(id, now, cleared);
        } else if (removed > 0) {
            suspicion.olderCrashes = 0;
            suspicion.attempts = suspicion.attempts * crashCount(suspicion) / crashesBefore;
            append(cleared, unblockIfTooWeak(id, suspicion, now));
        }
    }
    return cleared;
}

std::vector<SuspectVerdict> CrashSuspects::withdrawCrash(TargetId target, Instant at, Instant now)
{
    std::vector<SuspectVerdict> cleared;
    for (auto it = suspicions_.begin(); it != suspicions_.end();) {
        auto& [id, suspicion] = *it;
        auto withdrawn = std::erase_if(suspicion.evidence, [&](const SuspectCrash& crash) { return isSameEnd(crash, target, at); });
        if (withdrawn > 0)
            append(cleared, unblockIfTooWeak(id, suspicion, now));
        it = withdrawn > 0 && suspicion.evidence.empty() && suspicion.olderCrashes == 0 ? suspicions_.erase(it) : std::next(it);
    }
    return cleared;
}

void CrashSuspects::unblock(SuspectId id, Suspicion& suspicion, Instant now, std::vector<SuspectVerdict>& cleared)
{
    cleared.push_back(verdictOf(SuspectState::Cleared, id, suspicion, now));
    suspicion.isBlocked = false;
    suspicion.trial.reset();
}

void CrashSuspects::clear(SuspectId id, Instant now, std::vector<SuspectVerdict>& cleared)
{
    auto known = suspicions_.find(id);
    if (known == suspicions_.end())
        return;
    if (known->second.isBlocked)
        cleared.push_back(verdictOf(SuspectState::Cleared, id, known->second, now));
    suspicions_.erase(known);
}

std::optional<SuspectVerdict> CrashSuspects::merge(const SuspectVerdict& verdict, Instant now)
{
    auto id = verdict.id;
    if (verdict.state == SuspectState::Cleared) {
        suspicions_.erase(id);
        return std::nullopt;
    }
    auto& suspicion = findOrCreate(id, now);
    bool wasBlocked = suspicion.isBlocked;
    for (const auto& crash : verdict.evidence)
        addCrash(id, suspicion, crash, now);
    if (verdict.longestProgress)
        suspicion.longestProgress = std::max(suspicion.longestProgress.value_or(*verdict.longestProgress), *verdict.longestProgress);
    auto listed = countIndependent(suspicion.evidence);
    suspicion.olderCrashes = std::max(suspicion.olderCrashes, verdict.crashes - std::min(verdict.crashes, listed));
    suspicion.sendsAfterThirdCrash = std::max(suspicion.sendsAfterThirdCrash, verdict.sendsAfterThirdCrash);
    suspicion.wasSound = suspicion.wasSound || verdict.wasSound;
    suspicion.attempts = std::max(suspicion.attempts, verdict.attempts);
    if (verdict.state == SuspectState::Blocked) {
        suspicion.isBlocked = true;
        suspicion.blockedUntil = std::max<Instant>(suspicion.blockedUntil, now + std::min(verdict.blockedFor, maxBlock));
    } else if (!wasBlocked && isEnough(id, suspicion, now)) {
        suspicion.isBlocked = true;
        suspicion.blockedUntil = now + blockTime(id, suspicion);
    }
    if (!suspicion.isBlocked)
        return std::nullopt;
    return verdictOf(SuspectState::Blocked, id, suspicion, now);
}

void CrashSuspects::adopt(const SuspectRecord& record, Instant now)
{
    if (soundHistoryOf(record.id, record.longestProgressMs.has_value()).isWithin(record.id, recordLag, now))
        return;
    std::optional<Duration> longestProgress;
    if (record.longestProgressMs)
        longestProgress = std::chrono::milliseconds(*record.longestProgressMs);
    bool isKnown = suspicions_.contains(record.id) && suspicions_.at(record.id).isBlocked;
    merge({ SuspectState::Blocked, record.id, record.crashes, record.sendsAfterThirdCrash, record.wasSound, longestProgress, {}, {} }, now);
    // How long ago the block began is not known; a node that learns of it only now waits for its whole length.
    if (!isKnown)
        suspicions_.at(record.id).blockedUntil = now + blockTime(record.id, suspicions_.at(record.id));
}

std::optional<SuspectBlock> CrashSuspects::findBlock(const std::vector<SuspectId>& ids, Instant now) const
{
    for (auto id : ids) {
        auto known = suspicions_.find(id);
        if (known == suspicions_.end() || !isBlockedAt(id, known->second, now))
            continue;
        auto remaining = isFinal(id, known->second) ? maxBlock : std::max<Duration>(known->second.blockedUntil - now, blockAfterUndecidedTrial);
        return SuspectBlock { id, crashCount(known->second), remaining };
    }
    return std::nullopt;
}

std::optional<SuspectBlock> CrashSuspects::findBlockWithoutTrial(const std::vector<SuspectId>& ids, Instant now) const
{
    if (auto block = findBlock(ids, now))
        return block;
    for (auto id : ids) {
        auto known = suspicions_.find(id);
        if (known != suspicions_.end() && known->second.isBlocked)
            return SuspectBlock { id, crashCount(known->second), firstBlock };
    }
    return std::nullopt;
}

bool CrashSuspects::needsTrial(const std::vector<SuspectId>& ids) const
{
    return std::any_of(ids.begin(), ids.end(), [this](SuspectId id) {
        auto known = suspicions_.find(id);
        return known != suspicions_.end() && known->second.isBlocked;
    });
}

bool CrashSuspects::hasSuspect(const std::vector<SuspectId>& ids) const
{
    return std::any_of(ids.begin(), ids.end(), [this](SuspectId id) {
        auto known = suspicions_.find(id);
        return known != suspicions_.end() && !soundHistoryOf(id, known->second.longestProgress.has_value()).contains(id);
    });
}

std::vector<SuspectVerdict> CrashSuspects::beginTrial(const std::vector<SuspectId>& ids, AttemptId attempt, Instant now)
{
    std::vector<SuspectVerdict> counted;
    for (auto id : ids) {
        auto known = suspicions_.find(id);
        if (known == suspicions_.end() || !known->second.isBlocked)
            continue;
        auto& suspicion = known->second;
        suspicion.trial = attempt;
        suspicion.trialBeganAt = now;
        if (id.kind == SuspectKind::Request && crashCount(suspicion) >= freeCrashes) {
            ++suspicion.sendsAfterThirdCrash;
            suspicion.blockedUntil = now + blockTime(id, suspicion);
            counted.push_back(verdictOf(SuspectState::Blocked, id, suspicion, now));
        }
    }
    return counted;
}

void CrashSuspects::endTrial(const std::vector<SuspectId>& ids, AttemptId attempt, bool isUnsent, Instant now)
{
    for (auto id : ids) {
        auto known = suspicions_.find(id);
        if (known == suspicions_.end() || known->second.trial != attempt)
            continue;
        auto& suspicion = known->second;
        suspicion.trial.reset();
        bool wasCounted = id.kind == SuspectKind::Request && crashCount(suspicion) >= freeCrashes && suspicion.sendsAfterThirdCrash > 0;
        if (wasCounted && !isUnsent)
            continue;
        if (wasCounted)
            --suspicion.sendsAfterThirdCrash;
        suspicion.blockedUntil = now + blockAfterUndecidedTrial;
    }
}

void CrashSuspects::tick(Instant now)
{
    std::erase_if(suspicions_, [now](const auto& entry) {
        const auto& [id, suspicion] = entry;
        if (id.kind == SuspectKind::Request)
            return !suspicion.isBlocked && now - suspicion.lastCrashAt > requestSuspicionRetention;
        auto retention = suspicion.isBlocked ? partBlockRetention : partSuspicionRetention;
        return now - suspicion.lastCrashAt > retention && now > suspicion.blockedUntil + retention;
    });
}

std::vector<SuspectVerdict> CrashSuspects::verdicts(Instant now, size_t limit) const
{
    std::vector<std::pair<SuspectId, const Suspicion*>> sorted;
    for (const auto& [id, suspicion] : suspicions_)
        sorted.emplace_back(id, &suspicion);
    auto weightOf = [](const auto& entry) { return std::tuple(entry.second->isBlocked, entry.second->evidence.size(), entry.second->lastCrashAt); };
    std::stable_sort(sorted.begin(), sorted.end(), [&](const auto& left, const auto& right) { return weightOf(left) > weightOf(right); });
    sorted.resize(std::min(sorted.size(), limit));
    std::vector<SuspectVerdict> result;
    result.reserve(sorted.size());
    for (const auto& [id, suspicion] : sorted)
        result.push_back(verdictOf(suspicion->isBlocked ? SuspectState::Blocked : SuspectState::Suspected, id, *suspicion, now));
    return result;
}

size_t CrashSuspects::blockedCount() const
{
    return static_cast<size_t>(std::count_if(suspicions_.begin(), suspicions_.end(), [](const auto& entry) { return entry.second.isBlocked; }));
}

}
