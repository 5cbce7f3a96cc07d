#include "briarhitch/entry/PoolClient.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "entry/PoolRequests.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** As long as owners remember which target had a repeat key. */
    constexpr Duration repeatMemory = 10min;
    constexpr size_t maxRecentRepeats = 20000;
    /** Callers spread unevenly over the entries, and targets queue a little beyond their slots. */
    constexpr double aloneFactor = 1.5;
    /** How often a silent owner is asked once more. */
    constexpr Duration probeInterval = 200ms;

    /** The error of a request that waited and was not granted a target; no time to come back if that is zero. */
    Error refusal(ErrorKind kind, const std::string& reason, Duration retryAfter)
    {
        auto error = makeError(kind, reason);
        error.ran = Ran::No;
        if (retryAfter > Duration::zero())
            error.retryAfter = retryAfter;
        return error;
    }

    std::string_view kindWord(PoolKind kind)
    {
        return kind == PoolKind::Model ? "model:" : "service:";
    }

    uint32_t msLeft(Instant deadline, Instant now)
    {
        return static_cast<uint32_t>(std::clamp<int64_t>(toMs(deadline - now), 0, UINT32_MAX));
    }

}

struct PoolClient::Pending {
    Pending(Loop& loop, Ask askToSend, Instant deadlineToMeet)
        : ask(std::move(askToSend))
        , deadline(deadlineToMeet)
        , decided(loop)
    {
    }

    void decide(Result<Grant> outcome)
    {
        if (decided.isSet())
            return;
        result = std::move(outcome);
        decided.set();
    }

    Ask ask;
    Instant deadline;
    Instant askedAt {};
    /** The owner has said that the ask waits there. */
    bool isQueued { false };
    FiberEvent decided;
    Result<Grant> result { fail(ErrorKind::DeadlineUnreachable, "no target became free before the deadline") };
};

PoolClient::PoolClient(Loop& loop, PoolClientSettings settings, const ClusterView& view, NodeTransport& transport, ClockHook now)
    : loop_(loop)
    , settings_(std::move(settings))
    , view_(view)
    , transport_(transport)
    , now_(std::move(now))
{
}

PoolClient::~PoolClient() = default;

Result<PoolId> PoolClient::findPool(PoolKind kind, const std::string& serves) const
{
    std::string prefix = std::string(kindWord(kind)) + serves + "@";
    for (const auto& scope : { settings_.zone, settings_.region }) {
        if (const auto* pool = view_.findPool(prefix + scope))
            return pool->id;
    }
    // Another region's pool is better than none.
    for (const auto& [id, pool] : view_.config().pools) {
        if (pool.kind == kind && pool.name.starts_with(prefix) && pool.name.size() == prefix.size() + pool.scope.size())
            return id;
    }
    if (kind == PoolKind::Model)
        return fail(ErrorKind::UnknownModel, "no target serves this model");
    return fail(ErrorKind::NotFound, "no such service");
}

Result<Grant> PoolClient::acquire(const Ask& ask, Instant deadline)
{
    auto& state = pools_[ask.pool];
    if (!settings_.soloAfter && isOwnerOverdue(state))
        return tl::unexpected(ownerMissing());
    auto pending = std::make_shared<Pending>(loop_, ask, deadline);
    pending->askedAt = now_();
    pending_[ask.attempt] = pending;
    if (mustChooseAlone(state))
        submitSolo(*pending);
    else
        sendAsk(*pending);
    pending->decided.waitFor(std::max<Duration>(deadline - now_(), 0ms));
    pending_.erase(ask.attempt);
    if (!pending->decided.isSet()) {
        postToOwner(ask.pool, MessageType::Cancel, Cancel { ask.pool, ask.attempt });
        leaveSolo(ask.pool, ask.attempt);
    }
    return pending->result;
}

void PoolClient::abandon(AttemptId attempt)
{
    auto it = pending_.find(attempt);
    if (it == pending_.end())
        return;
    auto pending = it->second;
    if (pending->decided.isSet())
        return;
    pending_.erase(it);
    postToOwner(pending->ask.pool, MessageType::Cancel, Cancel { pending->ask.pool, attempt });
    leaveSolo(pending->ask.pool, attempt);
    auto left = makeError(ErrorKind::CallerLeft, "the caller left the queue");
    left.ran = Ran::No;
    pending->decide(tl::unexpected(left));
}

bool PoolClient::isCurrent(const Grant& grant) const
{
    // This entry's own choice needs no owner's epoch.
    if (!grant.epoch.isValid())
        return settings_.soloAfter.has_value();
    auto it = pools_.find(grant.pool);
    return it != pools_.end() && grant.epoch >= it->second.epoch;
}

