#include "briarhitch/entry/PoolHost.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "entry/PoolRequests.h"
#include "entry/SuspectNotices.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Nodes learn of an assignment with their next heartbeat, so others may know it a few seconds before its owner. */
    constexpr Duration earlyMessageRetention = 5s;
    constexpr size_t maxEarlyMessages = 20000;
    /** Time after which a PoolRelease is given up; by then the new owner has waited for the old lease to expire. */
    constexpr Duration releaseTimeout = 5s;
    constexpr Duration statsInterval = 1s;

    const Log& poolLog()
    {
        static const Log log("pool:");
        return log;
    }

    template <class T, class Handler>
    void decodeAndHandle(std::string_view body, Handler&& handler)
    {
        if (auto message = decode<T>(body))
            std::forward<Handler>(handler)(*message);
        else
            poolLog().warning("Ignored a message from another node that cannot be decoded.");
    }

}

PoolHost::PoolHost(PoolHostSettings settings, NodeTransport& transport, MetricRegistry& metrics, PoolHostHooks hooks)
    : settings_(std::move(settings))
    , transport_(transport)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
    , rateLimits_(settings_.self)
    , suspects_(metrics, suspectHooks())
    , streams_(metrics, hooks_.now)
    , streamRuns_(metrics, streamRunsHooks())
    , rollouts_(settings_.self, settings_.rollout, metrics, rolloutsHooks())
    , zones_(metrics, settings_.pool.zoneSpill)
{
    settings_.pool.rateLimiter = &rateLimits_.limiter();
}

PoolHost::~PoolHost() = default;

OwnerSuspectsHooks PoolHost::suspectHooks()
{
    OwnerSuspectsHooks hooks;
    hooks.notifyEntries = [this](const SuspectNotice& notice) {
        for (NodeId entry : connectedEntries_)
            transport_.postToEntry(entry, MessageType::SuspectNotice, encode(notice));
    };
    hooks.record = [this](const SuspectVerdict& verdict) { hooks_.recordSuspect(verdict); };
    hooks.targetName = [this](TargetId id) {
        const auto* target = findTarget(id);
        return target ? target->name : std::to_string(id.value());
    };
    hooks.now = [this] { return hooks_.now(); };
    return hooks;
}

OwnerStreamRunsHooks PoolHost::streamRunsHooks()
{
    OwnerStreamRunsHooks hooks;
    hooks.stop = [this](NodeId entry, const AttemptSuperseded& attempt) { transport_.postToEntry(entry, MessageType::AttemptSuperseded, encode(attempt)); };
    hooks.sendGrant = [this](PoolId id, AttemptId attempt) {
        if (!hooks_.hasLease())
            return false;
        auto* pool = find(id);
        auto request = pool ? pool->requests.find(attempt) : std::map<AttemptId, HostedRequest>::iterator();
        if (pool && request != pool->requests.end())
            sendGrant(*pool, request->second);
        return true;
    };
    hooks.now = hooks_.now;
    return hooks;
}

OwnerRolloutsHooks PoolHost::rolloutsHooks()
{
    auto runningAttempts = [this](PoolId id) {
        OwnerRolloutsHooks::RunningAttempts running;
        for (const auto& [attempt, request] : find(id)->requests) {
            if (request.target.isValid())
                running[attempt] = { request.grantRequest.kind, request.target };
        }
        return running;
    };
    return { hooks_.reportRollout, runningAttempts, hooks_.now };
}

void PoolHost::refuseSuperseded(Pool& pool)
{
    std::vector<AttemptId> superseded;
    for (const auto& [attempt, request] : pool.requests) {
        bool isUnsent = !request.target.isValid() || streamRuns_.isHeld(attempt);
        if (isUnsent && streamRuns_.isSuperseded(request.grantRequest, request.arrivedAt))
            superseded.push_back(attempt);
    }
    for (auto attempt : superseded) {
        auto it = pool.requests.find(attempt);
        if (it == pool.requests.end())
            continue;
        if (it->second.target.isValid())
            rateLimits_.limiter().refundRequest(it->second.target, hooks_.now());
        suspects_.attemptCancelled(it->second.grantRequest, true);
        streamRuns_.attemptEnded(attempt);
        if (pool.scheduler)
            pool.scheduler->cancel(attempt, hooks_.now());
        refuse(pool, attempt, supersededError());
    }
}

