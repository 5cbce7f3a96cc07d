#include "briarhitch/entry/PoolClient.h"

#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "wire/Codec.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** As long as owners remember which target had a repeat key. */
    constexpr Duration repeatMemory = 10min;
    constexpr size_t maxRecentRepeats = 20000;

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
    if (isOwnerOverdue(state))
        return tl::unexpected(ownerMissing());
    auto pending = std::make_shared<Pending>(loop_, ask, deadline);
    pending_[ask.attempt] = pending;
    sendAsk(*pending);
    pending->decided.waitFor(std::max<Duration>(deadline - now_(), 0ms));
    pending_.erase(ask.attempt);
    if (!pending->decided.isSet())
        postToOwner(ask.pool, MessageType::Cancel, Cancel { ask.pool, ask.attempt });
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
    auto left = makeError(ErrorKind::CallerLeft, "the caller left the queue");
    left.ran = Ran::No;
    pending->decide(tl::unexpected(left));
}

bool PoolClient::isCurrent(const Grant& grant) const
{
    auto it = pools_.find(grant.pool);
    return it != pools_.end() && grant.epoch >= it->second.epoch;
}

void PoolClient::release(const Grant& grant)
{
    running_.erase(grant.attempt);
    postToOwner(grant.pool, MessageType::Cancel, Cancel { grant.pool, grant.attempt });
}

void PoolClient::started(const Started& started)
{
    auto it = running_.find(started.attempt);
    if (it == running_.end())
        return;
    it->second.started = true;
    postToOwner(started.pool, MessageType::Started, started);
}

void PoolClient::finished(const Finished& finished)
{
    auto it = running_.find(finished.attempt);
    if (it == running_.end())
        return;
    remember(it->second.ask, it->second.target);
    running_.erase(it);
    postToOwner(finished.pool, MessageType::Finished, finished);
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
    }
}

void PoolClient::onGrant(const Grant& grant)
{
    auto& state = pools_[grant.pool];
    // An owner that lost the pool may still have had this grant on its way.
    if (grant.epoch < state.epoch)
        return;
    state.epoch = grant.epoch;
    auto it = pending_.find(grant.attempt);
    if (it != pending_.end() && !it->second->decided.isSet()) {
        running_[grant.attempt] = RunningAttempt { it->second->ask, grant.target, false };
        it->second->decide(grant);
        return;
    }
    if (!running_.contains(grant.attempt))
        postToOwner(grant.pool, MessageType::Cancel, Cancel { grant.pool, grant.attempt });
}

void PoolClient::onRefuse(const Refuse& refuse)
{
    auto it = pending_.find(refuse.attempt);
    if (it == pending_.end())
        return;
    auto error = makeError(refuse.kind, refuse.reason);
    error.ran = Ran::No;
    if (refuse.retryAfterMs > 0)
        error.retryAfter = std::chrono::milliseconds(refuse.retryAfterMs);
    it->second->decide(tl::unexpected(error));
}

void PoolClient::sendAsk(const Pending& pending)
{
    auto ask = pending.ask;
    ask.deadlineMs = msLeft(pending.deadline, now_());
    postToOwner(ask.pool, MessageType::Ask, ask);
}

void PoolClient::onConfigChange(const ClusterConfig& config)
{
    for (const auto& [id, assignment] : config.pools) {
        if (assignment.kind != PoolKind::Ceiling)
            adoptAssignment(assignment);
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
    // A local owner decides while asks are sent, so the waiting ones are collected first.
    std::vector<std::shared_ptr<Pending>> waiting;
    for (const auto& [attempt, pending] : pending_) {
        if (pending->ask.pool == pool && !pending->decided.isSet())
            waiting.push_back(pending);
    }
    for (const auto& pending : waiting)
        sendAsk(*pending);
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

}
