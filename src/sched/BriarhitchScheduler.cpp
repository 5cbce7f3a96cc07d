#include "sched/BriarhitchScheduler.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Starting values for an engine that nothing is known about; the window follows its latency from there.
    constexpr int64_t startingTokensBySlot = 4000;
    constexpr int64_t mostTokensBySlot = 16000;
    // An engine computes prompt tokens together but output tokens one by one, so these cost it several times as much.
    constexpr int64_t outputTokenWeight = 8;
    // Added to each request's tokens, because even a tiny one takes part in every step of the engine.
    constexpr int64_t requestOverheadTokens = 50;
    constexpr Duration firstTokenGoal = 800ms;
    // The slowest prefill that is not yet a sign of overload.
    constexpr double goalTokensPerSecond = 3000;
    // A service whose calls take this much longer than the pool's mean is overloaded.
    constexpr double serviceGoalRatio = 3;
    // A target with the whole prompt in its cache may be filled by this much more than the least filled one.
    constexpr double affinityBound = 0.3;
    constexpr size_t mostSlowPassedOver = 32;
    constexpr int linesSweptByTick = 64;
    constexpr int refusalsByTick = 256;
    // New work is admitted if it is predicted to start within this part of its time, because predictions are noisy.
    constexpr double admittedPart = 0.8;
    // Queued work is refused if the prediction is beyond its deadline by this factor; hysteresis against noise.
    constexpr double hopelessFactor = 1.3;
    // Mean deviations of the first-token time that are added to its mean, so that few prompts are computed in vain.
    constexpr double addedDeviations = 2;
    constexpr Duration shortestRetry = 1s;
    constexpr Duration longestRetry = 60s;
    constexpr double retrySpread = 0.25;

    bool contains(const std::vector<TargetId>& targets, TargetId target)
    {
        return std::find(targets.begin(), targets.end(), target) != targets.end();
    }

    PoolSchedulerRegistry::Registration registration("briarhitch", [](const PoolSettings& settings) {
        return std::make_unique<BriarhitchScheduler>(settings);
    });

}

BriarhitchScheduler::Parts BriarhitchScheduler::partsOf(const PoolSettings& settings)
{
    auto isOn = [&](const char* name) { return !settings.disabledFeatures.contains(name); };
    return { isOn("tiers"), isOn("fair"), isOn("lengths"), isOn("prefix"), isOn("deadline"), isOn("shed") };
}

TargetTable::Options BriarhitchScheduler::tableOptions(const PoolSettings& settings)
{
    TargetTable::Options options;
    if (settings.kind == PoolKind::Model) {
        options.initialCostPerSlot = startingTokensBySlot;
        options.maxCostPerSlot = mostTokensBySlot;
    }
    options.learnsWindows = !settings.disabledFeatures.contains("window");
    if (!options.learnsWindows)
        options.initialCostPerSlot = options.maxCostPerSlot;
    options.backsOff = !settings.disabledFeatures.contains("backoff");
    return options;
}

BriarhitchScheduler::BriarhitchScheduler(const PoolSettings& settings)
    : settings_(settings)
    , parts_(partsOf(settings))
    , targets_(tableOptions(settings))
    , queue_(settings.disabledFeatures.contains("floors") ? std::map<WorkKindId, double> {} : settings.floors)
{
}

int64_t BriarhitchScheduler::costOf(const PoolRequest& request) const
{
    if (settings_.kind != PoolKind::Model)
        return 1;
    const Tokens output = parts_.lengths ? lengths_.estimate(request.customer, request.kind, request.maxOutputTokens) : request.maxOutputTokens;
    return requestOverheadTokens + std::max<int64_t>(0, request.promptTokens.value()) + outputTokenWeight * std::max<int64_t>(0, output.value());
}

double BriarhitchScheduler::weightOf(CustomerId customer) const
{
    auto weight = weights_.find(customer);
    return weight == weights_.end() ? 1 : weight->second;
}

bool BriarhitchScheduler::mayUse(const PoolRequest& request, TargetId target) const
{
    return !contains(request.excluded, target) && !repeats_.had(request.idempotencyKeyHash, target);
}

bool BriarhitchScheduler::hasUsableTarget(const PoolRequest& request) const
{
    const auto& active = targets_.active();
    return std::any_of(active.begin(), active.end(), [&](TargetId target) { return mayUse(request, target); });
}

