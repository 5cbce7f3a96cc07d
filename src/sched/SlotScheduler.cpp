#include "sched/SlotScheduler.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // Until something was learned: usual figures of engines and plain services.
    constexpr double startingTokenMs = 4;
    constexpr double startingPrefillMs = 0.016;
    constexpr double startingServiceMs = 30;
    /** Time on the way to a target and back, and for it to begin. */
    constexpr double overheadMs = 6;
    /** From the caller to its entry and back, which the objective includes: about 3 ms each way from the callers' networks. */
    constexpr double callerPathMs = 6;
    // An engine reads prompts in chunks of this size, one for each step of all that it runs.
    constexpr double chunkTokens = 1024;
    // Other requests' prompts are read between the tokens of an answer.
    constexpr double sharedStepFactor = 1.25;
    // An answer that comes late has about a third of its value.
    constexpr double lateLoss = 0.7;
    constexpr double endLoss = 1.0;
    // Of the allowed pause between events, what a placement may plan to use.
    constexpr double usedGap = 0.85;
    // Callers' estimates of the output are right at the median; their logarithms deviate by about this much.
    constexpr double lengthDeviation = 0.6;
    // Of an engine's memory, what may be planned for.
    constexpr double usedMemory = 0.92;
    /** A placement with no more than this loss is taken at once. */
    constexpr double acceptedLoss = 0.05;
    constexpr double acceptedEndRisk = 0.3;
    /**
     * Among targets where no value is lost, how much slower a full one counts, and one in another availability zone. Less
     * than the step between neighbouring generations of hardware, so that a slow engine next door holds nothing up.
     */
    constexpr double fillPenalty = 0.2;
    constexpr double otherZonePenalty = 0.5;
    /** A running request moves only to a target that is faster by this factor. */
    constexpr double leastSpeedUp = 1.5;
    /** Part of its objective that any request may wait for a good place. */
    constexpr double fairWaitPart = 0.5;
    /** Requests of the queue that are looked at in one pass; those behind them get the next places. */
    constexpr size_t mostLookedAt = 48;
    constexpr double peerGain = 0.02;
    // Predicted waits are noisy; work is refused for them only if they are beyond its time by this factor.
    constexpr double hopelessFactor = 1.2;
    // What waits behind others is taken to get this part of the places at least: most peaks are over before its deadline.
    constexpr double leastPlacesPart = 0.25;
    constexpr double shortestRetryMs = 500;
    constexpr double longestRetryMs = 5000;
    constexpr double retrySpread = 0.3;

    double toMsExact(Duration duration) { return toSeconds(duration) * 1000; }
    Duration fromMs(double ms) { return fromSeconds(ms / 1000); }

    /** Chance that an answer is longer than the limit. */
    double chanceBeyond(double limit, double expected)
    {
        if (limit <= 0)
            return 1;
        if (expected <= 0)
            return 0;
        return 0.5 * std::erfc(std::log(limit / expected) / (lengthDeviation * std::sqrt(2.0)));
    }

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
{
}

double SlotScheduler::expectedOutputOf(const PoolRequest& request) const
{
    if (!isModel())
        return 0;
    auto learned = static_cast<double>(lengths_.estimate(request.customer, request.kind, request.maxOutputTokens).value());
    if (request.expectedOutputTokens.value() <= 0)
        return learned;
    auto most = static_cast<double>(std::max<int64_t>(1, request.maxOutputTokens.value()));
    return std::min(most, static_cast<double>(request.expectedOutputTokens.value()));
}

double SlotScheduler::workMsOf(const SlotTarget& target) const
{
    return target.workMs.valueOr(poolWorkMs_.valueOr(isModel() ? startingTokenMs : startingServiceMs));
}

double SlotScheduler::prefillMsOf(const SlotTarget& target) const
{
    // A target that is slow at one kind of work is slow at the other.
    double usual = poolPrefillMs_.valueOr(startingPrefillMs) * workMsOf(target) / poolWorkMs_.valueOr(startingTokenMs);
    return target.prefillMs.valueOr(usual);
}

