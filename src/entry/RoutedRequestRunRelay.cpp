#include "entry/RoutedRequestRun.h"

#include "briarhitch/http/EndToEndHeaders.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    constexpr int firstServerErrorStatus = 500;
    /** Events hold a few tokens; a larger one is a fault of the target. */
    constexpr size_t maxEventBytes = 256 * 1024;

}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::relayWhole(HttpCall& answer)
{
    auto body = answer.readAll(timeLeft() + runner_.limits.responseGracePeriod);
    if (!body)
        return watch_->isDisconnected && route_->repeat != RepeatKind::AtMostOnce ? callerLeft() : failed(body.error(), AttemptOutcome::Failed);
    bool isFailure = answer.status() >= firstServerErrorStatus;
    if (isFailure && route_->repeat == RepeatKind::Repeatable) {
        Failure failure { makeError(ErrorKind::TargetFailed, absl::StrCat("the target answered ", answer.status())) };
        ran_ = Ran::Yes;
        if (mayRepeat(failure)) {
            finishAttempt(AttemptOutcome::Errored);
            return failure;
        }
    }
    ran_ = Ran::Yes;
    finishAttempt(isFailure ? AttemptOutcome::Errored : AttemptOutcome::Completed);
    outcome_ = absl::StrCat("status ", answer.status());
    if (!exchange_.send(answer.status(), endToEndHeaders(answer.headers()), *body))
        note("not delivered", "the caller left");
    complete();
    return std::nullopt;
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::relayStream(HttpCall& answer)
{
    EventStreamParser splitter(true);
    auto progressAt = now();
    for (;;) {
        // Only whole events are progress: a target that is stuck may still send a byte now and then.
        auto wait = std::min<Duration>(deadline_ + runner_.limits.responseGracePeriod - now(), progressAt + stallLimit() - now());
        auto part = wait > Duration::zero() ? answer.read(wait) : Result<std::optional<std::string>>(fail(ErrorKind::TargetTimeout, "no event in time"));
        if (part && splitter.pendingBytes() > maxEventBytes)
            part = fail(ErrorKind::TargetFailed, "an event of the target is larger than allowed");
        if (!part) {
            if (watch_->isDisconnected)
                return callerLeft();
            bool isStalled = part.error().kind == ErrorKind::TargetTimeout && now() < deadline_ && !movedTo_;
            auto elsewhere = isStalled ? findPlaceElsewhere() : std::nullopt;
            if (isStalled && !elsewhere) {
                progressAt = now();
                continue;
            }
            answer.cancel();
            if (movedTo_)
                return continueElsewhere();
            auto failure = failed(part.error(), AttemptOutcome::Failed);
            return elsewhere ? goOnAt(*elsewhere) : failure;
        }
        if (!*part)
            break;
        auto events = splitter.feed(**part);
        if (!events.empty())
            progressAt = now();
        for (const auto& event : events) {
            if (!relayEvent(answer, event)) {
                answer.cancel();
                return callerLeft();
            }
        }
        if (!movedTo_ && shouldMove())
            moveRun();
    }
    if (movedTo_) {
        // The answer was complete before the run could be stopped.
        runner_.pools.release(*std::exchange(movedTo_, std::nullopt));
        continueFrom_.clear();
    }
    return endStream(splitter.pending());
}

Duration RoutedRequestRun::stallLimit() const
{
    // A stream that cannot go on elsewhere is not cut off for being slow: nothing better would come of it.
    if (!mayRunAgain() || sends_ >= route_->maxAttempts)
        return deadline_ + runner_.limits.responseGracePeriod - begun_;
    // One that has always been slow is sound; its own pauses tell what is usual.
    constexpr int usualPauses = 2;
    return std::max(runner_.limits.stallTimeout, usualPauses * longestGap_);
}

std::optional<Grant> RoutedRequestRun::findPlaceElsewhere()
{
    if (!mayRunAgain() || sends_ >= route_->maxAttempts)
        return std::nullopt;
    ++attempt_.number;
    auto ask = makeAsk(grant_.pool);
    ask.deadlineMs = clampMs(runner_.limits.otherSlotTimeout);
    auto grant = runner_.pools.acquire(ask, now() + runner_.limits.otherSlotTimeout);
    if (!grant) {
        note("stalled, and no other place", grant.error().message);
        return std::nullopt;
    }
    bool isUsable = !sendingProblem(*grant) && runner_.hooks.acquireRetry(service_->name);
    if (!isUsable) {
        runner_.pools.release(*grant);
        return std::nullopt;
    }
    count("routed_repeats_total", "reason", "stalled");
    return *grant;
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::goOnAt(const Grant& grant)
{
    auto target = runner_.view.config().targets.find(grant.target);
    if (target == runner_.view.config().targets.end()) {
        runner_.pools.release(grant);
        return Failure { makeError(ErrorKind::TargetFailed, "the target where the run should go on is gone") };
    }
    return dispatch(grant, Target(target->second));
}

bool RoutedRequestRun::shouldMove() const
{
    auto whole = deadline_ - begun_;
    return service_->canMove && hasFirstEvent_ && now() >= nextMoveAt_ && now() - sentAt_ >= fromSeconds(runner_.limits.migrateAfterFraction * toSeconds(whole))
        && timeLeft() >= fromSeconds((1 - runner_.limits.migrateAfterFraction) / 2 * toSeconds(whole));
}

bool RoutedRequestRun::moveRun()
{
    nextMoveAt_ = now() + runner_.limits.migrationRetryDelay;
    ++attempt_.number;
    auto ask = makeAsk(grant_.pool);
    ask.movesFrom = target_.id;
    ask.deadlineMs = clampMs(runner_.limits.otherSlotTimeout);
    auto grant = runner_.pools.acquire(ask, now() + runner_.limits.otherSlotTimeout);
    if (!grant) {
        note("not moved", grant.error().message);
        return false;
    }
    auto found = runner_.view.config().targets.find(grant->target);
    bool isUsable = found != runner_.view.config().targets.end() && !sendingProblem(*grant) && runner_.hooks.acquireRetry(service_->name);
    if (!isUsable) {
        runner_.pools.release(*grant);
        return false;
    }
    Target destination = found->second;
    auto call = runner_.protocol.migrationCall(request_, target_, destination);
    call.connectTimeout = runner_.limits.connectTimeout;
    call.headerTimeout = runner_.limits.migrationCallTimeout;
    call.isResendAllowed = false;
    auto answer = runner_.hooks.start(call);
    if (answer)
        noteSignals(**answer);
    auto body = answer ? (*answer)->readAll(runner_.limits.migrationCallTimeout) : Result<std::string>(tl::unexpected(answer.error()));
    auto result = body ? runner_.protocol.parseMigrationResult(target_, (*answer)->status(), *body) : MigrationResult {};
    note(result.hasStopped ? "moved" : "not moved", body ? "" : body.error().message, { { "from", target_.name }, { "to", destination.name }, { "events", static_cast<int64_t>(events_) } });
    count("routed_moves_total", "result", result.isCacheTransferred ? "arrived" : result.hasStopped ? "stopped"
                                                                                                    : "none");
    if (!result.isCacheTransferred) {
        runner_.pools.release(*grant);
        // Its memory has stayed where it was, and so it goes on there.
        if (result.hasStopped) {
            movedTo_ = grant_;
            continueFrom_ = result.kvCacheSource;
        }
        return result.hasStopped;
    }
    movedTo_ = *grant;
    continueFrom_ = result.kvCacheSource;
    return true;
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::continueElsewhere()
{
    auto grant = *std::exchange(movedTo_, std::nullopt);
    // The place that the run leaves is free, though its answer is not complete.
    if (grant.attempt != grant_.attempt)
        finishAttempt(AttemptOutcome::Cancelled);
    return goOnAt(grant);
}

bool RoutedRequestRun::relayEvent(const HttpCall& answer, const ServerSentEvent& event)
{
    // A target that continues a stream may begin with events that the caller has.
    if (event.id && lastEventId_ && *event.id <= *lastEventId_)
        return true;
    if (!hasFirstEvent_)
        noteFirstEvent();
    if (events_ > 0 || isStreamBegun_)
        longestGap_ = std::max(longestGap_, now() - lastEventAt_);
    lastEventAt_ = now();
    ++events_;
    if (!isStreamBegun_) {
        isStreamBegun_ = true;
        if (!exchange_.beginStream(answer.status(), endToEndHeaders(answer.headers())))
            return false;
    }
    if (event.id)
        lastEventId_ = event.id;
    return exchange_.write(event.text);
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::endStream(const std::string& rest)
{
    ran_ = Ran::Yes;
    finishAttempt(AttemptOutcome::Completed);
    if (!isStreamBegun_)
        return Failure { makeError(ErrorKind::TargetFailed, "the target's stream has no events") };
    bool isDelivered = (rest.empty() || exchange_.write(rest)) && exchange_.endStream();
    outcome_ = absl::StrCat("stream of ", events_, " events");
    if (!isDelivered)
        note("not delivered", "the caller left");
    complete();
    return std::nullopt;
}

}
