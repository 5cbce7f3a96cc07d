#include "briarhitch/entry/EntrySuspects.h"

#include "briarhitch/core/Log.h"
#include "entry/SuspectNotices.h"

namespace briarhitch {

namespace {

    /** Of each kind of knowledge; keeps the message to a new owner small. */
    constexpr size_t maxNotices = 256;

}

std::optional<SuspectBlock> EntrySuspects::findBlock(const GrantRequest& request, bool isLocal) const
{
    auto ids = suspectsOf(request);
    if (!isLocal)
        return told_.findBlock(ids, now_());
    // Only owners try what is blocked; entries without an owner would each crash targets of their own.
    auto block = told_.findBlockWithoutTrial(ids, now_());
    return block ? block : own_.suspects().findBlockWithoutTrial(ids, now_());
}

bool EntrySuspects::mayCrashTarget(const GrantRequest& request) const
{
    return own_.suspects().hasSuspect(suspectsOf(request));
}

void EntrySuspects::attemptGranted(const GrantRequest& request, TargetId target)
{
    own_.attemptGranted(request.attempt, suspectsOf(request), target, false, now_());
}

void EntrySuspects::attemptStarted(const GrantRequest& request, const AttemptStarted& started)
{
    log(own_.attemptStarted(started.attempt, std::chrono::milliseconds(started.connectionAgeMs), now_()));
    (void)told_.recordStart(suspectsOf(request), now_());
}

void EntrySuspects::attemptFinished(const GrantRequest& request, const AttemptFinished& finished, TargetId target, bool isTargetLeaving)
{
    auto end = endOf(finished);
    log(own_.attemptEnded(finished.attempt, end, std::chrono::milliseconds(finished.connectionAgeMs), isTargetLeaving, now_()));
    if (end == AttemptEnd::Answered)
        (void)told_.recordAnswer(suspectsOf(request), now_());
    if (finished.hasRefusedConnection && !isTargetLeaving)
        log(own_.targetRefused(target, now_()));
}

void EntrySuspects::onNotice(const SuspectNotice& notice)
{
    (void)told_.merge(toVerdict(notice, now_()), now_());
    if (notice.state == SuspectState::Cleared)
        own_.suspects().erase(notice.id);
}

void EntrySuspects::onConfigChange(const ClusterConfig& config)
{
    for (const auto& [id, record] : config.suspects) {
        auto known = recorded_.find(id);
        if (known == recorded_.end() || known->second != record)
            told_.adopt(record, now_());
    }
    for (const auto& [id, record] : recorded_) {
        if (config.suspects.contains(id))
            continue;
        told_.erase(id);
        own_.suspects().erase(id);
    }
    recorded_ = config.suspects;
}

void EntrySuspects::tick()
{
    told_.tick(now_());
    log(own_.tick(now_()));
}

std::vector<SuspectNotice> EntrySuspects::noticesForOwner() const
{
    std::vector<SuspectNotice> notices;
    for (const auto* suspects : { &told_, &own_.suspects() }) {
        for (const auto& verdict : suspects->verdicts(now_(), maxNotices))
            notices.push_back(toNotice(verdict, now_()));
    }
    return notices;
}

void EntrySuspects::log(const std::vector<SuspectVerdict>& verdicts)
{
    static const Log log("pool:");
    for (const auto& verdict : verdicts) {
        // The owner logs each request that ran on a target which ended.
        if (verdict.state != SuspectState::Suspected)
            log.event(verdictName(verdict) + " by this entry", { { "suspect", toString(verdict.id) }, { "crashes", int64_t(verdict.crashes) } });
    }
}

}
