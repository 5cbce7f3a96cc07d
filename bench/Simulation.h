#pragma once

#include "TierRuleCheck.h"
#include "Workload.h"
#include "briarhitch/core/Random.h"
#include "briarhitch/sched/RetryBudget.h"

#include <memory>
#include <queue>
#include <set>

namespace briarhitch::bench {

struct SimulationSettings {
    std::string policy;
    std::set<std::string> disabledParts;
    /** Scheduler instances, each with a random part of the requests. */
    size_t entries { 1 };
    size_t maxQueued { 20000 };
    uint64_t seed { 1 };
    /** By name of the kind. */
    std::map<std::string, double> floors;
};

/** What became of one arrival. */
struct Outcome {
    bool isGood { false };
    /** The caller left before its deadline on its own. */
    bool left { false };
    /** Seconds from arrival to first token; negative if there was none. */
    double firstToken { -1 };
};

struct SimulationResult {
    std::vector<Outcome> outcomes;
    std::map<std::string, uint64_t> refused;
    /** Refusals that came after more than half of the time to the deadline. */
    uint64_t lateRefusals { 0 };
    double prefillTokens { 0 };
    /** Computed for prompts whose caller got no first token in time. */
    double wastedPrefillTokens { 0 };
    /** The part of it that was lost because the caller left before its deadline. */
    double leftPrefillTokens { 0 };
    /** Mean part of the engines' slots in use while arrivals count. */
    double slotUse { 0 };
    uint64_t decisions { 0 };
    double decisionNs { 0 };
    uint64_t tierRuleViolations { 0 };
    uint64_t deadlineRefusalsAbove { 0 };
    uint64_t wrongTargets { 0 };
    size_t mostQueued { 0 };
};

/** Runs one case: arrivals, engines, faults and a policy, in steps of 10 ms of an injected clock. */
class Simulation {
public:
    Simulation(const CaseSpec& spec, const std::vector<KindSpec>& kinds, const std::vector<EngineSpec>& fleet, const std::vector<Arrival>& arrivals, const SimulationSettings& settings);

    SimulationResult run();

private:
    /** One try of a caller; the attempts at targets within it share the request id. */
    struct Request {
        size_t arrival { 0 };
        double submittedAt { 0 };
        int comebacksLeft { 0 };
        size_t entry { 0 };
        uint8_t attempt { 1 };
        std::vector<TargetId> hadIt;
        /** Index of the engine that runs it. */
        std::optional<size_t> engine;
        double grantedAt { 0 };
        bool hasFirstToken { false };
        bool isOver { false };
        double prefillLost { 0 };
    };
    struct Timer {
        double time;
        uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Timer& other) const { return std::tie(time, sequence) > std::tie(other.time, other.sequence); }
    };

    void at(double time, std::function<void()> action);
    void scheduleFaults();
    void scheduleReports(size_t engine);
    void arrive(size_t arrival, int comebacksLeft);
    void submitAttempt(uint64_t id);
    void callerLeaves(uint64_t id, bool onItsOwn);
    void carryOut(size_t entry);
    void granted(const PoolGrant& grant);
    void refused(const PoolRefusal& refusal);
    void attemptFailed(uint64_t id, double prefillLost);
    void engineEvents();
    void loseEngine(size_t engine);
    void comeBack(const Request& request, double after);
    template <class Call>
    void timed(Call call);
    [[nodiscard]] Instant now() const { return Instant(std::chrono::hours(1)) + fromSeconds(time_); }
    [[nodiscard]] const KindSpec& kindOf(const Request& request) const { return kinds_[arrivals_[request.arrival].kind]; }

    const CaseSpec& spec_;
    const std::vector<KindSpec>& kinds_;
    const std::vector<Arrival>& arrivals_;
    SimulationSettings settings_;
    Random random_;
    RetryBudget retries_;
    std::vector<FakeEngine> engines_;
    std::vector<bool> isLost_;
    std::vector<std::unique_ptr<PoolScheduler>> pools_;
    std::vector<TierRuleCheck> checks_;
    std::unordered_map<uint64_t, Request> requests_;
    std::priority_queue<Timer> timers_;
    std::vector<EngineEvent> events_;
    SimulationResult result_;
    double time_ { 0 };
    double slotUse_ { 0 };
    uint64_t lastRequest_ { 0 };
    uint64_t lastTimer_ { 0 };
};

}
