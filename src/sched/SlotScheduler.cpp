#include "sched/SlotScheduler.h"

#include "briarhitch/zone/TransferBytes.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Network round trip between caller and entry, which the objective includes: about 3 ms each way. */
    constexpr double callerRoundTripMs = 6;
    // Fraction of an engine's memory that placements may use.
    constexpr double usableMemoryFraction = 0.92;
    /** A placement with at most this expected loss is accepted immediately. */
    constexpr double acceptedLoss = 0.05;
    /** Below every expected loss: the share of a version that is tried must not depend on how fast it seems. */
    constexpr double dueVersionLoss = -1;
    /**
     * Relative increases of the predicted duration on a full target, and on one in another availability zone, when targets
     * without loss are compared. Below the speed difference between successive hardware generations, so that a slow
     * engine in the same zone is not preferred to a faster one elsewhere.
     */
    constexpr double fillPenalty = 0.2;
    constexpr double otherZonePenalty = 0.5;
    /** The same for a target with a rate limit: it is overloaded, so targets without one go first. */
    constexpr double rateLimitPenalty = 1.0;
    /** A running request migrates only to a target that is faster by this factor. */
    constexpr double minSpeedup = 1.5;
    /** Fraction of its time to the objective that any request may wait for a better slot. */
    constexpr double minWaitFraction = 0.5;
    /** Queued requests examined per pass; later ones are examined in later passes. */
    constexpr size_t maxExaminedRequests = 48;
    constexpr double peerErrorGain = 0.02;
    /** The time of shorter prompts says little about the time of a prompt token. */
    constexpr double minPrefillSampleTokens = 512;
    // Predicted waits are noisy, so a request is refused only if this multiple of the wait exceeds its remaining time.
    constexpr double refusalFactor = 1.2;
    // Fraction of the slots that a queued request is assumed to get at least: most load peaks end before its deadline.
    constexpr double minSlotFraction = 0.25;
    constexpr double minRetryAfterMs = 500;
    constexpr double maxRetryAfterMs = 5000;
    /** Shortest and longest time until a caller returns that the rate limits of all targets had no room for. */
    constexpr Duration minRateLimitedRetryAfter = 500ms;
    constexpr Duration maxRateLimitedRetryAfter = 30s;
    /** Requests per second; keeps the interval between returning callers finite. */
    constexpr double minRateLimitSum = 0.01;
    constexpr double retryJitter = 0.3;

    constexpr std::string_view rateLimitReason = "the targets' rate limits leave no room before the deadline";

    double toMsExact(Duration duration) { return toSeconds(duration) * 1000; }
    Duration fromMs(double ms) { return fromSeconds(ms / 1000); }

    bool contains(const std::vector<TargetId>& targets, TargetId target)
    {
        return std::find(targets.begin(), targets.end(), target) != targets.end();
    }

    PoolSchedulerRegistry::Registration registration("slots", [](const PoolSettings& settings) {
        return std::make_unique<SlotScheduler>(settings);
    });

}

SlotScheduler::SlotScheduler(const PoolSettings& settings)
    : settings_(settings)
    , overlapsTurnaround_(settings.enabledFeatures.contains("slot_turnaround") && settings.kind == PoolKind::Service)
    , placements_(settings)
    , zones_(settings.zoneSpill)
{
}

double SlotScheduler::expectedOutputOf(const PoolRequest& request) const
{
    if (!isModel())
        return 0;
    auto learnedOutput = static_cast<double>(lengths_.estimate(request.customer, request.kind, request.maxOutputTokens).value());
    if (request.expectedOutputTokens.value() <= 0)
        return learnedOutput;
    auto maxOutput = static_cast<double>(std::max<int64_t>(1, request.maxOutputTokens.value()));
    return std::min(maxOutput, static_cast<double>(request.expectedOutputTokens.value()));
}

Instant SlotScheduler::latestStartForObjective(const RequestRecord& record) const
{
    const auto& request = record.request;
    // Prefill of a long prompt takes most of the time to its objective; without a minimum wait it would always lose to others.
    // Calls of plain services are alike, and a learned margin tells how late they may start.
    double fraction = placements_.hasExactLatestStart() ? 0 : minWaitFraction;
    auto minWait = fromSeconds(fraction * std::max(0.0, toSeconds(request.objective - record.arrivedAt)));
    auto bestFirstToken = fromMs(placements_.bestFirstTokenMs(request) + callerRoundTripMs + placements_.marginMs(request));
    auto latest = request.objective - bestFirstToken;
    return minWait > Duration(0) ? std::max<Instant>(latest, record.arrivedAt + minWait) : latest;
}

