#include "entry/RoutedRequestRun.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "entry/PoolRequests.h"
#include "entry/RequestDigests.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int okStatus = 200;
    /** A caller that disconnects with no more than this left until its deadline was not served in time. */
    constexpr Duration nearDeadlineTime = 500ms;
    bool isEventStream(const HttpCall& response)
    {
        return response.status() == okStatus && findHeader(response.headers(), "Content-Type").starts_with("text/event-stream");
    }

    /** The prefix as the schedulers take it: one hash for each block of tokens, from the start of the prompt. */
    std::vector<uint32_t> prefixBlocks(const std::vector<PromptSegment>& segments)
    {
        constexpr int64_t blockTokens = 512;
        constexpr size_t maxBlocks = 32;
        std::vector<uint32_t> blocks;
        for (const auto& segment : segments) {
            auto count = 1 + segment.tokens.value() / blockTokens;
            for (int64_t i = 0; i < count && blocks.size() < maxBlocks; ++i)
                blocks.push_back(static_cast<uint32_t>(segment.id.value() + static_cast<uint64_t>(i)));
        }
        return blocks;
    }

    /** The parts that other requests may have too; the last one belongs to the request or its session. */
    std::vector<PromptPartId> sharedParts(const std::vector<PromptSegment>& segments)
    {
        // As many as a header of the default size can name.
        constexpr size_t maxParts = 4096;
        std::vector<PromptPartId> parts;
        for (size_t i = 0; i + 1 < segments.size() && parts.size() < maxParts; ++i)
            parts.push_back(segments[i].id);
        return parts;
    }

    HostPort addressOf(const Target& target)
    {
        return { target.host, target.port };
    }

    /** The first parts; a long prompt has hundreds. */
    std::string joinedText(const std::vector<PromptPartId>& parts)
    {
        constexpr size_t maxLoggedParts = 32;
        auto end = parts.begin() + static_cast<std::ptrdiff_t>(std::min(parts.size(), maxLoggedParts));
        return absl::StrJoin(parts.begin(), end, ",", [](std::string* text, PromptPartId part) { text->append(toString(part)); });
    }

}

RoutedRequestRun::RoutedRequestRun(RoutedRequestRunner& runner, const RoutedRequest& request, HttpExchange& exchange)
    : runner_(runner)
    , request_(request)
    , exchange_(exchange)
    , callerState_(CallerConnectionState::of(exchange))
    , routes_(runner.routes())
    , startedAt_(runner.hooks.now())
    , lastEventId_(request.lastEventId)
{
    attempt_.request = runner_.nextRequestId();
}

RoutedRequestRun::~RoutedRequestRun()
{
    callerState_->onDisconnect = nullptr;
    releaseMigration();
    // Still held only after an exception; the target's slot must be freed.
    if (isGrantHeld_)
        finishAttempt(AttemptOutcome::Failed);
    if (isDebited_ && ran_ == Ran::No)
        runner_.hooks.refundCeiling(*contract_, quotaTokens(), ceilingDecider_);
    if (shouldWriteLog())
        runner_.history.writeLog(attempt_.request, request_.callerId);
}

void RoutedRequestRun::run()
{
    auto admitted = admit();
    if (!admitted) {
        refuse(admitted.error());
        return;
    }
    runAttempts();
}

