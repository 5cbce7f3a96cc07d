#include "briarhitch/entry/PoolHost.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "entry/PoolRequests.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** A node learns of an assignment with its next heartbeat, so that others may be a few seconds ahead. */
    constexpr Duration earlyMessageTime = 5s;
    constexpr size_t maxEarlyMessages = 20000;
    /** A new owner that hears nothing for this long waits out the old lease by itself. */
    constexpr Duration releaseTime = 5s;
    constexpr Duration statsInterval = 1s;

    const Log& poolLog()
    {
        static const Log log("pool:");
        return log;
    }

    template <class T, class Handler>
    void decodeInto(std::string_view body, Handler&& handler)
    {
        if (auto message = decode<T>(body))
            std::forward<Handler>(handler)(*message);
        else
            poolLog().warning("A message of another node has the wrong shape.");
    }

}

PoolHost::PoolHost(PoolHostSettings settings, NodeTransport& transport, MetricRegistry& metrics, PoolHostHooks hooks)
    : settings_(std::move(settings))
    , transport_(transport)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

PoolHost::~PoolHost() = default;

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
    updateActive(config);
    dropOthers(config);
    noteLostNodes(config);
    bool isAnyNew = false;
    for (const auto& [id, assignment] : config.pools) {
        bool isMine = assignment.owner == settings_.self && assignment.ownerIncarnation == settings_.incarnation;
        if (!isMine || assignment.kind == PoolKind::Ceiling)
            continue;
        auto* pool = find(id);
        if (!pool || pool->assignment.epoch < assignment.epoch) {
            adopt(assignment, config);
            isAnyNew = true;
        } else if (!assignment.previousOwner.isValid()) {
            pool->isReleased = true;
        }
    }
    if (isAnyNew)
        replayEarly();
    tick();
}

void PoolHost::updateActive(const ClusterConfig& config)
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
        flush(pool);
    }
}

void PoolHost::dropOthers(const ClusterConfig& config)
{
    for (auto it = pools_.begin(); it != pools_.end();) {
        auto assigned = config.pools.find(it->first);
        bool isMine = assigned != config.pools.end() && assigned->second.owner == settings_.self;
        if (isMine) {
            ++it;
            continue;
        }
        poolLog().info("Pool " + it->second.assignment.name + " has another owner now.");
        if (assigned != config.pools.end() && assigned->second.owner.isValid())
            releases_.push_back({ assigned->second.owner, { it->first, assigned->second.epoch }, hooks_.now() });
        it = pools_.erase(it);
    }
}

void PoolHost::noteLostNodes(const ClusterConfig& config)
{
    for (const auto& [id, node] : config.nodes) {
        if (!node.lost)
            continue;
        closedSince_.try_emplace(id, hooks_.now());
        for (auto& [poolId, pool] : pools_)
            pool.awaited.erase(id);
    }
}

void PoolHost::adopt(const PoolAssignment& assignment, const ClusterConfig& config)
{
    auto& pool = pools_[assignment.id];
    pool.assignment = assignment;
    pool.assignedAt = hooks_.now();
    // This node's own earlier life ended before this one began.
    pool.isReleased = !assignment.previousOwner.isValid() || assignment.previousOwner == settings_.self;
    pool.scheduler.reset();
    pool.awaited.clear();
    for (const auto& [id, node] : config.nodes) {
        if (!node.lost && node.region == settings_.region)
            pool.awaited.insert(id);
    }
    poolLog().info("Takes over pool " + assignment.name + " with epoch " + std::to_string(assignment.epoch.value()) + ".");
}

void PoolHost::setTargets(Pool& pool)
{
    std::vector<Target> own;
    std::copy_if(targets_.begin(), targets_.end(), std::back_inserter(own), [&](const Target& target) { return target.pool == pool.assignment.id; });
    for (auto& target : own) {
        if (target.state == TargetState::Active && restrictedForAll_.contains(target.id))
            target.state = TargetState::Draining;
    }
    pool.scheduler->setTargets(own, hooks_.now());
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
    bool isFree = pool.isReleased || waited >= settings_.leaseAndDrift;
    bool isCollected = pool.awaited.empty() || waited >= settings_.collectTime;
    if (isFree && isCollected)
        activate(pool);
}