SlotScheduler::Rank SlotScheduler::rankOf(const RequestRecord& record, Instant now) const
{
    const auto& request = record.request;
    bool missesObjective = now > latestStartForObjective(record);
    // Migrations go first, because the work already done is lost if they come too late; there are few of them. For the same reason
    // streams that continue go first in their tier.
    if (request.migratesFrom.isValid())
        return { false, 0, 0, 0 };
    if (record.hasEarlierWork())
        return { false, request.tier.value(), 0, 0 };
    // Granting requests that miss their objective first would make the others miss theirs too, and under load all of them.
    return { missesObjective, request.tier.value(), request.urgency.value(), record.arrivalNumber };
}

bool SlotScheduler::isEligible(const RequestRecord& record, const SlotTarget& target) const
{
    const auto& version = record.request.softwareVersion;
    return !contains(record.request.excluded, target.target.id) && (!version || *version == target.target.softwareVersion) && versions_.allows(record.request, target.target);
}

bool SlotScheduler::hasEligibleTarget(const RequestRecord& record) const
{
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
        bool isBlocked = settings_.rateLimiter && settings_.rateLimiter->isBlocked(entry.first);
        return entry.second.isActive() && !isBlocked && isEligible(record, entry.second);
    });
}

bool SlotScheduler::allowsRequest(const SlotTarget& target, Instant now) const
{
    return !settings_.rateLimiter || settings_.rateLimiter->allowsRequest(target.target.id, now);
}

void SlotScheduler::updateRateLimitWait(Instant now)
{
    rateLimitWait_ = Duration::zero();
    rateLimitSum_.reset();
    if (!settings_.rateLimiter)
        return;
    std::optional<Duration> shortest;
    RequestRate sum;
    for (const auto& [id, target] : targets_) {
        if (!target.isActive())
            continue;
        auto rate = settings_.rateLimiter->rate(id, now);
        if (!rate)
            return;
        sum += *rate;
        auto wait = settings_.rateLimiter->timeUntilAllowed(id, now);
        shortest = std::min(wait, shortest.value_or(wait));
    }
    if (!shortest)
        return;
    rateLimitWait_ = *shortest;
    rateLimitSum_ = sum;
}

QueuedWork SlotScheduler::queuedWorkAhead(const Rank& rank) const
{
    QueuedWork ahead;
    for (const auto& [other, attempt] : queue_) {
        if (other >= rank)
            break;
        const auto& record = *records_.at(attempt);
        ahead.add(record.request, record.queuedCostMs);
    }
    return ahead;
}

bool SlotScheduler::cannotMeetDeadline(const RequestRecord& record, const QueuedWork& ahead, Instant now) const
{
    double minFirstTokenMs = record.request.migratesFrom.isValid() ? 0 : placements_.bestFirstTokenMs(record.request);
    double waitMs = queueDrainMs(ahead, record.request, record.rank) * refusalFactor + toMsExact(rateLimitWait_);
    // The queue of another zone does not delay a request that has a slot at home in time.
    if (zones_.appliesTo(record.request) && !record.request.softwareVersion) {
        if (auto homeWaitMs = zones_.longestHomeWaitMs(zoneRequestOf(record, now), now))
            waitMs = std::min(waitMs, *homeWaitMs * refusalFactor + toMsExact(rateLimitWait_));
    }
    return waitMs + minFirstTokenMs > toMsExact(record.request.deadline - now);
}

double SlotScheduler::queueDrainMs(const QueuedWork& ahead, const PoolRequest& request, const Rank& rank) const
{
    double fraction = std::max(minSlotFraction, 1 - workFractions_.fractionAhead(Tier(rank.urgency), rank.missesObjective));
    return capacity_.drainMs(ahead, request) / fraction;
}

Duration SlotScheduler::retryAfter(const RequestRecord& record) const
{
    // A retry misses its objective, so all requests that meet theirs are granted before it.
    auto rank = record.rank;
    rank.missesObjective = true;
    double ms = std::clamp(queueDrainMs(queuedWorkAhead(rank), record.request, rank), minRetryAfterMs, maxRetryAfterMs);
    // Jitter, so that callers refused together do not retry together.
    double fraction = static_cast<double>((record.request.attempt.request.value() * 0x9e3779b97f4a7c15ULL) >> 40) / static_cast<double>(1 << 24);
    return fromMs(ms * (1 + retryJitter * fraction));
}

