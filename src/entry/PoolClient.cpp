#include "briarhitch/entry/PoolClient.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "entry/PoolRequests.h"
#include "entry/SuspectNotices.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    const Log& entryLog()
    {
        static const Log log("entry:");
        return log;
    }

    /** Equals the time for which owners remember the target of a retryable request. */
    constexpr Duration recentAttemptRetention = 10min;
    constexpr size_t maxRecentAttempts = 20000;
    /** Above 1, because callers spread unevenly over the entries, and targets can queue a little beyond their slots. */
    constexpr double localSlotOvercommit = 1.5;
    /**
     * Fraction of a rate limit that entries use together while they have links to an owner that does not respond: it may
     * still grant requests at the full rate to others.
     */
    constexpr double unresponsiveOwnerRateFraction = 0.4;
    /** Interval at which one grant request is still sent to an unresponsive owner. */
    constexpr Duration ownerProbeInterval = 200ms;

    /** Error of a request that was not granted a target; a zero `retryAfter` is left out. */
    Error makeRefusalError(ErrorKind kind, const std::string& reason, Duration retryAfter)
    {
        auto error = makeError(kind, reason);
        error.ran = Ran::No;
        if (retryAfter > Duration::zero())
            error.retryAfter = retryAfter;
        return error;
    }

    std::string_view poolNamePrefix(PoolKind kind)
    {
        return kind == PoolKind::Model ? "model:" : "service:";
    }

    uint32_t remainingMs(Instant deadline, Instant now)
    {
        return static_cast<uint32_t>(std::clamp<int64_t>(toMs(deadline - now), 0, UINT32_MAX));
    }

}

struct PoolClient::PendingRequest {
    PendingRequest(Loop& loop, GrantRequest requestToSend, Instant arrival, Instant deadlineToMeet)
        : grantRequest(std::move(requestToSend))
        , arrivedAt(arrival)
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