void PoolHost::activate(Pool& pool)
{
    auto settings = settings_.pool;
    settings.kind = pool.assignment.kind;
    auto made = makePoolScheduler(settings);
    // The settings reader accepts registered names only.
    assert(made);
    pool.scheduler = std::move(*made);
    setTargets(pool);
    setContracts(pool);
    auto now = hooks_.now();
    for (const auto& repeat : pool.recent)
        pool.scheduler->restoreRecentAttempt(repeat.repeatKey, repeat.target, now);
    pool.recent.clear();
    // What runs takes its place before anything new is granted.
    for (const auto& [attempt, hosted] : pool.hosted) {
        if (hosted.target.isValid())
            pool.scheduler->restore(toPoolRequest(hosted.ask, hosted.deadline, now), hosted.target, hosted.isStarted, now);
    }
    for (const auto& [attempt, hosted] : pool.hosted) {
        if (!hosted.target.isValid())
            pool.scheduler->submit(toPoolRequest(hosted.ask, hosted.deadline, now), now);
    }
    poolLog().info("Serves pool " + pool.assignment.name + " with epoch " + std::to_string(pool.assignment.epoch.value()) + ".");
    flush(pool);
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
        keepEarly(from, link, type, body);
        // Asks name no epoch and also come from entries that are behind; syncs and releases come from those ahead.
        if (epoch.isValid())
            hooks_.onConfigBehind();
        return false;
    };
    switch (type) {
    case MessageType::Ask:
        decodeInto<Ask>(body, [&](const Ask& ask) {
            if (isKnown(ask.pool, Epoch()))
                onAsk(from, link, ask);
        });
        break;
    case MessageType::PoolSync:
        decodeInto<PoolSync>(body, [&](const PoolSync& sync) {
            if (isKnown(sync.pool, sync.epoch))
                onSync(from, link, sync);
        });
        break;
    case MessageType::PoolRelease:
        decodeInto<PoolRelease>(body, [&](const PoolRelease& release) {
            if (isKnown(release.pool, release.epoch))
                onRelease(from, release);
        });
        break;
    case MessageType::Cancel:
        decodeInto<Cancel>(body, [&](const Cancel& cancel) { onCancel(cancel); });
        break;
    case MessageType::Started:
        decodeInto<Started>(body, [&](const Started& started) { onStarted(started); });
        break;
    case MessageType::Finished:
        decodeInto<Finished>(body, [&](const Finished& finished) { onFinished(finished); });
        break;
    case MessageType::TargetNotice:
        decodeInto<TargetNotice>(body, [&](const TargetNotice& notice) { onNotice(from, notice); });
        break;
    case MessageType::LoadReport:
        decodeInto<LoadReport>(body, [&](const LoadReport& report) { onLoadReport(report); });
        break;
    default:
        break;
    }
}

void PoolHost::keepEarly(NodeId from, LinkId link, MessageType type, std::string_view body)
{
    auto oldest = hooks_.now() - earlyMessageTime;
    while (!early_.empty() && (early_.front().at < oldest || early_.size() >= maxEarlyMessages))
        early_.pop_front();
    early_.push_back({ hooks_.now(), from, link, type, std::string(body) });
}

void PoolHost::replayEarly()
{
    auto early = std::move(early_);
    early_.clear();
    auto oldest = hooks_.now() - earlyMessageTime;
    for (const auto& message : early) {
        if (message.at >= oldest)
            handle(message.from, message.link, message.type, message.body);
    }
}

void PoolHost::onAsk(NodeId from, LinkId link, const Ask& ask)
{
    auto& pool = *find(ask.pool);
    auto [it, isNew] = pool.hosted.try_emplace(ask.attempt);
    auto& hosted = it->second;
    hosted.link = link;
    if (!isNew) {
        // The entry asks again because the grant was lost with a link or had an older epoch.
        if (hosted.target.isValid() && hooks_.hasLease() && pool.scheduler)
            sendGrant(pool, hosted);
        return;
    }
    hosted.ask = ask;
    hosted.entry = from;
    hosted.deadline = hooks_.now() + std::chrono::milliseconds(ask.deadlineMs);
    if (!pool.scheduler)
        return;
    pool.scheduler->submit(toPoolRequest(ask, hosted.deadline, hooks_.now()), hooks_.now());
    flush(pool);
    if (auto waiting = pool.hosted.find(ask.attempt); waiting != pool.hosted.end() && !waiting->second.target.isValid())
        transport_.answer(from, MessageType::Queued, encode(Queued { ask.pool, ask.attempt }));
}

