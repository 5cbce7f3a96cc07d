#pragma once

#include "briarhitch/entry/RoutedRequestRunner.h"
#include "entry/CallerConnectionState.h"
#include "entry/EventStreamParser.h"

#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** The life of one routed request, in the fiber of its connection. */
class RoutedRequestRun {
public:
    RoutedRequestRun(RoutedRequestRunner& runner, const RoutedRequest& request, HttpExchange& exchange);
    ~RoutedRequestRun();

    void run();

private:
    /** Why an attempt did not answer the caller. */
    struct Failure {
        Error error;
        /** No byte of the request reached the service, so another target may be tried at once. */
        bool isUnsent { false };
        /** Another attempt may do better. */
        bool isRepeatUseful { true };
    };

    // Admission.
    Result<void> admit();
    Result<void> authenticate();
    Result<void> debitCeiling();
    void setDeadlines();

    // Attempts.
    void runAttempts();
    std::optional<Failure> attempt();
    [[nodiscard]] Ask makeAsk(PoolId pool) const;
    [[nodiscard]] std::optional<Failure> sendingProblem(const Grant& grant) const;
    std::optional<Failure> dispatch(const Grant& grant, const Target& target);
    [[nodiscard]] HttpCallSettings callSettings(const Target& target);
    /** Passes on what the target says of itself. */
    void noteSignals(const HttpCall& call);
    std::optional<Failure> takeAnswer(const std::shared_ptr<HttpCall>& call);
    std::optional<Failure> relayWhole(HttpCall& answer);
    std::optional<Failure> relayStream(HttpCall& answer);
    /** Time without a new event after which a stream is tried elsewhere. */
    [[nodiscard]] Duration stallLimit() const;
    /** Whether the stream may not end in time where it runs. */
    [[nodiscard]] bool shouldMove() const;
    /** Stops the run and has its memory sent to a faster target; true if it is to go on elsewhere. */
    bool moveRun();
    std::optional<Failure> continueElsewhere();
    /** A grant, and the budget, for a stream that has stalled; none if it must stay where it is. */
    std::optional<Grant> findPlaceElsewhere();
    std::optional<Failure> goOnAt(const Grant& grant);
    /** False if the caller has left. */
    bool relayEvent(const HttpCall& answer, const ServerSentEvent& event);
    std::optional<Failure> endStream(const std::string& rest);
    bool mayRepeat(const Failure& failure);
    [[nodiscard]] bool mayRunAgain() const;

    // Ends.
    Failure failed(Error error, AttemptOutcome outcome);
    Failure callerLeft();
    void finishAttempt(AttemptOutcome outcome);
    void refuse(Error error);
    void noteFirstEvent();
    void complete();

    [[nodiscard]] Instant now() const { return runner_.hooks.now(); }
    [[nodiscard]] Duration timeLeft() const;
    [[nodiscard]] Tokens quotaTokens() const;
    void note(const std::string& event, const std::string& reason = {}, const LogFields& fields = {});
    /** Whether the lines of this request are worth their place in the log. */
    [[nodiscard]] bool isNotable() const;
    void count(std::string_view metric, std::string_view label, std::string_view value);

    RoutedRequestRunner& runner_;
    const RoutedRequest& request_;
    HttpExchange& exchange_;
    std::shared_ptr<CallerConnectionState> watch_;
    std::shared_ptr<const RouteTable> routes_;
    const Instant begun_;
    const Route* route_ { nullptr };
    const RoutedService* service_ { nullptr };
    /** The customer's contract when the request was admitted; none for a request without a customer. */
    std::optional<Contract> contract_;
    int64_t plainTokens_ { 0 };
    Tier tier_;
    /** The whole answer must be there by then. */
    Instant deadline_;
    /** The answer, or a stream's first event, is of no use later. */
    Instant startDeadline_;
    AttemptId attempt_;
    Grant grant_;
    bool isGrantHeld_ { false };
    bool isDebited_ { false };
    std::vector<TargetId> excluded_;
    uint32_t sends_ { 0 };
    uint32_t unsentGrants_ { 0 };
    Ran ran_ { Ran::No };
    Instant sentAt_;
    Instant firstEventAt_;
    Instant lastEventAt_;
    Duration longestGap_ { 0 };
    bool hasFirstEvent_ { false };
    bool isStreamBegun_ { false };
    std::optional<uint64_t> lastEventId_;
    uint64_t events_ { 0 };
    /** The target that the present attempt runs on. */
    Target target_;
    Instant nextMoveAt_ {};
    /** The run has stopped at its target, and this grant's target goes on. */
    std::optional<Grant> movedTo_;
    std::string continueFrom_;
    std::string outcome_;
    bool hasFailed_ { false };
    bool isLate_ { false };
};

}