    GrantRequest grantRequest;
    /** When the request arrived at this entry. */
    Instant arrivedAt;
    Instant deadline;
    Instant requestedAt {};
    /** The owner has confirmed that the request is in its queue. */
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
    , rateLimits_(settings_.self)
    , suspects_(now_)
    , streams_(view_, settings_.streams, now_)
    , streamRuns_(settings_.self, now_)
{
}

PoolClient::~PoolClient() = default;

Result<PoolId> PoolClient::findPool(PoolKind kind, const std::string& modelOrService) const
{
    std::string prefix = std::string(poolNamePrefix(kind)) + modelOrService + "@";
    for (const auto& scope : { settings_.zone, settings_.region }) {
        if (const auto* pool = view_.findPool(prefix + scope))
            return pool->id;
    }
    // Falls back to a pool of another region.
    for (const auto& [id, pool] : view_.config().pools) {
        if (pool.kind == kind && pool.name.starts_with(prefix) && pool.name.size() == prefix.size() + pool.scope.size())
            return id;
    }
    if (kind == PoolKind::Model)
        return fail(ErrorKind::UnknownModel, "no target serves this model");
    return fail(ErrorKind::NotFound, "no such service");
}

Result<Grant> PoolClient::acquire(const GrantRequest& request, Instant deadline)
{
    auto resolved = request;
    streams_.resolve(resolved);
    auto arrivedAt = arrivalOf(request, now_());
    auto grant = checkLocalVersion(acquireSlot(resolved, arrivedAt, deadline), deadline);
    bool isUnknown = !grant && grant.error().kind == ErrorKind::UnknownStream && needsStreamVersion(resolved);
    return isUnknown && request.maySelectSoleVersion && streams_.resolveBySoleVersion(resolved, deadline) ? acquireSlot(resolved, arrivedAt, deadline) : grant;
}

Result<Grant> PoolClient::checkLocalVersion(Result<Grant> grant, Instant deadline)
{
    // An owner would have to lack a change of the target's version as well as this node.
    bool reliesOnThisNode = grant && !grant->epoch.isValid() && grant->softwareVersion;
    if (!reliesOnThisNode || streams_.isLocalVersionCertain(deadline))
        return grant;
    release(*grant);
    return fail(ErrorKind::UnknownStream, "this node may not know the present software versions of the targets");
}

Result<Grant> PoolClient::acquireSlot(const GrantRequest& request, Instant arrivedAt, Instant deadline)
{
    auto& state = pools_[request.pool];
    if (!settings_.localSelectionAfter && hasOwnerTimedOut(state))
        return tl::unexpected(missingOwnerError());
    if (streamRuns_.isSuperseded(request, arrivedAt))
        return tl::unexpected(supersededError());
    auto pending = std::make_shared<PendingRequest>(loop_, request, arrivedAt, deadline);
    pending->requestedAt = now_();
    bool isLocal = mustSelectLocally(state);
    if (auto block = suspects_.findBlock(request, isLocal))
        return tl::unexpected(blockError(*block));
    pending_[request.attempt] = pending;
    if (isLocal)
        submitLocally(*pending);
    else
        sendRequest(*pending);
    pending->decided.waitFor(std::max<Duration>(deadline - now_(), 0ms));
    pending_.erase(request.attempt);
    if (!pending->decided.isSet()) {
        postToPoolOwner(request.pool, MessageType::GrantCancellation, GrantCancellation { request.pool, request.attempt });
        cancelLocally(request.pool, request.attempt);
    }
    return pending->result;
}

void PoolClient::cancelAcquire(AttemptId attempt)
{
    auto it = pending_.find(attempt);
    if (it == pending_.end())
        return;
    auto pending = it->second;
    if (pending->decided.isSet())
        return;
    pending_.erase(it);
    postToPoolOwner(pending->grantRequest.pool, MessageType::GrantCancellation, GrantCancellation { pending->grantRequest.pool, attempt });
    cancelLocally(pending->grantRequest.pool, attempt);
    auto error = makeError(ErrorKind::CallerLeft, "the caller disconnected while the request was queued");
    error.ran = Ran::No;
    pending->decide(tl::unexpected(error));
}

bool PoolClient::isCurrent(const Grant& grant) const
{
    // A locally selected target has no owner epoch.
    if (!grant.epoch.isValid())
        return settings_.localSelectionAfter.has_value();
    auto it = pools_.find(grant.pool);
    return it != pools_.end() && grant.epoch >= it->second.epoch;
}

void PoolClient::onSuperseded(AttemptId attempt, std::function<void()> hook)
{
    streamRuns_.onStopped(attempt, std::move(hook));
}

void PoolClient::onSupersededMessage(const AttemptSuperseded& superseded)
{
    if (running_.contains(superseded.attempt)) {
        streamRuns_.stop(superseded.attempt);
        return;
    }
    // The grant was lost with its link, or the report of the attempt's end was.
    entryLog().event("superseded attempt is not running", { { "attempt", toString(superseded.attempt) } });
    postToPoolOwner(superseded.pool, MessageType::GrantCancellation, GrantCancellation { superseded.pool, superseded.attempt, true });
    if (auto it = pending_.find(superseded.attempt); it != pending_.end())
        it->second->decide(tl::unexpected(supersededError()));
}

void PoolClient::refuseSuperseded()
{
    for (const auto& [attempt, pending] : pending_) {
        if (!pending->decided.isSet() && streamRuns_.isSuperseded(pending->grantRequest, pending->arrivedAt))
            pending->decide(tl::unexpected(supersededError()));
    }
}

void PoolClient::addRunning(const PendingRequest& pending, TargetId target)
{
    const auto& request = pending.grantRequest;
    running_[request.attempt] = RunningAttempt { request, target, false };
    suspects_.attemptGranted(request, target);
    streamRuns_.attemptGranted(request, pending.arrivedAt);
    if (request.streamClaim.isContinuation)
        refuseSuperseded();
}

void PoolClient::release(const Grant& grant)
{
    running_.erase(grant.attempt);
    streamRuns_.attemptEnded(grant.attempt);
    suspects_.attemptReleased(grant.attempt);
    if (localAttempts_.contains(grant.attempt))
        rateLimits_.limiter().refundRequest(grant.target, now_());
    cancelLocally(grant.pool, grant.attempt);
    postToPoolOwner(grant.pool, MessageType::GrantCancellation, GrantCancellation { grant.pool, grant.attempt, true });
}

StreamLookup PoolClient::findStream(StreamId stream, Instant deadline)
{
    return streams_.find(stream, deadline);
}

void PoolClient::reportStarted(const AttemptStarted& started)
{
    auto it = running_.find(started.attempt);
    if (it == running_.end())
        return;
    it->second.started = true;
    streams_.attemptStarted(started);
    suspects_.attemptStarted(it->second.request, started);
    if (localAttempts_.contains(started.attempt)) {
        localScheduler(started.pool).attemptStarted(started.attempt, std::chrono::milliseconds(started.firstTokenMs), now_());
        applyLocalActions(started.pool);
    }
    postToPoolOwner(started.pool, MessageType::AttemptStarted, started);
}

void PoolClient::reportFinished(const AttemptFinished& finished)
{
    auto it = running_.find(finished.attempt);
    if (it == running_.end())
        return;
    recordRecentAttempt(it->second.request, it->second.target);
    streams_.attemptFinished(finished);
    suspects_.attemptFinished(it->second.request, finished, it->second.target, isLeaving(it->second.target));
    running_.erase(it);
    streamRuns_.attemptEnded(finished.attempt);
    if (localAttempts_.erase(finished.attempt) > 0) {
        localScheduler(finished.pool).attemptFinished(finished.attempt, finished.outcome, finished.promptTokens, finished.outputTokens, std::chrono::milliseconds(finished.durationMs), now_());
        applyLocalActions(finished.pool);
    }
    postToPoolOwner(finished.pool, MessageType::AttemptFinished, finished);
}

void PoolClient::reportAvailability(const TargetAvailabilityNotice& notice)
{
    recordRestriction(notice);
    postToPoolOwner(notice.pool, MessageType::TargetAvailabilityNotice, notice);
}

void PoolClient::reportRateLimit(PoolId pool, const RateLimitObservation& observation)
{
    auto target = view_.config().targets.find(observation.target);
    if (target == view_.config().targets.end())
        return;
    if (auto notice = rateLimits_.recordObservation(target->second, observation, now_()))
        postToPoolOwner(pool, MessageType::TargetRateLimitNotice, *notice);
}

void PoolClient::updateLocalRates()
{
    auto usableFraction = [this](PoolId pool) {
        // Without a lease this entry is not counted among those that share a limit.
        if (!settings_.hasLease())
            return 0.0;
        return isOwnerReachable(pools_[pool]) ? unresponsiveOwnerRateFraction : 1.0;
    };
    rateLimits_.updateRates(usableFraction, now_());
}

void PoolClient::recordRestriction(const TargetAvailabilityNotice& notice)
{
    auto target = view_.config().targets.find(notice.target);
    if (target == view_.config().targets.end())
        return;
    if (notice.isLeaving)
        restrictions_.recordLeaving(target->second, now_());
    restrictions_.recordPause(notice.target, settings_.self, std::chrono::milliseconds(notice.pauseMs), now_());
}

GrantRequest PoolClient::prepareRequest(const PendingRequest& pending) const
{
    auto request = pending.grantRequest;
    request.zone = settings_.zone;
    request.deadlineMs = remainingMs(pending.deadline, now_());
    request.streamClaim.ageMs = clampMs(now_() - pending.arrivedAt);
    for (TargetId target : restrictions_.restrictedTargets(settings_.self, now_())) {
        if (std::find(request.excluded.begin(), request.excluded.end(), target) == request.excluded.end())
            request.excluded.push_back(target);
    }
    return request;
}

Error PoolClient::toRefusalError(const GrantRefusal& refusal, const GrantRequest& request) const
{
    auto retryAfter = Duration(std::chrono::milliseconds(refusal.retryAfterMs));
    if (refusal.kind == ErrorKind::NoTarget) {
        std::vector<TargetId> poolTargets;
        for (const auto& [id, target] : view_.config().targets) {
            if (target.pool == request.pool)
                poolTargets.push_back(id);
        }
        retryAfter = std::max(retryAfter, restrictions_.shortestPause(poolTargets, settings_.self, now_()));
    }
    return makeRefusalError(refusal.kind, refusal.reason, retryAfter);
}

void PoolClient::reportLoad(const LoadReport& report)
{
    postToPoolOwner(report.pool, MessageType::LoadReport, report);
}

template <class T>
void PoolClient::postToPoolOwner(PoolId pool, MessageType type, const T& message)
{
    // A message lost with a closed link is compensated by the PoolSync when the link opens again.
    auto& state = pools_[pool];
    if (state.owner.isValid())
        transport_.postToOwner(state.owner, type, encode(message));
}

void PoolClient::onMessage(MessageType type, std::string_view body)
{
    if (type == MessageType::Grant) {
        if (auto grant = decode<Grant>(body))
            onGrant(*grant);
    } else if (type == MessageType::GrantRefusal) {
        if (auto refusal = decode<GrantRefusal>(body))
            onRefusal(*refusal);
    } else if (type == MessageType::GrantQueued) {
        if (auto queued = decode<GrantQueued>(body))
            onQueued(*queued);
    } else if (type == MessageType::TargetAvailabilityNotice) {
        // Owners forward only that a target leaves; a pause concerns just the node that the target asked for it.
        auto notice = decode<TargetAvailabilityNotice>(body);
        if (notice && notice->isLeaving)
            recordRestriction({ notice->pool, notice->target, true, 0 });
    } else if (type == MessageType::AttemptSuperseded) {
        if (auto superseded = decode<AttemptSuperseded>(body))
            onSupersededMessage(*superseded);
    } else if (type == MessageType::SuspectNotice) {
        if (auto notice = decode<SuspectNotice>(body))
            suspects_.onNotice(*notice);
    } else if (type == MessageType::TargetRateLimitNotice) {
        auto notice = decode<TargetRateLimitNotice>(body);
        auto target = notice ? view_.config().targets.find(notice->target) : view_.config().targets.end();
        if (target != view_.config().targets.end())
            rateLimits_.recordNotice(target->second, *notice, now_());
    }
}

void PoolClient::recordOwnerMessage(PoolState& state)
{
    state.lastOwnerMessageAt = now_();
    state.isOwnerUnresponsive = false;
}

void PoolClient::onQueued(const GrantQueued& queued)
{
    recordOwnerMessage(pools_[queued.pool]);
    if (auto it = pending_.find(queued.attempt); it != pending_.end())
        it->second->isQueued = true;
}

void PoolClient::onGrant(const Grant& grant)
{
    auto& state = pools_[grant.pool];
    // The grant may have been in transit when its sender lost the pool.
    if (grant.epoch < state.epoch)
        return;
    state.isSyncDue = state.isSyncDue || state.epoch < grant.epoch;
    state.epoch = grant.epoch;
    recordOwnerMessage(state);
    auto it = pending_.find(grant.attempt);
    if (it != pending_.end() && !it->second->decided.isSet()) {
        cancelLocally(grant.pool, grant.attempt);
        auto& request = it->second->grantRequest;
        bool continuesStream = request.continuedStream.isValid() || request.softwareVersion;
        if (continuesStream && !grant.softwareVersion) {
            // The owner runs an earlier release, which does not look at versions.
            release(grant);
            it->second->decide(fail(ErrorKind::UnknownStream, "the owner of the pool grants targets of any software version"));
            return;
        }
        request.softwareVersion = grant.softwareVersion;
        it->second->decide(grant);
        addRunning(*it->second, grant.target);
        return;
    }
    if (!running_.contains(grant.attempt))
        postToPoolOwner(grant.pool, MessageType::GrantCancellation, GrantCancellation { grant.pool, grant.attempt, true });
}

void PoolClient::onRefusal(const GrantRefusal& refusal)
{
    recordOwnerMessage(pools_[refusal.pool]);
    auto it = pending_.find(refusal.attempt);
    if (it == pending_.end())
        return;
    cancelLocally(refusal.pool, refusal.attempt);
    it->second->decide(tl::unexpected(toRefusalError(refusal, it->second->grantRequest)));
}

void PoolClient::sendRequest(const PendingRequest& pending)
{
    postToPoolOwner(pending.grantRequest.pool, MessageType::GrantRequest, prepareRequest(pending));
}

void PoolClient::onConfigChange(const ClusterConfig& config)
{
    restrictions_.updateTargets(config.targets);
    rateLimits_.onConfigChange(config, now_());
    suspects_.onConfigChange(config);
    updateLocalRates();
    for (const auto& [id, assignment] : config.pools) {
        if (assignment.kind != PoolKind::Ceiling)
            applyAssignment(assignment);
    }
    for (auto& [pool, scheduler] : localSchedulers_) {
        setLocalTargets(pool, *scheduler);
        applyLocalActions(pool);
    }
}

void PoolClient::applyAssignment(const PoolAssignment& assignment)
{
    auto& state = pools_[assignment.id];
    if (state.epoch >= assignment.epoch && state.owner == assignment.owner)
        return;
    state.epoch = std::max(state.epoch, assignment.epoch);
    state.owner = assignment.owner;
    state.unreachableSince.reset();
    state.isOwnerUnresponsive = false;
    if (state.owner.isValid() && transport_.isReachable(state.owner))
        sendPoolSync(assignment.id);
}

void PoolClient::onOutgoingLinkOpen(NodeId node)
{
    std::vector<PoolId> owned;
    for (auto& [id, state] : pools_) {
        if (state.owner != node)
            continue;
        state.unreachableSince.reset();
        owned.push_back(id);
    }
    for (auto id : owned)
        sendPoolSync(id);
}

void PoolClient::sendPoolSync(PoolId pool)
{
    dropExpiredAttempts();
    pools_[pool].isSyncDue = false;
    PoolSync message { pool, pools_[pool].epoch, {}, {}, rateLimits_.noticesFor(pool, now_()), {}, suspects_.noticesForOwner(), streams_.list() };
    for (const auto& [attempt, running] : running_) {
        if (running.request.pool != pool)
            continue;
        message.running.push_back(running);
        streamRuns_.updateAge(message.running.back().request);
    }
    for (const auto& recent : recentAttempts_) {
        if (recent.pool == pool)
            message.recent.push_back(recent.attempt);
    }
    // The owner may grant as soon as it has the sync.
    for (TargetId target : restrictions_.restrictedTargets(settings_.self, now_()))
        postToPoolOwner(pool, MessageType::TargetAvailabilityNotice, TargetAvailabilityNotice { pool, target, restrictions_.isLeaving(target, now_()), clampMs(restrictions_.shortestPause({ target }, settings_.self, now_())) });
    postToPoolOwner(pool, MessageType::PoolSync, message);
    // An owner on this node decides synchronously while requests are sent, which changes pending_.
    std::vector<std::shared_ptr<PendingRequest>> waiting;
    for (const auto& [attempt, pending] : pending_) {
        if (pending->grantRequest.pool == pool && !pending->decided.isSet())
            waiting.push_back(pending);
    }
    for (const auto& pending : waiting) {
        cancelLocally(pool, pending->grantRequest.attempt);
        pending->isQueued = false;
        pending->requestedAt = now_();
        sendRequest(*pending);
    }
}

void PoolClient::recordRecentAttempt(const GrantRequest& request, TargetId target)
{
    if (request.idempotencyKeyHash == 0)
        return;
    recentAttempts_.push_back({ request.pool, { request.idempotencyKeyHash, target }, now_() });
    dropExpiredAttempts();
}

void PoolClient::dropExpiredAttempts()
{
    auto oldest = now_() - recentAttemptRetention;
    while (!recentAttempts_.empty() && (recentAttempts_.size() > maxRecentAttempts || recentAttempts_.front().finishedAt < oldest))
        recentAttempts_.pop_front();
}

bool PoolClient::isOwnerReachable(PoolState& state)
{
    return state.owner.isValid() && transport_.isReachable(state.owner) && settings_.hasLease();
}

bool PoolClient::hasOwnerTimedOut(PoolState& state)
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
    suspects_.tick();
    streams_.tick();
    streamRuns_.tick();
    updateLocalRates();
    sendDueSyncs();
    if (settings_.localSelectionAfter) {
        takeOverFromUnresponsiveOwners();
        tickLocalSchedulers();
        return;
    }
    for (auto& [id, state] : pools_) {
        if (hasOwnerTimedOut(state))
            refusePending(id);
    }
}