PoolHost::Pool* PoolHost::find(PoolId pool)
{
    auto it = pools_.find(pool);
    return it == pools_.end() ? nullptr : &it->second;
}

bool PoolHost::isActive(PoolId pool) const
{
    auto it = pools_.find(pool);
    return it != pools_.end() && it->second.scheduler && hooks_.hasLease();
}

void PoolHost::onConfigChange(const ClusterConfig& config)
{
    targets_.clear();
    for (const auto& [id, target] : config.targets)
        targets_.push_back(target);
    restrictions_.updateTargets(config.targets);
    restrictedForAll_ = findRestrictedForAll();
    rateLimits_.onConfigChange(config, hooks_.now());
    suspects_.onConfigChange(config);
    rollouts_.onConfigChange(config);
    updateActivePools(config);
    dropReassignedPools(config);
    recordLostNodes(config);
    bool hasNewPool = false;
    for (const auto& [id, assignment] : config.pools) {
        bool isOwnedHere = assignment.owner == settings_.self && assignment.ownerIncarnation == settings_.incarnation;
        if (!isOwnedHere || assignment.kind == PoolKind::Ceiling)
            continue;
        auto* pool = find(id);
        if (!pool || pool->assignment.epoch < assignment.epoch) {
            startTakeover(assignment, config);
            hasNewPool = true;
        } else if (!assignment.previousOwner.isValid()) {
            pool->hasPreviousOwnerReleased = true;
        }
    }
    if (hasNewPool)
        replayEarlyMessages();
    tick();
}

void PoolHost::updateActivePools(const ClusterConfig& config)
{
    std::vector<CustomerId> changed;
    for (const auto& [id, contract] : config.customers) {
        auto it = contracts_.find(id);
        if (it != contracts_.end() && it->second == contract)
            continue;
        contracts_[id] = contract;
        changed.push_back(id);
    }
    for (auto& [id, pool] : pools_) {
        if (!pool.scheduler)
            continue;
        setTargets(pool);
        for (auto customer : changed)
            pool.scheduler->setContract(contracts_[customer]);
        applyActions(pool);
    }
}

void PoolHost::dropReassignedPools(const ClusterConfig& config)
{
    for (auto it = pools_.begin(); it != pools_.end();) {
        auto assigned = config.pools.find(it->first);
        bool isOwnedHere = assigned != config.pools.end() && assigned->second.owner == settings_.self;
        if (isOwnedHere) {
            ++it;
            continue;
        }
        poolLog().info("Pool " + it->second.assignment.name + " is no longer assigned to this node.");
        rateLimits_.forgetPool(it->first, hooks_.now());
        for (const auto& [attempt, request] : it->second.requests)
            suspects_.forget(attempt);
        streamRuns_.forgetPool(it->first);
        if (assigned != config.pools.end() && assigned->second.owner.isValid())
            pendingReleases_.push_back({ assigned->second.owner, { it->first, assigned->second.epoch }, hooks_.now() });
        it = pools_.erase(it);
    }
}

void PoolHost::recordLostNodes(const ClusterConfig& config)
{
    for (const auto& [id, node] : config.nodes) {
        if (!node.lost)
            continue;
        disconnectedSince_.try_emplace(id, hooks_.now());
        for (auto& [poolId, pool] : pools_)
            pool.awaitedSyncs.erase(id);
    }
}

void PoolHost::startTakeover(const PoolAssignment& assignment, const ClusterConfig& config)
{
    auto& pool = pools_[assignment.id];
    pool.assignment = assignment;
    pool.assignedAt = hooks_.now();
    // An earlier incarnation of this node ended before this one started.
    pool.hasPreviousOwnerReleased = !assignment.previousOwner.isValid() || assignment.previousOwner == settings_.self;
    pool.scheduler.reset();
    pool.awaitedSyncs.clear();
    for (const auto& [id, node] : config.nodes) {
        if (!node.lost && node.region == settings_.region)
            pool.awaitedSyncs.insert(id);
    }
    poolLog().info("Taking over pool " + assignment.name + " with epoch " + std::to_string(assignment.epoch.value()) + ".");
}

void PoolHost::setTargets(Pool& pool)
{
    std::vector<Target> poolTargets;
    std::copy_if(targets_.begin(), targets_.end(), std::back_inserter(poolTargets), [&](const Target& target) { return target.pool == pool.assignment.id; });
    for (auto& target : poolTargets) {
        if (target.state == TargetState::Active && restrictedForAll_.contains(target.id))
            target.state = TargetState::Draining;
    }
    pool.scheduler->setRollout(rollouts_.find(pool.assignment.id));
    pool.scheduler->setTargets(poolTargets, hooks_.now());
}

