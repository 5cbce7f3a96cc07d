#include "entry/RoutedRequestRun.h"

#include "briarhitch/http/EndToEndHeaders.h"
#include "entry/GenerationMigration.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    constexpr int firstServerErrorStatus = 500;
    /** An event holds a few tokens; a larger one is a fault of the target. */
    constexpr size_t maxEventBytes = 256 * 1024;

}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::relayCompleteResponse(HttpCall& response)
{
    auto body = response.readAll(timeLeft() + runner_.limits.responseGracePeriod);
    if (!body)
        return callerState_->isDisconnected && route_->kind != RouteKind::AtMostOnce ? endForDisconnectedCaller() : failAttempt(body.error(), AttemptOutcome::Failed);
    bool isFailure = response.status() >= firstServerErrorStatus;
    if (isFailure && route_->kind == RouteKind::Idempotent) {
        Failure failure { makeError(ErrorKind::TargetFailed, absl::StrCat("the target responded with status ", response.status())) };
        ran_ = Ran::Yes;
        if (mayRetry(failure)) {
            finishAttempt(AttemptOutcome::Errored);
            return failure;
        }
    }
    ran_ = Ran::Yes;
    connectionAge_ = response.connectionAge();
    finishAttempt(isFailure ? AttemptOutcome::Errored : AttemptOutcome::Completed);
    outcome_ = absl::StrCat("status ", response.status());
    if (!exchange_.send(response.status(), endToEndHeaders(response.headers()), *body))
        recordEvent("not delivered", "the caller disconnected");
    complete();
    return std::nullopt;
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::relayStream(HttpCall& response)
{
    EventStreamParser parser(true);
    auto lastProgressAt = now();
    for (;;) {
        // Only complete events count as progress: a stalled target may still send single bytes.
        auto wait = std::min<Duration>(deadline_ + runner_.limits.responseGracePeriod - now(), lastProgressAt + stallLimit() - now());
        auto chunk = wait > Duration::zero() ? response.read(wait) : Result<std::optional<std::string>>(fail(ErrorKind::TargetTimeout, "no new event before the timeout"));
        if (chunk && parser.pendingBytes() > maxEventBytes)
            chunk = fail(ErrorKind::TargetFailed, "the target sent an event larger than the limit");
        if (!chunk) {
            if (callerState_->isDisconnected)
                return endForDisconnectedCaller();
            bool isStalled = chunk.error().kind == ErrorKind::TargetTimeout && now() < deadline_ && !migrationGrant_;
            auto otherGrant = isStalled ? acquireOtherSlot() : std::nullopt;
            if (isStalled && !otherGrant) {
                lastProgressAt = now();
                continue;
            }
            response.cancel();
            if (otherGrant)
                releaseMigration();
            else
                awaitMigration();
            if (migrationGrant_)
                return resumeAfterMigration();
            auto failure = failAttempt(chunk.error(), AttemptOutcome::Failed);
            return otherGrant ? resumeOn(*otherGrant) : failure;
        }
        if (!*chunk)
            break;
        auto events = parser.feed(**chunk);
        if (!events.empty())
            lastProgressAt = now();
        for (const auto& event : events) {
            if (!relayEvent(response, event)) {
                response.cancel();
                return endForDisconnectedCaller();
            }
        }
        if (!migration_ && !migrationGrant_ && shouldMigrate())
            beginMigration();
        adoptMigrationResult();
    }
    // A generation that is stopped closes its stream, which ends a response without a length as if it were complete.
    if (response.endsWithConnection()) {
        awaitMigration();
        if (callerState_->isDisconnected)
            return endForDisconnectedCaller();
        if (migrationGrant_)
            return resumeAfterMigration();
        if (mayHaveStopped_)
            return failAttempt(makeError(ErrorKind::TargetFailed, "the stream ended, and its generation may have been stopped"), AttemptOutcome::Failed);
    }
    // The response was complete before the generation could be stopped.
    releaseMigration();
    return endStream(response, parser.pending());
}

Duration RoutedRequestRun::stallLimit() const
{
    // A stream that cannot be resumed elsewhere is not aborted for being slow, as its caller would get less.
    if (!mayRunAgain() || sentAttempts_ >= route_->maxAttempts)
        return deadline_ + runner_.limits.responseGracePeriod - startedAt_;
    // A stream that has been slow all along has not stalled; its longest gap shows what is usual.
    constexpr int stallGapFactor = 2;
    return std::max(runner_.limits.stallTimeout, stallGapFactor * longestGap_);
}

std::optional<Grant> RoutedRequestRun::acquireOtherSlot()
{
    if (!mayRunAgain() || sentAttempts_ >= route_->maxAttempts)
        return std::nullopt;
    ++attempt_.number;
    auto grantRequest = makeGrantRequest(grant_.pool);
    grantRequest.deadlineMs = clampMs(runner_.limits.otherSlotTimeout);
    auto grant = runner_.pools.acquire(grantRequest, now() + runner_.limits.otherSlotTimeout);
    if (!grant) {
        recordEvent("stalled, and no other place", grant.error().message);
        return std::nullopt;
    }
    bool isUsable = !checkBeforeSending(*grant) && runner_.hooks.acquireRetry(service_->name);
    if (!isUsable) {
        runner_.pools.release(*grant);
        return std::nullopt;
    }
    count("routed_repeats_total", "reason", "stalled");
    return *grant;
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::resumeOn(const Grant& grant)
{
    auto target = runner_.view.config().targets.find(grant.target);
    if (target == runner_.view.config().targets.end()) {
        runner_.pools.release(grant);
        return Failure { makeError(ErrorKind::TargetFailed, "the target that should resume the stream is no longer configured") };
    }
    return dispatch(grant, Target(target->second));
}

bool RoutedRequestRun::shouldMigrate() const
{
    auto totalTime = deadline_ - startedAt_;
    return service_->canMigrate && hasFirstEvent_ && now() >= nextMigrationAt_ && now() - sentAt_ >= fromSeconds(runner_.limits.migrateAfterFraction * toSeconds(totalTime))
        && timeLeft() >= fromSeconds((1 - runner_.limits.migrateAfterFraction) / 2 * toSeconds(totalTime));
}

void RoutedRequestRun::beginMigration()
{
    nextMigrationAt_ = now() + runner_.limits.migrationRetryDelay;
    ++attempt_.number;
    auto grantRequest = makeGrantRequest(grant_.pool);
    grantRequest.migratesFrom = target_.id;
    grantRequest.deadlineMs = clampMs(runner_.limits.otherSlotTimeout);
    auto grant = runner_.pools.acquire(grantRequest, now() + runner_.limits.otherSlotTimeout);
    if (!grant) {
        recordEvent("not moved", grant.error().message);
        return;
    }
    auto destination = runner_.view.config().targets.find(grant->target);
    bool isUsable = destination != runner_.view.config().targets.end() && !checkBeforeSending(*grant) && runner_.hooks.acquireRetry(service_->name);
    if (!isUsable) {
        runner_.pools.release(*grant);
        return;
    }
    auto call = runner_.protocol.migrationCall(request_, target_, destination->second);
    call.connectTimeout = runner_.limits.connectTimeout;
    call.headerTimeout = runner_.limits.migrationCallTimeout;
    call.isResendAllowed = false;
    migration_ = GenerationMigration::start(runner_, std::move(call), target_, destination->second, *grant);
}

void RoutedRequestRun::adoptMigrationResult()
{
    if (!migration_ || !migration_->result())
        return;
    auto migration = std::exchange(migration_, nullptr);
    const auto& result = *migration->result();
    if (migration->signals()) {
        reportAvailability(*migration->signals());
        reportRateLimit(*migration->signals(), false);
    }
    bool hasStopped = result.state == GenerationState::Stopped;
    mayHaveStopped_ = mayHaveStopped_ || result.state == GenerationState::Unknown;
    const auto& destination = migration->destination();
    recordEvent(hasStopped ? "moved" : "not moved", migration->failure(), { { "from", target_.name }, { "to", destination.name }, { "from_version", target_.softwareVersion }, { "to_version", destination.softwareVersion }, { "events", static_cast<int64_t>(attemptEvents_) }, { "outcome_known", int64_t(result.state != GenerationState::Unknown) } });
    count("routed_moves_total", "result", result.isCacheTransferred ? "arrived" : hasStopped ? "stopped"
            : result.state == GenerationState::Unknown                                       ? "unknown"
                                                                                             : "none");
    if (!result.isCacheTransferred)
        runner_.pools.release(migration->grant());
    if (!hasStopped)
        return;
    // Without a transfer the KV cache is still at the source, so the generation resumes there.
    migrationGrant_ = result.isCacheTransferred ? migration->grant() : grant_;
    kvCacheSource_ = result.kvCacheSource;
}

void RoutedRequestRun::awaitMigration()
{
    while (migration_ && !migration_->result() && now() < deadline_ && !callerState_->isDisconnected)
        runner_.hooks.sleep(runner_.limits.migrationPollInterval);
    adoptMigrationResult();
    if (!migration_)
        return;
    mayHaveStopped_ = true;
    releaseMigration();
}

void RoutedRequestRun::releaseMigration()
{
    if (migration_)
        runner_.pools.release(migration_->grant());
    migration_.reset();
    // A generation that resumes at its source keeps the grant of its attempt.
    if (migrationGrant_ && migrationGrant_->attempt != grant_.attempt)
        runner_.pools.release(*migrationGrant_);
    migrationGrant_.reset();
    kvCacheSource_.clear();
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::resumeAfterMigration()
{
    if (callerState_->isDisconnected)
        return endForDisconnectedCaller();
    auto grant = *std::exchange(migrationGrant_, std::nullopt);
    // The slot on the source is free, though the response is not complete.
    if (grant.attempt != grant_.attempt)
        finishAttempt(AttemptOutcome::Cancelled);
    return resumeOn(grant);
}

bool RoutedRequestRun::relayEvent(const HttpCall& response, const ServerSentEvent& event)
{
    // A target that resumes a stream may start with events that the caller already has.
    if (event.id && lastEventId_ && *event.id <= *lastEventId_)
        return true;
    if (!hasFirstEvent_)
        recordFirstEvent();
    if (attemptEvents_ > 0 || isStreamStarted_)
        longestGap_ = std::max(longestGap_, now() - lastEventAt_);
    lastEventAt_ = now();
    ++attemptEvents_;
    if (!isStreamStarted_) {
        isStreamStarted_ = true;
        if (!exchange_.beginStream(response.status(), endToEndHeaders(response.headers())))
            return false;
    }
    if (event.id)
        lastEventId_ = event.id;
    return exchange_.write(event.text);
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::endStream(const HttpCall& response, const std::string& rest)
{
    ran_ = Ran::Yes;
    auto endKind = response.endsWithConnection() ? ErrorKind::TargetClosed : ErrorKind::TargetFailed;
    // A stream without a length ends with its connection, also when the target crashes. One that resumes a stream and sends
    // nothing does not show that nothing was missing.
    if (attemptEvents_ == 0)
        return failAttempt(makeError(endKind, "the target's stream ended without a new event"), AttemptOutcome::Failed);
    if (rest.find_first_not_of("\r\n") != std::string::npos)
        return failAttempt(makeError(endKind, "the target's stream ended inside an event"), AttemptOutcome::Failed);
    connectionAge_ = response.connectionAge();
    finishAttempt(AttemptOutcome::Completed);
    bool isDelivered = (rest.empty() || exchange_.write(rest)) && exchange_.endStream();
    outcome_ = absl::StrCat("stream of ", attemptEvents_, " events");
    if (!isDelivered)
        recordEvent("not delivered", "the caller disconnected");
    complete();
    return std::nullopt;
}

}