Duration SlotScheduler::retryAfterRateLimit(Instant now)
{
    // Each refused caller gets a time of its own, at which the limits have room for one more.
    auto interval = fromSeconds(1 / std::max(rateLimitSum_->value(), minRateLimitSum));
    auto earliest = now + std::clamp(rateLimitWait_, minRateLimitedRetryAfter, maxRateLimitedRetryAfter);
    nextRateLimitedReturn_ = std::min(std::max<Instant>(earliest, nextRateLimitedReturn_ + interval), now + maxRateLimitedRetryAfter);
    return nextRateLimitedReturn_ - now;
}

SlotScheduler::RequestRecord& SlotScheduler::addRequest(PoolRequest request, Instant now)
{
    auto record = std::make_unique<RequestRecord>();
    record->arrivalNumber = ++lastArrivalNumber_;
    record->arrivedAt = now;
    record->expectedOutput = expectedOutputOf(request);
    if (auto first = refusals_.originalObjective(request))
        request.objective = std::min(request.objective, *first);
    record->request = std::move(request);
    record->rank = rankOf(*record, now);
    auto& slot = records_[record->request.attempt];
    slot = std::move(record);
    return *slot;
}

void SlotScheduler::enqueue(RequestRecord& record)
{
    queue_.emplace(record.rank, record.request.attempt);
    record.queuedCostMs = placements_.costMs(workOf(record));
    zones_.recordQueued(record.request, record.queuedCostMs);
    queuedMeetingObjective_[record.rank.urgency] += record.rank.missesObjective ? 0 : 1;
    ++stats_.queued[record.request.tier.value()];
    stats_.queuedTokens += record.request.promptTokens;
}

void SlotScheduler::dequeue(RequestRecord& record)
{
    queue_.erase({ record.rank, record.request.attempt });
    zones_.recordDequeued(record.request, record.queuedCostMs);
    queuedMeetingObjective_[record.rank.urgency] -= record.rank.missesObjective ? 0 : 1;
    --stats_.queued[record.request.tier.value()];
    stats_.queuedTokens -= record.request.promptTokens;
}

void SlotScheduler::refuse(AttemptId attempt, ErrorKind kind, std::string_view reason, Instant now)
{
    const auto& record = *records_.at(attempt);
    bool isForRateLimit = kind == ErrorKind::DeadlineUnreachable && rateLimitSum_.has_value() && !record.request.migratesFrom.isValid();
    auto wait = isForRateLimit ? retryAfterRateLimit(now) : retryAfter(record);
    actions_.emplace_back(PoolRefusal { attempt, kind, wait, std::string(isForRateLimit ? rateLimitReason : reason), isForRateLimit });
    if (!record.request.migratesFrom.isValid())
        refusals_.recordRefusal(record.request, now);
    records_.erase(attempt);
}

void SlotScheduler::submit(PoolRequest request, Instant now)
{
    if (records_.contains(request.attempt))
        return;
    auto& record = addRequest(std::move(request), now);
    auto attempt = record.request.attempt;
    updateRateLimitWait(now);
    if (!hasEligibleTarget(record)) {
        refuse(attempt, ErrorKind::NoTarget, "no target can take the request", now);
        return;
    }
    if (zones_.isEnabled())
        zones_.recordArrival(zoneRequestOf(record, now));
    if (!record.rank.missesObjective && !record.hasEarlierWork())
        deficits_.recordSubmission(record.request.urgency);
    // A request that reduces its kind's deficit is granted before the work ahead of it, but rate limits hold for it too.
    bool isForDeficit = rateLimitWait_ == Duration::zero() && !record.rank.missesObjective && !record.hasEarlierWork() && static_cast<double>(queuedMeetingObjective_[record.rank.urgency]) + 1 <= deficits_.deficit(record.request.urgency);
    if ((!isForDeficit && cannotMeetDeadline(record, queuedWorkAhead(record.rank), now)) || queue_.size() >= settings_.maxQueued) {
        refuse(attempt, ErrorKind::DeadlineUnreachable, "predicted first token is after the deadline", now);
        return;
    }
    enqueue(record);
    dispatch(now);
}

