#include "briarhitch/core/Error.h"

#include <array>
#include <cassert>
#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr std::array<ErrorInfo, errorKindCount> errorTable { {
        { ErrorKind::BadRequest, "bad_request", 400, Ran::No, std::nullopt },
        { ErrorKind::Unauthorized, "unauthorized", 401, Ran::No, std::nullopt },
        { ErrorKind::ModelNotAllowed, "model_not_allowed", 403, Ran::No, std::nullopt },
        { ErrorKind::UnknownModel, "unknown_model", 404, Ran::No, std::nullopt },
        { ErrorKind::NotFound, "not_found", 404, Ran::No, std::nullopt },
        { ErrorKind::BodyTooLarge, "body_too_large", 413, Ran::No, std::nullopt },
        { ErrorKind::HeaderTooLarge, "header_too_large", 431, Ran::No, std::nullopt },
        { ErrorKind::RequestTimeout, "request_timeout", 408, Ran::No, 1s },
        { ErrorKind::IdempotencyConflict, "idempotency_conflict", 422, Ran::No, std::nullopt },
        { ErrorKind::CeilingRequests, "ceiling_requests", 429, Ran::No, 1s },
        { ErrorKind::CeilingTokens, "ceiling_tokens", 429, Ran::No, 1s },
        { ErrorKind::CeilingInFlight, "ceiling_in_flight", 429, Ran::No, 1s },
        { ErrorKind::QueueFull, "queue_full", 503, Ran::No, 2s },
        { ErrorKind::Shed, "shed", 503, Ran::No, 2s },
        { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, Ran::No, 5s },
        { ErrorKind::NoTarget, "no_target", 503, Ran::No, 5s },
        { ErrorKind::NoOwner, "no_owner", 503, Ran::No, 2s },
        { ErrorKind::NoLease, "no_lease", 503, Ran::No, 2s },
        { ErrorKind::NoQuorum, "no_quorum", 503, Ran::No, 5s },
        { ErrorKind::NotLeader, "not_leader", 503, Ran::No, 1s },
        { ErrorKind::Draining, "draining", 503, Ran::No, 1s },
        { ErrorKind::CustomerClosing, "customer_closing", 403, Ran::No, std::nullopt },
        { ErrorKind::RunInProgress, "run_in_progress", 409, Ran::Unknown, 1s },
        { ErrorKind::OutcomeUnknown, "outcome_unknown", 502, Ran::Unknown, std::nullopt },
        { ErrorKind::RecordStoreFull, "record_store_full", 503, Ran::No, 30s },
        { ErrorKind::SuspectPrompt, "suspect_prompt", 503, Ran::No, 30s },
        { ErrorKind::TargetRefused, "target_refused", 503, Ran::No, 2s },
        { ErrorKind::TargetFailed, "target_failed", 502, Ran::Unknown, 2s },
        { ErrorKind::TargetTimeout, "target_timeout", 504, Ran::Unknown, 2s },
        { ErrorKind::RetryBudgetSpent, "retry_budget_spent", 503, Ran::Unknown, 5s },
        { ErrorKind::CallerLeft, "caller_left", 499, Ran::Unknown, std::nullopt },
        { ErrorKind::VersionConflict, "version_conflict", 409, Ran::No, std::nullopt },
        { ErrorKind::InvalidSettings, "invalid_settings", 422, Ran::No, std::nullopt },
        { ErrorKind::Unavailable, "unavailable", 503, Ran::No, 1s },
        { ErrorKind::Damaged, "damaged", 500, Ran::No, std::nullopt },
        { ErrorKind::Internal, "internal", 500, Ran::Unknown, std::nullopt },
        { ErrorKind::SuspectRequest, "suspect_request", 503, Ran::No, 30s },
        { ErrorKind::TargetClosed, "target_closed", 502, Ran::Unknown, 2s },
        { ErrorKind::UnknownStream, "unknown_stream", 503, Ran::No, 1s },
        { ErrorKind::Superseded, "superseded", 502, Ran::Unknown, std::nullopt },
    } };

    constexpr bool isTableInOrder()
    {
        for (size_t i = 0; i < errorTable.size(); ++i) {
            if (static_cast<size_t>(errorTable[i].kind) != i)
                return false;
        }
        return true;
    }
    static_assert(isTableInOrder(), "errorTable must be in the order of ErrorKind, as errorInfo() indexes it by kind");

}

const ErrorInfo& errorInfo(ErrorKind kind)
{
    auto index = static_cast<size_t>(kind);
    assert(index < errorTable.size());
    return errorTable[index];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    for (const auto& info : errorTable) {
        if (info.name == name)
            return info.kind;
    }
    return std::nullopt;
}

std::string_view toString(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Unknown:
        return "unknown";
    case Ran::Yes:
        return "yes";
    }
    return "unknown";
}

Error makeError(ErrorKind kind, std::string message)
{
    const auto& info = errorInfo(kind);
    return Error { kind, std::move(message), info.defaultRan, info.retryAfter };
}

tl::unexpected<Error> fail(ErrorKind kind, std::string message)
{
    return tl::unexpected<Error>(makeError(kind, std::move(message)));
}

std::string errorToJson(const Error& error)
{
    nlohmann::ordered_json body;
    body["kind"] = errorInfo(error.kind).name;
    body["ran"] = toString(error.ran);
    body["message"] = error.message;
    if (error.retryAfter)
        body["retry_after_s"] = toSeconds(*error.retryAfter);
    else
        body["retry_after_s"] = nullptr;
    // The message may quote a caller's input; invalid UTF-8 bytes are replaced.
    return nlohmann::ordered_json { { "error", body } }.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}