Error PoolClient::missingOwnerError() const
{
    if (!settings_.hasLease())
        return makeError(ErrorKind::NoQuorum, "this node has no lease");
    return makeError(ErrorKind::NoOwner, "the pool has no reachable owner");
}

void PoolClient::refusePending(PoolId pool)
{
    for (const auto& [attempt, pending] : pending_) {
        if (pending->grantRequest.pool == pool)
            pending->decide(tl::unexpected(missingOwnerError()));
    }
}

bool PoolClient::mustSelectLocally(PoolState& state)
{
    if (!settings_.localSelectionAfter)
        return false;
    if (!isOwnerReachable(state))
        return true;
    if (!state.isOwnerUnresponsive)
        return false;
    if (now_() < state.nextOwnerProbeAt)
        return true;
    state.nextOwnerProbeAt = now_() + ownerProbeInterval;
    return false;
}

PoolScheduler& PoolClient::localScheduler(PoolId pool)
{
    auto& scheduler = localSchedulers_[pool];
    if (scheduler)
        return *scheduler;
    auto settings = settings_.localSelectionPolicy;
    settings.rateLimiter = &rateLimits_.limiter();
    auto assigned = view_.config().pools.find(pool);
    settings.kind = assigned == view_.config().pools.end() ? PoolKind::Service : assigned->second.kind;
    auto created = makePoolScheduler(settings);
    // The settings reader accepts only registered policy names.
    assert(created);
    scheduler = std::move(*created);
    setLocalTargets(pool, *scheduler);
    return *scheduler;
}

