#include "briarhitch/sched/CrashWatch.h"

#include "sched/SuspectVerdicts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** All attempts on a target that has ended break within this time, and it starts again later than that. */
    constexpr Duration sameEndInterval = 2s;
    /** A target that has ended answers nothing for longer than this, also through a proxy that keeps its connections. */
    constexpr Duration minDownTime = 1s;
    /** The list of targets may show an end that was noticed before. */
    constexpr Duration endRetention = 10s;
    /** Reports of different entries about one end differ by this much at most. */
    constexpr Duration settleTime = 100ms;
    /** Time in which a target that has closed a single connection answers others. */
    constexpr Duration silentAttemptsDelay = 500ms;
    /** Latency between the entries that report an answer and an end. */
    constexpr Duration reportMargin = 50ms;
    /** An attempt that was given up no longer than this before its target ended may have been the cause. */
    constexpr Duration givenUpBeforeBreak = 1s;
    // The list of targets shows an end this late.
    constexpr Duration minListLag = 3s;
    constexpr Duration listLag = 6s;
    constexpr Duration survivalCheckInterval = 250ms;
    /** A target that crashes by a part of a prompt whose answer it has completed does so within this time. */
    constexpr Duration answerSettleTime = 1s;
    constexpr size_t maxGivenUp = 1024;
    constexpr size_t maxAnswered = 4096;
    constexpr size_t maxEnds = 512;

}

void CrashWatch::attemptGranted(AttemptId attempt, std::vector<SuspectId> ids, TargetId target, bool isStarted, Instant now)
{
    running_[attempt] = { std::move(ids), target, now, isStarted ? std::optional(now) : std::nullopt };
}

std::vector<SuspectVerdict> CrashWatch::attemptStarted(AttemptId attempt, Duration connectionAge, Instant now)
{
    std::vector<SuspectVerdict> verdicts;
    auto it = running_.find(attempt);
    if (it == running_.end())
        return verdicts;
    if (!it->second.startedAt)
        it->second.startedAt = now;
    recordLife(it->second.target, connectionAge, now, verdicts);
    append(verdicts, suspects_.recordStart(it->second.ids, now));
    return verdicts;
}

std::vector<SuspectVerdict> CrashWatch::attemptEnded(AttemptId attempt, AttemptEnd end, Duration connectionAge, bool isTargetLeaving, Instant now)
{
    std::vector<SuspectVerdict> verdicts;
    auto it = running_.find(attempt);
    if (it == running_.end())
        return verdicts;
    auto ended = std::move(it->second);
    running_.erase(it);
    if (end == AttemptEnd::Answered) {
        recordLife(ended.target, connectionAge, now, verdicts);
        if (isTargetLeaving)
            append(verdicts, suspects_.recordAnswer(ended.ids, now));
        else
            recordAnswer(std::move(ended), now, verdicts);
        return verdicts;
    }
    suspects_.endTrial(ended.ids, attempt, end == AttemptEnd::Unsent, now);
    if (ended.startedAt && (end != AttemptEnd::Broken || isTargetLeaving))
        suspects_.withdrawAttempt(ended.ids);
    if (end == AttemptEnd::Unsent || isTargetLeaving)
        return verdicts;
    if (end == AttemptEnd::Broken) {
        auto* known = findEnd(ended.target, sameEndInterval, now);
        auto& targetEnd = known ? *known : addEnd(ended.target, givenUpBeforeBreak, now, verdicts);
        addEvidence(targetEnd, ended, now, verdicts);
        return verdicts;
    }
    givenUp_.push_back({ std::move(ended), now });
    if (givenUp_.size() > maxGivenUp)
        givenUp_.pop_front();
    return verdicts;
}

void CrashWatch::recordAnswer(Attempt answered, Instant now, std::vector<SuspectVerdict>& verdicts)
{
    auto isRequest = [](SuspectId id) { return id.kind == SuspectKind::Request; };
    std::vector<SuspectId> requests;
    std::copy_if(answered.ids.begin(), answered.ids.end(), std::back_inserter(requests), isRequest);
    append(verdicts, suspects_.recordAnswer(requests, now));
    if (requests.size() == answered.ids.size())
        return;
    answered.isAnswered = true;
    if (auto* end = findEnd(answered.target, reportMargin, now)) {
        addEvidence(*end, answered, now, verdicts);
        return;
    }
    answered_.push_back({ std::move(answered), now });
    if (answered_.size() > maxAnswered)
        removeOldestAnswer(now, verdicts);
}

