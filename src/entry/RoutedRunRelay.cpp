#include "entry/RoutedRun.h"

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

std::optional<RoutedRun::Failure> RoutedRun::relayWhole(HttpCall& answer)
{
    auto body = answer.readAll(timeLeft() + runner_.limits.answerMargin);
    if (!body)
        return watch_->isGone && route_->kind != RouteKind::AtMostOnce ? callerLeft() : failed(body.error(), AttemptOutcome::Failed);
    bool isFailure = answer.status() >= firstServerErrorStatus;
    if (isFailure && route_->kind == RouteKind::Idempotent) {
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

std::optional<RoutedRun::Failure> RoutedRun::relayStream(HttpCall& answer)
{
    EventSplitter splitter(true);
    auto progressAt = now();
    for (;;) {
        // Only whole events are progress: a target that is stuck may still send a byte now and then.
        auto wait = std::min<Duration>(deadline_ + runner_.limits.answerMargin - now(), progressAt + stallLimit() - now());
        auto part = wait > Duration::zero() ? answer.read(wait) : Result<std::optional<std::string>>(fail(ErrorKind::TargetTimeout, "no event in time"));
        if (part && splitter.pendingBytes() > maxEventBytes)
            part = fail(ErrorKind::TargetFailed, "an event of the target is larger than allowed");
        if (!part) {
            if (watch_->isGone)
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

Duration RoutedRun::stallLimit() const
{
    // A stream that cannot go on elsewhere is not cut off for being slow: nothing better would come of it.
    if (!mayRunAgain() || sends_ >= route_->maxAttempts)
        return deadline_ + runner_.limits.answerMargin - begun_;
    // One that has always been slow is sound; its own pauses tell what is usual.
    constexpr int usualPauses = 2;
    return std::max(runner_.limits.stallTimeout, usualPauses * longestGap_);
}

std::optional<Grant> RoutedRun::findPlaceElsewhere()
{
    if (!mayRunAgain() || sends_ >= route_->maxAttempts)
        return std::nullopt;
    ++attempt_.number;
    auto ask = makeAsk(grant_.pool);
    ask.deadlineMs = clampMs(runner_.limits.moveWait);
    auto grant = runner_.pools.acquire(ask, now() + runner_.limits.moveWait);
    if (!grant) {
        note("stalled, and no other place", grant.error().message);
        return std::nullopt;
    }
    bool isUsable = !sendingProblem(*grant) && runner_.hooks.takeRepeat(service_->name);
    if (!isUsable) {
        runner_.pools.release(*grant);
        return std::nullopt;
    }
    count("routed_repeats_total", "reason", "stalled");
    return *grant;
}

std::optional<RoutedRun::Failure> RoutedRun::goOnAt(const Grant& grant)
{
    auto target = runner_.view.config().targets.find(grant.target);
    if (target == runner_.view.config().targets.end()) {
        runner_.pools.release(grant);
        return Failure { makeError(ErrorKind::TargetFailed, "the target where the run should go on is gone") };
    }
    return dispatch(grant, Target(target->second));
}

bool RoutedRun::shouldMove() const
{
    auto whole = deadline_ - begun_;
    return service_->canMigrate && hasFirstEvent_ && now() >= nextMoveAt_ && now() - sentAt_ >= fromSeconds(runner_.limits.moveAfterPart * toSeconds(whole))
        && timeLeft() >= fromSeconds((1 - runner_.limits.moveAfterPart) / 2 * toSeconds(whole));
}

bool RoutedRun::moveRun()
{
    nextMoveAt_ = now() + runner_.limits.movePause;
    ++attempt_.number;
    auto ask = makeAsk(grant_.pool);
    ask.movesFrom = target_.id;
    ask.deadlineMs = clampMs(runner_.limits.moveWait);
    auto grant = runner_.pools.acquire(ask, now() + runner_.limits.moveWait);
    if (!grant) {
        note("not moved", grant.error().message);
        return false;
    }
    auto found = runner_.view.config().targets.find(grant->target);
    bool isUsable = found != runner_.view.config().targets.end() && !sendingProblem(*grant) && runner_.hooks.takeRepeat(service_->name);
    if (!isUsable) {
        runner_.pools.release(*grant);
        return false;
    }
    Target destination = found->second;
    auto call = runner_.dialect.moveCall(request_, target_, destination);
    call.connectTimeout = runner_.limits.connectTimeout;
    call.headerTimeout = runner_.limits.moveTimeout;
    call.isResendAllowed = false;
    auto answer = runner_.hooks.start(call);
    if (answer)
        noteSignals(**answer);
    auto body = answer ? (*answer)->readAll(runner_.limits.moveTimeout) : Result<std::string>(tl::unexpected(answer.error()));
    auto result = body ? runner_.dialect.moveResult(target_, (*answer)->status(), *body) : MoveResult {};
    note(result.hasStopped ? "moved" : "not moved", body ? "" : body.error().message, { { "from", target_.name }, { "to", destination.name }, { "events", static_cast<int64_t>(events_) } });
    count("routed_moves_total", "result", result.hasArrived ? "arrived" : result.hasStopped ? "stopped"
                                                                                            : "none");
    if (!result.hasArrived) {
        runner_.pools.release(*grant);
        // Its memory has stayed where it was, and so it goes on there.
        if (result.hasStopped) {
            movedTo_ = grant_;
            continueFrom_ = result.continueFrom;
        }
        return result.hasStopped;
    }
    movedTo_ = *grant;
    continueFrom_ = result.continueFrom;
    return true;
}

std::optional<RoutedRun::Failure> RoutedRun::continueElsewhere()
{
    auto grant = *std::exchange(movedTo_, std::nullopt);
    // The place that the run leaves is free, though its answer is not complete.
    if (grant.attempt != grant_.attempt)
        finishAttempt(AttemptOutcome::Cancelled);
    return goOnAt(grant);
}

bool RoutedRun::relayEvent(const HttpCall& answer, const StreamEvent& event)
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

std::optional<RoutedRun::Failure> RoutedRun::endStream(const std::string& rest)
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