Duration BriarhitchScheduler::expectedFirstToken(const PoolRequest& request, Instant now) const
{
    return latency_.expected(static_cast<double>(request.promptTokens.value()), now) + fromSeconds(addedDeviations * latency_.deviation(now));
}

Duration BriarhitchScheduler::waitFor(const PoolQueue::Place& place, double costAhead, Instant now) const
{
    if (costAhead <= 0)
        return Duration(0);
    const double rate = predictor_.drainRate(targets_.capacity(), targets_.slots(), now);
    if (rate <= 0)
        return Duration(0);
    double seconds = costAhead / predictor_.drainRateFor(place.tier, rate, now);
    const double floor = queue_.floors().floorOf(place.kind);
    if (floor > 0)
        seconds = std::min(seconds, static_cast<double>(queue_.floors().queuedCost(place.kind)) / (floor * rate));
    // Far beyond any deadline, and still safe to add to an instant.
    constexpr double longestWaitSeconds = 86400;
    return fromSeconds(std::min(seconds, longestWaitSeconds));
}

Duration BriarhitchScheduler::retryAfter(AttemptId attempt, Duration wait) const
{
    // Callers that were refused together come back spread out.
    const double part = static_cast<double>((attempt.request.value() * 0x9e3779b97f4a7c15ULL) >> 40) / static_cast<double>(1 << 24);
    return std::clamp(wait, shortestRetry, longestRetry) + fromSeconds(toSeconds(std::clamp(wait, shortestRetry, longestRetry)) * retrySpread * part);
}

BriarhitchScheduler::Record& BriarhitchScheduler::addRecord(PoolRequest request)
{
    auto record = std::make_unique<Record>();
    const int64_t cost = costOf(request);
    const Tier tier = parts_.tiers ? request.tier : Tier(0);
    // Without fair sharing all work of a tier is in one line.
    const CustomerId customer = parts_.fair ? request.customer : CustomerId(1);
    const WorkKindId kind = parts_.fair ? request.kind : WorkKindId(1);
    record->place = { { request.attempt, customer, kind, cost, ++lastSequence_ }, tier, request.kind, request.deadline };
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
    const auto& asked = record.request;
    const auto& place = record.place;
    const auto chance = targets_.nextAvailableAt(now);
    const Duration firstToken = parts_.deadline ? expectedFirstToken(asked, now) : Duration(0);
    if (!chance || !hasUsableTarget(asked) || *chance + firstToken > asked.deadline) {
        const bool hasWaited = chance && *chance == now && hasUsableTarget(asked);
        const Duration wait = chance ? *chance - now : Duration(0);
        refuse(asked.attempt, hasWaited ? ErrorKind::DeadlineUnreachable : ErrorKind::NoTarget, wait, hasWaited ? "deadline is too short" : "no target can take the request");
        return;
    }
    const double weight = weightOf(asked.customer);
    const double ahead = queue_.costAheadOfNew(place, weight);
    const Duration wait = waitFor(place, ahead, now);
    if (parts_.deadline && toSeconds(wait + firstToken) > admittedPart * toSeconds(asked.deadline - now)) {
        refuse(asked.attempt, ErrorKind::DeadlineUnreachable, wait, "predicted first token is after the deadline");
        return;
    }
    if (!makeRoom(record, now)) {
        refuse(asked.attempt, ErrorKind::QueueFull, wait, "queue is full of work that is as urgent");
        return;
    }
    predictor_.arrived(place.tier, place.item.cost, now);
    queue_.push(place, weight);
    ++stats_.queued[asked.tier.value()];
    stats_.queuedTokens += Tokens(place.item.cost);
    dispatch(now);
}

bool BriarhitchScheduler::makeRoom(const Record& record, Instant now)
{
    if (queue_.size() < settings_.maxQueued)
        return true;
    const auto least = queue_.leastUrgentTier();
    if (!least || !parts_.shed || !record.place.tier.isMoreUrgentThan(*least))
        return false;
    const auto victim = queue_.newestOfLeastUrgent();
    const auto& shed = *records_.at(victim->attempt);
    const Duration wait = waitFor(shed.place, queue_.costAheadOfNewest(*least, *victim), now);
    removeQueued(shed);
    refuse(victim->attempt, ErrorKind::Shed, wait, "more urgent work needed its place in the queue");
    return true;
}