SlotScheduler::Placement SlotScheduler::placementOn(const Record& record, const SlotTarget& target, Instant now) const
{
    const auto& request = record.request;
    Placement placement;
    double work = workMsOf(target);
    double objective = toMsExact(request.objective - now);
    double left = toMsExact(request.deadline - now);
    if (!isModel()) {
        placement.firstTokenMs = placement.durationMs = overheadMs + work;
        placement.loss = placement.durationMs > objective ? lateLoss : 0;
        return placement;
    }
    double prompt = static_cast<double>(request.promptTokens.value());
    double prefill = prefillMsOf(target);
    placement.firstTokenMs = overheadMs + work + (target.prefillTokens + prompt) * prefill;
    placement.durationMs = placement.firstTokenMs + record.expectedOutput * work * sharedStepFactor;
    double gap = toMsExact(request.gapObjective);
    double step = work + chunkTokens * prefill;
    double stride = std::max(1U, target.target.tokensPerEvent);
    bool isTooSlow = gap > 0 && stride * work > usedGap * gap;
    if (placement.firstTokenMs > objective || isTooSlow)
        placement.loss += lateLoss;
    double answerLeft = std::max(left, toMsExact(request.answerDeadline - now));
    placement.endRisk = endLoss * chanceBeyond((answerLeft - placement.firstTokenMs) / (work * sharedStepFactor), record.expectedOutput);
    placement.loss += placement.endRisk;
    // While the prompt is read, each step of the answers that run there takes a chunk longer.
    double chunks = std::min(stride, std::ceil(prompt / chunkTokens));
    bool delaysOthers = gap > 0 && chunks * step + (stride - chunks) * work > usedGap * gap;
    uint32_t answering = target.running - target.prefilling;
    if (delaysOthers && answering > 0)
        placement.loss += lateLoss * answering / 2.0;
    return placement;
}

double SlotScheduler::costMs(const Record& record) const
{
    double work = poolWorkMs_.valueOr(isModel() ? startingTokenMs : startingServiceMs);
    if (!isModel())
        return work;
    double prefill = poolPrefillMs_.valueOr(startingPrefillMs);
    return overheadMs + record.expectedOutput * work * sharedStepFactor + static_cast<double>(record.request.promptTokens.value()) * prefill;
}

double SlotScheduler::bestFirstTokenMs(const Record& record) const
{
    if (!isModel())
        return overheadMs + fastestWorkMs_;
    return overheadMs + fastestWorkMs_ + static_cast<double>(record.request.promptTokens.value()) * fastestPrefillMs_;
}

Instant SlotScheduler::latestGoodStart(const Record& record) const
{
    const auto& request = record.request;
    // A long prompt takes most of its objective to read; without a part of it for waiting it would always be the loser.
    auto fairWait = fromSeconds(fairWaitPart * std::max(0.0, toSeconds(request.objective - record.arrivedAt)));
    auto usualFirstToken = fromMs(bestFirstTokenMs(record) + callerPathMs);
    auto latest = request.objective - usualFirstToken;
    return fairWait > Duration(0) ? std::max<Instant>(latest, record.arrivedAt + fairWait) : latest;
}

SlotScheduler::Rank SlotScheduler::rankOf(const Record& record, Instant now) const
{
    const auto& request = record.request;
    bool isLate = now > latestGoodStart(record);
    // What is done already is lost if a move comes too late, so it goes first; there are few of them.
    if (request.movesFrom.isValid())
        return { false, 0, 0, 0 };
    // Late work before work in time would make that late too, and under load everything.
    return { isLate, request.tier.value(), request.urgency.value(), record.arrival };
}

bool SlotScheduler::mayUse(const Record& record, const SlotTarget& target) const
{
    return !contains(record.request.excluded, target.target.id);
}

bool SlotScheduler::hasUsableTarget(const Record& record) const
{
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) { return entry.second.isActive() && mayUse(record, entry.second); });
}

double SlotScheduler::workAheadMs(const Rank& rank) const
{
    double ahead = 0;
    for (const auto& [other, attempt] : queue_) {
        if (other >= rank)
            break;
        ahead += records_.at(attempt)->waitingCostMs;
    }
    return ahead;
}