void PoolHost::setContracts(Pool& pool)
{
    for (const auto& [id, contract] : contracts_)
        pool.scheduler->setContract(contract);
}

void PoolHost::activateIfReady(Pool& pool)
{
    if (pool.scheduler || !hooks_.hasLease())
        return;
    auto waited = hooks_.now() - pool.assignedAt;
    bool hasPreviousOwnerStopped = pool.hasPreviousOwnerReleased || waited >= settings_.leaseAndClockDrift;
    bool hasCollectedSyncs = pool.awaitedSyncs.empty() || waited >= settings_.poolSyncTimeout;
    if (hasPreviousOwnerStopped && hasCollectedSyncs)
        activate(pool);
}

void PoolHost::activate(Pool& pool)
{
    auto settings = settings_.pool;
    settings.kind = pool.assignment.kind;
    auto created = makePoolScheduler(settings);
    // The settings reader accepts only registered policy names.
    assert(created);
    pool.scheduler = std::move(*created);
    setTargets(pool);
    setContracts(pool);
    auto now = hooks_.now();
    for (const auto& recentAttempt : pool.recentAttempts)
        pool.scheduler->restoreRecentAttempt(recentAttempt.idempotencyKeyHash, recentAttempt.target, now);
    pool.recentAttempts.clear();
    // Running attempts occupy their slots before new requests are granted.
    for (const auto& [attempt, request] : pool.requests) {
        if (request.target.isValid())
            pool.scheduler->restore(toPoolRequest(request.grantRequest, request.deadline, now), request.target, request.isStarted, now);
    }
    std::vector<AttemptId> waiting;
    for (const auto& [attempt, request] : pool.requests) {
        if (!request.target.isValid())
            waiting.push_back(attempt);
    }
    for (auto attempt : waiting)
        submit(pool, attempt);
    poolLog().info("Granting requests for pool " + pool.assignment.name + " with epoch " + std::to_string(pool.assignment.epoch.value()) + ".");
    applyActions(pool);
}

void PoolHost::onMessage(NodeId from, LinkId link, MessageType type, std::string_view body)
{
    handle(from, link, type, body);
}

void PoolHost::handle(NodeId from, LinkId link, MessageType type, std::string_view body)
{
    auto isKnown = [&](PoolId id, Epoch epoch) {
        auto* pool = find(id);
        bool known = pool && epoch <= pool->assignment.epoch;
        if (known)
            return true;
        bufferEarlyMessage(from, link, type, body);
        // Grant requests carry no epoch and may come from nodes with an older configuration; syncs and releases of an
        // unknown epoch come from nodes with a newer one.
        if (epoch.isValid())
            hooks_.onConfigOutdated();
        return false;
    };
    switch (type) {
    case MessageType::GrantRequest:
        decodeAndHandle<GrantRequest>(body, [&](const GrantRequest& grantRequest) {
            if (isKnown(grantRequest.pool, Epoch()))
                onGrantRequest(from, link, grantRequest);
        });
        break;
    case MessageType::StreamSelection:
        decodeAndHandle<GrantRequest>(body, [&](const GrantRequest& grantRequest) {
            if (isKnown(grantRequest.pool, Epoch()))
                onStreamSelection(from, grantRequest);
        });
        break;
    case MessageType::PoolSync:
        decodeAndHandle<PoolSync>(body, [&](const PoolSync& sync) {
            if (isKnown(sync.pool, sync.epoch))
                onPoolSync(from, link, sync);
        });
        break;
    case MessageType::PoolRelease:
        decodeAndHandle<PoolRelease>(body, [&](const PoolRelease& release) {
            if (isKnown(release.pool, release.epoch))
                onPoolRelease(from, release);
        });
        break;
    case MessageType::GrantCancellation:
        decodeAndHandle<GrantCancellation>(body, [&](const GrantCancellation& cancel) { onCancel(cancel); });
        break;
    case MessageType::AttemptStarted:
        decodeAndHandle<AttemptStarted>(body, [&](const AttemptStarted& started) { onStarted(from, started); });
        break;
    case MessageType::AttemptFinished:
        decodeAndHandle<AttemptFinished>(body, [&](const AttemptFinished& finished) { onFinished(finished); });
        break;
    case MessageType::TargetAvailabilityNotice:
        decodeAndHandle<TargetAvailabilityNotice>(body, [&](const TargetAvailabilityNotice& notice) {
            if (isKnown(notice.pool, Epoch()))
                onAvailabilityNotice(from, notice);
        });
        break;
    case MessageType::TargetRateLimitNotice:
        decodeAndHandle<TargetRateLimitNotice>(body, [&](const TargetRateLimitNotice& notice) {
            if (isKnown(notice.pool, Epoch()))
                onRateLimitNotice(from, notice);
        });
        break;
    case MessageType::LoadReport:
        decodeAndHandle<LoadReport>(body, [&](const LoadReport& report) { onLoadReport(report); });
        break;
    default:
        break;
    }
}