void BriarhitchScheduler::refuse(AttemptId attempt, ErrorKind kind, Duration wait, std::string_view reason)
{
    actions_.emplace_back(PoolRefusal { attempt, kind, retryAfter(attempt, wait), std::string(reason) });
    records_.erase(attempt);
}

void BriarhitchScheduler::removeQueued(const Record& record)
{
    queue_.remove(record.place);
    --stats_.queued[record.request.tier.value()];
    stats_.queuedTokens -= Tokens(record.place.item.cost);
    backlogged_ = backlogged_ && !queue_.empty();
}

void BriarhitchScheduler::releaseTarget(Record& record, Instant now)
{
    if (record.isCharged)
        targets_.release(record.target, record.place.item.cost, now);
    --stats_.running[record.request.tier.value()];
    stats_.runningTokens -= Tokens(record.place.item.cost);
}

void BriarhitchScheduler::cancel(AttemptId attempt, Instant now)
{
    auto it = records_.find(attempt);
    if (it == records_.end())
        return;
    auto& record = *it->second;
    if (record.isRunning) {
        releaseTarget(record, now);
        // Nothing was sent, so the target may get the request after all.
        repeats_.forget(record.request.idempotencyKeyHash, record.target);
    } else {
        removeQueued(record);
    }
    records_.erase(it);
    dispatch(now);
}

void BriarhitchScheduler::learnLatency(const Record& record, Duration latency, Instant now)
{
    const auto size = static_cast<double>(record.request.promptTokens.value());
    const bool isModel = settings_.kind == PoolKind::Model;
    const Duration usual = latency_.expected(size, now);
    const Duration goal = isModel ? firstTokenGoal + fromSeconds(size / goalTokensPerSecond) : std::max<Duration>(10ms, fromSeconds(serviceGoalRatio * toSeconds(usual)));
    if (isModel || usual > Duration(0))
        targets_.observe(record.target, latency, goal, now);
    // What is beyond the goal is time in the target's queue, which the window takes away; a prediction that included it
    // would refuse work for a cause that is already being dealt with.
    const Duration judged = usual > Duration(0) ? std::min(latency, goal) : latency;
    if (usual > Duration(0))
        targets_.observeSlowness(record.target, toSeconds(judged) / toSeconds(usual), now);
    latency_.learn(size, judged, now);
    targets_.succeeded(record.target, now);
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

void BriarhitchScheduler::learnFrom(const Record& record, AttemptOutcome outcome, Tokens outputTokens, Duration duration, Instant now)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        if (settings_.kind == PoolKind::Model)
            lengths_.learn(record.request.customer, record.request.kind, outputTokens);
        else
            learnLatency(record, duration, now);
        predictor_.completed(record.place.item.cost, duration);
        targets_.succeeded(record.target, now);
        return;
    case AttemptOutcome::Cancelled:
        return;
    case AttemptOutcome::Refused:
        targets_.refused(record.target, now);
        return;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Errored:
    case AttemptOutcome::Unreachable:
        targets_.failed(record.target, now);
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
        targets_.charge(target, record.place.item.cost, now);
    ++stats_.running[record.request.tier.value()];
    stats_.runningTokens += Tokens(record.place.item.cost);
    repeats_.remember(record.request.idempotencyKeyHash, target, now);
    prefixes_.insert(record.request.prefix, target);
}

void BriarhitchScheduler::restoreRecentAttempt(uint64_t repeatKey, TargetId target, Instant now)
{
    repeats_.remember(repeatKey, target, now);
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
    std::vector<AttemptId> without;
    for (const auto& [attempt, record] : records_) {
        if (!record->isRunning && !hasUsableTarget(record->request))
            without.push_back(attempt);
    }
    std::sort(without.begin(), without.end());
    for (AttemptId attempt : without) {
        removeQueued(*records_.at(attempt));
        refuse(attempt, ErrorKind::NoTarget, Duration(0), "all its targets left");
    }
    dispatch(now);
}

