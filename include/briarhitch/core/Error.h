#pragma once

#include "briarhitch/core/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace briarhitch {

/** All kinds of errors; errorInfo() maps each kind to its HTTP response. */
enum class ErrorKind : uint8_t {
    BadRequest,
    Unauthorized,
    ModelNotAllowed,
    UnknownModel,
    NotFound,
    BodyTooLarge,
    HeaderTooLarge,
    RequestTimeout,
    IdempotencyConflict,
    CeilingRequests,
    CeilingTokens,
    CeilingInFlight,
    QueueFull,
    Shed,
    DeadlineUnreachable,
    NoTarget,
    NoOwner,
    NoLease,
    NoQuorum,
    NotLeader,
    Draining,
    CustomerClosing,
    RunInProgress,
    OutcomeUnknown,
    RecordStoreFull,
    SuspectPrompt,
    TargetRefused,
    TargetFailed,
    TargetTimeout,
    RetryBudgetSpent,
    CallerLeft,
    VersionConflict,
    InvalidSettings,
    Unavailable,
    Damaged,
    Internal,
    SuspectRequest,
    /** The target closed the connection before its answer was complete. */
    TargetClosed,
    /** Nobody knows at which software version the stream began that a caller continues. */
    UnknownStream,
    /** The caller continues the stream with a later request. */
    Superseded,
};
inline constexpr size_t errorKindCount = static_cast<size_t>(ErrorKind::Superseded) + 1;

/** Whether a target ran the request. */
enum class Ran : uint8_t {
    No,
    Unknown,
    Yes,
};

/** How one kind of error is reported to a caller. */
struct ErrorInfo {
    ErrorKind kind;
    /** The "kind" field of the response, and the label of its counter. */
    std::string_view name;
    int httpStatus;
    Ran defaultRan;
    /** Default of the "retry_after_s" field; none where a retry does not help. */
    std::optional<Duration> retryAfter;
};

const ErrorInfo& errorInfo(ErrorKind kind);
/** The kind with this name; none if there is no such kind. */
std::optional<ErrorKind> errorKindFromName(std::string_view name);
std::string_view toString(Ran ran);

struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string message;
    Ran ran { Ran::No };
    std::optional<Duration> retryAfter;
};

/** An error with the defaults of its kind. */
Error makeError(ErrorKind kind, std::string message);
/** makeError() as the return value of a function that returns a Result. */
tl::unexpected<Error> fail(ErrorKind kind, std::string message);
/** {"error": {kind, ran, message, retry_after_s}}; retry_after_s is null where a retry does not help. */
std::string errorToJson(const Error& error);

template <class T>
using Result = tl::expected<T, Error>;

}