void CrashWatch::settleAnswers(Instant now, std::vector<SuspectVerdict>& verdicts)
{
    for (auto& answered : answered_) {
        if (now - answered.at < answerSettleTime)
            break;
        if (answered.isSettled)
            continue;
        auto life = lives_.find(answered.attempt.target);
        if (life != lives_.end() && life->second.since <= answered.at && life->second.until >= answered.at + answerSettleTime)
            settle(answered, now, verdicts);
    }
    while (!answered_.empty() && now - answered_.front().at >= listLag)
        removeOldestAnswer(now, verdicts);
    std::erase_if(lives_, [now](const auto& entry) { return now - entry.second.until >= listLag; });
}

void CrashWatch::settle(EndedAttempt& answered, Instant now, std::vector<SuspectVerdict>& verdicts)
{
    if (!std::exchange(answered.isSettled, true))
        append(verdicts, suspects_.recordSettledAnswer(answered.attempt.ids, now));
}

void CrashWatch::removeOldestAnswer(Instant now, std::vector<SuspectVerdict>& verdicts)
{
    auto& oldest = answered_.front();
    settle(oldest, now, verdicts);
    append(verdicts, suspects_.removePartCrashes(oldest.attempt.ids, oldest.at, now));
    answered_.pop_front();
}

std::vector<SuspectVerdict> CrashWatch::targetRefused(TargetId target, Instant now)
{
    std::vector<SuspectVerdict> verdicts;
    if (!findEnd(target, sameEndInterval, now))
        addEnd(target, givenUpBeforeBreak, now, verdicts);
    return verdicts;
}

std::vector<SuspectVerdict> CrashWatch::targetReplaced(TargetId target, Instant now)
{
    std::vector<SuspectVerdict> verdicts;
    if (findEnd(target, endRetention, now))
        return verdicts;
    auto& end = addEnd(target, listLag, now, verdicts);
    judgeSilentAttempts(end, now - minListLag, now, verdicts);
    return verdicts;
}

CrashWatch::TargetEnd* CrashWatch::findEnd(TargetId target, Duration within, Instant now)
{
    auto known = std::find_if(ends_.rbegin(), ends_.rend(), [&](const TargetEnd& end) { return end.target == target && now - end.at < within; });
    return known == ends_.rend() ? nullptr : &*known;
}

CrashWatch::TargetEnd& CrashWatch::addEnd(TargetId target, Duration givenUpWithin, Instant now, std::vector<SuspectVerdict>& verdicts)
{
    if (ends_.size() >= maxEnds)
        ends_.pop_front();
    auto& end = ends_.emplace_back(TargetEnd { target, now });
    lives_.erase(target);
    for (const auto& givenUp : givenUp_) {
        if (givenUp.attempt.target == target && now - givenUp.at < givenUpWithin)
            addEvidence(end, givenUp.attempt, now, verdicts);
    }
    std::erase_if(givenUp_, [&](const EndedAttempt& givenUp) { return givenUp.attempt.target == target; });
    addAnsweredEvidence(end, now, verdicts);
    return end;
}

void CrashWatch::addAnsweredEvidence(const TargetEnd& end, Instant now, std::vector<SuspectVerdict>& verdicts)
{
    // An idle target may have ended long before it was noticed, but not before its last answer.
    Instant lastAnswerAt {};
    for (const auto& answered : answered_) {
        if (answered.attempt.target == end.target)
            lastAnswerAt = answered.at;
    }
    for (const auto& answered : answered_) {
        if (answered.attempt.target == end.target && lastAnswerAt - answered.at < answerSettleTime)
            addEvidence(end, answered.attempt, now, verdicts);
    }
    std::erase_if(answered_, [&](const EndedAttempt& answered) { return answered.attempt.target == end.target; });
}