void PoolHost::onSync(NodeId from, LinkId link, const PoolSync& sync)
{
    auto& pool = *find(sync.pool);
    // A sync for an earlier owner lists what this node may have granted since.
    if (sync.epoch < pool.assignment.epoch)
        return;
    dropMissing(pool, from, link, sync);
    for (const auto& running : sync.running)
        restore(pool, from, link, running);
    for (const auto& repeat : sync.recent) {
        if (pool.scheduler)
            pool.scheduler->restoreRecentAttempt(repeat.repeatKey, repeat.target, hooks_.now());
        else
            pool.recent.push_back(repeat);
    }
    pool.awaited.erase(from);
    activateIfReady(pool);
    flush(pool);
}

void PoolHost::dropMissing(Pool& pool, NodeId from, LinkId link, const PoolSync& sync)
{
    std::set<AttemptId> listed;
    for (const auto& running : sync.running)
        listed.insert(running.ask.attempt);
    std::vector<AttemptId> missing;
    for (const auto& [attempt, hosted] : pool.hosted) {
        // Over the same link nothing is lost: such a grant is still on its way to the entry.
        if (hosted.entry == from && hosted.link != link && !listed.contains(attempt))
            missing.push_back(attempt);
    }
    for (auto attempt : missing)
        remove(pool, attempt);
}

void PoolHost::restore(Pool& pool, NodeId from, LinkId link, const RunningAttempt& running)
{
    auto [it, isNew] = pool.hosted.try_emplace(running.ask.attempt);
    auto& hosted = it->second;
    hosted.link = link;
    if (!isNew && hosted.target == running.target)
        return;
    if (!isNew && pool.scheduler)
        pool.scheduler->cancel(running.ask.attempt, hooks_.now());
    hosted.ask = running.ask;
    hosted.entry = from;
    hosted.deadline = hooks_.now() + std::chrono::milliseconds(running.ask.deadlineMs);
    hosted.target = running.target;
    hosted.isStarted = running.started;
    if (pool.scheduler)
        pool.scheduler->restore(toPoolRequest(hosted.ask, hosted.deadline, hooks_.now()), hosted.target, hosted.isStarted, hooks_.now());
}

void PoolHost::onCancel(const Cancel& cancel)
{
    auto* pool = find(cancel.pool);
    if (!pool)
        return;
    remove(*pool, cancel.attempt);
    flush(*pool);
}

void PoolHost::remove(Pool& pool, AttemptId attempt)
{
    if (pool.hosted.erase(attempt) > 0 && pool.scheduler)
        pool.scheduler->cancel(attempt, hooks_.now());
}

void PoolHost::onStarted(const Started& started)
{
    auto* pool = find(started.pool);
    if (!pool)
        return;
    auto it = pool->hosted.find(started.attempt);
    if (it == pool->hosted.end())
        return;
    it->second.isStarted = true;
    if (pool->scheduler)
        pool->scheduler->attemptStarted(started.attempt, std::chrono::milliseconds(started.firstTokenMs), hooks_.now());
    flush(*pool);
}

void PoolHost::onFinished(const Finished& finished)
{
    auto* pool = find(finished.pool);
    if (!pool || pool->hosted.erase(finished.attempt) == 0)
        return;
    if (pool->scheduler) {
        pool->scheduler->attemptFinished(finished.attempt, finished.outcome, finished.promptTokens, finished.outputTokens,
            std::chrono::milliseconds(finished.durationMs), hooks_.now());
    }
    flush(*pool);
}

void PoolHost::onLoadReport(const LoadReport& report)
{
    auto* pool = find(report.pool);
    if (!pool || !pool->scheduler)
        return;
    pool->scheduler->reportLoad(report, hooks_.now());
    flush(*pool);
}

void PoolHost::onNotice(NodeId from, const TargetNotice& notice)
{
    auto target = std::find_if(targets_.begin(), targets_.end(), [&](const Target& known) { return known.id == notice.target; });
    if (target == targets_.end())
        return;
    auto now = hooks_.now();
    bool isNews = notice.isLeaving && !restrictions_.isLeaving(notice.target, now);
    if (notice.isLeaving)
        restrictions_.recordLeaving(*target, now);
    restrictions_.recordPause(notice.target, from, std::chrono::milliseconds(notice.pauseMs), now);
    if (isNews) {
        poolLog().event("target leaves", { { "target", target->name }, { "told_by", int64_t(from.value()) } });
        // Entries that choose by themselves do not ask this owner.
        for (NodeId entry : openEntries_)
            transport_.answer(entry, MessageType::TargetNotice, encode(TargetNotice { notice.pool, notice.target, true, 0 }));
    }
    applyRestrictions();
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
        flush(pool);
    }
}

void PoolHost::onRelease(NodeId from, const PoolRelease& release)
{
    auto& pool = *find(release.pool);
    if (from != pool.assignment.previousOwner || release.epoch != pool.assignment.epoch)
        return;
    pool.isReleased = true;
    activateIfReady(pool);
}

