#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "entry/RequestRun.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

// Exchanges of RequestRun with targets: complete responses, streams, and the end of attempts.

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int okStatus = 200;
    constexpr int conflictStatus = 409;
    constexpr int tooManyStatus = 429;
    constexpr int firstServerErrorStatus = 500;
    constexpr int unavailableStatus = 503;

    std::string_view errorName(ErrorKind kind)
    {
        return errorInfo(kind).name;
    }

    bool isWithin(int status, int first)
    {
        constexpr int statusesPerClass = 100;
        return status >= first && status < first + statusesPerClass;
    }

}

Duration RequestRun::completeResponseTimeout() const
{
    if (request_.poolKind == PoolKind::Model)
        return runner_.limits.completeResponseTimeout;
    auto timeLeft = std::max<Duration>(deadline_ - now(), 1ms);
    // A non-idempotent call may run past its deadline, because an unknown outcome is worse than a late one.
    return request_.isIdempotent ? timeLeft : std::max(timeLeft, runner_.limits.nonIdempotentCallTimeout);
}

bool RequestRun::isRefusal(const HttpCall& response) const
{
    auto status = response.status();
    if (status == unavailableStatus || status == tooManyStatus)
        return true;
    if (request_.poolKind != PoolKind::Model)
        return false;
    // Engines respond with 409 to an outdated fencing token.
    return status == conflictStatus || isWithin(status, firstServerErrorStatus);
}

std::optional<AttemptFailure> RequestRun::handleTargetRefusal(const HttpCall& response)
{
    auto status = response.status();
    bool isNotRun = status == unavailableStatus && findHeader(response.headers(), "X-Not-Run") == "1";
    bool isFailure = status != unavailableStatus && status != tooManyStatus && status != conflictStatus;
    auto error = makeError(isFailure ? ErrorKind::TargetFailed : ErrorKind::TargetRefused, absl::StrCat("the target responded with status ", status));
    error.ran = isNotRun ? Ran::No : Ran::Unknown;
    finishAttempt(isFailure ? AttemptOutcome::Failed : AttemptOutcome::Refused);
    recordEvent("refused by target", absl::StrCat("status ", status));
    return AttemptFailure { error, errorName(error.kind), true };
}

std::optional<AttemptFailure> RequestRun::relayCompleteResponse(const TargetCall& preparedCall)
{
    auto call = preparedCall;
    auto open = std::make_shared<std::shared_ptr<HttpCall>>();
    call.onSending = [this, open](const std::shared_ptr<HttpCall>& sending) {
        *open = sending;
        recheckBeforeFirstByte(*sending);
    };
    // A non-idempotent service call is completed and recorded even if its caller disconnects.
    if (request_.isIdempotent || request_.poolKind == PoolKind::Model) {
        callerState_->onDisconnect = [open] {
            if (*open)
                (*open)->cancel();
        };
    }
    auto response = runner_.targets.send(call);
    if (!response)
        return handleSendFailure(call, response.error());
    if (isRefusal(**response)) {
        (*response)->cancel();
        return handleTargetRefusal(**response);
    }
    return relayResponse(call, **response);
}