std::optional<TargetId> BriarhitchScheduler::chooseTarget(const PoolRequest& request, Instant now) const
{
    const double firstToken = toSeconds(expectedFirstToken(request, now));
    const double timeLeft = toSeconds(request.deadline - now);
    auto isFastEnough = [&](TargetId target) { return !parts_.deadline || firstToken * targets_.slowness(target, now) <= timeLeft; };
    auto accepts = [&](TargetId target) { return mayUse(request, target) && isFastEnough(target); };
    auto best = targets_.leastUtilized(accepts, mostSlowPassedOver);
    // If all were too slow, the request waits for another one. Among very many targets the rest may be fast enough.
    if (!best && targets_.availableCount() > mostSlowPassedOver)
        best = targets_.leastUtilized([&](TargetId target) { return mayUse(request, target); });
    if (!best || !parts_.prefix || request.prefix.empty())
        return best;
    double bestScore = targets_.utilization(*best);
    for (const auto& match : prefixes_.find(request.prefix)) {
        if (match.blocks == 0 || !targets_.isAvailable(match.target) || !accepts(match.target))
            continue;
        const double cached = static_cast<double>(match.blocks) / static_cast<double>(request.prefix.size());
        const double score = targets_.utilization(match.target) - affinityBound * cached;
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
    const auto due = queue_.floors().due(now);
    if (!due)
        return false;
    auto& record = *records_.at(*due);
    const auto target = chooseTarget(record.request, now);
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
            target = chooseTarget(request, now);
            if (!target && !hasUsableTarget(request))
                stranded = candidate.attempt;
            return target || stranded;
        });
        if (stranded) {
            removeQueued(*records_.at(*stranded));
            refuse(*stranded, ErrorKind::NoTarget, Duration(0), "all its targets had it or left");
            return true;
        }
        if (item) {
            grant(*records_.at(item->attempt), *target, now);
            return true;
        }
    }
    return false;
}

void BriarhitchScheduler::grant(Record& record, TargetId target, Instant now)
{
    const auto& request = record.request;
    const Duration firstToken = expectedFirstToken(request, now);
    if (parts_.deadline && now + firstToken > request.deadline) {
        removeQueued(record);
        refuse(request.attempt, ErrorKind::DeadlineUnreachable, firstToken, "too late for a first token in time");
        return;
    }
    queue_.serve(record.place, now);
    backlogged_ = backlogged_ && !queue_.empty();
    record.isRunning = true;
    record.isCharged = true;
    record.target = target;
    const int64_t cost = record.place.item.cost;
    targets_.charge(target, cost, now);
    predictor_.granted(cost);
    if (parts_.prefix)
        prefixes_.insert(request.prefix, target);
    repeats_.remember(request.idempotencyKeyHash, target, now);
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
        const Duration least = parts_.deadline ? expectedFirstToken(record.request, now) : Duration(0);
        if (now + least <= next->first)
            return;
        const Duration wait = waitFor(record.place, queue_.costAheadOfNewest(record.place.tier, record.place.item), now);
        removeQueued(record);
        refuse(next->second, ErrorKind::DeadlineUnreachable, wait, "deadline cannot be met any more");
    }
}

void BriarhitchScheduler::refuseHopeless(Tier tier, Instant now)
{
    auto& line = sweepAt_[tier.value()];
    const auto& queue = queue_.tier(tier);
    const auto lines = std::min<size_t>(linesSweptByTick, queue.backloggedQueues());
    int refusals = 0;
    for (size_t i = 0; i < lines && !queue.empty(); ++i) {
        line = queue.nextBacklogged(line);
        for (auto newest = queue.newestOf(line); newest && refusals < refusalsByTick; newest = queue.newestOf(line)) {
            const auto& record = *records_.at(newest->attempt);
            const Duration wait = waitFor(record.place, queue_.costAheadOfNewest(tier, *newest), now);
            if (toSeconds(wait + expectedFirstToken(record.request, now)) <= hopelessFactor * toSeconds(record.request.deadline - now))
                break;
            ++refusals;
            removeQueued(record);
            refuse(newest->attempt, ErrorKind::DeadlineUnreachable, wait, "deadline cannot be met any more");
        }
    }
}

void BriarhitchScheduler::tick(Instant now)
{
    predictor_.tick(backlogged_, now);
    backlogged_ = !queue_.empty();
    repeats_.expire(now);
    targets_.tick(now);
    refuseExpired(now);
    if (parts_.deadline) {
        for (uint8_t i = Tier::count; i-- > 0;)
            refuseHopeless(Tier(i), now);
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
