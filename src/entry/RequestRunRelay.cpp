#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "entry/RequestRun.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

// The part of RequestRun that speaks with targets: whole answers, streams, and how attempts end.

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int okStatus = 200;
    constexpr int conflictStatus = 409;
    constexpr int tooManyStatus = 429;
    constexpr int firstServerErrorStatus = 500;
    constexpr int unavailableStatus = 503;

    std::string_view reasonOf(ErrorKind kind)
    {
        return errorInfo(kind).name;
    }

    bool isWithin(int status, int first)
    {
        constexpr int statusesPerClass = 100;
        return status >= first && status < first + statusesPerClass;
    }

}

Duration RequestRun::wholeAnswerTimeout() const
{
    if (request_.poolKind == PoolKind::Model)
        return runner_.limits.wholeAnswerTimeout;
    auto left = std::max<Duration>(deadline_ - now(), 1ms);
    // A charge is seen through even past its deadline, because an unknown outcome is worse than a late one.
    return request_.isRepeatable ? left : std::max(left, runner_.limits.chargeTimeout);
}

bool RequestRun::isRefusal(const HttpCall& answer) const
{
    auto status = answer.status();
    if (status == unavailableStatus || status == tooManyStatus)
        return true;
    if (request_.poolKind != PoolKind::Model)
        return false;
    // Engines answer 409 to an old fencing token.
    return status == conflictStatus || isWithin(status, firstServerErrorStatus);
}

std::optional<AttemptFailure> RequestRun::refusedByTarget(const HttpCall& answer)
{
    auto status = answer.status();
    bool isNotRun = status == unavailableStatus && findHeader(answer.headers(), "X-Not-Run") == "1";
    bool isFailure = status != unavailableStatus && status != tooManyStatus && status != conflictStatus;
    auto error = makeError(isFailure ? ErrorKind::TargetFailed : ErrorKind::TargetRefused, absl::StrCat("the target answered ", status));
    error.ran = isNotRun ? Ran::No : Ran::Unknown;
    finishAttempt(isFailure ? AttemptOutcome::Failed : AttemptOutcome::Refused);
    note("refused by target", absl::StrCat("status ", status));
    return AttemptFailure { error, reasonOf(error.kind), true };
}

std::optional<AttemptFailure> RequestRun::relayWhole(const TargetCall& prepared)
{
    auto call = prepared;
    auto open = std::make_shared<std::shared_ptr<HttpCall>>();
    call.onSending = [this, open](const std::shared_ptr<HttpCall>& sending) {
        *open = sending;
        guardSending(*sending);
    };
    // A call that must not be repeated is seen through and recorded, whether its caller waits or not.
    if (request_.isRepeatable || request_.poolKind == PoolKind::Model) {
        watch_->onGone = [open] {
            if (*open)
                (*open)->cancel();
        };
    }
    auto answer = runner_.targets.send(call);
    if (!answer)
        return sendFailed(call, answer.error());
    if (isRefusal(**answer)) {
        (*answer)->cancel();
        return refusedByTarget(**answer);
    }
    return relayAnswer(call, **answer);
}

std::optional<AttemptFailure> RequestRun::relayAnswer(const TargetCall& call, HttpCall& answer)
{
    auto body = answer.readAll(wholeAnswerTimeout());
    if (!body) {
        if (body.error().kind == ErrorKind::CallerLeft)
            return callerLeft(call);
        auto error = body.error();
        error.ran = Ran::Unknown;
        return failedAttempt(call, error);
    }
    readUsage(*body);
    auto contentType = std::string(findHeader(answer.headers(), "Content-Type"));
    settle(RunState::Done, RecordedResponse { static_cast<uint16_t>(answer.status()), contentType, *body });
    complete();
    if (!exchange_.send(answer.status(), answerHeaders(answer.headers()), *body))
        note("not delivered", "the caller left");
    return std::nullopt;
}

void RequestRun::readUsage(const std::string& body)
{
    if (request_.poolKind != PoolKind::Model)
        return;
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("usage") || !json["usage"].is_object())
        return;
    auto tokens = json["usage"].find("completion_tokens");
    if (tokens != json["usage"].end() && tokens->is_number_unsigned())
        outputTokens_ = std::min<int64_t>(tokens->get<int64_t>(), request_.maxOutputTokens.value());
}