void SlotScheduler::cancel(AttemptId attempt, Instant now)
{
    auto it = records_.find(attempt);
    if (it == records_.end())
        return;
    if (it->second->isRunning)
        releaseSlot(*it->second);
    else
        dequeue(*it->second);
    records_.erase(it);
    dispatch(now);
}

void SlotScheduler::occupySlot(RequestRecord& record, SlotTarget& target)
{
    record.target = target.target.id;
    record.isRunning = true;
    record.isOnlyPrefill = target.prefilling == 0;
    ++target.running;
    zones_.recordOccupied(record.request, target.target);
    target.memoryTokens += static_cast<double>(record.request.promptTokens.value()) + record.expectedOutput;
    if (!record.isStarted) {
        ++target.prefilling;
        target.prefillTokens += static_cast<double>(record.request.promptTokens.value());
    }
    ++stats_.running[record.request.tier.value()];
    stats_.runningTokens += record.request.promptTokens;
}

void SlotScheduler::endPrefill(RequestRecord& record, SlotTarget& target)
{
    if (record.isStarted)
        return;
    record.isStarted = true;
    --target.prefilling;
    target.prefillTokens = target.prefilling == 0 ? 0 : target.prefillTokens - static_cast<double>(record.request.promptTokens.value());
}

void SlotScheduler::releaseSlot(RequestRecord& record)
{
    auto it = targets_.find(record.target);
    --stats_.running[record.request.tier.value()];
    stats_.runningTokens -= record.request.promptTokens;
    if (it == targets_.end())
        return;
    auto& target = it->second;
    endPrefill(record, target);
    assert(target.running > 0);
    --target.running;
    zones_.recordReleased(record.request, target.target);
    target.memoryTokens -= static_cast<double>(record.request.promptTokens.value()) + record.expectedOutput;
    if (target.running == 0)
        target.memoryTokens = 0;
    if (!target.isListed && target.running == 0) {
        placements_.forget(it->first);
        targets_.erase(it);
    }
}

void SlotScheduler::attemptStarted(AttemptId attempt, Duration firstToken, Instant now)
{
    auto it = records_.find(attempt);
    if (it == records_.end() || !it->second->isRunning || it->second->isStarted)
        return;
    auto& record = *it->second;
    record.firstToken = firstToken;
    if (isModel())
        placements_.learnMargin(record.request, record.predictedFirstTokenMs, toMsExact(now - record.grantedAt));
    auto found = targets_.find(record.target);
    if (found != targets_.end()) {
        auto& target = found->second;
        endPrefill(record, target);
        auto prompt = static_cast<double>(record.request.promptTokens.value());
        if (record.isOnlyPrefill && prompt >= minPrefillSampleTokens)
            placements_.learnFirstToken(target, prompt, std::max(0.0, toMsExact(firstToken) - PlacementModel::dispatchOverheadMs));
        recordOutcome(target, OutcomeClass::Success, now);
    }
    dispatch(now);
}

void SlotScheduler::recordOutcome(SlotTarget& target, OutcomeClass outcome, Instant now)
{
    // Failures of a single target, such as lost connections, must not raise the error rate that its peers are compared with.
    if (outcome == OutcomeClass::Success || outcome == OutcomeClass::ServerError)
        peerErrorRate_ += peerErrorGain * ((outcome == OutcomeClass::Success ? 0 : 1) - peerErrorRate_);
    target.outlierDetector.recordOutcome(outcome, peerErrorRate_, now);
}

void SlotScheduler::learnServiceTime(const RequestRecord& record, SlotTarget& target, Tokens outputTokens, Duration duration)
{
    if (!isModel()) {
        placements_.learnServiceTime(target, toMsExact(duration));
        return;
    }
    lengths_.addSample(record.request.customer, record.request.kind, outputTokens);
    auto tokens = static_cast<double>(outputTokens.value() - target.target.tokensPerEvent);
    constexpr double minSampleTokens = 20;
    if (tokens < minSampleTokens)
        return;
    placements_.learnServiceTime(target, toMsExact(duration - record.firstToken) / tokens);
}

