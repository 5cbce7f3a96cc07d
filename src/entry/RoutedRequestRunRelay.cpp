#include "entry/RoutedRequestRun.h"

#include "briarhitch/http/EndToEndHeaders.h"

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
        if (!migrationGrant_ && shouldMigrate())
            migrateGeneration();
    }
    // A generation that is stopped closes its stream, which ends a response without a length as if it were complete.
    if (migrationGrant_ && response.endsWithConnection())
        return resumeAfterMigration();
    if (migrationGrant_) {
        // The response was complete before the generation could be stopped.
        runner_.pools.release(*std::exchange(migrationGrant_, std::nullopt));
        kvCacheSource_.clear();
    }
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

bool RoutedRequestRun::migrateGeneration()
{
    nextMigrationAt_ = now() + runner_.limits.migrationRetryDelay;
    ++attempt_.number;
    auto grantRequest = makeGrantRequest(grant_.pool);
    grantRequest.migratesFrom = target_.id;
    grantRequest.deadlineMs = clampMs(runner_.limits.otherSlotTimeout);
    auto grant = runner_.pools.acquire(grantRequest, now() + runner_.limits.otherSlotTimeout);
    if (!grant) {
        recordEvent("not moved", grant.error().message);
        return false;
    }
    auto targetEntry = runner_.view.config().targets.find(grant->target);
    bool isUsable = targetEntry != runner_.view.config().targets.end() && !checkBeforeSending(*grant) && runner_.hooks.acquireRetry(service_->name);
    if (!isUsable) {
        runner_.pools.release(*grant);
        return false;
    }
    Target destination = targetEntry->second;
    auto call = runner_.protocol.migrationCall(request_, target_, destination);
    call.connectTimeout = runner_.limits.connectTimeout;
    call.headerTimeout = runner_.limits.migrationCallTimeout;
    call.isResendAllowed = false;
    auto response = runner_.hooks.start(call);
    if (response) {
        auto signals = runner_.protocol.targetSignals((*response)->headers(), (*response)->status());
        reportAvailability(signals);
        reportRateLimit(signals, false);
    }
    auto body = response ? (*response)->readAll(runner_.limits.migrationCallTimeout) : Result<std::string>(tl::unexpected(response.error()));
    auto result = body ? runner_.protocol.parseMigrationResult(target_, (*response)->status(), *body) : MigrationResult {};
    recordEvent(result.hasStopped ? "moved" : "not moved", body ? "" : body.error().message, { { "from", target_.name }, { "to", destination.name }, { "from_version", target_.softwareVersion }, { "to_version", destination.softwareVersion }, { "events", static_cast<int64_t>(attemptEvents_) } });
    count("routed_moves_total", "result", result.isCacheTransferred ? "arrived" : result.hasStopped ? "stopped"
                                                                                                    : "none");
    if (!result.isCacheTransferred) {
        runner_.pools.release(*grant);
        // The KV cache is still at the source, so the generation resumes there.
        if (result.hasStopped) {
            migrationGrant_ = grant_;
            kvCacheSource_ = result.kvCacheSource;
        }
        return result.hasStopped;
    }
    migrationGrant_ = *grant;
    kvCacheSource_ = result.kvCacheSource;
    return true;
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::resumeAfterMigration()
{
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