void PoolClient::setLocalTargets(PoolId pool, PoolScheduler& scheduler) const
{
    const auto& config = view_.config();
    auto entryCount = static_cast<double>(view_.entryCount());
    std::vector<Target> targets;
    for (const auto& [id, target] : config.targets) {
        if (target.pool != pool)
            continue;
        // Entries do not see each other's local selections, so each uses only its fraction of the slots.
        double localSlots = localSlotOvercommit * target.slots / entryCount;
        // With a fraction below one slot, each entry uses a fixed subset of the targets, chosen by hash.
        constexpr double hashRange = 0x1.0p64;
        if (localSlots < static_cast<double>(stableHash(target.name, settings_.self.value())) / hashRange)
            continue;
        targets.push_back(target);
        targets.back().slots = std::max(1U, static_cast<uint32_t>(std::lround(localSlots)));
    }
    auto rollout = findPoolRollout(config, pool, settings_.rollout);
    if (rollout)
        rollout->isLocalSelection = true;
    scheduler.setRollout(rollout);
    scheduler.setTargets(targets, now_());
}

bool PoolClient::isLeaving(TargetId target) const
{
    auto listed = view_.config().targets.find(target);
    bool isActive = listed != view_.config().targets.end() && listed->second.state == TargetState::Active;
    return !isActive || restrictions_.isLeaving(target, now_());
}