void SlotScheduler::attemptFinished(AttemptId attempt, AttemptOutcome outcome, Tokens, Tokens outputTokens, Duration duration, Instant now)
{
    auto it = records_.find(attempt);
    if (it == records_.end() || !it->second->isRunning)
        return;
    auto record = std::move(it->second);
    records_.erase(it);
    if (auto found = targets_.find(record->target); found != targets_.end()) {
        auto& target = found->second;
        switch (outcome) {
        case AttemptOutcome::Completed:
            learnServiceTime(*record, target, outputTokens, duration);
            if (!isModel() && record->predictedFirstTokenMs > 0) {
                placements_.learnMargin(record->request, record->predictedFirstTokenMs, toMsExact(now - record->grantedAt));
                turnaround_.addSample(toMsExact(now - record->grantedAt), toMsExact(duration));
            }
            recordOutcome(target, OutcomeClass::Success, now);
            break;
        case AttemptOutcome::Errored:
            recordOutcome(target, OutcomeClass::ServerError, now);
            break;
        case AttemptOutcome::Failed:
            recordOutcome(target, OutcomeClass::Aborted, now);
            break;
        case AttemptOutcome::Unreachable:
            recordOutcome(target, OutcomeClass::Unreachable, now);
            break;
        case AttemptOutcome::Cancelled:
        case AttemptOutcome::Refused:
            break;
        }
    }
    releaseSlot(*record);
    updateCapacity(now);
    dispatch(now);
}

void SlotScheduler::restore(PoolRequest request, TargetId target, bool isStarted, Instant now)
{
    if (records_.contains(request.attempt))
        return;
    auto& record = addRequest(std::move(request), now);
    record.isStarted = isStarted;
    record.target = target;
    if (auto it = targets_.find(target); it != targets_.end()) {
        occupySlot(record, it->second);
        return;
    }
    record.isRunning = true;
    ++stats_.running[record.request.tier.value()];
    stats_.runningTokens += record.request.promptTokens;
}

void SlotScheduler::restoreRecentAttempt(uint64_t, TargetId, Instant)
{
    // Idempotency keys are handled by the other policies.
}

void SlotScheduler::reportLoad(const LoadReport&, Instant)
{
    // Load reports are ignored: the scheduler's own count of granted requests is exact and more recent.
}

void SlotScheduler::setContract(const Contract&)
{
    // Shares are ignored: requests of a tier are ordered by urgency and arrival, and ceilings limit each customer.
}

void SlotScheduler::setTargets(const std::vector<Target>& targets, Instant now)
{
    versions_.setTargets(targets);
    for (auto& [id, target] : targets_)
        target.isListed = false;
    for (const auto& listed : targets) {
        auto& target = targets_[listed.id];
        // A new incarnation does not inherit the failures of the previous one.
        if (target.target.incarnationStartMs != listed.incarnationStartMs)
            target.outlierDetector = TargetOutlierDetector();
        target.target = listed;
        target.isListed = true;
    }
    std::erase_if(targets_, [this](const auto& entry) {
        bool isGone = !entry.second.isListed && entry.second.running == 0;
        if (isGone)
            placements_.forget(entry.first);
        return isGone;
    });
    updateCapacity(now);
    std::vector<AttemptId> ineligible;
    for (const auto& [rank, attempt] : queue_) {
        if (!hasEligibleTarget(*records_.at(attempt)))
            ineligible.push_back(attempt);
    }
    for (AttemptId attempt : ineligible) {
        dequeue(*records_.at(attempt));
        refuse(attempt, ErrorKind::NoTarget, "no eligible target remains in the pool", now);
    }
    dispatch(now);
}

void SlotScheduler::updateCapacity(Instant now)
{
    capacity_.clear();
    placements_.resetFastest();
    double typicalMs = placements_.meanServiceTimeMs();
    for (auto& [id, target] : targets_) {
        if (!target.isActive() || target.outlierDetector.isBackedOff())
            continue;
        double serviceMs = placements_.serviceTimeMs(target);
        target.extraRequests = overlapsTurnaround_ ? turnaround_.extraRequests(target.slots(), serviceMs) : 0;
        double capacity = target.slots() * typicalMs / std::max(serviceMs, 0.01);
        if (auto rate = settings_.rateLimiter ? settings_.rateLimiter->rate(id, now) : std::nullopt)
            capacity = std::min(capacity, rate->value() * grantedCostMs_.valueOr(typicalMs) / 1000);
        capacity_.add(target.target, capacity, versions_.servesNewRequests(target.target));
        if (versions_.servesNewRequests(target.target))
            placements_.considerFastest(target);
    }
}