std::optional<AttemptFailure> RequestRun::relayStream(const TargetCall& prepared)
{
    // The hooks reach the stream weakly, as the caller may leave at any time.
    std::weak_ptr<ModelStream> weak;
    auto call = prepared;
    auto sending = std::make_shared<std::weak_ptr<HttpCall>>();
    call.onSending = [this, sending](const std::shared_ptr<HttpCall>& opened) {
        *sending = opened;
        guardSending(*opened);
    };
    ModelStreamSettings settings { runner_.limits.tokenTimeout };
    auto stream = std::make_shared<ModelStream>(runner_.targets, call, settings, deadline_, runner_.hooks.now, runner_.hooks.sleep);
    weak = stream;
    watch_->onGone = [weak, sending] {
        if (auto open = weak.lock())
            open->cancel();
        if (auto opened = sending->lock())
            opened->cancel();
    };
    auto other = stream->open();
    if (!other)
        return sendFailed(call, other.error());
    if (!*other)
        return relayEvents(call, *stream);
    if (isRefusal(**other)) {
        (*other)->cancel();
        return refusedByTarget(**other);
    }
    return relayAnswer(call, **other);
}

std::optional<AttemptFailure> RequestRun::relayEvents(const TargetCall& call, ModelStream& stream)
{
    uint32_t resumes = 0;
    for (;;) {
        auto event = stream.next();
        for (; resumes < stream.resumes(); ++resumes) {
            runner_.metrics.count("entry_stream_resumes_total");
            note("resumed");
        }
        if (!event && event.error().kind == ErrorKind::CallerLeft)
            return callerLeft(call);
        if (!event)
            return breakStream(call, event.error());
        if (!*event)
            break;
        if (!relayEvent(**event))
            return callerLeft(call);
    }
    complete();
    settle(RunState::Done, RecordedResponse { okStatus, "text/event-stream", std::move(relayed_) });
    if (!exchange_.endStream())
        note("not delivered", "the caller left");
    return std::nullopt;
}

bool RequestRun::relayEvent(const StreamEvent& event)
{
    if (!hasFirstToken_)
        noteFirstToken();
    if (!event.isEndMark())
        ++outputTokens_;
    // Only a claimed request's answer is recorded, and a larger one is recorded without its body.
    if (isClaimed_ && relayed_.size() <= maxRecordedBodyBytes)
        relayed_ += event.text;
    if (!isStreamBegun_) {
        HttpHeaders headers { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" }, { "X-Request-Id", toString(request_.id) } };
        isStreamBegun_ = true;
        if (!exchange_.beginStream(okStatus, headers))
            return false;
    }
    return exchange_.write(event.text);
}

std::optional<AttemptFailure> RequestRun::breakStream(const TargetCall& call, const Error& error)
{
    auto broken = error;
    broken.ran = Ran::Unknown;
    if (isStreamBegun_) {
        // An orderly end would make a part look like the whole answer.
        note("cut off", error.message);
        runner_.metrics.count("entry_streams_cut_off_total");
    }
    return failedAttempt(call, broken);
}

std::optional<AttemptFailure> RequestRun::sendFailed(const TargetCall& call, const Error& error)
{
    if (blocked_)
        return notSent();
    if (error.kind == ErrorKind::CallerLeft)
        return callerLeft(call);
    return failedAttempt(call, error);
}

AttemptFailure RequestRun::failedAttempt(const TargetCall& call, const Error& error)
{
    note("attempt failed", error.message);
    bool mayRun = error.ran != Ran::No;
    if (mayRun) {
        if (request_.poolKind == PoolKind::Model) {
            unended_ = call;
            // The cancellation may outlive this request.
            unended_->onSending = nullptr;
        }
        countWaste(reasonOf(error.kind));
    }
    finishAttempt(AttemptOutcome::Failed);
    return { error, reasonOf(error.kind), true };
}

void RequestRun::cancelAtTarget(const TargetCall& call)
{
    if (request_.poolKind != PoolKind::Model)
        return;
    bool isConfirmed = runner_.targets.cancelStream(call);
    note("cancelled at target", isConfirmed ? "confirmed" : "not confirmed");
}

void RequestRun::cancelLater()
{
    if (unended_)
        runner_.cancelLater(*std::exchange(unended_, std::nullopt));
}

std::optional<AttemptFailure> RequestRun::callerLeft(const TargetCall& call)
{
    watch_->onGone = nullptr;
    note("caller left");
    cancelAtTarget(call);
    countWaste("caller_left");
    finishAttempt(AttemptOutcome::Cancelled);
    return AttemptFailure { makeError(ErrorKind::CallerLeft, "the caller left"), "caller_left" };
}

}
