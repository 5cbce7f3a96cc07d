#pragma once

#include "briarhitch/core/NodeAddress.h"
#include "briarhitch/entry/RoutedRequestRunner.h"
#include "entry/CallerConnectionState.h"
#include "entry/EventStreamParser.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

class GenerationMigration;

/** Handles one routed request, in the fiber of its connection. */
class RoutedRequestRun {
public:
    RoutedRequestRun(RoutedRequestRunner& runner, const RoutedRequest& request, HttpExchange& exchange);
    ~RoutedRequestRun();

    void run();

private:
    /** Why an attempt sent the caller no complete response. */
    struct Failure {
        Error error;
        /** No byte of the request reached a target, so another one may be tried at once. */
        bool isNotSent { false };
        /** Another attempt may succeed. */
        bool isRetryUseful { true };
    };

    // Admission.
    Result<void> admit();
    /** UnknownStream if the service that began the stream is not in the route. */
    Result<void> selectService();
    /** Looks up the stream that the caller continues and takes over its version; returns its service, or empty if it is not known. */
    std::string adoptStreamBinding();
    Result<void> authenticate();
    Result<void> debitCeiling();
    void setDeadlines();

    // Attempts.
    void runAttempts();
    std::optional<Failure> attempt();
    [[nodiscard]] GrantRequest makeGrantRequest(PoolId pool) const;
    [[nodiscard]] std::optional<Failure> checkBeforeSending(const Grant& grant) const;
    std::optional<Failure> dispatch(const Grant& grant, const Target& target);
    [[nodiscard]] HttpCallSettings callSettings(const Target& target);
    /** Reports to the pool that the target leaves or asks for a pause. */
    void reportAvailability(const TargetSignals& signals);
    /** `mayEndLimit`: the target names its limit in each response of this kind, so one without it ends the limit. */
    void reportRateLimit(const TargetSignals& signals, bool mayEndLimit);
    std::optional<Failure> handleResponse(const std::shared_ptr<HttpCall>& call);
    std::optional<Failure> relayCompleteResponse(HttpCall& response);
    std::optional<Failure> relayStream(HttpCall& response);
    /** Time without a new event after which another target is tried. */
    [[nodiscard]] Duration stallLimit() const;
    /** Whether the stream has run for so long that it may miss its deadline on its current target. */
    [[nodiscard]] bool shouldMigrate() const;
    /** Has the generation stopped and its KV cache sent to a faster target, if one is free. */
    void beginMigration();
    /** If the migration call has been answered: migrationGrant_ then tells where a stopped generation resumes. */
    void adoptMigrationResult();
    /** After the end of a stream: waits until the migration call is answered, since a generation that is stopped ends its stream too. */
    void awaitMigration();
    /** Gives up a migration, and frees the place at its destination. */
    void releaseMigration();
    /** Ends the request if its caller has left meanwhile. */
    std::optional<Failure> resumeAfterMigration();
    /** For a stalled stream: a grant for another target, with a retry taken from the budget; none if it must stay where it is. */
    std::optional<Grant> acquireOtherSlot();
    std::optional<Failure> resumeOn(const Grant& grant);
    /** False if the caller has disconnected. */
    bool relayEvent(const HttpCall& response, const ServerSentEvent& event);
    std::optional<Failure> endStream(const HttpCall& response, const std::string& rest);
    bool mayRetry(const Failure& failure);
    [[nodiscard]] bool mayRunAgain() const;

    // End of an attempt or of the request.
    Failure failAttempt(Error error, AttemptOutcome outcome);
    Failure endForDisconnectedCaller();
    void finishAttempt(AttemptOutcome outcome);
    void refuse(Error error);
    void endSuperseded();
    void recordFirstEvent();
    void complete();

    [[nodiscard]] Instant now() const { return runner_.hooks.now(); }
    [[nodiscard]] Duration timeLeft() const;
    /** For the pool, once the caller has events; the id is invalid if callers cannot continue the stream. */
    [[nodiscard]] StreamBinding streamBinding() const;
    [[nodiscard]] StreamClaim streamClaim() const;
    void addStreamTo(GrantRequest& grantRequest) const;
    [[nodiscard]] Tokens quotaTokens() const;
    void recordEvent(const std::string& event, const std::string& reason = {}, const LogFields& fields = {});
    /** True for failed, late and retried requests, and for a sample of the others. */
    [[nodiscard]] bool shouldWriteLog() const;
    void count(std::string_view metric, std::string_view label, std::string_view value);

    RoutedRequestRunner& runner_;
    const RoutedRequest& request_;
    HttpExchange& exchange_;
    std::shared_ptr<CallerConnectionState> callerState_;
    std::shared_ptr<const RouteTable> routes_;
    const Instant startedAt_;
    const Route* route_ { nullptr };
    const RoutedService* service_ { nullptr };
    /** The customer's contract at admission; none for a request without a customer. */
    std::optional<Contract> contract_;
    int64_t defaultTokens_ { 0 };
    RequestDigest digest_;
    Tier tier_;
    /** The complete response must have arrived by then. */
    Instant deadline_;
    /** The complete response, or a stream's first event, is of no use after this. */
    Instant firstEventDeadline_;
    AttemptId attempt_;
    Grant grant_;
    bool isGrantHeld_ { false };
    bool isDebited_ { false };
    CeilingDecider ceilingDecider_ { CeilingDecider::None };
    std::vector<TargetId> excluded_;
    /** Of the targets of earlier attempts; a target that has been replaced leaves its address to another one. */
    std::vector<HostPort> usedAddresses_;
    uint32_t sentAttempts_ { 0 };
    uint32_t unusedGrants_ { 0 };
    Ran ran_ { Ran::No };
    Instant sentAt_;
    Instant firstEventAt_;
    Instant lastEventAt_;
    Duration longestGap_ { 0 };
    bool hasFirstEvent_ { false };
    /** The target closed the connection of the current attempt before its answer was complete. */
    bool hasTargetClosed_ { false };
    /** The target of the current attempt refused the connection. */
    bool hasRefusedConnection_ { false };
    /** Of the current attempt, when its response was last read; zero if there is none. */
    Duration connectionAge_ { 0 };
    bool isStreamStarted_ { false };
    std::optional<uint64_t> lastEventId_;
    /** The same for all requests that continue a stream; invalid for a request that is none. */
    StreamId streamId_;
    /** See GrantRequest. */
    bool maySelectSoleVersion_ { false };
    /** Of the target that began the stream; set by its record or with its first event. Empty if the target names none. */
    std::optional<std::string> softwareVersion_;
    uint64_t attemptEvents_ { 0 };
    /** Of the current attempt. */
    Target target_;
    Instant nextMigrationAt_ {};
    /** The call has been sent, and its answer was not adopted yet. */
    std::shared_ptr<GenerationMigration> migration_;
    /** A migration call to the current target was not answered, so the end of the connection need not be that of the stream. */
    bool mayHaveStopped_ { false };
    /** Set once the generation has stopped for a migration: the grant under which it resumes. */
    std::optional<Grant> migrationGrant_;
    std::string kvCacheSource_;
    std::string outcome_;
    bool hasFailed_ { false };
    bool missedObjective_ { false };
};

}