std::optional<Duration> CrashWatch::progressUntil(const TargetEnd& end, const Attempt& attempt)
{
    if (!attempt.startedAt)
        return std::nullopt;
    return std::max<Duration>(end.at - *attempt.startedAt, Duration::zero());
}

std::map<SuspectId, uint32_t> CrashWatch::countRunning(const Attempt& ended) const
{
    std::map<SuspectId, uint32_t> counts;
    for (auto id : ended.ids)
        counts.emplace(id, 0);
    for (const auto& [id, attempt] : running_) {
        if (!attempt.startedAt)
            continue;
        for (auto part : attempt.ids) {
            if (auto count = counts.find(part); count != counts.end())
                ++count->second;
        }
    }
    return counts;
}

void CrashWatch::addEvidence(const TargetEnd& end, const Attempt& attempt, Instant now, std::vector<SuspectVerdict>& verdicts)
{
    RequestDigest request;
    auto progress = progressUntil(end, attempt);
    auto running = progress ? countRunning(attempt) : std::map<SuspectId, uint32_t>();
    for (auto id : attempt.ids) {
        if (id.kind == SuspectKind::Request) {
            request = RequestDigest(id.value);
            if (!attempt.isAnswered)
                append(verdicts, suspects_.recordRequestCrash(request, end.target, end.at, progress, now));
            continue;
        }
        PromptPartId part(id.value);
        append(verdicts, suspects_.recordPartCrash(part, request, end.target, end.at, progress, progress ? running.at(id) : 0, now));
    }
}

void CrashWatch::judgeSilentAttempts(TargetEnd& end, Instant grantedUntil, Instant now, std::vector<SuspectVerdict>& verdicts)
{
    end.areSilentAttemptsJudged = true;
    std::vector<Attempt> silent;
    for (const auto& [id, attempt] : running_) {
        if (attempt.target == end.target && attempt.grantedAt <= grantedUntil)
            silent.push_back(attempt);
    }
    for (const auto& attempt : silent)
        addEvidence(end, attempt, now, verdicts);
}

void CrashWatch::recordLife(TargetId target, Duration connectionAge, Instant now, std::vector<SuspectVerdict>& verdicts)
{
    auto openedAt = now - connectionAge;
    auto& life = lives_.try_emplace(target, Life { openedAt, now }).first->second;
    if (now - life.until >= minDownTime)
        life.since = openedAt;
    life = { std::min(life.since, openedAt), now };
    for (auto it = ends_.begin(); it != ends_.end();) {
        bool wasAliveSince = it->target == target && openedAt + reportMargin < it->at && it->at + reportMargin < now && now < it->at + minDownTime;
        if (wasAliveSince)
            append(verdicts, suspects_.withdrawCrash(target, it->at, now));
        it = wasAliveSince ? ends_.erase(it) : std::next(it);
    }
}

void CrashWatch::recordSurvivals(Instant now, std::vector<SuspectVerdict>& verdicts)
{
    if (now < nextSurvivalCheck_)
        return;
    nextSurvivalCheck_ = now + survivalCheckInterval;
    if (!suspects_.hasPartsWithProgress())
        return;
    for (const auto& [id, attempt] : running_) {
        if (attempt.startedAt && !findEnd(attempt.target, sameEndInterval, now))
            append(verdicts, suspects_.recordSurvival(attempt.ids, now - *attempt.startedAt, now));
    }
}

std::vector<SuspectVerdict> CrashWatch::tick(Instant now)
{
    std::vector<SuspectVerdict> verdicts;
    recordSurvivals(now, verdicts);
    for (auto& end : ends_) {
        if (!end.isSettled && now - end.at >= settleTime) {
            end.isSettled = true;
            suspects_.explainCrash(end.target, end.at);
        }
        if (!end.areSilentAttemptsJudged && now - end.at >= silentAttemptsDelay)
            judgeSilentAttempts(end, end.at, now, verdicts);
    }
    while (!ends_.empty() && now - ends_.front().at >= endRetention)
        ends_.pop_front();
    settleAnswers(now, verdicts);
    while (!givenUp_.empty() && now - givenUp_.front().at >= listLag)
        givenUp_.pop_front();
    suspects_.tick(now);
    return verdicts;
}

}
