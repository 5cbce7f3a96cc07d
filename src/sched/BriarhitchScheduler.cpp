#include "sched/BriarhitchScheduler.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Initial values for an engine without measurements; its window then adapts to its latency.
    constexpr int64_t initialTokensPerSlot = 4000;
    constexpr int64_t maxTokensPerSlot = 16000;
    // An engine computes prompt tokens in parallel but output tokens sequentially, so these cost several times as much.
    constexpr int64_t outputTokenWeight = 8;
    // Added to each request's cost, because even a tiny request takes part in every step of the engine.
    constexpr int64_t requestOverheadTokens = 50;
    constexpr Duration firstTokenGoal = 800ms;
    // A slower prefill is taken as overload.
    constexpr double goalPrefillTokensPerSecond = 3000;
    // A service whose calls take this many times the pool's mean is taken as overloaded.
    constexpr double serviceGoalRatio = 3;
    // A target that has the whole prompt cached is preferred up to this much more utilization than the least utilized one.
    constexpr double maxAffinityImbalance = 0.3;
    constexpr size_t maxSlowTargetsSkipped = 32;
    constexpr int queuesCheckedPerTick = 64;
    constexpr int maxRefusalsPerTick = 256;
    // A request is admitted if its predicted first token uses at most this fraction of its time, because predictions are noisy.
    constexpr double admissionFraction = 0.8;
    // A queued request is refused if its predicted time exceeds its remaining time by this factor; hysteresis against noise.
    constexpr double refusalFactor = 1.3;
    // Mean deviations added to the expected first-token time, so that few prompts are computed and then miss the deadline.
    constexpr double deviationMultiplier = 2;
    constexpr Duration minRetryAfter = 1s;
    constexpr Duration maxRetryAfter = 60s;
    constexpr double retryJitter = 0.25;

    bool contains(const std::vector<TargetId>& targets, TargetId target)
    {
        return std::find(targets.begin(), targets.end(), target) != targets.end();
    }

    PoolSchedulerRegistry::Registration registration("briarhitch", [](const PoolSettings& settings) {
        return std::make_unique<BriarhitchScheduler>(settings);
    });

}

BriarhitchScheduler::Features BriarhitchScheduler::enabledFeatures(const PoolSettings& settings)
{
    auto isOn = [&](const char* name) { return !settings.disabledFeatures.contains(name); };
    return { isOn("tiers"), isOn("fair"), isOn("lengths"), isOn("prefix"), isOn("deadline"), isOn("shed") };
}

TargetTable::Options BriarhitchScheduler::tableOptions(const PoolSettings& settings)
{
    TargetTable::Options options;
    if (settings.kind == PoolKind::Model) {
        options.initialCostPerSlot = initialTokensPerSlot;
        options.maxCostPerSlot = maxTokensPerSlot;
    }
    options.adjustsWindows = !settings.disabledFeatures.contains("window");
    if (!options.adjustsWindows)
        options.initialCostPerSlot = options.maxCostPerSlot;
    options.backsOff = !settings.disabledFeatures.contains("backoff");
    options.rateLimiter = settings.rateLimiter;
    return options;
}

BriarhitchScheduler::BriarhitchScheduler(const PoolSettings& settings)
    : settings_(settings)
    , features_(enabledFeatures(settings))
    , targets_(tableOptions(settings))
    , queue_(settings.disabledFeatures.contains("floors") ? std::map<WorkKindId, double> {} : settings.floors)
{
}

int64_t BriarhitchScheduler::estimateCost(const PoolRequest& request) const
{
    if (settings_.kind != PoolKind::Model)
        return 1;
    const Tokens output = features_.lengths ? lengths_.estimate(request.customer, request.kind, request.maxOutputTokens) : request.maxOutputTokens;
    return requestOverheadTokens + std::max<int64_t>(0, request.promptTokens.value()) + outputTokenWeight * std::max<int64_t>(0, output.value());
}

double BriarhitchScheduler::weightOf(CustomerId customer) const
{
    auto weight = weights_.find(customer);
    return weight == weights_.end() ? 1 : weight->second;
}

bool BriarhitchScheduler::isEligible(const PoolRequest& request, TargetId target) const
{
    return !contains(request.excluded, target) && !recentAttempts_.wasAttempted(request.idempotencyKeyHash, target);
}

