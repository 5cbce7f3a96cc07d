#pragma once

#include "briarhitch/rollout/VersionShare.h"
#include "briarhitch/sched/PoolScheduler.h"
#include "sched/GrantedWorkFractions.h"
#include "sched/LengthEstimator.h"
#include "sched/PlacementModel.h"
#include "sched/PoolCapacity.h"
#include "sched/QueuedWork.h"
#include "sched/RefusalHistory.h"
#include "sched/SlotTarget.h"
#include "sched/SlotTurnaround.h"
#include "sched/UrgencyDeficits.h"
#include "sched/ZonePlacement.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace briarhitch {

/**
 * The policy "slots", for targets that run a fixed number of requests concurrently. It never grants a target more requests
 * than it has slots, so that requests queue here, in priority order, and not at the target. It learns the speed of each
 * target and selects one where the request meets its objective and other requests do not miss theirs.
 */
class SlotScheduler : public PoolScheduler {
public:
    explicit SlotScheduler(const PoolSettings& settings);

    void setTargets(const std::vector<Target>& targets, Instant now) override;
    void setRollout(const std::optional<PoolRollout>& rollout) override { versions_.setRollout(rollout); }
    void setContract(const Contract& contract) override;
    void submit(PoolRequest request, Instant now) override;
    void cancel(AttemptId attempt, Instant now) override;
    void attemptStarted(AttemptId attempt, Duration firstToken, Instant now) override;
    void attemptFinished(AttemptId attempt, AttemptOutcome outcome, Tokens promptTokens, Tokens outputTokens, Duration duration, Instant now) override;
    void restore(PoolRequest request, TargetId target, bool isStarted, Instant now) override;
    void restoreRecentAttempt(uint64_t repeatKey, TargetId target, Instant now) override;
    void reportLoad(const LoadReport& report, Instant now) override;
    void tick(Instant now) override;
    std::vector<PoolAction> takeActions() override;
    [[nodiscard]] PoolStats stats() const override;
    std::vector<ZoneSpillEvent> takeZoneEvents() override { return zones_.takeEvents(); }

private:
    /** Queue order: first requests that can still meet their objective, then by tier, urgency of the kind, and arrival. */
    struct Rank {
        bool missesObjective { false };
        uint8_t tier { 0 };
        uint8_t urgency { 0 };
        uint64_t arrivalNumber { 0 };

        auto operator<=>(const Rank&) const = default;
    };
    struct RequestRecord {
        PoolRequest request;
        uint64_t arrivalNumber { 0 };
        Instant arrivedAt;
        Rank rank;
        double expectedOutput { 0 };
        /** Slot time that the request needs, in milliseconds, as estimated when it was queued. */
        double queuedCostMs { 0 };
        TargetId target;
        bool isRunning { false };
        bool isStarted { false };
        /** The target had no other prefill in progress when this request was granted. */
        bool isOnlyPrefill { false };
        Duration firstToken { 0 };
        Instant grantedAt;
        /** Time from the grant to the first answer as predicted, in milliseconds; zero if it was not. */
        double predictedFirstTokenMs { 0 };

        /** Moves or continues a generation, whose work so far is lost if it comes too late. */
        [[nodiscard]] bool hasEarlierWork() const { return request.migratesFrom.isValid() || request.softwareVersion; }
    };
    struct Selection {
        SlotTarget* target { nullptr };
        Placement placement;
        /** Position of the target's zone in the order of preference. */
        size_t zoneOrder { 0 };
    };

    [[nodiscard]] bool isModel() const
    {
        return settings_.kind == PoolKind::Model;
    }
    [[nodiscard]] static PlacementModel::Work workOf(const RequestRecord& record) { return { record.request, record.expectedOutput }; }
    [[nodiscard]] double expectedOutputOf(const PoolRequest& request) const;
    /** Until then the request may wait for a slot on which it meets its objective. */
    [[nodiscard]] Instant latestStartForObjective(const RequestRecord& record) const;
    [[nodiscard]] Rank rankOf(const RequestRecord& record, Instant now) const;
    [[nodiscard]] bool isEligible(const RequestRecord& record, const SlotTarget& target) const;
    [[nodiscard]] bool allowsRequest(const SlotTarget& target, Instant now) const;
    [[nodiscard]] bool hasFreeSlot(const SlotTarget& target, Instant now) const { return target.hasFreeSlot(now) && allowsRequest(target, now); }
    void updateRateLimitWait(Instant now);
    [[nodiscard]] bool hasEligibleTarget(const RequestRecord& record) const;
    [[nodiscard]] QueuedWork queuedWorkAhead(const Rank& rank) const;
    /** Time in milliseconds until this much work before the rank of a request is granted, together with arrivals that overtake it meanwhile. */
    [[nodiscard]] double queueDrainMs(const QueuedWork& ahead, const PoolRequest& request, const Rank& rank) const;
    [[nodiscard]] Duration retryAfter(const RequestRecord& record) const;
    /** For a caller that the rate limits of all targets left no room for. */
    [[nodiscard]] Duration retryAfterRateLimit(Instant now);