void PoolClient::submitLocally(PendingRequest& pending)
{
    auto pool = pending.grantRequest.pool;
    if (auto block = suspects_.findBlock(pending.grantRequest, true)) {
        pending.decide(tl::unexpected(blockError(*block)));
        return;
    }
    if (needsStreamVersion(pending.grantRequest)) {
        pending.decide(fail(ErrorKind::UnknownStream, "the stream did not begin at this node, and the owner of the pool does not respond"));
        return;
    }
    localAttempts_.insert(pending.grantRequest.attempt);
    auto request = toPoolRequest(prepareRequest(pending), pending.deadline, now_());
    request.mayCrashTarget = suspects_.mayCrashTarget(pending.grantRequest);
    localScheduler(pool).submit(std::move(request), now_());
    applyLocalActions(pool);
}

void PoolClient::applyLocalActions(PoolId pool)
{
    auto& scheduler = localScheduler(pool);
    for (auto actions = scheduler.takeActions(); !actions.empty(); actions = scheduler.takeActions()) {
        for (const auto& action : actions) {
            auto attempt = std::visit([](const auto& decision) { return decision.attempt; }, action);
            auto it = pending_.find(attempt);
            if (it == pending_.end() || it->second->decided.isSet()) {
                cancelLocally(pool, attempt);
                continue;
            }
            if (const auto* grant = std::get_if<PoolGrant>(&action)) {
                auto pending = it->second;
                pending->decide(Grant { pool, attempt, Epoch(), grant->target, pending->grantRequest.softwareVersion });
                addRunning(*pending, grant->target);
                // An owner that does not respond has it when it does; one that is unreachable gets a PoolSync.
                if (pending->grantRequest.streamClaim.stream.isValid())
                    postToPoolOwner(pool, MessageType::StreamSelection, prepareRequest(*pending));
                continue;
            }
            const auto& refused = std::get<PoolRefusal>(action);
            localAttempts_.erase(attempt);
            GrantRefusal refusal { pool, attempt, refused.kind, clampMs(refused.retryAfter), refused.reason };
            it->second->decide(tl::unexpected(toRefusalError(refusal, it->second->grantRequest)));
        }
    }
}