Result<void> RoutedRequestRun::admit()
{
    if (!routes_ || !runner_.hooks.hasConfiguration())
        return fail(ErrorKind::NoLease, "this node has no routing document yet");
    route_ = routes_->find(request_.host, request_.path);
    if (!route_)
        return fail(ErrorKind::NotFound, "no route matches this host and path");
    tier_ = route_->tier;
    runner_.history.begin(attempt_.request, request_.callerId, route_->name, tier_);
    if (auto authenticated = authenticate(); !authenticated)
        return authenticated;
    auto customer = contract_ ? contract_->customer : CustomerId();
    digest_ = makeRequestDigest(customer, request_.method, request_.target, request_.body.text());
    setDeadlines();
    if (auto selected = selectService(); !selected)
        return selected;
    auto admitted = debitCeiling();
    recordEvent(admitted ? "admitted" : "over ceiling", {}, { { "service", service_->name }, { "customer", contract_ ? contract_->name : "" }, { "routing_version", static_cast<int64_t>(runner_.view.config().routing.version.value()) }, { "quota_tokens", quotaTokens().value() }, { "prompt_parts", joinedText(sharedParts(request_.prefix)) }, { "request_digest", toString(digest_) }, { "resumes", request_.resumesCallerId }, { "after_event", static_cast<int64_t>(request_.lastEventId.value_or(0)) }, { "objective_ms", int64_t(route_->objectiveMs) }, { "prompt_tokens", request_.promptTokens.value_or(Tokens()).value() }, { "expected_tokens", request_.expectedOutputTokens.value_or(Tokens()).value() }, { "deadline_ms", toMs(timeLeft()) } });
    return admitted;
}

Result<void> RoutedRequestRun::authenticate()
{
    if (!runner_.view.config().routing.hasCustomers || route_->isPublic)
        return {};
    // Without a lease this node may not know that a key was revoked, and would still accept it.
    if (!runner_.hooks.hasLease())
        return fail(ErrorKind::NoLease, "this node has no lease and cannot tell whether the key is still valid");
    const auto* customer = request_.keyHash.empty() ? nullptr : routes_->findCustomerByKeyHash(request_.keyHash);
    const auto* contract = request_.keyHash.empty() ? nullptr : runner_.view.findCustomerByKeyHash(request_.keyHash);
    if (!customer || !contract)
        return fail(ErrorKind::Unauthorized, "the API key is missing or unknown");
    contract_ = *contract;
    defaultTokens_ = customer->defaultTokens;
    tier_ = customer->tier.value_or(route_->tier);
    return {};
}

Tokens RoutedRequestRun::quotaTokens() const
{
    return request_.promptTokens ? *request_.promptTokens + request_.maxOutputTokens : Tokens(defaultTokens_);
}

Result<void> RoutedRequestRun::debitCeiling()
{
    if (!contract_)
        return {};
    auto verdict = runner_.hooks.debitCeiling(*contract_, quotaTokens());
    isDebited_ = verdict.admission.has_value();
    ceilingDecider_ = verdict.decider;
    if (verdict.decider != CeilingDecider::None)
        recordEvent("ceiling", {}, { { "decided_by", std::string(toString(verdict.decider)) }, { "requests_left", verdict.left.requests }, { "tokens_left", verdict.left.tokens } });
    return verdict.admission;
}

void RoutedRequestRun::setDeadlines()
{
    Duration limit = std::chrono::milliseconds(route_->timeoutMs);
    deadline_ = startedAt_ + std::min(limit, request_.callerTimeout.value_or(limit));
    firstEventDeadline_ = deadline_;
    if (route_->kind == RouteKind::Stream && route_->firstEventTimeoutMs > 0)
        firstEventDeadline_ = std::min<Instant>(deadline_, startedAt_ + std::chrono::milliseconds(route_->firstEventTimeoutMs));
}

Duration RoutedRequestRun::timeLeft() const
{
    return std::max<Duration>(deadline_ - now(), 0ms);
}

bool RoutedRequestRun::mayRunAgain() const
{
    return route_->kind == RouteKind::Idempotent || (route_->kind == RouteKind::Stream && route_->isResumable);
}

void RoutedRequestRun::runAttempts()
{
    runner_.hooks.recordRequest(service_->name);
    for (;;) {
        auto failure = attempt();
        if (!failure)
            return;
        ran_ = std::max(ran_, failure->error.ran);
        if (mayRetry(*failure))
            continue;
        refuse(failure->error);
        return;
    }
}