SlotTarget* SlotScheduler::selectFasterTarget(const RequestRecord& record, Instant now)
{
    auto current = targets_.find(record.request.migratesFrom);
    // A migration also sends requests to the target that it leaves.
    if (current == targets_.end() || !allowsRequest(current->second, now))
        return nullptr;
    SlotTarget* best = nullptr;
    for (auto& [id, target] : targets_) {
        bool isFaster = placements_.serviceTimeMs(target) * minSpeedup <= placements_.serviceTimeMs(current->second);
        if (isFaster && hasFreeSlot(target, now) && isEligible(record, target) && (!best || placements_.serviceTimeMs(target) < placements_.serviceTimeMs(*best)))
            best = &target;
    }
    return best;
}

SlotTarget* SlotScheduler::selectLeastUsedTarget(const RequestRecord& record, Instant now)
{
    SlotTarget* best = nullptr;
    for (auto& [id, target] : targets_) {
        bool isUsable = hasFreeSlot(target, now) && isEligible(record, target);
        if (isUsable && (!best || target.running < best->running))
            best = &target;
    }
    return best;
}

SlotScheduler::Selection SlotScheduler::selectPlacement(const RequestRecord& record, const std::vector<ZoneOption>* zones, Instant now)
{
    Selection best;
    double neededTokens = static_cast<double>(record.request.promptTokens.value()) + record.expectedOutput;
    for (auto& [id, target] : targets_) {
        if (!hasFreeSlot(target, now) || !isEligible(record, target))
            continue;
        size_t zoneOrder = 0;
        while (zones && zoneOrder < zones->size() && (*zones)[zoneOrder].zone != target.target.zone)
            ++zoneOrder;
        if (zones && zoneOrder == zones->size())
            continue;
        auto memory = static_cast<double>(target.target.memoryTokens);
        if (memory > 0 && target.running > 0 && target.memoryTokens + neededTokens > usableMemoryFraction * memory)
            continue;
        auto placement = placements_.evaluate(workOf(record), target, now);
        // Among targets of equal speed, prefer the less loaded one, where streams slow each other down less.
        placement.durationMs *= 1 + fillPenalty * target.running / target.slots();
        if (zones)
            placement.expectedLoss += (*zones)[zoneOrder].addedLoss;
        else if (!record.request.zone.empty() && record.request.zone != target.target.zone)
            placement.durationMs *= 1 + otherZonePenalty;
        if (settings_.rateLimiter && settings_.rateLimiter->isLimited(id) && !settings_.rateLimiter->needsProbe(id, now))
            placement.durationMs *= 1 + rateLimitPenalty;
        if (versions_.isDue(record.request, target.target))
            placement.expectedLoss = dueVersionLoss;
        bool isBetter = !best.target || placement.expectedLoss < best.placement.expectedLoss - acceptedLoss
            || (placement.expectedLoss < best.placement.expectedLoss + acceptedLoss && std::tie(zoneOrder, placement.durationMs) < std::tie(best.zoneOrder, best.placement.durationMs));
        if (isBetter)
            best = { &target, placement, zoneOrder };
    }
    return best;
}

SlotScheduler::Selection SlotScheduler::selectByZone(const RequestRecord& record, Instant now)
{
    const auto& zone = record.request.zone;
    std::vector<ZoneOption> home { ZoneOption { zone } };
    auto best = selectPlacement(record, &home, now);
    if (best.target && best.placement.avoidableLoss() <= acceptedLoss)
        return best;
    auto request = zoneRequestOf(record, now);
    if (best.target)
        request.homeLoss = best.placement.expectedLoss;
    else
        request.hasHomeTarget = std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) { return entry.second.isActive() && entry.second.target.zone == zone && isEligible(record, entry.second); });
    auto options = zones_.options(request, now);
    auto other = options.empty() ? Selection() : selectPlacement(record, &options, now);
    if (!other.target || other.placement.expectedLoss >= zones_.lossAtHome())
        return best;
    // The added loss has decided on the zone; a wait for another slot would not avoid it.
    other.placement.expectedLoss -= options[other.zoneOrder].addedLoss;
    return other;
}

