#include "entry/RequestRun.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/http/EndToEndHeaders.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "entry/RequestDigests.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Attempt numbers have 8 bits. One request gets so many unusable grants only if the fleet is failing. */
    constexpr uint32_t maxUnusedGrants = 20;
    constexpr Duration duplicatePollInterval = 250ms;
    constexpr auto requestIdHeader = "X-Request-Id";
}

RequestRun::RequestRun(RequestRunner& runner, const CallerRequest& request, const Contract& contract, HttpExchange& exchange)
    : runner_(runner)
    , request_(request)
    , contract_(contract)
    , exchange_(exchange)
    , callerState_(CallerConnectionState::of(exchange))
    , startedAt_(runner.hooks.now())
    , deadline_(startedAt_ + request.deadline)
{
    attempt_.request = request.id;
}

RequestRun::~RequestRun()
{
    callerState_->onDisconnect = nullptr;
    // Still held only after an exception; the target's slot and the run record must be released.
    if (isGrantHeld_)
        finishAttempt(AttemptOutcome::Failed);
    if (isClaimed_)
        settleRunRecord(sentAttempts_ == 0 ? RunState::NotRun : RunState::Unknown);
    if (!isCeilingAcquired_)
        return;
    auto used = sentAttempts_ == 0 ? Tokens() : request_.promptTokens + Tokens(outputTokens_);
    runner_.hooks.releaseCeiling(request_.customer, request_.promptTokens + request_.maxOutputTokens - used);
}

void RequestRun::run()
{
    runner_.history.begin(request_.id, contract_.name, request_.workKindName, request_.tier);
    runner_.metrics.count("entry_requests_total", tierLabel());
    auto admitted = admit();
    if (!admitted) {
        refuse(admitted.error());
        return;
    }
    if (!request_.isIdempotent && !claimRunRecord())
        return;
    runAttempts();
}

Result<void> RequestRun::checkNode() const
{
    if (runner_.isDraining())
        return fail(ErrorKind::Draining, "this node is draining");
    if (!runner_.hooks.hasConfiguration())
        return fail(ErrorKind::NoLease, "this node has not reached the control leader yet");
    if (!runner_.hooks.hasLease())
        return fail(ErrorKind::NoQuorum, "this node's lease has expired without contact with a control leader");
    return {};
}

Result<void> RequestRun::admit()
{
    auto node = checkNode();
    if (!node)
        return node;
    if (contract_.state != CustomerState::Active)
        return fail(ErrorKind::CustomerClosing, "the customer's contract accepts no new requests");
    runner_.hooks.recordRequest(request_.customer);
    auto pool = runner_.pools.findPool(request_.poolKind, request_.serves);
    if (!pool)
        return tl::unexpected(pool.error());
    auto acquired = runner_.hooks.acquireCeiling(contract_, request_.promptTokens + request_.maxOutputTokens);
    if (!acquired)
        return acquired;
    isCeilingAcquired_ = true;
    recordEvent("admitted", absl::StrCat("tier ", request_.tier.value(), request_.isIdempotent ? ", idempotent" : ", at most once"));
    return {};
}

ClaimRun RequestRun::makeClaim() const
{
    ClaimRun claim;
    claim.key = { request_.customer, request_.idempotencyKey };
    claim.digest = request_.digest;
    claim.attempt = { request_.id, 1 };
    claim.node = runner_.self.id;
    claim.nodeIncarnation = runner_.self.incarnation;
    return claim;
}

bool RequestRun::claimRunRecord()
{
    auto end = std::min(now() + runner_.limits.duplicateWaitTimeout, deadline_);
    for (;;) {
        auto reply = runner_.hooks.claimRun(makeClaim(), runner_.limits.claimTimeout);
        if (!reply || reply->outcome == ClaimOutcome::NoQuorum || reply->outcome == ClaimOutcome::NotLeader) {
            // The claim may still be committed; refuse() then releases the key, since nothing was sent.
            isClaimed_ = true;
            auto error = makeError(ErrorKind::NoQuorum, "the run record could not be committed");
            refuse(error);
            return false;
        }
        bool isWaiting = reply->outcome == ClaimOutcome::InProgress && now() < end && !callerState_->isDisconnected;
        if (!isWaiting)
            return handleClaimReply(*reply);
        recordEvent("waiting", "a request with the same key is running");
        runner_.hooks.sleep(duplicatePollInterval);
    }
}

