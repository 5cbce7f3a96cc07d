#pragma once

#include "briarhitch/entry/RequestRunner.h"
#include "entry/CallerConnectionState.h"
#include "entry/ModelStream.h"

#include <memory>
#include <optional>
#include <string>

namespace briarhitch {

/** Why an attempt ended without a response for the caller. */
struct AttemptFailure {
    Error error;
    /** Label of the retry counter. */
    std::string_view reason;
    /** Whether another target may succeed; a retry needs an idempotent request as well. */
    bool isRetryUseful { false };
    /** Nothing was sent, so requesting another grant takes no retry from the budget. */
    bool isNotSent { false };
};

/** Handles one request, in the fiber of its connection. */
class RequestRun {
public:
    RequestRun(RequestRunner& runner, const CallerRequest& request, const Contract& contract, HttpExchange& exchange);
    ~RequestRun();

    void run();

private:
    // Admission.
    Result<void> admit();
    Result<void> checkNode() const;
    /** Claims the run record; true if the request may be sent, otherwise the caller has its response. */
    bool claimRunRecord();
    bool handleClaimReply(const ClaimRunReply& reply);
    ClaimRun makeClaim() const;

    // Attempts.
    void runAttempts();
    std::optional<AttemptFailure> attempt();
    /** If only the retry budget forbids it, the error becomes RetryBudgetSpent. */
    bool mayRetry(AttemptFailure& failure);
    GrantRequest makeGrantRequest(PoolId pool) const;
    /** Why nothing may be sent under the current grant now; none if it may. */
    std::optional<AttemptFailure> checkBeforeSending() const;
    std::optional<AttemptFailure> checkTarget(const Grant& grant);
    void recheckBeforeFirstByte(HttpCall& call);
    AttemptFailure withdrawAttempt();
    std::optional<AttemptFailure> dispatch(const Grant& grant, const Target& target);
    TargetCall makeCall(const Grant& grant, const Target& target) const;

    // Complete responses.
    std::optional<AttemptFailure> relayCompleteResponse(const TargetCall& call);
    std::optional<AttemptFailure> relayResponse(const TargetCall& call, HttpCall& response);
    std::optional<AttemptFailure> handleTargetRefusal(const HttpCall& response);
    [[nodiscard]] Duration completeResponseTimeout() const;
    [[nodiscard]] bool isRefusal(const HttpCall& response) const;

    // Streams.
    std::optional<AttemptFailure> relayStream(const TargetCall& call);
    std::optional<AttemptFailure> relayEvents(const TargetCall& call, ModelStream& stream);
    bool relayEvent(const ServerSentEvent& event);
    std::optional<AttemptFailure> abortStream(const TargetCall& call, const Error& error);

    // End of an attempt or of the request.
    std::optional<AttemptFailure> handleSendFailure(const TargetCall& call, const Error& error);
    AttemptFailure failAttempt(const TargetCall& call, const Error& error);
    std::optional<AttemptFailure> endForDisconnectedCaller(const TargetCall& call);
    void cancelAtTarget(const TargetCall& call);
    void cancelUnfinishedAttempt();
    void finishAttempt(AttemptOutcome outcome);
    void countWastedPrefill(std::string_view reason);
    void refuse(Error error);
    void settleRunRecord(RunState state, std::optional<RecordedResponse> response = std::nullopt);
    void recordFirstToken();
    void complete();
    void readUsage(const std::string& body);
    void recordEvent(const std::string& event, const std::string& reason = {});
    void count(std::string_view metric, std::string_view label, std::string_view value);
    HttpHeaders responseHeaders(const HttpHeaders& fromTarget) const;
    [[nodiscard]] Instant now() const { return runner_.hooks.now(); }
    [[nodiscard]] std::string tierLabel() const;

    RequestRunner& runner_;
    const CallerRequest& request_;
    const Contract& contract_;
    HttpExchange& exchange_;
    std::shared_ptr<CallerConnectionState> callerState_;
    Instant startedAt_;
    Instant deadline_;
    AttemptId attempt_;
    Grant grant_;
    /** Targets that were sent the request or accept no new ones. */
    std::vector<TargetId> excluded_;
    /** A failed attempt whose generation may still run at its engine. */
    std::optional<TargetCall> unfinishedAttempt_;
    /** Whether any of the attempts may have run. */
    Ran ran_ { Ran::No };
    uint32_t sentAttempts_ { 0 };
    uint32_t unusedGrants_ { 0 };
    bool isCeilingAcquired_ { false };
    bool isClaimed_ { false };
    // Of the current attempt.
    bool isGrantHeld_ { false };
    /** Set if the attempt was stopped before its first byte was sent. */
    std::optional<AttemptFailure> sendBlocker_;
    Instant sentAt_;
    bool isStreamStarted_ { false };
    bool hasFirstToken_ { false };
    /** The target closed the connection of the current attempt before its answer was complete. */
    bool hasTargetClosed_ { false };
    int64_t outputTokens_ { 0 };
    std::string relayedEvents_;
};

}
