#pragma once

#include "briarhitch/entry/RequestRunner.h"
#include "entry/CallerWatch.h"
#include "entry/ModelStream.h"

#include <memory>
#include <optional>
#include <string>

namespace briarhitch {

/** How one attempt ended without an answer for the caller. */
struct AttemptFailure {
    Error error;
    /** Label of the retry counter. */
    std::string_view reason;
    /** Whether another target may do better; the request must be repeatable as well. */
    bool isRetryUseful { false };
    /** Nothing was sent and no grant was used up; asking again costs no retry. */
    bool isUnsent { false };
};

/** The life of one request, in the fiber of its connection. */
class RequestRun {
public:
    RequestRun(RequestRunner& runner, const CallerRequest& request, const Contract& contract, HttpExchange& exchange);
    ~RequestRun();

    void run();

private:
    // Admission.
    Result<void> admit();
    Result<void> checkNode() const;
    /** Claims the run record; none if the request may be sent, otherwise the caller has its answer. */
    bool claim();
    bool answerClaim(const ClaimRunReply& reply);
    ClaimRun makeClaim() const;

    // Attempts.
    void runAttempts();
    std::optional<AttemptFailure> attempt();
    /** If only the budget forbids it, the failure becomes RetryBudgetSpent. */
    bool mayRetry(AttemptFailure& failure);
    Ask makeAsk(PoolId pool) const;
    /** Why a byte must not go out under this grant now. */
    std::optional<AttemptFailure> sendingProblem() const;
    std::optional<AttemptFailure> checkTarget(const Grant& grant);
    void guardSending(HttpCall& call);
    AttemptFailure notSent();
    std::optional<AttemptFailure> dispatch(const Grant& grant, const Target& target);
    TargetCall makeCall(const Grant& grant, const Target& target) const;

    // Whole answers.
    std::optional<AttemptFailure> relayWhole(const TargetCall& call);
    std::optional<AttemptFailure> relayAnswer(const TargetCall& call, HttpCall& answer);
    std::optional<AttemptFailure> refusedByTarget(const HttpCall& answer);
    [[nodiscard]] Duration wholeAnswerTimeout() const;
    [[nodiscard]] bool isRefusal(const HttpCall& answer) const;

    // Streams.
    std::optional<AttemptFailure> relayStream(const TargetCall& call);
    std::optional<AttemptFailure> relayEvents(const TargetCall& call, ModelStream& stream);
    bool relayEvent(const StreamEvent& event);
    std::optional<AttemptFailure> breakStream(const TargetCall& call, const Error& error);

    // Ends.
    std::optional<AttemptFailure> sendFailed(const TargetCall& call, const Error& error);
    AttemptFailure failedAttempt(const TargetCall& call, const Error& error);
    std::optional<AttemptFailure> callerLeft(const TargetCall& call);
    void cancelAtTarget(const TargetCall& call);
    void cancelLater();
    void finishAttempt(AttemptOutcome outcome);
    void countWaste(std::string_view reason);
    void refuse(Error error);
    void settle(RunState state, std::optional<RecordedResponse> answer = std::nullopt);
    void noteFirstToken();
    void complete();
    void readUsage(const std::string& body);
    void note(const std::string& event, const std::string& reason = {});
    void count(std::string_view metric, std::string_view label, std::string_view value);
    HttpHeaders answerHeaders(const HttpHeaders& fromTarget) const;
    [[nodiscard]] Instant now() const { return runner_.hooks.now(); }
    [[nodiscard]] std::string tierLabel() const;

    RequestRunner& runner_;
    const CallerRequest& request_;
    const Contract& contract_;
    HttpExchange& exchange_;
    std::shared_ptr<CallerWatch> watch_;
    Instant begun_;
    Instant deadline_;
    AttemptId attempt_;
    Grant grant_;
    /** Targets that had the request or take no new work. */
    std::vector<TargetId> excluded_;
    /** A failed attempt that may still run at its engine. */
    std::optional<TargetCall> unended_;
    /** Over all attempts. */
    Ran ran_ { Ran::No };
    uint32_t sends_ { 0 };
    uint32_t unsentGrants_ { 0 };
    bool isInCeiling_ { false };
    bool isClaimed_ { false };
    // Of the present attempt.
    bool isGrantHeld_ { false };
    /** Set if the sending was stopped before its first byte. */
    std::optional<AttemptFailure> blocked_;
    Instant sentAt_;
    bool isStreamBegun_ { false };
    bool hasFirstToken_ { false };
    int64_t outputTokens_ { 0 };
    std::string relayed_;
};

}