void PoolClient::release(const Grant& grant)
{
    running_.erase(grant.attempt);
    leaveSolo(grant.pool, grant.attempt);
    postToOwner(grant.pool, MessageType::Cancel, Cancel { grant.pool, grant.attempt });
}

void PoolClient::started(const Started& started)
{
    auto it = running_.find(started.attempt);
    if (it == running_.end())
        return;
    it->second.started = true;
    if (soloAttempts_.contains(started.attempt)) {
        soloScheduler(started.pool).attemptStarted(started.attempt, std::chrono::milliseconds(started.firstTokenMs), now_());
        flushSolo(started.pool);
    }
    postToOwner(started.pool, MessageType::Started, started);
}

void PoolClient::finished(const Finished& finished)
{
    auto it = running_.find(finished.attempt);
    if (it == running_.end())
        return;
    remember(it->second.ask, it->second.target);
    running_.erase(it);
    if (soloAttempts_.erase(finished.attempt) > 0) {
        soloScheduler(finished.pool).attemptFinished(finished.attempt, finished.outcome, finished.promptTokens, finished.outputTokens, std::chrono::milliseconds(finished.durationMs), now_());
        flushSolo(finished.pool);
    }
    postToOwner(finished.pool, MessageType::Finished, finished);
}

void PoolClient::notice(const TargetNotice& notice)
{
    noteRestriction(notice);
    postToOwner(notice.pool, MessageType::TargetNotice, notice);
}

void PoolClient::noteRestriction(const TargetNotice& notice)
{
    auto target = view_.config().targets.find(notice.target);
    if (target == view_.config().targets.end())
        return;
    if (notice.isLeaving)
        restrictions_.recordLeaving(target->second, now_());
    restrictions_.recordPause(notice.target, settings_.self, std::chrono::milliseconds(notice.pauseMs), now_());
}

Ask PoolClient::askNow(const Pending& pending) const
{
    auto ask = pending.ask;
    ask.zone = settings_.zone;
    ask.deadlineMs = msLeft(pending.deadline, now_());
    for (TargetId target : restrictions_.restrictedTargets(settings_.self, now_())) {
        if (std::find(ask.excluded.begin(), ask.excluded.end(), target) == ask.excluded.end())
            ask.excluded.push_back(target);
    }
    return ask;
}

Error PoolClient::refusalOf(const Refuse& refuse, const Ask& ask) const
{
    auto retryAfter = Duration(std::chrono::milliseconds(refuse.retryAfterMs));
    if (refuse.kind == ErrorKind::NoTarget) {
        std::vector<TargetId> own;
        for (const auto& [id, target] : view_.config().targets) {
            if (target.pool == ask.pool)
                own.push_back(id);
        }
        retryAfter = std::max(retryAfter, restrictions_.shortestPause(own, settings_.self, now_()));
    }
    return refusal(refuse.kind, refuse.reason, retryAfter);
}

void PoolClient::reportLoad(const LoadReport& report)
{
    postToOwner(report.pool, MessageType::LoadReport, report);
}

template <class T>
void PoolClient::postToOwner(PoolId pool, MessageType type, const T& message)
{
    // What is lost with a closed link is made good by the PoolSync when it opens again.
    auto& state = pools_[pool];
    if (state.owner.isValid())
        transport_.post(state.owner, type, encode(message));
}

void PoolClient::onMessage(MessageType type, std::string_view body)
{
    if (type == MessageType::Grant) {
        if (auto grant = decode<Grant>(body))
            onGrant(*grant);
    } else if (type == MessageType::Refuse) {
        if (auto refuse = decode<Refuse>(body))
            onRefuse(*refuse);
    } else if (type == MessageType::Queued) {
        if (auto queued = decode<Queued>(body))
            onQueued(*queued);
    } else if (type == MessageType::TargetNotice) {
        // An owner passes on that a target leaves; a pause is between the target and one node.
        auto notice = decode<TargetNotice>(body);
        if (notice && notice->isLeaving)
            noteRestriction({ notice->pool, notice->target, true, 0 });
    }
}

void PoolClient::noteHeard(PoolState& state)
{
    state.lastHeard = now_();
    state.isSuspect = false;
}

void PoolClient::onQueued(const Queued& queued)
{
    noteHeard(pools_[queued.pool]);
    if (auto it = pending_.find(queued.attempt); it != pending_.end())
        it->second->isQueued = true;
}