void PoolClient::takeOverFromUnresponsiveOwners()
{
    auto now = now_();
    std::vector<std::shared_ptr<PendingRequest>> withoutReply;
    for (const auto& [attempt, pending] : pending_) {
        if (localAttempts_.contains(attempt) || pending->decided.isSet())
            continue;
        auto& state = pools_[pending->grantRequest.pool];
        auto since = std::max(pending->requestedAt, state.lastOwnerMessageAt);
        if (isOwnerReachable(state) && (pending->isQueued || now - since < *settings_.localSelectionAfter))
            continue;
        if (isOwnerReachable(state)) {
            state.isOwnerUnresponsive = true;
            state.nextOwnerProbeAt = now + ownerProbeInterval;
            if (!std::exchange(state.isSyncDue, true))
                state.nextDueSyncAt = now + ownerProbeInterval;
        }
        withoutReply.push_back(pending);
    }
    for (const auto& pending : withoutReply) {
        postToPoolOwner(pending->grantRequest.pool, MessageType::GrantCancellation, GrantCancellation { pending->grantRequest.pool, pending->grantRequest.attempt });
        submitLocally(*pending);
    }
}

void PoolClient::sendDueSyncs()
{
    for (auto& [id, state] : pools_) {
        // A rollout does not complete before its owner knows the attempts of all entries.
        auto rollout = state.isSyncDue && isOwnerReachable(state) ? findPoolRollout(view_.config(), id, settings_.rollout) : std::nullopt;
        if (!rollout)
            continue;
        if (!state.isOwnerUnresponsive) {
            sendPoolSync(id);
            continue;
        }
        // Without further requests, nothing tells when the owner works again. Until it replies, this node may select more targets,
        // so the sync remains due. A sync also sends waiting requests to the owner again, which would take them out of the local queue.
        bool hasWaiting = std::any_of(pending_.begin(), pending_.end(), [pool = id](const auto& entry) { return entry.second->grantRequest.pool == pool && !entry.second->decided.isSet(); });
        if (now_() < state.nextDueSyncAt || hasWaiting || rollout->rollout.state != RolloutState::Running)
            continue;
        sendPoolSync(id);
        state.isSyncDue = true;
        state.nextDueSyncAt = now_() + ownerProbeInterval;
    }
}

void PoolClient::tickLocalSchedulers()
{
    for (auto& [pool, scheduler] : localSchedulers_) {
        scheduler->tick(now_());
        // Only owners log traffic between zones; events that nobody takes would pile up.
        (void)scheduler->takeZoneEvents();
        applyLocalActions(pool);
    }
}

void PoolClient::cancelLocally(PoolId pool, AttemptId attempt)
{
    if (localAttempts_.erase(attempt) > 0)
        localScheduler(pool).cancel(attempt, now_());
}

}
