#include "entry/RequestRun.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/http/EndToEndHeaders.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Attempt numbers have 8 bits; a request that meets this many stale grants has a fleet in trouble around it. */
    constexpr uint32_t maxUnsentGrants = 20;
    constexpr Duration duplicatePollInterval = 250ms;
    constexpr auto requestIdHeader = "X-Request-Id";
}

RequestRun::RequestRun(RequestRunner& runner, const CallerRequest& request, const Contract& contract, HttpExchange& exchange)
    : runner_(runner)
    , request_(request)
    , contract_(contract)
    , exchange_(exchange)
    , watch_(CallerWatch::of(exchange))
    , begun_(runner.hooks.now())
    , deadline_(begun_ + request.deadline)
{
    attempt_.request = request.id;
}

RequestRun::~RequestRun()
{
    watch_->onGone = nullptr;
    // Only an exception leaves these open: the target's place must not stay taken, nor the record claimed.
    if (isGrantHeld_)
        finishAttempt(AttemptOutcome::Failed);
    if (isClaimed_)
        settle(sends_ == 0 ? RunState::NotRun : RunState::Unknown);
    if (!isInCeiling_)
        return;
    auto used = sends_ == 0 ? Tokens() : request_.promptTokens + Tokens(outputTokens_);
    runner_.hooks.leaveCeiling(request_.customer, request_.promptTokens + request_.maxOutputTokens - used);
}

void RequestRun::run()
{
    runner_.history.begin(request_.id, contract_.name, request_.kindName, request_.tier);
    runner_.metrics.count("entry_requests_total", tierLabel());
    auto admitted = admit();
    if (!admitted) {
        refuse(admitted.error());
        return;
    }
    if (!request_.isRepeatable && !claim())
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
        return fail(ErrorKind::NoQuorum, "this node has not reached a control leader for the time of its lease");
    return {};
}

Result<void> RequestRun::admit()
{
    auto node = checkNode();
    if (!node)
        return node;
    if (contract_.state != CustomerState::Active)
        return fail(ErrorKind::CustomerClosing, "the contract accepts no new work");
    runner_.hooks.noteRequest(request_.customer);
    auto pool = runner_.pools.findPool(request_.poolKind, request_.serves);
    if (!pool)
        return tl::unexpected(pool.error());
    auto entered = runner_.hooks.enterCeiling(contract_, request_.promptTokens + request_.maxOutputTokens);
    if (!entered)
        return entered;
    isInCeiling_ = true;
    note("admitted", absl::StrCat("tier ", request_.tier.value(), request_.isRepeatable ? ", repeatable" : ", at most once"));
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

bool RequestRun::claim()
{
    auto end = std::min(now() + runner_.limits.duplicateWait, deadline_);
    for (;;) {
        auto reply = runner_.hooks.claimRun(makeClaim(), runner_.limits.claimTimeout);
        if (!reply || reply->outcome == ClaimOutcome::NoQuorum || reply->outcome == ClaimOutcome::NotLeader) {
            // The claim may still be committed; then this gives the key free again, since nothing was sent.
            isClaimed_ = true;
            auto error = makeError(ErrorKind::NoQuorum, "the run record could not be committed");
            refuse(error);
            return false;
        }
        bool isWaiting = reply->outcome == ClaimOutcome::InProgress && now() < end && !watch_->isGone;
        if (!isWaiting)
            return answerClaim(*reply);
        note("waiting", "the same key is running");
        runner_.hooks.sleep(duplicatePollInterval);
    }
}

bool RequestRun::answerClaim(const ClaimRunReply& reply)
{
    switch (reply.outcome) {
    case ClaimOutcome::Granted:
        isClaimed_ = true;
        note("claimed");
        return true;
    case ClaimOutcome::Finished:
        if (reply.answer) {
            note("answered", "recorded answer of the first arrival");
            exchange_.send(reply.answer->status, { { "Content-Type", reply.answer->contentType }, { "X-Request-Id", toString(request_.id) } }, reply.answer->body);
            return false;
        }
        ran_ = Ran::Yes;
        refuse(makeError(ErrorKind::OutcomeUnknown, "the request ran before; its answer is not kept"));
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
        refuse(makeError(ErrorKind::OutcomeUnknown, "a request with this key may have run; it never runs again"));
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
            cancelLater();
            return;
        }
        // A retry must not run beside the attempt before it, so the engine's word is waited for.
        if (unended_)
            cancelAtTarget(*std::exchange(unended_, std::nullopt));
    }
}