bool BriarhitchScheduler::hasEligibleTarget(const PoolRequest& request) const
{
    const auto& active = targets_.active();
    return std::any_of(active.begin(), active.end(), [&](TargetId target) { return isEligible(request, target); });
}

Duration BriarhitchScheduler::expectedFirstToken(const PoolRequest& request, Instant now) const
{
    return latency_.expected(static_cast<double>(request.promptTokens.value()), now) + fromSeconds(deviationMultiplier * latency_.deviation(now));
}

Duration BriarhitchScheduler::expectedWait(const PoolQueue::Entry& entry, double costAhead, Instant now) const
{
    if (costAhead <= 0)
        return Duration(0);
    const double rate = predictor_.drainRate(targets_.capacity(), targets_.slots(), now);
    if (rate <= 0)
        return Duration(0);
    double seconds = costAhead / predictor_.drainRateForTier(entry.tier, rate, now);
    const double floor = queue_.floors().floorOf(entry.kind);
    if (floor > 0)
        seconds = std::min(seconds, static_cast<double>(queue_.floors().queuedCost(entry.kind)) / (floor * rate));
    // Longer than any deadline, without overflow when it is added to an Instant.
    constexpr double maxWaitSeconds = 86400;
    return fromSeconds(std::min(seconds, maxWaitSeconds));
}

Duration BriarhitchScheduler::retryAfter(AttemptId attempt, Duration wait) const
{
    // Jitter, so that callers refused together do not retry together.
    const double fraction = static_cast<double>((attempt.request.value() * 0x9e3779b97f4a7c15ULL) >> 40) / static_cast<double>(1 << 24);
    return std::clamp(wait, minRetryAfter, maxRetryAfter) + fromSeconds(toSeconds(std::clamp(wait, minRetryAfter, maxRetryAfter)) * retryJitter * fraction);
}

BriarhitchScheduler::RequestRecord& BriarhitchScheduler::addRecord(PoolRequest request)
{
    auto record = std::make_unique<RequestRecord>();
    const int64_t cost = estimateCost(request);
    const Tier tier = features_.tiers ? request.tier : Tier(0);
    // Without fair queueing, all work of a tier shares one queue.
    const CustomerId customer = features_.fair ? request.customer : CustomerId(1);
    const WorkKindId kind = features_.fair ? request.kind : WorkKindId(1);
    record->entry = { { request.attempt, customer, kind, cost, ++lastSequence_ }, tier, request.kind, request.deadline };
    record->request = std::move(request);
    auto& slot = records_[record->request.attempt];
    slot = std::move(record);
    return *slot;
}

void BriarhitchScheduler::submit(PoolRequest request, Instant now)
{
    if (records_.contains(request.attempt))
        return;
    auto& record = addRecord(std::move(request));
    const auto& submitted = record.request;
    const auto& entry = record.entry;
    const auto availableAt = targets_.nextAvailableAt(now);
    const Duration firstToken = features_.deadline ? expectedFirstToken(submitted, now) : Duration(0);
    if (!availableAt || !hasEligibleTarget(submitted) || *availableAt + firstToken > submitted.deadline) {
        const bool isTargetAvailable = availableAt && *availableAt == now && hasEligibleTarget(submitted);
        const Duration wait = availableAt ? *availableAt - now : Duration(0);
        refuse(submitted.attempt, isTargetAvailable ? ErrorKind::DeadlineUnreachable : ErrorKind::NoTarget, wait, isTargetAvailable ? "deadline is too short" : "no target can take the request");
        return;
    }
    const double weight = weightOf(submitted.customer);
    const double ahead = queue_.costAheadOfNew(entry, weight);
    const Duration wait = expectedWait(entry, ahead, now);
    if (features_.deadline && toSeconds(wait + firstToken) > admissionFraction * toSeconds(submitted.deadline - now)) {
        refuse(submitted.attempt, ErrorKind::DeadlineUnreachable, wait, "predicted first token is after the deadline");
        return;
    }
    if (!ensureQueueSpace(record, now)) {
        refuse(submitted.attempt, ErrorKind::QueueFull, wait, "queue is full of work that is at least as urgent");
        return;
    }
    predictor_.recordArrival(entry.tier, entry.item.cost, now);
    queue_.push(entry, weight);
    ++stats_.queued[submitted.tier.value()];
    stats_.queuedTokens += Tokens(entry.item.cost);
    dispatch(now);
}