bool SlotScheduler::isHopeless(const Record& record, double aheadMs, Instant now) const
{
    double least = record.request.movesFrom.isValid() ? 0 : bestFirstTokenMs(record);
    return drainMs(aheadMs, record.rank) * hopelessFactor + least > toMsExact(record.request.deadline - now);
}

double SlotScheduler::drainMs(double workMs, const Rank& rank) const
{
    if (capacity_ <= 0)
        return 0;
    double part = std::max(leastPlacesPart, 1 - parts_.overtaking(Tier(rank.urgency), rank.isLate));
    return workMs / (capacity_ * part);
}

Duration SlotScheduler::retryAfter(const Record& record) const
{
    // A caller that comes back is late, so that all that is in time goes before it.
    auto rank = record.rank;
    rank.isLate = true;
    double ms = std::clamp(drainMs(workAheadMs(rank), rank), shortestRetryMs, longestRetryMs);
    // Callers that were refused together come back spread out.
    double part = static_cast<double>((record.request.attempt.request.value() * 0x9e3779b97f4a7c15ULL) >> 40) / static_cast<double>(1 << 24);
    return fromMs(ms * (1 + retrySpread * part));
}

SlotScheduler::Record& SlotScheduler::add(PoolRequest request, Instant now)
{
    auto record = std::make_unique<Record>();
    record->arrival = ++lastArrival_;
    record->arrivedAt = now;
    record->expectedOutput = expectedOutputOf(request);
    if (auto first = refusedCallers_.firstObjective(request))
        request.objective = std::min(request.objective, *first);
    record->request = std::move(request);
    record->rank = rankOf(*record, now);
    auto& slot = records_[record->request.attempt];
    slot = std::move(record);
    return *slot;
}

void SlotScheduler::enqueue(Record& record)
{
    queue_.emplace(record.rank, record.request.attempt);
    record.waitingCostMs = costMs(record);
    waitingInTime_[record.rank.urgency] += record.rank.isLate ? 0 : 1;
    ++stats_.queued[record.request.tier.value()];
    stats_.queuedTokens += record.request.promptTokens;
}

void SlotScheduler::dequeue(Record& record)
{
    queue_.erase({ record.rank, record.request.attempt });
    waitingInTime_[record.rank.urgency] -= record.rank.isLate ? 0 : 1;
    --stats_.queued[record.request.tier.value()];
    stats_.queuedTokens -= record.request.promptTokens;
}

void SlotScheduler::refuse(AttemptId attempt, ErrorKind kind, std::string_view reason, Instant now)
{
    const auto& record = *records_.at(attempt);
    actions_.emplace_back(PoolRefusal { attempt, kind, retryAfter(record), std::string(reason) });
    if (!record.request.movesFrom.isValid())
        refusedCallers_.note(record.request, now);
    records_.erase(attempt);
}

void SlotScheduler::submit(PoolRequest request, Instant now)
{
    if (records_.contains(request.attempt))
        return;
    auto& record = add(std::move(request), now);
    auto attempt = record.request.attempt;
    if (!hasUsableTarget(record)) {
        refuse(attempt, ErrorKind::NoTarget, "no target can take the request", now);
        return;
    }
    if (!record.rank.isLate && !record.request.movesFrom.isValid())
        shares_.noteAsked(record.request.urgency);
    // What its kind is owed goes before the work ahead of it.
    bool isOwed = !record.rank.isLate && static_cast<double>(waitingInTime_[record.rank.urgency]) + 1 <= shares_.owed(record.request.urgency);
    if ((!isOwed && isHopeless(record, workAheadMs(record.rank), now)) || queue_.size() >= settings_.maxQueued) {
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
        release(*it->second);
    else
        dequeue(*it->second);
    records_.erase(it);
    dispatch(now);
}

void SlotScheduler::occupy(Record& record, SlotTarget& target)
{
    record.target = target.target.id;
    record.isRunning = true;
    record.isPrefillAlone = target.prefilling == 0;
    ++target.running;
    target.memoryTokens += static_cast<double>(record.request.promptTokens.value()) + record.expectedOutput;
    if (!record.isStarted) {
        ++target.prefilling;
        target.prefillTokens += static_cast<double>(record.request.promptTokens.value());
    }
    ++stats_.running[record.request.tier.value()];
    stats_.runningTokens += record.request.promptTokens;
}

void SlotScheduler::endPrefill(Record& record, SlotTarget& target)
{
    if (record.isStarted)
        return;
    record.isStarted = true;
    --target.prefilling;
    target.prefillTokens = target.prefilling == 0 ? 0 : target.prefillTokens - static_cast<double>(record.request.promptTokens.value());
}

void SlotScheduler::release(Record& record)
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
    target.memoryTokens -= static_cast<double>(record.request.promptTokens.value()) + record.expectedOutput;
    if (target.running == 0)
        target.memoryTokens = 0;
    if (!target.isListed && target.running == 0)
        targets_.erase(it);
}