void PoolHost::bufferEarlyMessage(NodeId from, LinkId link, MessageType type, std::string_view body)
{
    auto oldest = hooks_.now() - earlyMessageRetention;
    while (!earlyMessages_.empty() && (earlyMessages_.front().receivedAt < oldest || earlyMessages_.size() >= maxEarlyMessages))
        earlyMessages_.pop_front();
    earlyMessages_.push_back({ hooks_.now(), from, link, type, std::string(body) });
}

void PoolHost::replayEarlyMessages()
{
    auto messages = std::move(earlyMessages_);
    earlyMessages_.clear();
    auto oldest = hooks_.now() - earlyMessageRetention;
    for (const auto& message : messages) {
        if (message.receivedAt >= oldest)
            handle(message.from, message.link, message.type, message.body);
    }
}

void PoolHost::onGrantRequest(NodeId from, LinkId link, const GrantRequest& grantRequest)
{
    auto& pool = *find(grantRequest.pool);
    auto [it, isNew] = pool.requests.try_emplace(grantRequest.attempt);
    auto& request = it->second;
    request.link = link;
    if (!isNew) {
        // The entry resends its request when the grant was lost with a link or had an older epoch.
        if (request.target.isValid() && hooks_.hasLease() && pool.scheduler && !streamRuns_.isHeld(grantRequest.attempt))
            sendGrant(pool, request);
        return;
    }
    request.grantRequest = grantRequest;
    request.entry = from;
    request.deadline = hooks_.now() + std::chrono::milliseconds(grantRequest.deadlineMs);
    request.arrivedAt = arrivalOf(grantRequest, hooks_.now());
    if (!pool.scheduler)
        return;
    submit(pool, grantRequest.attempt);
    applyActions(pool);
    auto waiting = pool.requests.find(grantRequest.attempt);
    if (waiting != pool.requests.end() && (!waiting->second.target.isValid() || streamRuns_.isHeld(grantRequest.attempt)))
        transport_.postToEntry(from, MessageType::GrantQueued, encode(GrantQueued { grantRequest.pool, grantRequest.attempt }));
}

void PoolHost::onStreamSelection(NodeId from, const GrantRequest& grantRequest)
{
    streamRuns_.attemptReported(from, grantRequest, arrivalOf(grantRequest, hooks_.now()));
    refuseSuperseded(*find(grantRequest.pool));
}

void PoolHost::onPoolSync(NodeId from, LinkId link, const PoolSync& sync)
{
    auto& pool = *find(sync.pool);
    // A sync with an older epoch was meant for an earlier owner and lacks what this node may have granted since.
    if (sync.epoch < pool.assignment.epoch)
        return;
    mergeRateLimits(from, sync);
    suspects_.merge(sync);
    streams_.merge(sync);
    rollouts_.entrySynced(from, sync);
    dropUnlistedRequests(pool, from, link, sync);
    for (const auto& running : sync.running)
        restoreAttempt(pool, from, link, running);
    for (const auto& recentAttempt : sync.recent) {
        if (pool.scheduler)
            pool.scheduler->restoreRecentAttempt(recentAttempt.idempotencyKeyHash, recentAttempt.target, hooks_.now());
        else
            pool.recentAttempts.push_back(recentAttempt);
    }
    pool.awaitedSyncs.erase(from);
    refuseBlocked();
    activateIfReady(pool);
    applyActions(pool);
}

