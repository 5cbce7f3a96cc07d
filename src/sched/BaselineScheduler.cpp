#include "sched/BaselineScheduler.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // A common connection limit per target; further requests wait in the proxy.
    constexpr uint32_t maxInFlightPerSlot = 8;
    // Without pipelining, no more requests are sent than the target runs concurrently.
    constexpr auto pipeliningFeature = "pipelining";

    PoolSchedulerRegistry::Registration naive("naive", [](const PoolSettings& settings) {
        return std::make_unique<BaselineScheduler>(settings, BaselineScheduler::TargetSelection::RoundRobin);
    });
    PoolSchedulerRegistry::Registration twoChoices("two-choices", [](const PoolSettings& settings) {
        return std::make_unique<BaselineScheduler>(settings, BaselineScheduler::TargetSelection::TwoChoices);
    });

}

BaselineScheduler::BaselineScheduler(const PoolSettings& settings, TargetSelection targetSelection)
    : settings_(settings)
    , targetSelection_(targetSelection)
    , random_(settings.seed)
    , maxInFlightPerSlot_(settings.disabledFeatures.contains(pipeliningFeature) ? 1 : maxInFlightPerSlot)
{
}

void BaselineScheduler::setTargets(const std::vector<Target>& targets, Instant now)
{
    for (auto& [id, load] : loads_)
        load.isActive = false;
    active_.clear();
    for (const auto& target : targets) {
        auto& load = loads_[target.id];
        load.slots = std::max(1U, target.slots);
        load.isActive = target.state == TargetState::Active;
        if (load.isActive)
            active_.push_back(target.id);
    }
    dispatch(now);
}

void BaselineScheduler::setContract(const Contract&) { }

bool BaselineScheduler::isEligible(const PoolRequest& request, TargetId target) const
{
    const auto& excluded = request.excluded;
    return std::find(excluded.begin(), excluded.end(), target) == excluded.end() && !recentAttempts_.wasAttempted(request.idempotencyKeyHash, target);
}

bool BaselineScheduler::hasCapacity(TargetId target, Instant now) const
{
    const auto& load = loads_.at(target);
    bool isAllowed = !settings_.rateLimiter || settings_.rateLimiter->allowsRequest(target, now);
    return isAllowed && load.reachable && load.inFlight < load.slots * maxInFlightPerSlot_;
}

bool BaselineScheduler::hasEligibleTarget(const PoolRequest& request) const
{
    return std::any_of(active_.begin(), active_.end(), [&](TargetId target) { return isEligible(request, target); });
}

double BaselineScheduler::loadOf(TargetId target) const
{
    const auto& load = loads_.at(target);
    return static_cast<double>(load.reported + load.sentSinceReport) / load.slots;
}

std::optional<TargetId> BaselineScheduler::nextRoundRobin(const PoolRequest& request, Instant now)
{
    for (size_t i = 0; i < active_.size(); ++i) {
        const TargetId target = active_[nextTargetIndex_++ % active_.size()];
        if (isEligible(request, target) && hasCapacity(target, now))
            return target;
    }
    return std::nullopt;
}

std::optional<TargetId> BaselineScheduler::selectTarget(const PoolRequest& request, Instant now)
{
    if (targetSelection_ == TargetSelection::RoundRobin || active_.empty())
        return nextRoundRobin(request, now);
    const TargetId first = active_[random_.below(active_.size())];
    const TargetId second = active_[random_.below(active_.size())];
    const bool firstFits = isEligible(request, first) && hasCapacity(first, now);
    const bool secondFits = isEligible(request, second) && hasCapacity(second, now);
    if (firstFits && secondFits)
        return loadOf(first) <= loadOf(second) ? first : second;
    if (firstFits || secondFits)
        return firstFits ? first : second;
    return nextRoundRobin(request, now);
}

void BaselineScheduler::submit(PoolRequest request, Instant now)
{
    if (queued_.contains(request.attempt) || running_.contains(request.attempt))
        return;
    if (!hasEligibleTarget(request)) {
        refuse(request, ErrorKind::NoTarget, "no target can take the request");
        return;
    }
    if (queue_.size() >= settings_.maxQueued) {
        refuse(request, ErrorKind::QueueFull, "queue is full");
        return;
    }
    ++stats_.queued[request.tier.value()];
    stats_.queuedTokens += request.promptTokens;
    queued_.insert(request.attempt);
    queue_.push_back(std::move(request));
    dispatch(now);
}