void PoolHost::flush(Pool& pool)
{
    // A local entry may answer a grant at once and so come back here.
    if (!pool.scheduler || pool.isFlushing)
        return;
    if (!hooks_.hasLease()) {
        pool.scheduler.reset();
        return;
    }
    pool.isFlushing = true;
    for (auto actions = pool.scheduler->takeActions(); !actions.empty(); actions = pool.scheduler->takeActions()) {
        for (const auto& action : actions)
            carryOut(pool, action);
    }
    pool.isFlushing = false;
}

void PoolHost::carryOut(Pool& pool, const PoolAction& action)
{
    if (const auto* grant = std::get_if<PoolGrant>(&action)) {
        auto it = pool.hosted.find(grant->attempt);
        // Cancelled by an action before this one.
        if (it == pool.hosted.end())
            return;
        it->second.target = grant->target;
        sendGrant(pool, it->second);
        return;
    }
    const auto& refusal = std::get<PoolRefusal>(action);
    auto it = pool.hosted.find(refusal.attempt);
    if (it == pool.hosted.end())
        return;
    auto entry = it->second.entry;
    pool.hosted.erase(it);
    Refuse refuse { pool.assignment.id, refusal.attempt, refusal.kind, static_cast<uint32_t>(std::max<int64_t>(0, toMs(refusal.retryAfter))), refusal.reason };
    transport_.answer(entry, MessageType::Refuse, encode(refuse));
}

void PoolHost::sendGrant(const Pool& pool, const Hosted& hosted)
{
    Grant grant { pool.assignment.id, hosted.ask.attempt, pool.assignment.epoch, hosted.target };
    transport_.answer(hosted.entry, MessageType::Grant, encode(grant));
}

void PoolHost::onEntryOpen(NodeId node)
{
    openEntries_.insert(node);
    closedSince_.erase(node);
}

void PoolHost::onEntryClosed(NodeId node)
{
    openEntries_.erase(node);
    closedSince_.try_emplace(node, hooks_.now());
}

void PoolHost::freeLostEntries()
{
    for (auto it = closedSince_.begin(); it != closedSince_.end();) {
        // The entry may only have lost its link; until its lease has ended its attempts count.
        if (hooks_.now() - it->second < settings_.leaseAndDrift) {
            ++it;
            continue;
        }
        for (auto& [id, pool] : pools_) {
            std::vector<AttemptId> lost;
            for (const auto& [attempt, hosted] : pool.hosted) {
                if (hosted.entry == it->first)
                    lost.push_back(attempt);
            }
            for (auto attempt : lost)
                remove(pool, attempt);
        }
        it = closedSince_.erase(it);
    }
}

void PoolHost::sendReleases()
{
    for (auto it = releases_.begin(); it != releases_.end();) {
        bool isDone = transport_.isReachable(it->node) && transport_.post(it->node, MessageType::PoolRelease, encode(it->message));
        isDone = isDone || hooks_.now() - it->since >= releaseTime;
        it = isDone ? releases_.erase(it) : std::next(it);
    }
}

void PoolHost::tick()
{
    sendReleases();
    freeLostEntries();
    applyRestrictions();
    auto now = hooks_.now();
    for (auto& [id, pool] : pools_) {
        if (!hooks_.hasLease()) {
            // Without a lease another node may own the pool soon; it is built anew from `hosted` if not.
            pool.scheduler.reset();
            continue;
        }
        activateIfReady(pool);
        if (pool.scheduler)
            pool.scheduler->tick(now);
        flush(pool);
    }
    publishStats();
}

bool PoolHost::isBusy() const
{
    if (!releases_.empty())
        return true;
    return std::any_of(pools_.begin(), pools_.end(), [](const auto& entry) {
        const auto& pool = entry.second;
        if (!pool.scheduler)
            return true;
        auto queued = pool.scheduler->stats().queued;
        return std::any_of(queued.begin(), queued.end(), [](size_t count) { return count > 0; });
    });
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
        for (size_t tier = 0; tier < Tier::count; ++tier) {
            auto labels = "pool=\"" + pool.assignment.name + "\",tier=\"" + std::to_string(tier) + "\"";
            metrics_.setGauge("pool_queued", labels, static_cast<double>(stats.queued[tier]));
            metrics_.setGauge("pool_running", labels, static_cast<double>(stats.running[tier]));
        }
    }
    metrics_.setGauge("pool_owned", {}, static_cast<double>(pools_.size()));
}

}