    RequestRecord& addRequest(PoolRequest request, Instant now);
    void enqueue(RequestRecord& record);
    void dequeue(RequestRecord& record);
    void refuse(AttemptId attempt, ErrorKind kind, std::string_view reason, Instant now);
    void occupySlot(RequestRecord& record, SlotTarget& target);
    void releaseSlot(RequestRecord& record);
    void endPrefill(RequestRecord& record, SlotTarget& target);
    void recordOutcome(SlotTarget& target, OutcomeClass outcome, Instant now);
    void learnServiceTime(const RequestRecord& record, SlotTarget& target, Tokens outputTokens, Duration duration);
    /** Grants queued requests to free slots. */
    void dispatch(Instant now);
    /** Grants requests of less urgent kinds that have a deficit, before more urgent ones. */
    void dispatchDeficits(Instant now);
    [[nodiscard]] bool hasAnyFreeSlot(Instant now) const;
    [[nodiscard]] bool hasFreeSlotAt(const std::string& softwareVersion, Instant now) const;
    /** First queued request of this urgency, by tier, that can meet its objective; nullptr if there is none. */
    [[nodiscard]] RequestRecord* firstMeetingObjective(Tier urgency) const;
    void grant(RequestRecord& record, SlotTarget& target, bool isForDeficit, Instant now);
    void countTowardsRateLimits(const RequestRecord& record, Instant now);
    SlotTarget* selectTarget(const RequestRecord& record, Instant now);
    /** The best target with a free slot; with `zones`, only in one of these. */
    Selection selectPlacement(const RequestRecord& record, const std::vector<ZoneOption>* zones, Instant now);
    /** The best target in the request's own zone, or in another one if ZoneSpill lets the request leave. */
    Selection selectByZone(const RequestRecord& record, Instant now);
    [[nodiscard]] ZoneSpillRequest zoneRequestOf(const RequestRecord& record, Instant now) const;
    void observeZones(Instant now);
    /** Whether the request can get a target in this pass, as far as zones decide it. */
    [[nodiscard]] bool mayLeaveQueue(const RequestRecord& record, Instant now);
    /** The target with the fewest running requests; nullptr if none has a free slot. */
    SlotTarget* selectLeastUsedTarget(const RequestRecord& record, Instant now);
    /** A target with a free slot that is much faster than the one that runs the request; nullptr if there is none. */
    SlotTarget* selectFasterTarget(const RequestRecord& record, Instant now);
    void updateRanks(Instant now);
    /** Whether the request is predicted to miss its deadline behind this much queued work. */
    [[nodiscard]] bool cannotMeetDeadline(const RequestRecord& record, const QueuedWork& ahead, Instant now) const;
    void refusePredictedDeadlineMisses(Instant now);
    void updateCapacity(Instant now);

    PoolSettings settings_;
    const bool overlapsTurnaround_;
    PlacementModel placements_;
    SlotTurnaround turnaround_;
    LengthEstimator lengths_;
    VersionShare versions_;
    std::map<TargetId, SlotTarget> targets_;
    absl::flat_hash_map<AttemptId, std::unique_ptr<RequestRecord>> records_;
    std::set<std::pair<Rank, AttemptId>> queue_;
    std::vector<PoolAction> actions_;
    PoolStats stats_;
    uint64_t lastArrivalNumber_ { 0 };
    /** Slot time of granted requests, in milliseconds. */
    MovingAverage grantedCostMs_ { 0.02 };
    UrgencyDeficits deficits_;
    /** Number of queued requests that can still meet their objective, by the urgency of their kind. */
    std::array<size_t, Tier::count> queuedMeetingObjective_ {};
    GrantedWorkFractions workFractions_;
    RefusalHistory refusals_;
    ZonePlacement zones_;
    double peerErrorRate_ { 0 };
    /** Of all active targets; speeds are relative to the pool's mean. */
    PoolCapacity capacity_;
    /** Time until the rate limits allow a request; zero if any target has no limit. */
    Duration rateLimitWait_ { 0 };
    /** Sum of the targets' rate limits; none if any target has no limit. */
    std::optional<RequestRate> rateLimitSum_;
    /** When the caller refused last for the rate limits was told to return. */
    Instant nextRateLimitedReturn_ {};
};

}