void BaselineScheduler::dispatch(Instant now)
{
    while (!queue_.empty()) {
        auto& head = queue_.front();
        const bool isQueued = queued_.contains(head.attempt);
        std::optional<TargetId> target;
        if (isQueued) {
            target = selectTarget(head, now);
            if (!target && hasEligibleTarget(head))
                return;
            queued_.erase(head.attempt);
            --stats_.queued[head.tier.value()];
            stats_.queuedTokens -= head.promptTokens;
            if (target)
                grant(head, *target, now);
            else
                refuse(head, ErrorKind::NoTarget, "every target was attempted, is excluded or was removed");
        }
        queue_.pop_front();
    }
}

void BaselineScheduler::grant(const PoolRequest& request, TargetId target, Instant now)
{
    auto& load = loads_[target];
    ++load.inFlight;
    ++load.sentSinceReport;
    if (settings_.rateLimiter)
        settings_.rateLimiter->recordRequests(target, 1, now);
    running_.emplace(request.attempt, Running { target, request.tier });
    ++stats_.running[request.tier.value()];
    recentAttempts_.recordAttempt(request.idempotencyKeyHash, target, now);
    actions_.emplace_back(PoolGrant { request.attempt, target });
}

void BaselineScheduler::refuse(const PoolRequest& request, ErrorKind kind, std::string_view reason)
{
    actions_.emplace_back(PoolRefusal { request.attempt, kind, errorInfo(kind).retryAfter.value_or(1s), std::string(reason) });
}

void BaselineScheduler::release(AttemptId attempt)
{
    auto it = running_.find(attempt);
    if (it == running_.end())
        return;
    auto& load = loads_[it->second.target];
    if (load.inFlight > 0)
        --load.inFlight;
    --stats_.running[it->second.tier.value()];
    running_.erase(it);
}

void BaselineScheduler::cancel(AttemptId attempt, Instant now)
{
    if (queued_.erase(attempt) > 0) {
        auto it = std::find_if(queue_.begin(), queue_.end(), [&](const PoolRequest& request) { return request.attempt == attempt; });
        --stats_.queued[it->tier.value()];
        stats_.queuedTokens -= it->promptTokens;
        queue_.erase(it);
    }
    release(attempt);
    dispatch(now);
}

void BaselineScheduler::attemptStarted(AttemptId, Duration, Instant) { }

void BaselineScheduler::attemptFinished(AttemptId attempt, AttemptOutcome, Tokens, Tokens, Duration, Instant now)
{
    release(attempt);
    dispatch(now);
}

void BaselineScheduler::restore(PoolRequest request, TargetId target, bool, Instant now)
{
    if (queued_.contains(request.attempt) || running_.contains(request.attempt))
        return;
    ++loads_[target].inFlight;
    running_.emplace(request.attempt, Running { target, request.tier });
    ++stats_.running[request.tier.value()];
    recentAttempts_.recordAttempt(request.idempotencyKeyHash, target, now);
}

void BaselineScheduler::restoreRecentAttempt(uint64_t idempotencyKeyHash, TargetId target, Instant now)
{
    recentAttempts_.recordAttempt(idempotencyKeyHash, target, now);
}

void BaselineScheduler::reportLoad(const LoadReport& report, Instant now)
{
    auto it = loads_.find(report.target);
    if (it == loads_.end())
        return;
    it->second.reported = report.running + report.waiting;
    it->second.sentSinceReport = 0;
    it->second.reachable = report.reachable;
    dispatch(now);
}

void BaselineScheduler::tick(Instant now)
{
    recentAttempts_.removeExpired(now);
    dispatch(now);
}

std::vector<PoolAction> BaselineScheduler::takeActions()
{
    return std::exchange(actions_, {});
}

PoolStats BaselineScheduler::stats() const
{
    return stats_;
}

}