bool RequestRun::mayRetry(AttemptFailure& failure)
{
    if (watch_->isGone || now() >= deadline_)
        return false;
    if (failure.isUnsent)
        return ++unsentGrants_ < maxUnsentGrants;
    if (!failure.isRetryUseful || !request_.isRepeatable || isStreamBegun_ || sends_ >= runner_.limits.maxAttempts)
        return false;
    if (!runner_.hooks.takeRetry(request_.customer)) {
        count("entry_retry_refusals_total", "reason", failure.reason);
        auto spent = makeError(ErrorKind::RetryBudgetSpent, failure.error.message + "; the retry budget is spent");
        spent.ran = failure.error.ran;
        failure.error = spent;
        return false;
    }
    count("entry_retries_total", "reason", failure.reason);
    note("retried", failure.error.message);
    return true;
}

Ask RequestRun::makeAsk(PoolId pool) const
{
    Ask ask;
    ask.pool = pool;
    ask.attempt = attempt_;
    ask.customer = request_.customer;
    ask.tier = request_.tier;
    ask.kind = request_.kind;
    ask.promptTokens = request_.promptTokens;
    ask.maxOutputTokens = request_.maxOutputTokens;
    ask.prefix = request_.prefix;
    ask.deadlineMs = clampMs(deadline_ - now());
    ask.excluded = excluded_;
    if (request_.isKeyFromCaller)
        ask.repeatKey = stableHash(request_.idempotencyKey, request_.customer.value());
    return ask;
}

std::optional<AttemptFailure> RequestRun::attempt()
{
    ++attempt_.number;
    auto pool = runner_.pools.findPool(request_.poolKind, request_.serves);
    if (!pool)
        return AttemptFailure { pool.error(), "no_pool" };
    watch_->onGone = [&pools = runner_.pools, id = attempt_] { pools.abandon(id); };
    auto asked = now();
    auto grant = watch_->isGone ? Result<Grant>(fail(ErrorKind::CallerLeft, "the caller left")) : runner_.pools.acquire(makeAsk(*pool), deadline_);
    watch_->onGone = nullptr;
    runner_.metrics.observe("entry_queue_seconds", tierLabel(), toSeconds(now() - asked));
    if (!grant) {
        grant.error().ran = Ran::No;
        return AttemptFailure { grant.error(), "refused" };
    }
    grant_ = *grant;
    auto problem = sendingProblem();
    if (!problem)
        problem = checkTarget(*grant);
    if (problem) {
        runner_.pools.release(*grant);
        return problem;
    }
    return dispatch(*grant, runner_.view.config().targets.at(grant->target));
}

std::optional<AttemptFailure> RequestRun::sendingProblem() const
{
    if (watch_->isGone) {
        auto left = makeError(ErrorKind::CallerLeft, "the caller left");
        left.ran = Ran::No;
        return AttemptFailure { left, "caller_left" };
    }
    if (!runner_.hooks.hasLease())
        return AttemptFailure { makeError(ErrorKind::NoLease, "the lease ended while the request was queued"), "no_lease" };
    if (!runner_.pools.isCurrent(grant_))
        return AttemptFailure { makeError(ErrorKind::NoOwner, "the pool's owner changed"), "stale_grant", false, true };
    return std::nullopt;
}

std::optional<AttemptFailure> RequestRun::checkTarget(const Grant& grant)
{
    auto it = runner_.view.config().targets.find(grant.target);
    bool isUsable = it != runner_.view.config().targets.end() && it->second.state == TargetState::Active;
    bool isExcluded = std::find(excluded_.begin(), excluded_.end(), grant.target) != excluded_.end();
    if (!isUsable || isExcluded) {
        note("grant not used", isExcluded ? "the target had the request" : "the target is leaving");
        excluded_.push_back(grant.target);
        return AttemptFailure { makeError(ErrorKind::NoTarget, "the granted target takes no new work"), "target_leaving", false, true };
    }
    return std::nullopt;
}

void RequestRun::guardSending(HttpCall& call)
{
    // Opening the connection may have taken longer than the lease or the epoch lasted.
    blocked_ = sendingProblem();
    if (blocked_)
        call.cancel();
}