bool BriarhitchScheduler::ensureQueueSpace(const RequestRecord& record, Instant now)
{
    if (queue_.size() < settings_.maxQueued)
        return true;
    const auto least = queue_.leastUrgentTier();
    if (!least || !features_.shed || !record.entry.tier.isMoreUrgentThan(*least))
        return false;
    const auto victim = queue_.newestOfLeastUrgent();
    const auto& shed = *records_.at(victim->attempt);
    const Duration wait = expectedWait(shed.entry, queue_.costAheadOfNewest(*least, *victim), now);
    removeQueued(shed);
    refuse(victim->attempt, ErrorKind::Shed, wait, "displaced from the full queue by more urgent work");
    return true;
}

void BriarhitchScheduler::refuse(AttemptId attempt, ErrorKind kind, Duration wait, std::string_view reason)
{
    actions_.emplace_back(PoolRefusal { attempt, kind, retryAfter(attempt, wait), std::string(reason) });
    records_.erase(attempt);
}

void BriarhitchScheduler::removeQueued(const RequestRecord& record)
{
    queue_.remove(record.entry);
    --stats_.queued[record.request.tier.value()];
    stats_.queuedTokens -= Tokens(record.entry.item.cost);
    backlogged_ = backlogged_ && !queue_.empty();
}

void BriarhitchScheduler::releaseTarget(RequestRecord& record, Instant now)
{
    if (record.isCharged)
        targets_.release(record.target, record.entry.item.cost, now);
    --stats_.running[record.request.tier.value()];
    stats_.runningTokens -= Tokens(record.entry.item.cost);
}

void BriarhitchScheduler::cancel(AttemptId attempt, Instant now)
{
    auto it = records_.find(attempt);
    if (it == records_.end())
        return;
    auto& record = *it->second;
    if (record.isRunning) {
        releaseTarget(record, now);
        // Nothing was sent, so the target remains eligible for this request.
        recentAttempts_.removeAttempt(record.request.idempotencyKeyHash, record.target);
    } else {
        removeQueued(record);
    }
    records_.erase(it);
    dispatch(now);
}

void BriarhitchScheduler::learnLatency(const RequestRecord& record, Duration latency, Instant now)
{
    const auto size = static_cast<double>(record.request.promptTokens.value());
    const bool isModel = settings_.kind == PoolKind::Model;
    const Duration expectedLatency = latency_.expected(size, now);
    const Duration goal = isModel ? firstTokenGoal + fromSeconds(size / goalPrefillTokensPerSecond) : std::max<Duration>(10ms, fromSeconds(serviceGoalRatio * toSeconds(expectedLatency)));
    if (isModel || expectedLatency > Duration(0))
        targets_.observe(record.target, latency, goal, now);
    // Latency beyond the goal is queueing at the target, which a smaller window removes; a prediction that included it
    // would refuse work for a condition that is already being corrected.
    const Duration boundedLatency = expectedLatency > Duration(0) ? std::min(latency, goal) : latency;
    if (expectedLatency > Duration(0))
        targets_.observeSlowness(record.target, toSeconds(boundedLatency) / toSeconds(expectedLatency), now);
    latency_.addSample(size, boundedLatency, now);
    targets_.recordSuccess(record.target, now);
}

void BriarhitchScheduler::attemptStarted(AttemptId attempt, Duration firstToken, Instant now)
{
    auto it = records_.find(attempt);
    if (it == records_.end() || !it->second->isRunning || it->second->isStarted)
        return;
    it->second->isStarted = true;
    if (settings_.kind == PoolKind::Model)
        learnLatency(*it->second, firstToken, now);
    dispatch(now);
}

void BriarhitchScheduler::learnFrom(const RequestRecord& record, AttemptOutcome outcome, Tokens outputTokens, Duration duration, Instant now)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        if (settings_.kind == PoolKind::Model)
            lengths_.addSample(record.request.customer, record.request.kind, outputTokens);
        else
            learnLatency(record, duration, now);
        predictor_.recordCompletion(record.entry.item.cost, duration);
        targets_.recordSuccess(record.target, now);
        return;
    case AttemptOutcome::Cancelled:
        return;
    case AttemptOutcome::Refused:
        targets_.recordTargetRefusal(record.target, now);
        return;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Errored:
    case AttemptOutcome::Unreachable:
        targets_.recordFailure(record.target, now);
        return;
    }
}