void PoolHost::dropUnlistedRequests(Pool& pool, NodeId from, LinkId link, const PoolSync& sync)
{
    std::set<AttemptId> listed;
    for (const auto& running : sync.running)
        listed.insert(running.request.attempt);
    std::vector<AttemptId> unlisted;
    for (const auto& [attempt, request] : pool.requests) {
        // Messages are not lost within one link, so an unlisted grant sent over the same link is still in transit.
        if (request.entry == from && request.link != link && !listed.contains(attempt))
            unlisted.push_back(attempt);
    }
    for (auto attempt : unlisted)
        removeRequest(pool, attempt, false);
    streamRuns_.retain(from, sync.pool, [&](AttemptId attempt) { return listed.contains(attempt) || pool.requests.contains(attempt); });
}

void PoolHost::restoreAttempt(Pool& pool, NodeId from, LinkId link, const RunningAttempt& running)
{
    auto [it, isNew] = pool.requests.try_emplace(running.request.attempt);
    auto& request = it->second;
    request.link = link;
    request.arrivedAt = arrivalOf(running.request, hooks_.now());
    streamRuns_.attemptReported(from, running.request, request.arrivedAt);
    if (!isNew && request.target == running.target)
        return;
    if (!isNew && pool.scheduler)
        pool.scheduler->cancel(running.request.attempt, hooks_.now());
    request.grantRequest = running.request;
    request.entry = from;
    request.deadline = hooks_.now() + std::chrono::milliseconds(running.request.deadlineMs);
    request.target = running.target;
    request.isStarted = running.started;
    suspects_.attemptGranted(request.grantRequest, request.target, request.isStarted);
    if (pool.scheduler)
        pool.scheduler->restore(toPoolRequest(request.grantRequest, request.deadline, hooks_.now()), request.target, request.isStarted, hooks_.now());
}

void PoolHost::onCancel(const GrantCancellation& cancel)
{
    auto* pool = find(cancel.pool);
    if (!pool)
        return;
    auto it = pool->requests.find(cancel.attempt);
    if (it != pool->requests.end() && it->second.target.isValid() && cancel.isGrantReturned)
        rateLimits_.limiter().refundRequest(it->second.target, hooks_.now());
    // An entry cancels only what it has not sent.
    removeRequest(*pool, cancel.attempt, true);
    applyActions(*pool);
}

void PoolHost::submit(Pool& pool, AttemptId attempt)
{
    auto& request = pool.requests.at(attempt);
    if (streamRuns_.isSuperseded(request.grantRequest, request.arrivedAt)) {
        refuse(pool, attempt, supersededError());
        return;
    }
    if (auto resolved = streams_.resolve(request.grantRequest, pool.assignment); !resolved) {
        refuse(pool, attempt, resolved.error());
        return;
    }
    if (auto block = suspects_.admit(request.grantRequest)) {
        refuse(pool, attempt, blockError(*block));
        return;
    }
    auto poolRequest = toPoolRequest(request.grantRequest, request.deadline, hooks_.now());
    poolRequest.mayCrashTarget = suspects_.mayCrashTarget(request.grantRequest);
    pool.scheduler->submit(std::move(poolRequest), hooks_.now());
}

void PoolHost::refuse(Pool& pool, AttemptId attempt, const Error& error)
{
    auto it = pool.requests.find(attempt);
    GrantRefusal message { pool.assignment.id, attempt, error.kind, clampMs(error.retryAfter.value_or(Duration::zero())), error.message };
    auto entry = it->second.entry;
    pool.requests.erase(it);
    transport_.postToEntry(entry, MessageType::GrantRefusal, encode(message));
}

void PoolHost::refuseBlocked()
{
    if (!suspects_.takeNewBlock())
        return;
    for (auto& [id, pool] : pools_) {
        std::vector<std::pair<AttemptId, SuspectBlock>> blocked;
        for (const auto& [attempt, request] : pool.requests) {
            auto block = request.target.isValid() ? std::nullopt : suspects_.findBlock(request.grantRequest);
            if (block)
                blocked.emplace_back(attempt, *block);
        }
        for (const auto& [attempt, block] : blocked) {
            if (pool.scheduler)
                pool.scheduler->cancel(attempt, hooks_.now());
            refuse(pool, attempt, blockError(block));
        }
    }
}

bool PoolHost::isLeaving(TargetId target) const
{
    const auto* listed = findTarget(target);
    return !listed || listed->state != TargetState::Active || restrictions_.isLeaving(target, hooks_.now());
}