void SlotScheduler::started(AttemptId attempt, Duration firstToken, Instant now)
{
    auto it = records_.find(attempt);
    if (it == records_.end() || !it->second->isRunning || it->second->isStarted)
        return;
    auto& record = *it->second;
    record.firstToken = firstToken;
    auto found = targets_.find(record.target);
    if (found != targets_.end()) {
        auto& target = found->second;
        endPrefill(record, target);
        auto prompt = static_cast<double>(record.request.promptTokens.value());
        if (record.isPrefillAlone && prompt >= chunkTokens / 2) {
            double sample = std::max(0.0, toMsExact(firstToken) - overheadMs) / prompt;
            target.prefillMs.learn(sample);
            poolPrefillMs_.learn(sample);
        }
        noteOutcome(target, OutcomeWeight::Good, now);
    }
    dispatch(now);
}

void SlotScheduler::noteOutcome(SlotTarget& target, OutcomeWeight outcome, Instant now)
{
    // What one target loses by itself must not excuse the others.
    if (outcome == OutcomeWeight::Good || outcome == OutcomeWeight::Error)
        peerFailures_ += peerGain * ((outcome == OutcomeWeight::Good ? 0 : 1) - peerFailures_);
    target.health.note(outcome, peerFailures_, now);
}

void SlotScheduler::learnWork(const Record& record, SlotTarget& target, Tokens outputTokens, Duration duration)
{
    if (!isModel()) {
        target.workMs.learn(toMsExact(duration));
        poolWorkMs_.learn(toMsExact(duration));
        return;
    }
    lengths_.learn(record.request.customer, record.request.kind, outputTokens);
    auto tokens = static_cast<double>(outputTokens.value() - target.target.tokensPerEvent);
    constexpr double fewTokens = 20;
    if (tokens < fewTokens)
        return;
    double sample = toMsExact(duration - record.firstToken) / tokens;
    target.workMs.learn(sample);
    poolWorkMs_.learn(sample);
}

void SlotScheduler::finished(AttemptId attempt, AttemptOutcome outcome, Tokens, Tokens outputTokens, Duration duration, Instant now)
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
            learnWork(*record, target, outputTokens, duration);
            noteOutcome(target, OutcomeWeight::Good, now);
            break;
        case AttemptOutcome::Errored:
            noteOutcome(target, OutcomeWeight::Error, now);
            break;
        case AttemptOutcome::Failed:
            noteOutcome(target, OutcomeWeight::Broken, now);
            break;
        case AttemptOutcome::Unreachable:
            noteOutcome(target, OutcomeWeight::Unreachable, now);
            break;
        case AttemptOutcome::Cancelled:
        case AttemptOutcome::Refused:
            break;
        }
    }
    release(*record);
    updateCapacity();
    dispatch(now);
}

void SlotScheduler::restore(PoolRequest request, TargetId target, bool isStarted, Instant now)
{
    if (records_.contains(request.attempt))
        return;
    auto& record = add(std::move(request), now);
    record.isStarted = isStarted;
    record.target = target;
    if (auto it = targets_.find(target); it != targets_.end()) {
        occupy(record, it->second);
        return;
    }
    record.isRunning = true;
    ++stats_.running[record.request.tier.value()];
    stats_.runningTokens += record.request.promptTokens;
}