std::optional<AttemptFailure> RequestRun::relayResponse(const TargetCall& call, HttpCall& response)
{
    auto body = response.readAll(completeResponseTimeout());
    if (!body) {
        if (body.error().kind == ErrorKind::CallerLeft)
            return endForDisconnectedCaller(call);
        auto error = body.error();
        error.ran = Ran::Unknown;
        return failAttempt(call, error);
    }
    readUsage(*body);
    auto contentType = std::string(findHeader(response.headers(), "Content-Type"));
    settleRunRecord(RunState::Done, RecordedResponse { static_cast<uint16_t>(response.status()), contentType, *body });
    complete();
    if (!exchange_.send(response.status(), responseHeaders(response.headers()), *body))
        recordEvent("not delivered", "the caller disconnected");
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

std::optional<AttemptFailure> RequestRun::relayStream(const TargetCall& preparedCall)
{
    // The hooks hold weak references, as the caller may disconnect after the stream has ended.
    std::weak_ptr<ModelStream> weakStream;
    auto call = preparedCall;
    auto sending = std::make_shared<std::weak_ptr<HttpCall>>();
    call.onSending = [this, sending](const std::shared_ptr<HttpCall>& opened) {
        *sending = opened;
        recheckBeforeFirstByte(*opened);
    };
    ModelStreamSettings settings { runner_.limits.tokenTimeout };
    auto stream = std::make_shared<ModelStream>(runner_.targets, call, settings, deadline_, runner_.hooks.now, runner_.hooks.sleep);
    weakStream = stream;
    callerState_->onDisconnect = [weakStream, sending] {
        if (auto open = weakStream.lock())
            open->cancel();
        if (auto opened = sending->lock())
            opened->cancel();
    };
    auto otherResponse = stream->open();
    if (!otherResponse)
        return handleSendFailure(call, otherResponse.error());
    if (!*otherResponse)
        return relayEvents(call, *stream);
    if (isRefusal(**otherResponse)) {
        (*otherResponse)->cancel();
        return handleTargetRefusal(**otherResponse);
    }
    return relayResponse(call, **otherResponse);
}

std::optional<AttemptFailure> RequestRun::relayEvents(const TargetCall& call, ModelStream& stream)
{
    uint32_t resumes = 0;
    for (;;) {
        auto event = stream.next();
        for (; resumes < stream.resumes(); ++resumes) {
            runner_.metrics.count("entry_stream_resumes_total");
            recordEvent("resumed");
        }
        if (!event && event.error().kind == ErrorKind::CallerLeft)
            return endForDisconnectedCaller(call);
        if (!event)
            return abortStream(call, event.error());
        if (!*event)
            break;
        if (!relayEvent(**event))
            return endForDisconnectedCaller(call);
    }
    complete();
    settleRunRecord(RunState::Done, RecordedResponse { okStatus, "text/event-stream", std::move(relayedEvents_) });
    if (!exchange_.endStream())
        recordEvent("not delivered", "the caller disconnected");
    return std::nullopt;
}

bool RequestRun::relayEvent(const ServerSentEvent& event)
{
    if (!hasFirstToken_)
        recordFirstToken();
    if (!event.isDoneMarker())
        ++outputTokens_;
    // Only the response of a claimed request is recorded; one that is larger than this is not.
    if (isClaimed_ && relayedEvents_.size() <= maxRecordedBodyBytes)
        relayedEvents_ += event.text;
    if (!isStreamStarted_) {
        HttpHeaders headers { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" }, { "X-Request-Id", toString(request_.id) } };
        isStreamStarted_ = true;
        if (!exchange_.beginStream(okStatus, headers))
            return false;
    }
    return exchange_.write(event.text);
}

std::optional<AttemptFailure> RequestRun::abortStream(const TargetCall& call, const Error& error)
{
    auto broken = error;
    broken.ran = Ran::Unknown;
    if (isStreamStarted_) {
        // An orderly end would make a partial response look complete.
        recordEvent("cut off", error.message);
        runner_.metrics.count("entry_streams_cut_off_total");
    }
    return failAttempt(call, broken);
}

std::optional<AttemptFailure> RequestRun::handleSendFailure(const TargetCall& call, const Error& error)
{
    if (sendBlocker_)
        return withdrawAttempt();
    if (error.kind == ErrorKind::CallerLeft)
        return endForDisconnectedCaller(call);
    return failAttempt(call, error);
}

AttemptFailure RequestRun::failAttempt(const TargetCall& call, const Error& error)
{
    recordEvent("attempt failed", error.message);
    bool mayRun = error.ran != Ran::No;
    if (mayRun) {
        if (request_.poolKind == PoolKind::Model) {
            unfinishedAttempt_ = call;
            // The cancellation may outlive this request.
            unfinishedAttempt_->onSending = nullptr;
        }
        countWastedPrefill(errorName(error.kind));
    }
    hasTargetClosed_ = mayRun && error.kind == ErrorKind::TargetClosed;
    finishAttempt(AttemptOutcome::Failed);
    return { error, errorName(error.kind), true };
}

void RequestRun::cancelAtTarget(const TargetCall& call)
{
    if (request_.poolKind != PoolKind::Model)
        return;
    bool isConfirmed = runner_.targets.cancelStream(call);
    recordEvent("cancelled at target", isConfirmed ? "confirmed" : "not confirmed");
}

void RequestRun::cancelUnfinishedAttempt()
{
    if (unfinishedAttempt_)
        runner_.cancelStreamInBackground(*std::exchange(unfinishedAttempt_, std::nullopt));
}

std::optional<AttemptFailure> RequestRun::endForDisconnectedCaller(const TargetCall& call)
{
    callerState_->onDisconnect = nullptr;
    recordEvent("caller left");
    cancelAtTarget(call);
    countWastedPrefill("caller_left");
    finishAttempt(AttemptOutcome::Cancelled);
    return AttemptFailure { makeError(ErrorKind::CallerLeft, "the caller disconnected"), "caller_left" };
}

}
