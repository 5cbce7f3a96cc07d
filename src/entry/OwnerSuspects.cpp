#include "briarhitch/entry/OwnerSuspects.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "entry/SuspectNotices.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <utility>

namespace briarhitch {

namespace {

    constexpr size_t maxNotices = 256;

    const Log& suspectLog()
    {
        static const Log log("pool:");
        return log;
    }

    std::string kindLabel(SuspectId id)
    {
        return id.kind == SuspectKind::Request ? "kind=\"request\"" : "kind=\"part\"";
    }

}

OwnerSuspects::OwnerSuspects(MetricRegistry& metrics, OwnerSuspectsHooks hooks)
    : metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

std::optional<SuspectBlock> OwnerSuspects::admit(const GrantRequest& request)
{
    auto ids = suspectsOf(request);
    auto now = hooks_.now();
    auto& suspects = watch_.suspects();
    if (auto block = suspects.findBlock(ids, now)) {
        metrics_.count("pool_suspect_refusals_total", kindLabel(block->id));
        return block;
    }
    if (suspects.needsTrial(ids)) {
        suspectLog().event("suspect on trial", { { "attempt", toString(request.attempt) }, { "request_digest", toString(request.digest) } });
        metrics_.count("pool_suspect_trials_total");
        publish(suspects.beginTrial(ids, request.attempt, now));
    }
    return std::nullopt;
}

std::optional<SuspectBlock> OwnerSuspects::findBlock(const GrantRequest& request) const
{
    return watch_.suspects().findBlock(suspectsOf(request), hooks_.now());
}

bool OwnerSuspects::mayCrashTarget(const GrantRequest& request) const
{
    return watch_.suspects().hasSuspect(suspectsOf(request));
}

bool OwnerSuspects::takeNewBlock()
{
    return std::exchange(hasNewBlock_, false);
}

void OwnerSuspects::attemptGranted(const GrantRequest& request, TargetId target, bool isStarted)
{
    watch_.attemptGranted(request.attempt, suspectsOf(request), target, isStarted, hooks_.now());
}

void OwnerSuspects::attemptStarted(const AttemptStarted& started)
{
    publish(watch_.attemptStarted(started.attempt, std::chrono::milliseconds(started.connectionAgeMs), hooks_.now()));
}

void OwnerSuspects::attemptFinished(const GrantRequest& request, const AttemptFinished& finished, TargetId target, bool isTargetLeaving)
{
    if (finished.hasTargetClosed) {
        rememberName(target);
        suspectLog().event("target broke off", { { "target", hooks_.targetName(target) }, { "attempt", toString(finished.attempt) }, { "request_digest", toString(request.digest) }, { "prompt_parts", partsText(request) }, { "leaving", int64_t(isTargetLeaving) } });
        metrics_.count("pool_broken_attempts_total");
    }
    auto now = hooks_.now();
    publish(watch_.attemptEnded(finished.attempt, endOf(finished), std::chrono::milliseconds(finished.connectionAgeMs), isTargetLeaving, now));
    if (finished.hasRefusedConnection && !isTargetLeaving)
        publish(watch_.targetRefused(target, now));
}

void OwnerSuspects::attemptCancelled(const GrantRequest& request, bool isUnsent)
{
    auto now = hooks_.now();
    publish(watch_.attemptEnded(request.attempt, isUnsent ? AttemptEnd::Unsent : AttemptEnd::Unanswered, Duration::zero(), false, now));
    // A trial that waited for a target is not watched yet.
    watch_.suspects().endTrial(suspectsOf(request), request.attempt, isUnsent, now);
}

void OwnerSuspects::merge(const PoolSync& sync)
{
    auto now = hooks_.now();
    std::vector<SuspectVerdict> changed;
    for (const auto& notice : sync.suspects) {
        bool wasBlocked = watch_.suspects().needsTrial({ notice.id });
        auto verdict = watch_.suspects().merge(toVerdict(notice, now), now);
        if (verdict && !wasBlocked)
            changed.push_back(std::move(*verdict));
    }
    publish(changed);
}

void OwnerSuspects::onConfigChange(const ClusterConfig& config)
{
    auto now = hooks_.now();
    for (const auto& [id, record] : config.suspects) {
        auto known = recorded_.find(id);
        if (known == recorded_.end() || known->second != record)
            watch_.suspects().adopt(record, now);
    }
    for (const auto& [id, record] : recorded_) {
        // The crashes outlast a block that this owner has ended itself.
        if (!config.suspects.contains(id) && watch_.suspects().needsTrial({ id }))
            watch_.suspects().erase(id);
    }
    recorded_ = config.suspects;
    std::map<TargetId, uint64_t> active;
    for (const auto& [id, target] : config.targets) {
        if (target.state == TargetState::Active)
            active.emplace(id, target.incarnationStartMs);
    }
    for (const auto& [id, startMs] : activeTargets_) {
        auto listed = config.targets.find(id);
        bool isReplaced = listed == config.targets.end() || (startMs > 0 && listed->second.incarnationStartMs > startMs);
        if (isReplaced)
            publish(watch_.targetReplaced(id, now));
    }
    activeTargets_ = std::move(active);
}

void OwnerSuspects::rememberName(TargetId target)
{
    constexpr size_t maxNames = 512;
    if (endedTargets_.size() >= maxNames)
        endedTargets_.erase(endedTargets_.begin());
    endedTargets_[target] = hooks_.targetName(target);
}

std::string OwnerSuspects::nameOf(TargetId target) const
{
    auto known = endedTargets_.find(target);
    return known == endedTargets_.end() ? hooks_.targetName(target) : known->second;
}

void OwnerSuspects::tick()
{
    publish(watch_.tick(hooks_.now()));
}

std::vector<SuspectNotice> OwnerSuspects::blockedNotices() const
{
    std::vector<SuspectNotice> notices;
    auto now = hooks_.now();
    for (const auto& verdict : watch_.suspects().verdicts(now, maxNotices)) {
        if (verdict.state == SuspectState::Blocked)
            notices.push_back(toNotice(verdict, now));
    }
    return notices;
}

void OwnerSuspects::publishGauges() const
{
    metrics_.setGauge("pool_blocked_suspects", {}, static_cast<double>(watch_.suspects().blockedCount()));
    metrics_.setGauge("pool_suspects", {}, static_cast<double>(watch_.suspects().size()));
}

void OwnerSuspects::publish(const std::vector<SuspectVerdict>& verdicts)
{
    for (const auto& verdict : verdicts) {
        log(verdict);
        metrics_.count("pool_suspect_verdicts_total", absl::StrCat(kindLabel(verdict.id), ",state=\"", std::string(toString(verdict.state)), "\""));
        if (verdict.state == SuspectState::Suspected)
            continue;
        hasNewBlock_ = hasNewBlock_ || verdict.state == SuspectState::Blocked;
        hooks_.notifyEntries(toNotice(verdict, hooks_.now()));
        if (!isRecorded(verdict))
            hooks_.record(verdict);
    }
}

void OwnerSuspects::log(const SuspectVerdict& verdict) const
{
    auto targets = absl::StrJoin(verdict.evidence, ",", [this](std::string* text, const SuspectCrash& crash) { text->append(nameOf(crash.target)); });
    suspectLog().event(verdictName(verdict), { { "suspect", toString(verdict.id) }, { "crashes", int64_t(verdict.crashes) }, { "sends_after_third_crash", int64_t(verdict.sendsAfterThirdCrash) }, { "targets", targets }, { "longest_progress_ms", verdict.longestProgress ? toMs(*verdict.longestProgress) : int64_t(-1) }, { "blocked_ms", toMs(verdict.blockedFor) } });
}

bool OwnerSuspects::isRecorded(const SuspectVerdict& verdict) const
{
    auto known = recorded_.find(verdict.id);
    if (verdict.state == SuspectState::Cleared || known == recorded_.end())
        return false;
    return known->second.crashes >= verdict.crashes && known->second.sendsAfterThirdCrash >= verdict.sendsAfterThirdCrash;
}

}
