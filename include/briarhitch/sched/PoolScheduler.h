#pragma once

#include "briarhitch/core/Registry.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/wire/Messages.h"

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace briarhitch {

/** A request that waits for a target. */
struct PoolRequest {
    AttemptId attempt;
    CustomerId customer;
    Tier tier;
    WorkKindId kind;
    Tokens promptTokens;
    Tokens maxOutputTokens;
    /** The caller's estimate of the output; zero if there is none. */
    Tokens expectedOutputTokens;
    /** Stable hashes of the prompt's blocks, from the start. */
    std::vector<uint32_t> prefix;
    /** The first token of model work, or the whole answer of a service, must be there by then. */
    Instant deadline;
    /** By then the first token, or the whole answer of a service, has its full value; not after the deadline. */
    Instant objective;
    /** The whole answer must be there by then; not before the deadline. */
    Instant responseDeadline;
    /** Longest pause between events that is still on time; zero if there is none. */
    Duration eventGapObjective { 0 };
    /** Urgency of its kind among requests of one tier. */
    Tier urgency;
    /** The request runs there and is to move to a faster target; none for a request that has not begun. */
    TargetId migratesFrom;
    /** Availability zone of the entry. */
    std::string zone;
    /** Targets that had the request. */
    std::vector<TargetId> excluded;
    /** Stable hash of customer and idempotency key; zero if there is none. */
    uint64_t idempotencyKeyHash { 0 };
};

struct PoolGrant {
    AttemptId attempt;
    TargetId target;
};

struct PoolRefusal {
    AttemptId attempt;
    ErrorKind kind { ErrorKind::Shed };
    Duration retryAfter { 0 };
    /** For the request's history; short. */
    std::string reason;
};

using PoolAction = std::variant<PoolGrant, PoolRefusal>;

struct PoolStats {
    std::array<size_t, Tier::count> queued {};
    std::array<size_t, Tier::count> running {};
    Tokens queuedTokens;
    Tokens runningTokens;
};

/** How a pool decides; every field has a default that suits both kinds of targets. */
struct PoolSettings {
    /** Name of a registered policy. */
    std::string policy { "briarhitch" };
    PoolKind kind { PoolKind::Model };
    /** Seeds whatever the policy draws at random. */
    uint64_t seed { 1 };
    /** Most requests in the queue. */
    size_t maxQueued { 20000 };
    /** Parts of the policy that are switched off, by name; for measurements. */
    std::set<std::string> disabledFeatures;
    /** Part of the pool's capacity that a kind of work gets even under more urgent load, 0 to 0.5. */
    std::map<WorkKindId, double> floors;
};

/**
 * Decides for one pool which request goes to which target, and when. Pure: no clock, no sockets; the
 * caller passes `now`, which never goes back, and carries out the actions.
 */
class PoolScheduler {
public:
    virtual ~PoolScheduler() = default;

    /** All targets of the pool, with their states; targets that are absent get no new work. */
    virtual void setTargets(const std::vector<Target>& targets, Instant now) = 0;
    virtual void setContract(const Contract& contract) = 0;
    /** Queues a request. Exactly one action follows for it, unless it is cancelled first. A known attempt id is ignored. */
    virtual void submit(PoolRequest request, Instant now) = 0;
    /** Forgets a queued request, or frees the target of a granted one that was not sent. */
    virtual void cancel(AttemptId attempt, Instant now) = 0;
    /** The target's first token arrived. */
    virtual void attemptStarted(AttemptId attempt, Duration firstToken, Instant now) = 0;
    virtual void attemptFinished(AttemptId attempt, AttemptOutcome outcome, Tokens promptTokens, Tokens outputTokens, Duration duration, Instant now) = 0;
    /** Takes over an attempt that an earlier owner granted. */
    virtual void restore(PoolRequest request, TargetId target, bool isStarted, Instant now) = 0;
    /** Remembers that a target had a request with this repeat key. */
    virtual void restoreRecentAttempt(uint64_t repeatKey, TargetId target, Instant now) = 0;
    virtual void reportLoad(const LoadReport& report, Instant now) = 0;
    /** Lets time pass; to be called every 50 ms or more often. */
    virtual void tick(Instant now) = 0;
    /** What was decided since the last call, in order. */
    virtual std::vector<PoolAction> takeActions() = 0;
    [[nodiscard]] virtual PoolStats stats() const = 0;
};

using PoolSchedulerFactory = std::function<std::unique_ptr<PoolScheduler>(const PoolSettings&)>;
using PoolSchedulerRegistry = Registry<PoolSchedulerFactory>;

/** NotFound if no policy with that name registered. */
Result<std::unique_ptr<PoolScheduler>> makePoolScheduler(const PoolSettings& settings);

}