void BriarhitchScheduler::attemptFinished(AttemptId attempt, AttemptOutcome outcome, Tokens, Tokens outputTokens, Duration duration, Instant now)
{
    auto it = records_.find(attempt);
    if (it == records_.end() || !it->second->isRunning)
        return;
    auto record = std::move(it->second);
    records_.erase(it);
    releaseTarget(*record, now);
    learnFrom(*record, outcome, outputTokens, duration, now);
    dispatch(now);
}

void BriarhitchScheduler::restore(PoolRequest request, TargetId target, bool isStarted, Instant now)
{
    if (records_.contains(request.attempt))
        return;
    auto& record = addRecord(std::move(request));
    record.target = target;
    record.isRunning = true;
    record.isStarted = isStarted;
    record.isCharged = targets_.hasTarget(target);
    if (record.isCharged)
        targets_.charge(target, record.entry.item.cost, now);
    ++stats_.running[record.request.tier.value()];
    stats_.runningTokens += Tokens(record.entry.item.cost);
    recentAttempts_.recordAttempt(record.request.idempotencyKeyHash, target, now);
    prefixes_.insert(record.request.prefix, target);
}

void BriarhitchScheduler::restoreRecentAttempt(uint64_t idempotencyKeyHash, TargetId target, Instant now)
{
    recentAttempts_.recordAttempt(idempotencyKeyHash, target, now);
}

void BriarhitchScheduler::reportLoad(const LoadReport& report, Instant now)
{
    targets_.setReachable(report.target, report.reachable, now);
    dispatch(now);
}

void BriarhitchScheduler::setContract(const Contract& contract)
{
    weights_[contract.customer] = contract.share > 0 ? contract.share : 1;
}

void BriarhitchScheduler::setTargets(const std::vector<Target>& targets, Instant now)
{
    targets_.setTargets(targets, now);
    std::vector<AttemptId> ineligible;
    for (const auto& [attempt, record] : records_) {
        if (!record->isRunning && !hasEligibleTarget(record->request))
            ineligible.push_back(attempt);
    }
    std::sort(ineligible.begin(), ineligible.end());
    for (AttemptId attempt : ineligible) {
        removeQueued(*records_.at(attempt));
        refuse(attempt, ErrorKind::NoTarget, Duration(0), "no eligible target remains in the pool");
    }
    dispatch(now);
}

std::optional<TargetId> BriarhitchScheduler::selectTarget(const PoolRequest& request, Instant now) const
{
    const double firstToken = toSeconds(expectedFirstToken(request, now));
    const double timeLeft = toSeconds(request.deadline - now);
    auto isFastEnough = [&](TargetId target) { return !features_.deadline || firstToken * targets_.slowness(target, now) <= timeLeft; };
    auto accepts = [&](TargetId target) { return isEligible(request, target) && isFastEnough(target); };
    auto best = targets_.leastUtilized(accepts, maxSlowTargetsSkipped);
    // If all targets are too slow, the request waits. With more targets than were examined, the others may be fast enough.
    if (!best && targets_.availableCount() > maxSlowTargetsSkipped)
        best = targets_.leastUtilized([&](TargetId target) { return isEligible(request, target); });
    if (!best || !features_.prefix || request.prefix.empty())
        return best;
    double bestScore = targets_.utilization(*best);
    for (const auto& match : prefixes_.find(request.prefix)) {
        if (match.blocks == 0 || !targets_.isAvailable(match.target) || !accepts(match.target))
            continue;
        const double cached = static_cast<double>(match.blocks) / static_cast<double>(request.prefix.size());
        const double score = targets_.utilization(match.target) - maxAffinityImbalance * cached;
        if (score < bestScore) {
            bestScore = score;
            best = match.target;
        }
    }
    return best;
}

void BriarhitchScheduler::dispatch(Instant now)
{
    while (!queue_.empty() && targets_.hasAvailable()) {
        if (!dispatchFloor(now) && !dispatchOne(now))
            break;
    }
}

bool BriarhitchScheduler::dispatchFloor(Instant now)
{
    const auto belowFloor = queue_.floors().belowFloor(now);
    if (!belowFloor)
        return false;
    auto& record = *records_.at(*belowFloor);
    const auto target = selectTarget(record.request, now);
    if (!target)
        return false;
    grant(record, *target, now);
    return true;
}