bool RequestRun::handleClaimReply(const ClaimRunReply& reply)
{
    switch (reply.outcome) {
    case ClaimOutcome::Granted:
        isClaimed_ = true;
        recordEvent("claimed");
        return true;
    case ClaimOutcome::Finished:
        if (reply.response) {
            recordEvent("answered", "recorded response of the first request with this key");
            exchange_.send(reply.response->status, { { "Content-Type", reply.response->contentType }, { "X-Request-Id", toString(request_.id) } }, reply.response->body);
            return false;
        }
        ran_ = Ran::Yes;
        refuse(makeError(ErrorKind::OutcomeUnknown, "the request ran before; its response was not kept"));
        return false;
    case ClaimOutcome::InProgress:
        refuse(makeError(ErrorKind::RunInProgress, "a request with this key is running"));
        return false;
    case ClaimOutcome::Conflict:
        refuse(makeError(ErrorKind::IdempotencyConflict, "this key was used for another request"));
        return false;
    case ClaimOutcome::StoreFull:
        refuse(makeError(ErrorKind::RecordStoreFull, "the store of run records is full"));
        return false;
    default:
        ran_ = Ran::Unknown;
        refuse(makeError(ErrorKind::OutcomeUnknown, "a request with this key may have run; it is never run again"));
        return false;
    }
}

void RequestRun::runAttempts()
{
    for (;;) {
        auto failure = attempt();
        if (!failure)
            return;
        ran_ = std::max(ran_, failure->error.ran);
        if (!mayRetry(*failure)) {
            refuse(failure->error);
            cancelUnfinishedAttempt();
            return;
        }
        // A retry must not run concurrently with the attempt before it, so the engine's reply is awaited.
        if (unfinishedAttempt_)
            cancelAtTarget(*std::exchange(unfinishedAttempt_, std::nullopt));
    }
}

bool RequestRun::mayRetry(AttemptFailure& failure)
{
    if (callerState_->isDisconnected || now() >= deadline_)
        return false;
    if (failure.isNotSent)
        return ++unusedGrants_ < maxUnusedGrants;
    if (!failure.isRetryUseful || !request_.isIdempotent || isStreamStarted_ || sentAttempts_ >= runner_.limits.maxAttempts)
        return false;
    if (!runner_.hooks.acquireRetry(request_.customer)) {
        count("entry_retry_refusals_total", "reason", failure.reason);
        auto spent = makeError(ErrorKind::RetryBudgetSpent, failure.error.message + "; the retry budget is spent");
        spent.ran = failure.error.ran;
        failure.error = spent;
        return false;
    }
    count("entry_retries_total", "reason", failure.reason);
    recordEvent("retried", failure.error.message);
    return true;
}

GrantRequest RequestRun::makeGrantRequest(PoolId pool) const
{
    GrantRequest grantRequest;
    grantRequest.pool = pool;
    grantRequest.attempt = attempt_;
    grantRequest.customer = request_.customer;
    grantRequest.tier = request_.tier;
    grantRequest.kind = request_.kind;
    grantRequest.promptTokens = request_.promptTokens;
    grantRequest.maxOutputTokens = request_.maxOutputTokens;
    grantRequest.prefix = request_.prefix;
    // Each block's hash covers the text before it, so a block that crashes targets is blamed together with those after it.
    for (auto block : request_.prefix)
        grantRequest.sharedParts.emplace_back(block);
    grantRequest.digest = makeRequestDigest(request_.customer, request_.method, request_.target, request_.body.text());
    grantRequest.deadlineMs = clampMs(deadline_ - now());
    grantRequest.excluded = excluded_;
    if (request_.isKeyFromCaller)
        grantRequest.idempotencyKeyHash = stableHash(request_.idempotencyKey, request_.customer.value());
    return grantRequest;
}