void PoolHost::removeRequest(Pool& pool, AttemptId attempt, bool isUnsent)
{
    auto it = pool.requests.find(attempt);
    if (it == pool.requests.end()) {
        streamRuns_.attemptEnded(attempt);
        return;
    }
    suspects_.attemptCancelled(it->second.grantRequest, isUnsent);
    streamRuns_.attemptEnded(attempt);
    pool.requests.erase(it);
    if (pool.scheduler)
        pool.scheduler->cancel(attempt, hooks_.now());
}

void PoolHost::onStarted(NodeId from, const AttemptStarted& started)
{
    streams_.attemptStarted(started);
    streamRuns_.attemptStarted(from, started);
    auto* pool = find(started.pool);
    if (!pool)
        return;
    auto it = pool->requests.find(started.attempt);
    if (it == pool->requests.end())
        return;
    it->second.isStarted = true;
    suspects_.attemptStarted(started);
    rollouts_.attemptStarted(started);
    if (pool->scheduler)
        pool->scheduler->attemptStarted(started.attempt, std::chrono::milliseconds(started.firstTokenMs), hooks_.now());
    applyActions(*pool);
}

void PoolHost::onFinished(const AttemptFinished& finished)
{
    streams_.attemptFinished(finished);
    streamRuns_.attemptEnded(finished.attempt);
    auto* pool = find(finished.pool);
    auto it = pool ? pool->requests.find(finished.attempt) : std::map<AttemptId, HostedRequest>::iterator();
    if (!pool || it == pool->requests.end())
        return;
    auto request = std::move(it->second);
    pool->requests.erase(it);
    suspects_.attemptFinished(request.grantRequest, finished, request.target, isLeaving(request.target));
    rollouts_.attemptFinished(finished);
    refuseBlocked();
    if (zones_.isEnabled())
        zones_.recordFinished(pool->assignment, request.grantRequest.zone, zoneOf(request.target), finished.promptTokens, finished.outputTokens);
    if (pool->scheduler) {
        pool->scheduler->attemptFinished(finished.attempt, finished.outcome, finished.promptTokens, finished.outputTokens,
            std::chrono::milliseconds(finished.durationMs), hooks_.now());
    }
    applyActions(*pool);
}

void PoolHost::onLoadReport(const LoadReport& report)
{
    auto* pool = find(report.pool);
    if (!pool || !pool->scheduler)
        return;
    pool->scheduler->reportLoad(report, hooks_.now());
    applyActions(*pool);
}

void PoolHost::onAvailabilityNotice(NodeId from, const TargetAvailabilityNotice& notice)
{
    const auto* target = findTarget(notice.target);
    if (!target)
        return;
    auto now = hooks_.now();
    bool isFirstReport = notice.isLeaving && !restrictions_.isLeaving(notice.target, now);
    if (notice.isLeaving)
        restrictions_.recordLeaving(*target, now);
    restrictions_.recordPause(notice.target, from, std::chrono::milliseconds(notice.pauseMs), now);
    if (isFirstReport) {
        poolLog().event("target leaves", { { "target", target->name }, { "told_by", int64_t(from.value()) } });
        // Entries that select targets locally send no requests to this owner.
        for (NodeId entry : connectedEntries_)
            transport_.postToEntry(entry, MessageType::TargetAvailabilityNotice, encode(TargetAvailabilityNotice { notice.pool, notice.target, true, 0 }));
    }
    applyRestrictions();
}

const Target* PoolHost::findTarget(TargetId target) const
{
    auto it = std::find_if(targets_.begin(), targets_.end(), [&](const Target& known) { return known.id == target; });
    return it == targets_.end() ? nullptr : &*it;
}

std::string PoolHost::zoneOf(TargetId target) const
{
    const auto* listed = findTarget(target);
    return listed ? listed->zone : std::string();
}

void PoolHost::onRateLimitNotice(NodeId from, const TargetRateLimitNotice& notice)
{
    const auto* target = findTarget(notice.target);
    if (!target)
        return;
    if (rateLimits_.recordNotice(from, *target, notice, hooks_.now()))
        postRateLimitToAll(*target);
    else
        postRateLimit(from, *target);
}

void PoolHost::mergeRateLimits(NodeId from, const PoolSync& sync)
{
    for (const auto& notice : sync.rateLimits) {
        const auto* target = findTarget(notice.target);
        if (target && rateLimits_.merge(from, *target, notice, hooks_.now()))
            postRateLimitToAll(*target);
    }
}

