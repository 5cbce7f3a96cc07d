#pragma once

#include "briarhitch/core/Registry.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/rollout/PoolRollout.h"
#include "briarhitch/sched/TargetRateLimiter.h"
#include "briarhitch/wire/Messages.h"
#include "briarhitch/zone/ZoneSpillSettings.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace briarhitch {

/** A request to be granted a target. */
struct PoolRequest {
    AttemptId attempt;
    CustomerId customer;
    Tier tier;
    WorkKindId kind;
    Tokens promptTokens;
    Tokens maxOutputTokens;
    /** The caller's estimate of the output length; zero if unknown. */
    Tokens expectedOutputTokens;
    /** Stable hashes of the prompt's leading blocks, in order. */
    std::vector<uint32_t> prefix;
    /** Latest arrival of the first token of model work, or of the complete response of a service. */
    Instant deadline;
    /** Latest arrival of the first token, or of a service's complete response, at full value; not after the deadline. */
    Instant objective;
    /** Latest arrival of the complete response; not before the deadline. */
    Instant responseDeadline;
    /** Longest pause between two events of the stream that meets the objective; zero if unlimited. */
    Duration eventGapObjective { 0 };
    /** Urgency of its kind of work among requests of the same tier. */
    Tier urgency;
    /** Target from which a running request migrates to a faster one; invalid for a request that has not started. */
    TargetId migratesFrom;
    /** Availability zone of the entry. */
    std::string zone;
    /** Targets that already received the request. */
    std::vector<TargetId> excluded;
    /** Stable hash of customer and idempotency key; zero without a key. */
    uint64_t idempotencyKeyHash { 0 };
    /** It may crash its target, so it goes where the fewest requests run. */
    bool mayCrashTarget { false };
    /** Only targets of this version may be granted; none: any. The entry checks it again, since not all policies look at it. */
    std::optional<std::string> softwareVersion {};
};

struct PoolGrant {
    AttemptId attempt;
    TargetId target;
};

struct PoolRefusal {
    AttemptId attempt;
    ErrorKind kind { ErrorKind::Shed };
    Duration retryAfter { 0 };
    /** Short explanation for the request's history. */
    std::string reason;
    /** The rate limits of the targets leave no room before the deadline. */
    bool isForRateLimit { false };
};

using PoolAction = std::variant<PoolGrant, PoolRefusal>;

struct PoolStats {
    std::array<size_t, Tier::count> queued {};
    std::array<size_t, Tier::count> running {};
    Tokens queuedTokens;
    Tokens runningTokens;
    /** Queued requests while a target has a free slot, but its rate limit allows no request. */
    size_t heldByRateLimit { 0 };
};

/** Settings of a pool's scheduler; the defaults suit both kinds of pools. */
struct PoolSettings {
    /** Name of a registered scheduling policy. */
    std::string policy { "briarhitch" };
    PoolKind kind { PoolKind::Model };
    /** Seed of the policy's random numbers. */
    uint64_t seed { 1 };
    /** Maximum number of queued requests. */
    size_t maxQueued { 20000 };
    /** Names of policy features to disable, for measurements. */
    std::set<std::string> disabledFeatures;
    /** Names of policy features that are off by default. */
    std::set<std::string> enabledFeatures {};
    /** Fraction of the pool's capacity, 0 to 0.5, that a kind of work gets even under more urgent load. */
    std::map<WorkKindId, double> floors;
    /** Rate limits of the pool's targets; not owned. Null: none. */
    TargetRateLimiter* rateLimiter { nullptr };
    /** Only the policy "slots" uses it. */
    ZoneSpillSettings zoneSpill;
};

/**
 * Decides for one pool which request goes to which target, and when. Does no I/O and reads no clock: the caller passes
 * `now`, which must be monotonic, and carries out the returned actions.
 */
class PoolScheduler {
public:
    virtual ~PoolScheduler() = default;

    /** Replaces the pool's list of targets; targets that are not listed get no new work. */
    virtual void setTargets(const std::vector<Target>& targets, Instant now) = 0;
    /** Restricts the software versions of targets from the next call of setTargets() on; policies may ignore it. */
    virtual void setRollout(const std::optional<PoolRollout>&) { }
    virtual void setContract(const Contract& contract) = 0;
    /** Queues a request. Produces exactly one action for it unless it is cancelled first. A known attempt id is ignored. */
    virtual void submit(PoolRequest request, Instant now) = 0;
    /** Removes a queued request, or releases the target of a granted request that was not sent. */
    virtual void cancel(AttemptId attempt, Instant now) = 0;
    /** Records that the first token arrived; `firstToken` is its latency. */
    virtual void attemptStarted(AttemptId attempt, Duration firstToken, Instant now) = 0;
    virtual void attemptFinished(AttemptId attempt, AttemptOutcome outcome, Tokens promptTokens, Tokens outputTokens, Duration duration, Instant now) = 0;
    /** Adopts a running attempt that a previous pool owner granted. */
    virtual void restore(PoolRequest request, TargetId target, bool isStarted, Instant now) = 0;
    /** Records that the target received a request with this idempotency key. */
    virtual void restoreRecentAttempt(uint64_t idempotencyKeyHash, TargetId target, Instant now) = 0;
    virtual void reportLoad(const LoadReport& report, Instant now) = 0;
    /** Performs periodic work; must be called at least every 50 ms. */
    virtual void tick(Instant now) = 0;
    /** The decisions since the last call, in order. */
    virtual std::vector<PoolAction> takeActions() = 0;
    [[nodiscard]] virtual PoolStats stats() const = 0;
    /** Zones that have started or stopped sending work to other zones since the last call. */
    virtual std::vector<ZoneSpillEvent> takeZoneEvents() { return {}; }
};

using PoolSchedulerFactory = std::function<std::unique_ptr<PoolScheduler>(const PoolSettings&)>;
using PoolSchedulerRegistry = Registry<PoolSchedulerFactory>;

/** NotFound if no policy with that name is registered. */
Result<std::unique_ptr<PoolScheduler>> makePoolScheduler(const PoolSettings& settings);

}