ZoneSpillRequest SlotScheduler::zoneRequestOf(const RequestRecord& record, Instant now) const
{
    const auto& request = record.request;
    ZoneSpillRequest result;
    result.zone = request.zone;
    result.tier = request.tier;
    result.costMs = placements_.costMs(workOf(record));
    result.firstAnswerMs = placements_.meanFirstAnswerMs(request);
    result.objectiveMs = toMsExact(request.objective - now);
    result.deadlineMs = toMsExact(request.deadline - now);
    result.bytes = estimateTransferBytes(settings_.kind, request.promptTokens, Tokens(static_cast<int64_t>(record.expectedOutput)));
    if (isModel()) {
        double eventTokens = targets_.empty() ? 1 : std::max(1U, targets_.begin()->second.target.tokensPerEvent);
        result.maxServiceMs = PlacementModel::usableGapFraction * toMsExact(request.eventGapObjective) / eventTokens;
    }
    return result;
}

void SlotScheduler::observeZones(Instant now)
{
    if (!zones_.isEnabled())
        return;
    zones_.beginPass();
    double typicalMs = placements_.meanServiceTimeMs();
    for (const auto& [id, target] : targets_) {
        if (!versions_.servesNewRequests(target.target))
            continue;
        double serviceMs = std::max(placements_.serviceTimeMs(target), 0.01);
        zones_.addTarget(target, typicalMs / serviceMs, serviceMs, hasFreeSlot(target, now));
    }
    zones_.endObservation(now);
}

bool SlotScheduler::mayLeaveQueue(const RequestRecord& record, Instant now)
{
    const auto& request = record.request;
    // The targets of a version, or those not tried yet, may be missing in the request's own zone.
    if (!zones_.appliesTo(request) || request.softwareVersion || !request.excluded.empty())
        return true;
    return zones_.mayBeGranted(zoneRequestOf(record, now), now);
}

SlotTarget* SlotScheduler::selectTarget(const RequestRecord& record, Instant now)
{
    if (record.request.migratesFrom.isValid())
        return selectFasterTarget(record, now);
    if (record.request.mayCrashTarget)
        return selectLeastUsedTarget(record, now);
    auto best = zones_.appliesTo(record.request) ? selectByZone(record, now) : selectPlacement(record, nullptr, now);
    if (!best.target || best.placement.avoidableLoss() <= acceptedLoss)
        return best.target;
    // Wait for a better slot as long as that wait alone does not make the request miss its objective.
    auto margin = fromMs((refusalFactor - 1) * placements_.bestFirstTokenMs(record.request));
    return now + margin < latestStartForObjective(record) ? nullptr : best.target;
}

bool SlotScheduler::hasAnyFreeSlot(Instant now) const
{
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) { return hasFreeSlot(entry.second, now); });
}

bool SlotScheduler::hasFreeSlotAt(const std::string& softwareVersion, Instant now) const
{
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) { return entry.second.target.softwareVersion == softwareVersion && hasFreeSlot(entry.second, now); });
}

void SlotScheduler::countTowardsRateLimits(const RequestRecord& record, Instant now)
{
    if (!settings_.rateLimiter)
        return;
    settings_.rateLimiter->recordRequests(record.target, 1, now);
    // The call that stops the generation, and its resumption there if its memory cannot be transferred.
    constexpr double requestsToSource = 2;
    if (record.request.migratesFrom.isValid())
        settings_.rateLimiter->recordRequests(record.request.migratesFrom, requestsToSource, now);
}

void SlotScheduler::grant(RequestRecord& record, SlotTarget& target, bool isForDeficit, Instant now)
{
    dequeue(record);
    record.grantedAt = now;
    record.predictedFirstTokenMs = placements_.evaluate(workOf(record), target, now).firstTokenMs;
    occupySlot(record, target);
    versions_.recordGrant(record.request, target.target);
    zones_.recordGrant(record.request, target.target, now);
    countTowardsRateLimits(record, now);
    grantedCostMs_.addSample(record.queuedCostMs);
    workFractions_.recordGrant(record.request.urgency, record.rank.missesObjective, record.queuedCostMs);
    if (!record.rank.missesObjective && !record.hasEarlierWork())
        deficits_.recordGrant(record.request.urgency, record.queuedCostMs, isForDeficit);
    actions_.emplace_back(PoolGrant { record.request.attempt, target.target.id });
}