void PoolHost::postRateLimit(NodeId entry, const Target& target) const
{
    transport_.postToEntry(entry, MessageType::TargetRateLimitNotice, encode(rateLimits_.noticeFor(target)));
}

void PoolHost::postRateLimitToAll(const Target& target) const
{
    // Entries need it while they select targets locally, and tell the next owner.
    for (NodeId entry : connectedEntries_)
        postRateLimit(entry, target);
}

std::set<TargetId> PoolHost::findRestrictedForAll() const
{
    std::set<TargetId> result;
    if (restrictions_.isEmpty())
        return result;
    for (const auto& target : targets_) {
        if (restrictions_.isRestrictedForAll(target.id, hooks_.now()))
            result.insert(target.id);
    }
    return result;
}

void PoolHost::applyRestrictions()
{
    restrictions_.tick(hooks_.now());
    auto restricted = findRestrictedForAll();
    if (restricted == restrictedForAll_)
        return;
    restrictedForAll_ = std::move(restricted);
    for (auto& [id, pool] : pools_) {
        if (!pool.scheduler)
            continue;
        setTargets(pool);
        applyActions(pool);
    }
}

void PoolHost::onPoolRelease(NodeId from, const PoolRelease& release)
{
    auto& pool = *find(release.pool);
    if (from != pool.assignment.previousOwner || release.epoch != pool.assignment.epoch)
        return;
    pool.hasPreviousOwnerReleased = true;
    activateIfReady(pool);
}

void PoolHost::applyActions(Pool& pool)
{
    // The entry on this node may react to a grant synchronously and so re-enter this function.
    if (!pool.scheduler || pool.isApplyingActions)
        return;
    if (!hooks_.hasLease()) {
        pool.scheduler.reset();
        return;
    }
    pool.isApplyingActions = true;
    for (auto actions = pool.scheduler->takeActions(); !actions.empty(); actions = pool.scheduler->takeActions()) {
        for (const auto& action : actions)
            applyAction(pool, action);
    }
    pool.isApplyingActions = false;
}

void PoolHost::applyAction(Pool& pool, const PoolAction& action)
{
    if (const auto* grant = std::get_if<PoolGrant>(&action)) {
        auto it = pool.requests.find(grant->attempt);
        // Cancelled as a consequence of an earlier action.
        if (it == pool.requests.end())
            return;
        it->second.target = grant->target;
        suspects_.attemptGranted(it->second.grantRequest, grant->target, false);
        rollouts_.attemptGranted(it->second.grantRequest, grant->target);
        if (zones_.isEnabled())
            zones_.recordGrant(pool.assignment, it->second.grantRequest.zone, zoneOf(grant->target));
        bool isContinuation = it->second.grantRequest.streamClaim.isContinuation;
        if (streamRuns_.attemptGranted(it->second.entry, it->second.grantRequest, it->second.arrivedAt))
            sendGrant(pool, it->second);
        if (isContinuation)
            refuseSuperseded(pool);
        return;
    }
    const auto& refusal = std::get<PoolRefusal>(action);
    auto it = pool.requests.find(refusal.attempt);
    if (it == pool.requests.end())
        return;
    auto entry = it->second.entry;
    suspects_.attemptCancelled(it->second.grantRequest, true);
    if (refusal.isForRateLimit)
        metrics_.count("pool_rate_limit_refusals_total", "pool=\"" + pool.assignment.name + "\"");
    pool.requests.erase(it);
    GrantRefusal message { pool.assignment.id, refusal.attempt, refusal.kind, static_cast<uint32_t>(std::max<int64_t>(0, toMs(refusal.retryAfter))), refusal.reason };
    transport_.postToEntry(entry, MessageType::GrantRefusal, encode(message));
}

void PoolHost::sendGrant(const Pool& pool, const HostedRequest& request)
{
    Grant grant { pool.assignment.id, request.grantRequest.attempt, pool.assignment.epoch, request.target, request.grantRequest.softwareVersion };
    transport_.postToEntry(request.entry, MessageType::Grant, encode(grant));
}

void PoolHost::onEntryConnected(NodeId node)
{
    connectedEntries_.insert(node);
    disconnectedSince_.erase(node);
    rateLimits_.setConnected(node, true, hooks_.now());
    for (const auto& notice : suspects_.blockedNotices())
        transport_.postToEntry(node, MessageType::SuspectNotice, encode(notice));
    for (const auto& target : targets_) {
        if (!find(target.pool))
            continue;
        if (rateLimits_.find(target.id))
            postRateLimit(node, target);
        if (restrictions_.isLeaving(target.id, hooks_.now()))
            transport_.postToEntry(node, MessageType::TargetAvailabilityNotice, encode(TargetAvailabilityNotice { target.pool, target.id, true, 0 }));
    }
}