bool BriarhitchScheduler::dispatchOne(Instant now)
{
    for (uint8_t i = 0; i < Tier::count; ++i) {
        std::optional<TargetId> target;
        std::optional<AttemptId> stranded;
        auto item = queue_.tier(Tier(i)).findFirst([&](const FairQueue::Item& candidate) {
            const auto& request = records_.at(candidate.attempt)->request;
            target = selectTarget(request, now);
            if (!target && !hasEligibleTarget(request))
                stranded = candidate.attempt;
            return target || stranded;
        });
        if (stranded) {
            removeQueued(*records_.at(*stranded));
            refuse(*stranded, ErrorKind::NoTarget, Duration(0), "every target was attempted, is excluded or was removed");
            return true;
        }
        if (item) {
            grant(*records_.at(item->attempt), *target, now);
            return true;
        }
    }
    return false;
}

void BriarhitchScheduler::grant(RequestRecord& record, TargetId target, Instant now)
{
    const auto& request = record.request;
    const Duration firstToken = expectedFirstToken(request, now);
    if (features_.deadline && now + firstToken > request.deadline) {
        removeQueued(record);
        refuse(request.attempt, ErrorKind::DeadlineUnreachable, firstToken, "the first token would arrive after the deadline");
        return;
    }
    queue_.serve(record.entry, now);
    backlogged_ = backlogged_ && !queue_.empty();
    record.isRunning = true;
    record.isCharged = true;
    record.target = target;
    const int64_t cost = record.entry.item.cost;
    if (settings_.rateLimiter)
        settings_.rateLimiter->recordRequests(target, 1, now);
    targets_.charge(target, cost, now);
    predictor_.recordGrantedCost(cost);
    if (features_.prefix)
        prefixes_.insert(request.prefix, target);
    recentAttempts_.recordAttempt(request.idempotencyKeyHash, target, now);
    --stats_.queued[request.tier.value()];
    ++stats_.running[request.tier.value()];
    stats_.queuedTokens -= Tokens(cost);
    stats_.runningTokens += Tokens(cost);
    actions_.emplace_back(PoolGrant { request.attempt, target });
}

void BriarhitchScheduler::refuseExpired(Instant now)
{
    for (auto next = queue_.nextDeadline(); next; next = queue_.nextDeadline()) {
        const auto& record = *records_.at(next->second);
        const Duration least = features_.deadline ? expectedFirstToken(record.request, now) : Duration(0);
        if (now + least <= next->first)
            return;
        const Duration wait = expectedWait(record.entry, queue_.costAheadOfNewest(record.entry.tier, record.entry.item), now);
        removeQueued(record);
        refuse(next->second, ErrorKind::DeadlineUnreachable, wait, "deadline can no longer be met");
    }
}

void BriarhitchScheduler::refusePredictedDeadlineMisses(Tier tier, Instant now)
{
    auto& queueKey = sweepPosition_[tier.value()];
    const auto& queue = queue_.tier(tier);
    const auto queueCount = std::min<size_t>(queuesCheckedPerTick, queue.backloggedQueues());
    int refusals = 0;
    for (size_t i = 0; i < queueCount && !queue.empty(); ++i) {
        queueKey = queue.nextBacklogged(queueKey);
        for (auto newest = queue.newestOf(queueKey); newest && refusals < maxRefusalsPerTick; newest = queue.newestOf(queueKey)) {
            const auto& record = *records_.at(newest->attempt);
            const Duration wait = expectedWait(record.entry, queue_.costAheadOfNewest(tier, *newest), now);
            if (toSeconds(wait + expectedFirstToken(record.request, now)) <= refusalFactor * toSeconds(record.request.deadline - now))
                break;
            ++refusals;
            removeQueued(record);
            refuse(newest->attempt, ErrorKind::DeadlineUnreachable, wait, "deadline can no longer be met");
        }
    }
}

void BriarhitchScheduler::tick(Instant now)
{
    predictor_.tick(backlogged_, now);
    backlogged_ = !queue_.empty();
    recentAttempts_.removeExpired(now);
    targets_.tick(now);
    refuseExpired(now);
    if (features_.deadline) {
        for (uint8_t i = Tier::count; i-- > 0;)
            refusePredictedDeadlineMisses(Tier(i), now);
    }
    dispatch(now);
}

std::vector<PoolAction> BriarhitchScheduler::takeActions()
{
    return std::exchange(actions_, {});
}

PoolStats BriarhitchScheduler::stats() const
{
    return stats_;
}

}