SlotScheduler::RequestRecord* SlotScheduler::firstMeetingObjective(Tier urgency) const
{
    for (uint8_t tier = 0; tier < Tier::count; ++tier) {
        auto it = queue_.lower_bound({ Rank { false, tier, urgency.value(), 0 }, AttemptId() });
        if (it != queue_.end() && !it->first.missesObjective && it->first.tier == tier && it->first.urgency == urgency.value() && it->first.arrivalNumber > 0)
            return records_.at(it->second).get();
    }
    return nullptr;
}

void SlotScheduler::dispatchDeficits(Instant now)
{
    for (uint8_t urgency = 1; urgency < Tier::count; ++urgency) {
        while (deficits_.hasDeficit(Tier(urgency)) && hasAnyFreeSlot(now)) {
            auto* record = firstMeetingObjective(Tier(urgency));
            auto* target = record ? selectTarget(*record, now) : nullptr;
            if (!target)
                break;
            grant(*record, *target, true, now);
        }
    }
}

void SlotScheduler::dispatch(Instant now)
{
    if (queue_.empty())
        return;
    observeZones(now);
    dispatchDeficits(now);
    size_t examined = 0;
    // Many streams may wait for one version; they must not keep the requests behind them from the targets of others.
    std::set<std::string> fullVersions;
    for (auto it = queue_.begin(); it != queue_.end() && examined < maxExaminedRequests && hasAnyFreeSlot(now);) {
        auto& record = *records_.at(it->second);
        ++it;
        const auto& version = record.request.softwareVersion;
        if (version && (fullVersions.contains(*version) || !hasFreeSlotAt(*version, now))) {
            fullVersions.insert(*version);
            continue;
        }
        if (!mayLeaveQueue(record, now)) {
            zones_.recordWaiting(record.request, record.queuedCostMs);
            continue;
        }
        ++examined;
        if (auto* target = selectTarget(record, now))
            grant(record, *target, false, now);
        else
            zones_.recordWaiting(record.request, record.queuedCostMs);
    }
}

void SlotScheduler::updateRanks(Instant now)
{
    std::vector<std::pair<Rank, AttemptId>> changed;
    for (const auto& entry : queue_) {
        if (!entry.first.missesObjective && rankOf(*records_.at(entry.second), now).missesObjective)
            changed.push_back(entry);
    }
    for (const auto& entry : changed) {
        queue_.erase(entry);
        --queuedMeetingObjective_[entry.first.urgency];
        auto& record = *records_.at(entry.second);
        record.rank = rankOf(record, now);
        queue_.emplace(record.rank, entry.second);
    }
}

void SlotScheduler::refusePredictedDeadlineMisses(Instant now)
{
    updateRateLimitWait(now);
    QueuedWork ahead;
    std::array<double, Tier::count> deficits {};
    for (uint8_t urgency = 0; urgency < Tier::count; ++urgency)
        deficits[urgency] = deficits_.deficit(Tier(urgency));
    std::vector<AttemptId> unmeetable;
    for (const auto& [rank, attempt] : queue_) {
        const auto& record = *records_.at(attempt);
        bool isForDeficit = rateLimitWait_ == Duration::zero() && !rank.missesObjective && !record.hasEarlierWork() && --deficits[rank.urgency] >= 0;
        if (!isForDeficit && cannotMeetDeadline(record, ahead, now))
            unmeetable.push_back(attempt);
        else
            ahead.add(record.request, record.queuedCostMs);
    }
    for (AttemptId attempt : unmeetable) {
        dequeue(*records_.at(attempt));
        refuse(attempt, ErrorKind::DeadlineUnreachable, "deadline can no longer be met", now);
    }
}

void SlotScheduler::tick(Instant now)
{
    deficits_.tick(now);
    refusals_.tick(now);
    workFractions_.tick(now, !queue_.empty());
    updateRanks(now);
    refusePredictedDeadlineMisses(now);
    updateCapacity(now);
    // Demand decays, and a spill ends, while nothing is queued.
    if (queue_.empty())
        observeZones(now);
    dispatch(now);
    bool isHeld = std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) { return entry.second.hasFreeSlot(now) && !allowsRequest(entry.second, now); });
    stats_.heldByRateLimit = isHeld ? queue_.size() : 0;
}

std::vector<PoolAction> SlotScheduler::takeActions()
{
    return std::exchange(actions_, {});
}

PoolStats SlotScheduler::stats() const
{
    return stats_;
}

}