void PoolClient::onGrant(const Grant& grant)
{
    auto& state = pools_[grant.pool];
    // An owner that lost the pool may still have had this grant on its way.
    if (grant.epoch < state.epoch)
        return;
    state.epoch = grant.epoch;
    noteHeard(state);
    auto it = pending_.find(grant.attempt);
    if (it != pending_.end() && !it->second->decided.isSet()) {
        leaveSolo(grant.pool, grant.attempt);
        running_[grant.attempt] = RunningAttempt { it->second->ask, grant.target, false };
        it->second->decide(grant);
        return;
    }
    if (!running_.contains(grant.attempt))
        postToOwner(grant.pool, MessageType::Cancel, Cancel { grant.pool, grant.attempt });
}

void PoolClient::onRefuse(const Refuse& refuse)
{
    noteHeard(pools_[refuse.pool]);
    auto it = pending_.find(refuse.attempt);
    if (it == pending_.end())
        return;
    leaveSolo(refuse.pool, refuse.attempt);
    it->second->decide(tl::unexpected(refusalOf(refuse, it->second->ask)));
}

void PoolClient::sendAsk(const Pending& pending)
{
    postToOwner(pending.ask.pool, MessageType::Ask, askNow(pending));
}

void PoolClient::onConfigChange(const ClusterConfig& config)
{
    restrictions_.updateTargets(config.targets);
    for (const auto& [id, assignment] : config.pools) {
        if (assignment.kind != PoolKind::Ceiling)
            adoptAssignment(assignment);
    }
    for (auto& [pool, scheduler] : solo_) {
        setSoloTargets(pool, *scheduler);
        flushSolo(pool);
    }
}

void PoolClient::adoptAssignment(const PoolAssignment& assignment)
{
    auto& state = pools_[assignment.id];
    if (state.epoch >= assignment.epoch && state.owner == assignment.owner)
        return;
    state.epoch = std::max(state.epoch, assignment.epoch);
    state.owner = assignment.owner;
    state.unreachableSince.reset();
    state.isSuspect = false;
    if (state.owner.isValid() && transport_.isReachable(state.owner))
        sync(assignment.id);
}

void PoolClient::onNodeOpen(NodeId node)
{
    std::vector<PoolId> owned;
    for (auto& [id, state] : pools_) {
        if (state.owner != node)
            continue;
        state.unreachableSince.reset();
        owned.push_back(id);
    }
    for (auto id : owned)
        sync(id);
}

void PoolClient::sync(PoolId pool)
{
    forgetOld();
    PoolSync message { pool, pools_[pool].epoch, {}, {} };
    for (const auto& [attempt, running] : running_) {
        if (running.ask.pool == pool)
            message.running.push_back(running);
    }
    for (const auto& recent : recent_) {
        if (recent.pool == pool)
            message.recent.push_back(recent.repeat);
    }
    postToOwner(pool, MessageType::PoolSync, message);
    for (TargetId target : restrictions_.restrictedTargets(settings_.self, now_()))
        postToOwner(pool, MessageType::TargetNotice, TargetNotice { pool, target, restrictions_.isLeaving(target, now_()), clampMs(restrictions_.shortestPause({ target }, settings_.self, now_())) });
    // A local owner decides while asks are sent, so the waiting ones are collected first.
    std::vector<std::shared_ptr<Pending>> waiting;
    for (const auto& [attempt, pending] : pending_) {
        if (pending->ask.pool == pool && !pending->decided.isSet())
            waiting.push_back(pending);
    }
    for (const auto& pending : waiting) {
        leaveSolo(pool, pending->ask.attempt);
        pending->isQueued = false;
        pending->askedAt = now_();
        sendAsk(*pending);
    }
}

void PoolClient::remember(const Ask& ask, TargetId target)
{
    if (ask.repeatKey == 0)
        return;
    recent_.push_back({ ask.pool, { ask.repeatKey, target }, now_() });
    forgetOld();
}

void PoolClient::forgetOld()
{
    auto oldest = now_() - repeatMemory;
    while (!recent_.empty() && (recent_.size() > maxRecentRepeats || recent_.front().sentAt < oldest))
        recent_.pop_front();
}

bool PoolClient::isOwnerReachable(PoolState& state)
{
    return state.owner.isValid() && transport_.isReachable(state.owner) && settings_.hasLease();
}

bool PoolClient::isOwnerOverdue(PoolState& state)
{
    if (isOwnerReachable(state)) {
        state.unreachableSince.reset();
        return false;
    }
    if (!state.unreachableSince)
        state.unreachableSince = now_();
    return now_() - *state.unreachableSince >= settings_.ownerTimeout;
}

void PoolClient::checkOwners()
{
    restrictions_.tick(now_());
    if (settings_.soloAfter) {
        takeOverSilent();
        tickSolo();
        return;
    }
    for (auto& [id, state] : pools_) {
        if (isOwnerOverdue(state))
            refuseAll(id);
    }
}

Error PoolClient::ownerMissing() const
{
    if (!settings_.hasLease())
        return makeError(ErrorKind::NoQuorum, "this node has no lease");
    return makeError(ErrorKind::NoOwner, "the pool has no reachable owner");
}

