#include "entry/SuspectNotices.h"

#include "entry/PoolRequests.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace briarhitch {

namespace {

    // An immediate repeat would be refused again, or would be the trial that crashes the next target. Many callers share a part.
    constexpr Duration minRetryAfterOfRequest = std::chrono::seconds(1);
    constexpr Duration minRetryAfterOfPart = std::chrono::seconds(5);

    std::optional<uint32_t> toWireMs(std::optional<Duration> time)
    {
        return time ? std::optional(clampMs(*time)) : std::nullopt;
    }

    std::optional<Duration> fromWireMs(std::optional<uint32_t> ms)
    {
        return ms ? std::optional<Duration>(std::chrono::milliseconds(*ms)) : std::nullopt;
    }

}

std::vector<SuspectId> suspectsOf(const GrantRequest& request)
{
    std::vector<SuspectId> ids;
    if (request.digest.isValid())
        ids.emplace_back(request.digest);
    for (auto part : request.sharedParts)
        ids.emplace_back(part);
    return ids;
}

std::string partsText(const GrantRequest& request)
{
    return absl::StrJoin(request.sharedParts, ",", [](std::string* text, PromptPartId part) { text->append(toString(part)); });
}

AttemptEnd endOf(const AttemptFinished& finished)
{
    if (finished.hasTargetClosed)
        return AttemptEnd::Broken;
    switch (finished.outcome) {
    case AttemptOutcome::Completed:
    case AttemptOutcome::Errored:
        return AttemptEnd::Answered;
    case AttemptOutcome::Refused:
    case AttemptOutcome::Unreachable:
        return AttemptEnd::Unsent;
    case AttemptOutcome::Cancelled:
    case AttemptOutcome::Failed:
        break;
    }
    return AttemptEnd::Unanswered;
}

std::string verdictName(const SuspectVerdict& verdict)
{
    return absl::StrCat(std::string(toString(verdict.id.kind)), " ", std::string(toString(verdict.state)));
}

SuspectNotice toNotice(const SuspectVerdict& verdict, Instant now)
{
    SuspectNotice notice { verdict.id, verdict.state, verdict.crashes, verdict.sendsAfterThirdCrash, verdict.wasSound, {}, clampMs(verdict.blockedFor), toWireMs(verdict.longestProgress), verdict.attempts };
    for (const auto& crash : verdict.evidence)
        notice.evidence.push_back({ crash.target, clampMs(now - crash.at), crash.progress.has_value(), crash.requests, clampMs(crash.progress.value_or(Duration::zero())) });
    return notice;
}

SuspectVerdict toVerdict(const SuspectNotice& notice, Instant now)
{
    SuspectVerdict verdict { notice.state, notice.id, notice.crashes, notice.sendsAfterThirdCrash, notice.wasSound, fromWireMs(notice.longestProgressMs), {}, std::chrono::milliseconds(notice.blockedMs), notice.attempts };
    for (const auto& report : notice.evidence)
        verdict.evidence.push_back({ report.target, now - std::chrono::milliseconds(report.ageMs), report.hadProgress ? fromWireMs(report.progressMs) : std::nullopt, report.requests });
    return verdict;
}

Error blockError(const SuspectBlock& block)
{
    bool isRequest = block.id.kind == SuspectKind::Request;
    auto subject = isRequest ? std::string("this request") : absl::StrCat("prompt part ", valueText(block.id));
    auto error = makeError(isRequest ? ErrorKind::SuspectRequest : ErrorKind::SuspectPrompt, absl::StrCat(subject, " has crashed ", block.crashes, " targets"));
    error.ran = Ran::No;
    error.retryAfter = std::max(block.remaining, isRequest ? minRetryAfterOfRequest : minRetryAfterOfPart);
    return error;
}

}