void PoolHost::onEntryDisconnected(NodeId node)
{
    connectedEntries_.erase(node);
    disconnectedSince_.try_emplace(node, hooks_.now());
    rollouts_.entryDisconnected(node);
    rateLimits_.setConnected(node, false, hooks_.now());
}

void PoolHost::removeRequestsOfLostEntries()
{
    for (auto it = disconnectedSince_.begin(); it != disconnectedSince_.end();) {
        // The entry may have lost only its link; its attempts may keep running until its lease has ended.
        if (hooks_.now() - it->second < settings_.leaseAndClockDrift) {
            ++it;
            continue;
        }
        for (auto& [id, pool] : pools_) {
            std::vector<AttemptId> lost;
            for (const auto& [attempt, request] : pool.requests) {
                if (request.entry == it->first)
                    lost.push_back(attempt);
            }
            for (auto attempt : lost)
                removeRequest(pool, attempt, false);
        }
        streamRuns_.forgetEntry(it->first);
        it = disconnectedSince_.erase(it);
    }
}

void PoolHost::sendReleases()
{
    for (auto it = pendingReleases_.begin(); it != pendingReleases_.end();) {
        bool isDone = transport_.isReachable(it->node) && transport_.postToOwner(it->node, MessageType::PoolRelease, encode(it->message));
        isDone = isDone || hooks_.now() - it->since >= releaseTimeout;
        it = isDone ? pendingReleases_.erase(it) : std::next(it);
    }
}

void PoolHost::tick()
{
    sendReleases();
    removeRequestsOfLostEntries();
    applyRestrictions();
    auto now = hooks_.now();
    rateLimits_.tick(now);
    suspects_.tick();
    streams_.tick();
    streamRuns_.tick();
    refuseBlocked();
    for (auto& [id, pool] : pools_) {
        if (!hooks_.hasLease()) {
            // Without a lease this node may soon lose the pool; otherwise the scheduler is rebuilt from `requests`.
            pool.scheduler.reset();
            continue;
        }
        activateIfReady(pool);
        if (pool.scheduler) {
            pool.scheduler->tick(now);
            zones_.log(pool.assignment, pool.scheduler->takeZoneEvents());
        }
        applyActions(pool);
        if (pool.scheduler)
            rollouts_.tick(id);
    }
    publishStats();
}

bool PoolHost::isBusy() const
{
    if (!pendingReleases_.empty())
        return true;
    return std::any_of(pools_.begin(), pools_.end(), [](const auto& entry) {
        const auto& pool = entry.second;
        if (!pool.scheduler)
            return true;
        auto queued = pool.scheduler->stats().queued;
        return std::any_of(queued.begin(), queued.end(), [](size_t count) { return count > 0; });
    });
}

void PoolHost::publishZones(const Pool& pool)
{
    if (!zones_.isEnabled())
        return;
    std::map<std::string, size_t> waiting;
    for (const auto& [attempt, request] : pool.requests)
        waiting[request.grantRequest.zone] += request.target.isValid() ? 0 : 1;
    zones_.publishWaiting(pool.assignment, waiting);
}

void PoolHost::publishStats()
{
    if (hooks_.now() - statsPublishedAt_ < statsInterval)
        return;
    statsPublishedAt_ = hooks_.now();
    for (const auto& [id, pool] : pools_) {
        if (!pool.scheduler)
            continue;
        auto stats = pool.scheduler->stats();
        rateLimits_.publishGauges(metrics_, pool.assignment, targets_, stats.heldByRateLimit);
        publishZones(pool);
        for (size_t tier = 0; tier < Tier::count; ++tier) {
            auto labels = "pool=\"" + pool.assignment.name + "\",tier=\"" + std::to_string(tier) + "\"";
            metrics_.setGauge("pool_queued", labels, static_cast<double>(stats.queued[tier]));
            metrics_.setGauge("pool_running", labels, static_cast<double>(stats.running[tier]));
        }
    }
    suspects_.publishGauges();
    streams_.publishGauges();
    metrics_.setGauge("pool_owned", {}, static_cast<double>(pools_.size()));
}

}