void SlotScheduler::restoreRepeat(uint64_t, TargetId, Instant)
{
    // Callers with an idempotency key are served by the policies that remember them.
}

void SlotScheduler::reportLoad(const LoadReport&, Instant)
{
    // The count of what was granted is exact, and reports are older than it.
}

void SlotScheduler::setContract(const Contract&)
{
    // Shares within a tier follow from arrival; ceilings bound each customer.
}

void SlotScheduler::setTargets(const std::vector<Target>& targets, Instant now)
{
    for (auto& [id, target] : targets_)
        target.isListed = false;
    for (const auto& listed : targets) {
        auto& target = targets_[listed.id];
        // A new incarnation did not do what the one before it did.
        if (target.target.incarnationStartMs != listed.incarnationStartMs)
            target.health = OutcomeHealth();
        target.target = listed;
        target.isListed = true;
    }
    std::erase_if(targets_, [](const auto& entry) { return !entry.second.isListed && entry.second.running == 0; });
    updateCapacity();
    std::vector<AttemptId> without;
    for (const auto& [rank, attempt] : queue_) {
        if (!hasUsableTarget(*records_.at(attempt)))
            without.push_back(attempt);
    }
    for (AttemptId attempt : without) {
        dequeue(*records_.at(attempt));
        refuse(attempt, ErrorKind::NoTarget, "all its targets left", now);
    }
    dispatch(now);
}

void SlotScheduler::updateCapacity()
{
    capacity_ = 0;
    fastestWorkMs_ = 0;
    fastestPrefillMs_ = 0;
    double usual = poolWorkMs_.valueOr(isModel() ? startingTokenMs : startingServiceMs);
    for (const auto& [id, target] : targets_) {
        if (!target.isActive() || target.health.isBackedOff())
            continue;
        double work = workMsOf(target);
        capacity_ += target.slots() * usual / std::max(work, 0.01);
        if (fastestWorkMs_ == 0 || work < fastestWorkMs_) {
            fastestWorkMs_ = work;
            fastestPrefillMs_ = prefillMsOf(target);
        }
    }
}

SlotTarget* SlotScheduler::chooseFaster(const Record& record, Instant now)
{
    auto from = targets_.find(record.request.movesFrom);
    if (from == targets_.end())
        return nullptr;
    SlotTarget* best = nullptr;
    for (auto& [id, target] : targets_) {
        bool isFaster = workMsOf(target) * leastSpeedUp <= workMsOf(from->second);
        if (isFaster && target.hasPlace(now) && mayUse(record, target) && (!best || workMsOf(target) < workMsOf(*best)))
            best = &target;
    }
    return best;
}

SlotTarget* SlotScheduler::choose(const Record& record, Instant now)
{
    if (record.request.movesFrom.isValid())
        return chooseFaster(record, now);
    SlotTarget* best = nullptr;
    Placement bestPlacement;
    double needed = static_cast<double>(record.request.promptTokens.value()) + record.expectedOutput;
    for (auto& [id, target] : targets_) {
        if (!target.hasPlace(now) || !mayUse(record, target))
            continue;
        auto memory = static_cast<double>(target.target.memoryTokens);
        if (memory > 0 && target.running > 0 && target.memoryTokens + needed > usedMemory * memory)
            continue;
        auto placement = placementOn(record, target, now);
        // Among equal speeds the emptier one, so that answers disturb each other less.
        placement.durationMs *= 1 + fillPenalty * target.running / target.slots();
        if (!record.request.zone.empty() && record.request.zone != target.target.zone)
            placement.durationMs *= 1 + otherZonePenalty;
        bool isBetter = !best || placement.loss < bestPlacement.loss - acceptedLoss
            || (placement.loss < bestPlacement.loss + acceptedLoss && placement.durationMs < bestPlacement.durationMs);
        if (isBetter) {
            best = &target;
            bestPlacement = placement;
        }
    }
    // A risk that is there on most targets is no reason to wait.
    double avoidable = bestPlacement.loss - (bestPlacement.endRisk < acceptedEndRisk ? bestPlacement.endRisk : 0);
    if (!best || avoidable <= acceptedLoss)
        return best;
    // A better place may become free before the request would be late for that alone.
    auto margin = fromMs((hopelessFactor - 1) * bestFirstTokenMs(record));
    return now + margin < latestGoodStart(record) ? nullptr : best;
}