std::optional<AttemptFailure> RequestRun::attempt()
{
    ++attempt_.number;
    auto pool = runner_.pools.findPool(request_.poolKind, request_.serves);
    if (!pool)
        return AttemptFailure { pool.error(), "no_pool" };
    callerState_->onDisconnect = [&pools = runner_.pools, id = attempt_] { pools.cancelAcquire(id); };
    auto requestedAt = now();
    auto grant = callerState_->isDisconnected ? Result<Grant>(fail(ErrorKind::CallerLeft, "the caller disconnected")) : runner_.pools.acquire(makeGrantRequest(*pool), deadline_);
    callerState_->onDisconnect = nullptr;
    runner_.metrics.observe("entry_queue_seconds", tierLabel(), toSeconds(now() - requestedAt));
    if (!grant) {
        grant.error().ran = Ran::No;
        return AttemptFailure { grant.error(), "refused" };
    }
    grant_ = *grant;
    auto problem = checkBeforeSending();
    if (!problem)
        problem = checkTarget(*grant);
    if (problem) {
        runner_.pools.release(*grant);
        return problem;
    }
    return dispatch(*grant, runner_.view.config().targets.at(grant->target));
}

std::optional<AttemptFailure> RequestRun::checkBeforeSending() const
{
    if (callerState_->isDisconnected) {
        auto error = makeError(ErrorKind::CallerLeft, "the caller disconnected");
        error.ran = Ran::No;
        return AttemptFailure { error, "caller_left" };
    }
    if (!runner_.hooks.hasLease())
        return AttemptFailure { makeError(ErrorKind::NoLease, "the lease ended while the request was queued"), "no_lease" };
    if (!runner_.pools.isCurrent(grant_))
        return AttemptFailure { makeError(ErrorKind::NoOwner, "the pool owner changed"), "stale_grant", false, true };
    return std::nullopt;
}

std::optional<AttemptFailure> RequestRun::checkTarget(const Grant& grant)
{
    auto it = runner_.view.config().targets.find(grant.target);
    bool isUsable = it != runner_.view.config().targets.end() && it->second.state == TargetState::Active;
    bool isExcluded = std::find(excluded_.begin(), excluded_.end(), grant.target) != excluded_.end();
    isUsable = isUsable && !isRolledBack(runner_.view.config(), it->second);
    if (!isUsable || isExcluded) {
        recordEvent("grant not used", isExcluded ? "the target already got the request" : "the target is draining");
        excluded_.push_back(grant.target);
        return AttemptFailure { makeError(ErrorKind::NoTarget, "the granted target accepts no new requests"), "target_leaving", false, true };
    }
    return std::nullopt;
}

void RequestRun::recheckBeforeFirstByte(HttpCall& call)
{
    // The lease or the epoch may have ended while the connection was opened.
    sendBlocker_ = checkBeforeSending();
    if (sendBlocker_)
        call.cancel();
}

AttemptFailure RequestRun::withdrawAttempt()
{
    recordEvent("not sent", sendBlocker_->error.message);
    runner_.pools.release(grant_);
    isGrantHeld_ = false;
    --sentAttempts_;
    excluded_.pop_back();
    return *std::exchange(sendBlocker_, std::nullopt);
}

TargetCall RequestRun::makeCall(const Grant& grant, const Target& target) const
{
    TargetCall call;
    call.target = target;
    call.attempt = attempt_;
    call.epoch = grant.epoch;
    call.method = request_.method;
    call.path = request_.target;
    call.headers = request_.headers;
    call.body = request_.body;
    call.isIdempotent = request_.isIdempotent;
    call.headerTimeout = completeResponseTimeout();
    return call;
}

std::optional<AttemptFailure> RequestRun::dispatch(const Grant& grant, const Target& target)
{
    recordEvent("granted", target.name);
    excluded_.push_back(target.id);
    ++sentAttempts_;
    isGrantHeld_ = true;
    sentAt_ = now();
    outputTokens_ = 0;
    sendBlocker_.reset();
    hasFirstToken_ = false;
    hasTargetClosed_ = false;
    auto call = makeCall(grant, target);
    bool isStream = request_.poolKind == PoolKind::Model && request_.isStream;
    auto failure = isStream ? relayStream(call) : relayCompleteResponse(call);
    callerState_->onDisconnect = nullptr;
    return failure;
}