bool RoutedRequestRun::mayRetry(const Failure& failure)
{
    if (callerState_->isDisconnected || now() >= deadline_)
        return false;
    // This attempt may not have been sent, but an earlier one may have run.
    bool mayRunNow = ran_ == Ran::No || mayRunAgain();
    if (failure.isNotSent)
        return mayRunNow && ++unusedGrants_ < runner_.limits.maxUnusedGrants;
    if (!failure.isRetryUseful || sentAttempts_ >= route_->maxAttempts || !mayRunNow)
        return false;
    auto reason = errorInfo(failure.error.kind).name;
    if (!runner_.hooks.acquireRetry(service_->name)) {
        count("routed_repeat_refusals_total", "reason", reason);
        return false;
    }
    count("routed_repeats_total", "reason", reason);
    recordEvent("repeated", failure.error.message);
    return true;
}

GrantRequest RoutedRequestRun::makeGrantRequest(PoolId pool) const
{
    GrantRequest grantRequest;
    grantRequest.pool = pool;
    grantRequest.attempt = attempt_;
    grantRequest.customer = contract_ ? contract_->customer : CustomerId();
    grantRequest.tier = tier_;
    grantRequest.kind = WorkKindId(static_cast<uint32_t>(stableHash(route_->name)));
    grantRequest.promptTokens = request_.promptTokens.value_or(Tokens());
    grantRequest.maxOutputTokens = request_.maxOutputTokens;
    grantRequest.expectedOutputTokens = request_.expectedOutputTokens.value_or(Tokens());
    grantRequest.prefix = prefixBlocks(request_.prefix);
    grantRequest.sharedParts = sharedParts(request_.prefix);
    grantRequest.digest = digest_;
    addStreamTo(grantRequest);
    grantRequest.deadlineMs = clampMs((isStreamStarted_ ? deadline_ : firstEventDeadline_) - now());
    // Zero means no objective: a stream that has started is not treated as late, since its caller waits for the rest.
    if (!isStreamStarted_ && route_->objectiveMs > 0)
        grantRequest.objectiveMs = std::max(1U, clampMs(startedAt_ + std::chrono::milliseconds(route_->objectiveMs) - now()));
    grantRequest.responseMs = clampMs(timeLeft());
    grantRequest.eventGapObjectiveMs = route_->eventGapObjectiveMs;
    grantRequest.urgency = route_->tier;
    grantRequest.excluded = excluded_;
    return grantRequest;
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::attempt()
{
    ++attempt_.number;
    auto pool = runner_.pools.findPool(service_->isModel ? PoolKind::Model : PoolKind::Service, service_->name);
    if (!pool)
        return Failure { makeError(ErrorKind::NoTarget, "the service has no targets"), false, false };
    callerState_->onDisconnect = [&pools = runner_.pools, id = attempt_] { pools.cancelAcquire(id); };
    auto requestedAt = now();
    auto grant = callerState_->isDisconnected ? Result<Grant>(fail(ErrorKind::CallerLeft, "the caller disconnected"))
                                              : runner_.pools.acquire(makeGrantRequest(*pool), isStreamStarted_ ? deadline_ : firstEventDeadline_);
    callerState_->onDisconnect = nullptr;
    runner_.metrics.observe("routed_queue_seconds", absl::StrCat("route_tier=\"", tier_.value(), "\""), toSeconds(now() - requestedAt));
    if (!grant) {
        if (grant.error().kind == ErrorKind::Superseded)
            callerState_->supersede();
        grant.error().ran = Ran::No;
        return Failure { grant.error(), false, false };
    }
    auto target = runner_.view.config().targets.find(grant->target);
    auto problem = checkBeforeSending(*grant);
    if (problem) {
        recordEvent("grant not used", problem->error.message);
        runner_.pools.release(*grant);
        excluded_.push_back(grant->target);
        return problem;
    }
    return dispatch(*grant, Target(target->second));
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::checkBeforeSending(const Grant& grant) const
{
    if (callerState_->isDisconnected) {
        auto error = makeError(ErrorKind::CallerLeft, "the caller disconnected");
        error.ran = Ran::No;
        return Failure { error, false, false };
    }
    if (contract_ && !runner_.hooks.hasLease())
        return Failure { makeError(ErrorKind::NoLease, "the lease ended while the request was queued"), false, false };
    // A request whose key was revoked while it was queued must not run.
    if (contract_ && !runner_.view.findCustomerByKeyHash(request_.keyHash))
        return Failure { makeError(ErrorKind::Unauthorized, "the key was revoked"), false, false };
    auto target = runner_.view.config().targets.find(grant.target);
    bool isUsable = target != runner_.view.config().targets.end() && target->second.state == TargetState::Active;
    bool isExcluded = std::find(excluded_.begin(), excluded_.end(), grant.target) != excluded_.end();
    for (const auto* required : { &softwareVersion_, &grant.softwareVersion }) {
        if (isUsable && *required && **required != target->second.softwareVersion)
            return Failure { makeError(ErrorKind::NoTarget, "the granted target has another software version than the one that began the stream"), true };
    }
    if (isUsable && isRolledBack(runner_.view.config(), target->second))
        return Failure { makeError(ErrorKind::NoTarget, "the software version of the granted target was rolled back"), true };
    if (!isUsable || isExcluded || runner_.pools.isRestricted(grant.target) || !runner_.pools.isCurrent(grant))
        return Failure { makeError(ErrorKind::NoTarget, "the granted target accepts no new requests"), true };
    return std::nullopt;
}

HttpCallSettings RoutedRequestRun::callSettings(const Target& target)
{
    HttpCallSettings settings;
    settings.host = target.host;
    settings.port = target.port;
    settings.method = request_.method;
    settings.target = request_.target;
    settings.headers = request_.headers;
    settings.headers.emplace_back("Host", request_.host);
    AttemptContext context { request_, target, contract_ ? contract_->name : std::string(), timeLeft(), lastEventId_, std::exchange(kvCacheSource_, {}) };
    for (auto& header : runner_.protocol.headersFor(context))
        settings.headers.push_back(std::move(header));
    settings.body = request_.body;
    settings.connectTimeout = std::min(runner_.limits.connectTimeout, timeLeft() + 1ms);
    settings.headerTimeout = timeLeft() + runner_.limits.responseGracePeriod;
    // sentAttempts_ does not count this attempt yet.
    if (mayRunAgain() && route_->kind == RouteKind::Stream && sentAttempts_ + 1 < route_->maxAttempts)
        settings.headerTimeout = std::min(settings.headerTimeout, runner_.limits.stallTimeout);
    settings.maxResponseBytes = runner_.limits.maxResponseBytes;
    settings.isResendAllowed = false;
    // A late copy of an earlier answer to this request could be taken for the answer to this attempt.
    settings.isReuseAllowed = std::find(usedAddresses_.begin(), usedAddresses_.end(), addressOf(target)) == usedAddresses_.end();
    settings.responseOwner = [this](const HttpHeaders& headers) { return runner_.protocol.responseOwner(request_, headers); };
    return settings;
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::dispatch(const Grant& grant, const Target& target)
{
    recordEvent("granted", {}, { { "target", target.name }, { "software_version", target.softwareVersion }, { "after_event", static_cast<int64_t>(lastEventId_.value_or(0)) }, { "attempt", int64_t(attempt_.number) }, { "epoch", static_cast<int64_t>(grant.epoch.value()) }, { "chosen_by", grant.epoch.isValid() ? "owner" : "entry" }, { "left_ms", toMs(timeLeft()) }, { "rate_limited", int64_t(runner_.pools.isRateLimited(target.id)) } });
    if (runner_.pools.isRateLimited(target.id))
        count("routed_limited_target_requests_total", "chosen_by", grant.epoch.isValid() ? "owner" : "entry");
    excluded_.push_back(target.id);
    grant_ = grant;
    target_ = target;
    isGrantHeld_ = true;
    sentAt_ = now();
    attemptEvents_ = 0;
    hasFirstEvent_ = false;
    hasTargetClosed_ = false;
    hasRefusedConnection_ = false;
    mayHaveStopped_ = false;
    connectionAge_ = Duration::zero();
    auto settings = callSettings(target);
    usedAddresses_.push_back(addressOf(target));
    auto sending = std::make_shared<std::weak_ptr<HttpCall>>();
    // A non-idempotent call is completed even if its caller disconnects.
    bool isCancellable = route_->kind != RouteKind::AtMostOnce;
    settings.onSending = [sending, isCancellable, state = callerState_](const std::shared_ptr<HttpCall>& call) {
        *sending = call;
        if (isCancellable && state->isDisconnected)
            call->cancel();
    };
    if (isCancellable) {
        callerState_->onDisconnect = [sending] {
            if (auto call = sending->lock())
                call->cancel();
        };
    }
    if (route_->kind == RouteKind::Stream && route_->isResumable) {
        runner_.pools.onSuperseded(grant.attempt, [this] {
            callerState_->supersede();
            // A caller that accepts no data would delay the end of the attempt.
            if (isStreamStarted_)
                exchange_.abort();
        });
    }
    auto response = runner_.hooks.start(settings);
    std::optional<Failure> failure;
    if (response) {
        ++sentAttempts_;
        failure = handleResponse(*response);
    } else if (response.error().ran == Ran::No) {
        hasRefusedConnection_ = response.error().kind == ErrorKind::TargetClosed;
        failure = failAttempt(response.error(), AttemptOutcome::Unreachable);
        failure->isNotSent = true;
        count("routed_unsent_total", "reason", "connect");
    } else {
        ++sentAttempts_;
        failure = callerState_->isDisconnected ? endForDisconnectedCaller() : failAttempt(response.error(), AttemptOutcome::Failed);
    }
    callerState_->onDisconnect = nullptr;
    return failure;
}

void RoutedRequestRun::reportAvailability(const TargetSignals& signals)
{
    if (!signals.isDraining && signals.pause <= Duration::zero())
        return;
    recordEvent(signals.isDraining ? "target leaves" : "target asks for a pause", {}, { { "target", target_.name }, { "pause_ms", toMs(signals.pause) } });
    count("routed_target_signals_total", "signal", signals.isDraining ? "leaving" : "pause");
    runner_.pools.reportAvailability({ grant_.pool, target_.id, signals.isDraining, clampMs(signals.pause) });
}

void RoutedRequestRun::reportRateLimit(const TargetSignals& signals, bool mayEndLimit)
{
    if (signals.isRateLimitReadable && !signals.rateLimit && !mayEndLimit)
        return;
    if (signals.rateLimit || !signals.isRateLimitReadable)
        count("routed_target_signals_total", "signal", signals.rateLimit ? "rate_limit" : "unreadable_rate_limit");
    runner_.pools.reportRateLimit(grant_.pool, { target_.id, signals.rateLimit, sentAt_, signals.isRateLimitReadable });
}

std::optional<RoutedRequestRun::Failure> RoutedRequestRun::handleResponse(const std::shared_ptr<HttpCall>& call)
{
    auto signals = runner_.protocol.targetSignals(call->headers(), call->status());
    connectionAge_ = call->connectionAge();
    reportAvailability(signals);
    auto kind = runner_.protocol.classifyResponse(request_, call->status(), call->headers());
    if (kind != ResponseKind::WrongTarget)
        reportRateLimit(signals, kind == ResponseKind::Valid);
    if (kind == ResponseKind::NotRun || kind == ResponseKind::WrongTarget) {
        // Reading the rest of a short refusal keeps the connection reusable.
        (void)call->readAll(runner_.limits.responseGracePeriod);
        auto error = makeError(ErrorKind::TargetRefused, absl::StrCat("the target responded with status ", call->status(), " without running the request"));
        error.ran = Ran::No;
        auto failure = failAttempt(error, kind == ResponseKind::NotRun ? AttemptOutcome::Refused : AttemptOutcome::Unreachable);
        // A response from the wrong target does not count as an attempt, but the next attempt still takes a retry from the budget.
        if (kind == ResponseKind::WrongTarget)
            --sentAttempts_;
        return failure;
    }
    if (kind == ResponseKind::Invalid) {
        call->cancel();
        auto error = makeError(ErrorKind::TargetFailed, "the target's response is invalid");
        return failAttempt(error, AttemptOutcome::Failed);
    }
    if (isEventStream(*call))
        return relayStream(*call);
    if (isStreamStarted_) {
        call->cancel();
        return failAttempt(makeError(ErrorKind::TargetFailed, absl::StrCat("the target responded with status ", call->status(), " instead of resuming the stream")), AttemptOutcome::Failed);
    }
    return relayCompleteResponse(*call);
}

RoutedRequestRun::Failure RoutedRequestRun::failAttempt(Error error, AttemptOutcome outcome)
{
    recordEvent(outcome == AttemptOutcome::Refused ? "refused by target" : "attempt failed", error.message, { { "after_sending_ms", toMs(now() - sentAt_) }, { "events", static_cast<int64_t>(attemptEvents_) } });
    ran_ = std::max(ran_, error.ran);
    hasTargetClosed_ = error.kind == ErrorKind::TargetClosed && error.ran != Ran::No;
    finishAttempt(outcome);
    return { std::move(error) };
}

RoutedRequestRun::Failure RoutedRequestRun::endForDisconnectedCaller()
{
    releaseMigration();
    recordEvent(callerState_->isSuperseded ? "continued by another request" : "caller left", {}, { { "after_sending_ms", toMs(now() - sentAt_) }, { "events", static_cast<int64_t>(attemptEvents_) } });
    // A caller that disconnects close to its deadline was not served in time, so the request counts as failed.
    hasFailed_ = timeLeft() <= nearDeadlineTime;
    ran_ = std::max(ran_, Ran::Unknown);
    finishAttempt(AttemptOutcome::Cancelled);
    return { makeError(ErrorKind::CallerLeft, "the caller disconnected"), false, false };
}

void RoutedRequestRun::finishAttempt(AttemptOutcome outcome)
{
    if (!isGrantHeld_)
        return;
    isGrantHeld_ = false;
    AttemptFinished finished;
    finished.pool = grant_.pool;
    finished.attempt = grant_.attempt;
    finished.outcome = outcome;
    finished.promptTokens = request_.promptTokens.value_or(Tokens());
    finished.outputTokens = Tokens(static_cast<int64_t>(attemptEvents_ * service_->tokensPerEvent));
    finished.durationMs = clampMs(now() - sentAt_);
    finished.hasTargetClosed = hasTargetClosed_;
    finished.connectionAgeMs = clampMs(connectionAge_);
    finished.hasRefusedConnection = hasRefusedConnection_;
    if (hasFirstEvent_)
        finished.stream = streamBinding();
    runner_.pools.reportFinished(finished);
}

void RoutedRequestRun::refuse(Error error)
{
    if (callerState_->isDisconnected) {
        count("routed_ends_total", "end", callerState_->isSuperseded ? "superseded" : "caller_left");
        if (callerState_->isSuperseded)
            endSuperseded();
        return;
    }
    ran_ = std::max(ran_, error.ran);
    bool promisesNotRun = errorInfo(error.kind).defaultRan == Ran::No;
    // A refusal promises that the request did not run, so it is sent only if that is certain; TargetFailed promises nothing.
    if (ran_ != Ran::No && promisesNotRun) {
        // A request that was blocked between its attempts may come back no sooner than one that was not sent.
        auto retryAfter = error.retryAfter;
        bool isBlocked = error.kind == ErrorKind::SuspectRequest || error.kind == ErrorKind::SuspectPrompt;
        error = makeError(ErrorKind::TargetFailed, error.message);
        if (isBlocked)
            error.retryAfter = retryAfter;
    } else if (ran_ == Ran::No && !promisesNotRun)
        error = makeError(ErrorKind::NoTarget, error.message);
    const auto& info = errorInfo(error.kind);
    hasFailed_ = true;
    recordEvent("refused", absl::StrCat(std::string(info.name), ": ", error.message));
    count("routed_refusals_total", "kind", info.name);
    if (isStreamStarted_) {
        count("routed_ends_total", "end", "broken_off");
        exchange_.abort();
        return;
    }
    auto headers = runner_.protocol.refusalHeaders(error);
    headers.emplace_back("Content-Type", "application/json");
    exchange_.send(info.httpStatus, headers, errorToJson(error));
}

void RoutedRequestRun::endSuperseded()
{
    if (isStreamStarted_) {
        exchange_.abort();
        return;
    }
    // A status that promises that nothing ran would have the caller repeat a request that it has continued with another.
    auto error = supersededError();
    error.ran = ran_;
    exchange_.send(errorInfo(error.kind).httpStatus, { { "Content-Type", "application/json" } }, errorToJson(error));
}

void RoutedRequestRun::recordFirstEvent()
{
    hasFirstEvent_ = true;
    ran_ = Ran::Yes;
    if (!softwareVersion_ && route_->kind == RouteKind::Stream)
        softwareVersion_ = target_.softwareVersion;
    runner_.pools.reportStarted({ grant_.pool, grant_.attempt, clampMs(now() - sentAt_), clampMs(connectionAge_), streamBinding() });
    if (!isStreamStarted_) {
        firstEventAt_ = now();
        runner_.metrics.observe("routed_first_event_seconds", absl::StrCat("route_tier=\"", tier_.value(), "\""), toSeconds(now() - startedAt_));
    }
    recordEvent("first event", {}, { { "after_sending_ms", toMs(now() - sentAt_) } });
}

void RoutedRequestRun::complete()
{
    bool isStream = route_->kind == RouteKind::Stream;
    auto measured = isStream ? firstEventAt_ : now();
    missedObjective_ = measured > startedAt_ + std::chrono::milliseconds(route_->objectiveMs) || (isStream && route_->eventGapObjectiveMs > 0 && longestGap_ > std::chrono::milliseconds(route_->eventGapObjectiveMs));
    if (missedObjective_)
        count("routed_late_total", "cause", measured > startedAt_ + std::chrono::milliseconds(route_->objectiveMs) ? "first_event" : "pause");
    runner_.metrics.observe("routed_request_seconds", absl::StrCat("route_tier=\"", tier_.value(), "\""), toSeconds(now() - startedAt_));
    count("routed_ends_total", "end", "answered");
    recordEvent("completed", outcome_, { { "late", int64_t(missedObjective_) }, { "longest_pause_ms", toMs(longestGap_) } });
}

void RoutedRequestRun::recordEvent(const std::string& event, const std::string& reason, const LogFields& fields)
{
    runner_.history.add(attempt_.request, event, reason, fields);
}

bool RoutedRequestRun::shouldWriteLog() const
{
    // One in 100 successful requests is logged as an example.
    constexpr uint64_t logSampleInterval = 100;
    return hasFailed_ || missedObjective_ || callerState_->isSuperseded || attempt_.number > 1 || attempt_.request.value() % logSampleInterval == 0;
}

void RoutedRequestRun::count(std::string_view metric, std::string_view label, std::string_view value)
{
    runner_.metrics.count(metric, absl::StrCat(std::string(label), "=\"", std::string(value), "\""));
}

}