void PoolClient::refuseAll(PoolId pool)
{
    for (const auto& [attempt, pending] : pending_) {
        if (pending->ask.pool == pool)
            pending->decide(tl::unexpected(ownerMissing()));
    }
}

bool PoolClient::mustChooseAlone(PoolState& state)
{
    if (!settings_.soloAfter)
        return false;
    if (!isOwnerReachable(state))
        return true;
    if (!state.isSuspect)
        return false;
    if (now_() < state.nextProbe)
        return true;
    state.nextProbe = now_() + probeInterval;
    return false;
}

PoolScheduler& PoolClient::soloScheduler(PoolId pool)
{
    auto& scheduler = solo_[pool];
    if (scheduler)
        return *scheduler;
    auto settings = settings_.soloPolicy;
    auto assigned = view_.config().pools.find(pool);
    settings.kind = assigned == view_.config().pools.end() ? PoolKind::Service : assigned->second.kind;
    auto made = makePoolScheduler(settings);
    // The settings reader accepts registered names only.
    assert(made);
    scheduler = std::move(*made);
    setSoloTargets(pool, *scheduler);
    return *scheduler;
}

void PoolClient::setSoloTargets(PoolId pool, PoolScheduler& scheduler) const
{
    const auto& config = view_.config();
    auto divisor = static_cast<double>(view_.entryCount());
    std::vector<Target> targets;
    for (const auto& [id, target] : config.targets) {
        if (target.pool != pool)
            continue;
        // The entries do not know of each other's choices, so each keeps to its part.
        double part = aloneFactor * target.slots / divisor;
        // With more entries than slots, each uses only some of the targets, the same ones all the time.
        constexpr double hashRange = 0x1.0p64;
        if (part < static_cast<double>(stableHash(target.name, settings_.self.value())) / hashRange)
            continue;
        targets.push_back(target);
        targets.back().slots = std::max(1U, static_cast<uint32_t>(std::lround(part)));
    }
    scheduler.setTargets(targets, now_());
}

void PoolClient::submitSolo(Pending& pending)
{
    auto pool = pending.ask.pool;
    soloAttempts_.insert(pending.ask.attempt);
    soloScheduler(pool).submit(toPoolRequest(askNow(pending), pending.deadline, now_()), now_());
    flushSolo(pool);
}

void PoolClient::flushSolo(PoolId pool)
{
    auto& scheduler = soloScheduler(pool);
    for (auto actions = scheduler.takeActions(); !actions.empty(); actions = scheduler.takeActions()) {
        for (const auto& action : actions) {
            auto attempt = std::visit([](const auto& decision) { return decision.attempt; }, action);
            auto it = pending_.find(attempt);
            if (it == pending_.end() || it->second->decided.isSet()) {
                leaveSolo(pool, attempt);
                continue;
            }
            if (const auto* grant = std::get_if<PoolGrant>(&action)) {
                running_[attempt] = RunningAttempt { it->second->ask, grant->target, false };
                it->second->decide(Grant { pool, attempt, Epoch(), grant->target });
                continue;
            }
            const auto& refused = std::get<PoolRefusal>(action);
            soloAttempts_.erase(attempt);
            Refuse refuse { pool, attempt, refused.kind, clampMs(refused.retryAfter), refused.reason };
            it->second->decide(tl::unexpected(refusalOf(refuse, it->second->ask)));
        }
    }
}

void PoolClient::takeOverSilent()
{
    auto now = now_();
    std::vector<std::shared_ptr<Pending>> silent;
    for (const auto& [attempt, pending] : pending_) {
        if (soloAttempts_.contains(attempt) || pending->decided.isSet())
            continue;
        auto& state = pools_[pending->ask.pool];
        auto since = std::max(pending->askedAt, state.lastHeard);
        if (isOwnerReachable(state) && (pending->isQueued || now - since < *settings_.soloAfter))
            continue;
        if (isOwnerReachable(state)) {
            state.isSuspect = true;
            state.nextProbe = now + probeInterval;
        }
        silent.push_back(pending);
    }
    for (const auto& pending : silent) {
        postToOwner(pending->ask.pool, MessageType::Cancel, Cancel { pending->ask.pool, pending->ask.attempt });
        submitSolo(*pending);
    }
}

void PoolClient::tickSolo()
{
    for (auto& [pool, scheduler] : solo_) {
        scheduler->tick(now_());
        flushSolo(pool);
    }
}

void PoolClient::leaveSolo(PoolId pool, AttemptId attempt)
{
    if (soloAttempts_.erase(attempt) > 0)
        soloScheduler(pool).cancel(attempt, now_());
}

}