void RequestRun::finishAttempt(AttemptOutcome outcome)
{
    isGrantHeld_ = false;
    AttemptFinished finished;
    finished.pool = grant_.pool;
    finished.attempt = attempt_;
    finished.outcome = outcome;
    finished.promptTokens = request_.promptTokens;
    finished.outputTokens = Tokens(outputTokens_);
    finished.durationMs = clampMs(now() - sentAt_);
    finished.hasTargetClosed = hasTargetClosed_;
    runner_.pools.reportFinished(finished);
}

void RequestRun::countWastedPrefill(std::string_view reason)
{
    if (request_.poolKind != PoolKind::Model)
        return;
    runner_.metrics.count("entry_prefill_wasted_tokens_total", absl::StrCat("reason=\"", std::string(reason), "\""), static_cast<uint64_t>(request_.promptTokens.value()));
}

void RequestRun::refuse(Error error)
{
    error.ran = std::max(error.ran, ran_);
    const auto& info = errorInfo(error.kind);
    // Retrying a non-idempotent request does not help once it may have run.
    if (!request_.isIdempotent && error.ran != Ran::No && error.kind != ErrorKind::RunInProgress)
        error.retryAfter.reset();
    recordEvent("refused", absl::StrCat(std::string(info.name), ": ", error.message));
    count("entry_refusals_total", "kind", info.name);
    if (isClaimed_)
        settleRunRecord(error.ran == Ran::No ? RunState::NotRun : RunState::Unknown);
    if (isStreamStarted_)
        exchange_.abort();
    else
        sendError(exchange_, error, { { "X-Request-Id", toString(request_.id) } });
}

void RequestRun::settleRunRecord(RunState state, std::optional<RecordedResponse> response)
{
    if (!isClaimed_)
        return;
    isClaimed_ = false;
    if (response && response->body.size() > maxRecordedBodyBytes)
        response.reset();
    runner_.commitOutcomeInBackground({ { request_.customer, request_.idempotencyKey }, { request_.id, 1 }, state, std::move(response) });
}

void RequestRun::recordFirstToken()
{
    hasFirstToken_ = true;
    auto waited = now() - sentAt_;
    runner_.pools.reportStarted({ grant_.pool, attempt_, clampMs(waited) });
    runner_.metrics.observe("entry_first_token_seconds", tierLabel(), toSeconds(now() - startedAt_));
    if (now() <= deadline_)
        runner_.metrics.count("entry_in_deadline_total", tierLabel());
    recordEvent("first token");
}

void RequestRun::complete()
{
    finishAttempt(AttemptOutcome::Completed);
    runner_.metrics.count("entry_completed_total", tierLabel());
    runner_.metrics.observe("entry_request_seconds", tierLabel(), toSeconds(now() - startedAt_));
    runner_.metrics.count("entry_tokens_total", "direction=\"prompt\"", static_cast<uint64_t>(request_.promptTokens.value()));
    runner_.metrics.count("entry_tokens_total", "direction=\"output\"", static_cast<uint64_t>(outputTokens_));
    bool isInDeadline = !hasFirstToken_ && now() <= deadline_;
    if (isInDeadline)
        runner_.metrics.count("entry_in_deadline_total", tierLabel());
    recordEvent("completed", absl::StrCat(outputTokens_, " tokens"));
}

void RequestRun::recordEvent(const std::string& event, const std::string& reason)
{
    runner_.history.add(request_.id, event, reason);
}

void RequestRun::count(std::string_view metric, std::string_view label, std::string_view value)
{
    runner_.metrics.count(metric, std::string(label) + "=\"" + std::string(value) + "\"");
}

std::string RequestRun::tierLabel() const
{
    return absl::StrCat("tier=\"", request_.tier.value(), "\"");
}

HttpHeaders RequestRun::responseHeaders(const HttpHeaders& fromTarget) const
{
    auto headers = endToEndHeaders(fromTarget);
    std::erase_if(headers, [](const auto& header) { return absl::EqualsIgnoreCase(header.first, requestIdHeader); });
    headers.emplace_back(requestIdHeader, toString(request_.id));
    return headers;
}

}