AttemptFailure RequestRun::notSent()
{
    note("not sent", blocked_->error.message);
    runner_.pools.release(grant_);
    isGrantHeld_ = false;
    --sends_;
    excluded_.pop_back();
    return *std::exchange(blocked_, std::nullopt);
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
    call.isRepeatable = request_.isRepeatable;
    call.headerTimeout = wholeAnswerTimeout();
    return call;
}

std::optional<AttemptFailure> RequestRun::dispatch(const Grant& grant, const Target& target)
{
    note("granted", target.name);
    excluded_.push_back(target.id);
    ++sends_;
    isGrantHeld_ = true;
    sentAt_ = now();
    outputTokens_ = 0;
    blocked_.reset();
    hasFirstToken_ = false;
    auto call = makeCall(grant, target);
    bool isStream = request_.poolKind == PoolKind::Model && request_.isStream;
    auto failure = isStream ? relayStream(call) : relayWhole(call);
    watch_->onGone = nullptr;
    return failure;
}

void RequestRun::finishAttempt(AttemptOutcome outcome)
{
    isGrantHeld_ = false;
    Finished finished;
    finished.pool = grant_.pool;
    finished.attempt = attempt_;
    finished.outcome = outcome;
    finished.promptTokens = request_.promptTokens;
    finished.outputTokens = Tokens(outputTokens_);
    finished.durationMs = clampMs(now() - sentAt_);
    runner_.pools.finished(finished);
}

void RequestRun::countWaste(std::string_view reason)
{
    if (request_.poolKind != PoolKind::Model)
        return;
    runner_.metrics.count("entry_prefill_wasted_tokens_total", absl::StrCat("reason=\"", std::string(reason), "\""), static_cast<uint64_t>(request_.promptTokens.value()));
}

void RequestRun::refuse(Error error)
{
    error.ran = std::max(error.ran, ran_);
    const auto& info = errorInfo(error.kind);
    // Sending a non-idempotent request again does not help once it may have run.
    if (!request_.isRepeatable && error.ran != Ran::No && error.kind != ErrorKind::RunInProgress)
        error.retryAfter.reset();
    note("refused", absl::StrCat(std::string(info.name), ": ", error.message));
    count("entry_refusals_total", "kind", info.name);
    if (isClaimed_)
        settle(error.ran == Ran::No ? RunState::NotRun : RunState::Unknown);
    if (isStreamBegun_)
        exchange_.abort();
    else
        sendError(exchange_, error, { { "X-Request-Id", toString(request_.id) } });
}

void RequestRun::settle(RunState state, std::optional<RecordedResponse> answer)
{
    if (!isClaimed_)
        return;
    isClaimed_ = false;
    if (answer && answer->body.size() > maxRecordedBodyBytes)
        answer.reset();
    runner_.recordLater({ { request_.customer, request_.idempotencyKey }, { request_.id, 1 }, state, std::move(answer) });
}

void RequestRun::noteFirstToken()
{
    hasFirstToken_ = true;
    auto waited = now() - sentAt_;
    runner_.pools.started({ grant_.pool, attempt_, clampMs(waited) });
    runner_.metrics.observe("entry_first_token_seconds", tierLabel(), toSeconds(now() - begun_));
    if (now() <= deadline_)
        runner_.metrics.count("entry_in_deadline_total", tierLabel());
    note("first token");
}

void RequestRun::complete()
{
    finishAttempt(AttemptOutcome::Completed);
    runner_.metrics.count("entry_completed_total", tierLabel());
    runner_.metrics.observe("entry_request_seconds", tierLabel(), toSeconds(now() - begun_));
    runner_.metrics.count("entry_tokens_total", "direction=\"prompt\"", static_cast<uint64_t>(request_.promptTokens.value()));
    runner_.metrics.count("entry_tokens_total", "direction=\"output\"", static_cast<uint64_t>(outputTokens_));
    bool isInDeadline = !hasFirstToken_ && now() <= deadline_;
    if (isInDeadline)
        runner_.metrics.count("entry_in_deadline_total", tierLabel());
    note("completed", absl::StrCat(outputTokens_, " tokens"));
}

void RequestRun::note(const std::string& event, const std::string& reason)
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

HttpHeaders RequestRun::answerHeaders(const HttpHeaders& fromTarget) const
{
    auto headers = endToEndHeaders(fromTarget);
    std::erase_if(headers, [](const auto& header) { return absl::EqualsIgnoreCase(header.first, requestIdHeader); });
    headers.emplace_back(requestIdHeader, toString(request_.id));
    return headers;
}

}
