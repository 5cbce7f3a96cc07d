#pragma once

#include "briarhitch/sched/PoolScheduler.h"
#include "sched/FirstTokenModel.h"
#include "sched/PredictionMargin.h"
#include "sched/SlotTarget.h"

namespace briarhitch {

/** Predicted effect of granting a request to a target. */
struct Placement {
    double firstTokenMs { 0 };
    double durationMs { 0 };
    /** Expected loss of value, as a multiple of one request's full value, of the request and of those running on the target. */
    double expectedLoss { 0 };
    /** Probability that the response is not complete by its deadline; included in the expected loss. */
    double deadlineRisk { 0 };

    /** The loss without a deadline risk that most targets share, which is no reason to wait. */
    [[nodiscard]] double avoidableLoss() const;
};

/** Learns how fast the targets of a pool are, and predicts what a request would meet on one of them. All times are in milliseconds. */
class PlacementModel {
public:
    /** Network round trip to a target, and its time to start a request. */
    static constexpr double dispatchOverheadMs = 6;
    /** Fraction of the allowed pause between events that a placement may use. */
    static constexpr double usableGapFraction = 0.85;

    explicit PlacementModel(const PoolSettings& settings);

    /** Of a request in flight: what predictions need beside the request itself. */
    struct Work {
        const PoolRequest& request;
        double expectedOutput { 0 };
    };

    [[nodiscard]] Placement evaluate(const Work& work, const SlotTarget& target, Instant now) const;
    /** For one output token of an engine, or one call of a plain service. */
    [[nodiscard]] double serviceTimeMs(const SlotTarget& target) const;
    /** The same, on average over all targets. */
    [[nodiscard]] double meanServiceTimeMs() const;
    /** Slot time that the request needs on an average target. */
    [[nodiscard]] double costMs(const Work& work) const;
    /** Time to the first answer on the fastest target. */
    [[nodiscard]] double bestFirstTokenMs(const PoolRequest& request) const;
    /** Time to the first answer on an average target without other work. */
    [[nodiscard]] double meanFirstAnswerMs(const PoolRequest& request) const;
    /** By how much first answers of this kind of work come later than predicted, in most cases. */
    [[nodiscard]] double marginMs(const PoolRequest& request) const { return learnsMargins_ ? margins_.marginMs(request.kind) : 0; }
    /** Whether the margin alone tells how late a call may start: calls of a plain service are alike. */
    [[nodiscard]] bool hasExactLatestStart() const { return learnsMargins_ && !isModel(); }

    void learnServiceTime(SlotTarget& target, double sampleMs);
    /** A prompt that was the only one in prefill; `firstTokenMs` without the way to the target. */
    void learnFirstToken(SlotTarget& target, double promptTokens, double firstTokenMs);
    void learnMargin(const PoolRequest& request, double predictedMs, double actualMs);
    /** Of a target that has been removed. */
    void forget(TargetId target) { firstTokens_.forget(target); }
    /** Begins a search for the fastest target; followed by considerFastest() for each usable one. */
    void resetFastest();
    void considerFastest(const SlotTarget& target);

private:
    [[nodiscard]] bool isModel() const { return kind_ == PoolKind::Model; }
    [[nodiscard]] bool usesFirstTokenModel() const { return modelsFirstToken_ && firstTokens_.isLearned(); }
    [[nodiscard]] double prefillTokenMs(const SlotTarget& target) const;
    [[nodiscard]] double prefillMs(const SlotTarget& target, double tokens) const;

    const PoolKind kind_;
    const bool learnsMargins_;
    const bool modelsFirstToken_;
    PredictionMargin margins_;
    FirstTokenModel firstTokens_;
    /** Means over all targets; fallbacks for targets without samples. */
    MovingAverage poolServiceTimeMs_ { 0.02 };
    MovingAverage poolPrefillTokenMs_ { 0.02 };
    TargetId fastestTarget_;
    double fastestServiceTimeMs_ { 0 };
    double fastestPrefillTokenMs_ { 0 };
};

}