bool SlotScheduler::hasPlace(Instant now) const
{
    return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) { return entry.second.hasPlace(now); });
}

void SlotScheduler::grant(Record& record, SlotTarget& target, bool isOwed)
{
    dequeue(record);
    occupy(record, target);
    parts_.noteGranted(record.request.urgency, record.rank.isLate, record.waitingCostMs);
    if (!record.rank.isLate && !record.request.movesFrom.isValid())
        shares_.noteGranted(record.request.urgency, record.waitingCostMs, isOwed);
    actions_.emplace_back(PoolGrant { record.request.attempt, target.target.id });
}

SlotScheduler::Record* SlotScheduler::firstInTime(Tier urgency) const
{
    for (uint8_t tier = 0; tier < Tier::count; ++tier) {
        auto it = queue_.lower_bound({ Rank { false, tier, urgency.value(), 0 }, AttemptId() });
        if (it != queue_.end() && !it->first.isLate && it->first.tier == tier && it->first.urgency == urgency.value() && it->first.arrival > 0)
            return records_.at(it->second).get();
    }
    return nullptr;
}

void SlotScheduler::dispatchOwed(Instant now)
{
    for (uint8_t urgency = 1; urgency < Tier::count; ++urgency) {
        while (shares_.isOwed(Tier(urgency)) && hasPlace(now)) {
            auto* record = firstInTime(Tier(urgency));
            auto* target = record ? choose(*record, now) : nullptr;
            if (!target)
                break;
            grant(*record, *target, true);
        }
    }
}

void SlotScheduler::dispatch(Instant now)
{
    dispatchOwed(now);
    size_t looked = 0;
    for (auto it = queue_.begin(); it != queue_.end() && looked < mostLookedAt && hasPlace(now); ++looked) {
        auto& record = *records_.at(it->second);
        ++it;
        if (auto* target = choose(record, now))
            grant(record, *target, false);
    }
}

void SlotScheduler::rerank(Instant now)
{
    std::vector<std::pair<Rank, AttemptId>> changed;
    for (const auto& entry : queue_) {
        if (!entry.first.isLate && rankOf(*records_.at(entry.second), now).isLate)
            changed.push_back(entry);
    }
    for (const auto& entry : changed) {
        queue_.erase(entry);
        --waitingInTime_[entry.first.urgency];
        auto& record = *records_.at(entry.second);
        record.rank = rankOf(record, now);
        queue_.emplace(record.rank, entry.second);
    }
}

void SlotScheduler::refuseHopeless(Instant now)
{
    double ahead = 0;
    std::array<double, Tier::count> owed {};
    for (uint8_t urgency = 0; urgency < Tier::count; ++urgency)
        owed[urgency] = shares_.owed(Tier(urgency));
    std::vector<AttemptId> hopeless;
    for (const auto& [rank, attempt] : queue_) {
        const auto& record = *records_.at(attempt);
        bool isOwed = !rank.isLate && --owed[rank.urgency] >= 0;
        if (!isOwed && isHopeless(record, ahead, now))
            hopeless.push_back(attempt);
        else
            ahead += record.waitingCostMs;
    }
    for (AttemptId attempt : hopeless) {
        dequeue(*records_.at(attempt));
        refuse(attempt, ErrorKind::DeadlineUnreachable, "deadline cannot be met any more", now);
    }
}

void SlotScheduler::tick(Instant now)
{
    shares_.tick(now);
    refusedCallers_.tick(now);
    parts_.tick(now, !queue_.empty());
    rerank(now);
    refuseHopeless(now);
    updateCapacity();
    dispatch(now);
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
