#include "entry/PoolRequests.h"

#include <algorithm>

namespace briarhitch {

bool needsStreamVersion(const GrantRequest& grantRequest)
{
    return grantRequest.continuedStream.isValid() && !grantRequest.softwareVersion;
}

Instant arrivalOf(const GrantRequest& grantRequest, Instant sentAt)
{
    return sentAt - std::chrono::milliseconds(grantRequest.streamClaim.ageMs);
}

Error supersededError()
{
    auto error = makeError(ErrorKind::Superseded, "the caller continues the stream with a later request");
    error.ran = Ran::No;
    return error;
}

PoolRequest toPoolRequest(const GrantRequest& grantRequest, Instant deadline, Instant now)
{
    PoolRequest request;
    request.attempt = grantRequest.attempt;
    request.customer = grantRequest.customer;
    request.tier = grantRequest.tier;
    request.kind = grantRequest.kind;
    request.promptTokens = grantRequest.promptTokens;
    request.maxOutputTokens = grantRequest.maxOutputTokens;
    request.expectedOutputTokens = grantRequest.expectedOutputTokens;
    request.prefix = grantRequest.prefix;
    request.deadline = deadline;
    request.objective = grantRequest.objectiveMs > 0 ? now + std::chrono::milliseconds(grantRequest.objectiveMs) : deadline;
    request.responseDeadline = std::max<Instant>(deadline, now + std::chrono::milliseconds(grantRequest.responseMs));
    request.eventGapObjective = std::chrono::milliseconds(grantRequest.eventGapObjectiveMs);
    request.urgency = grantRequest.urgency;
    request.migratesFrom = grantRequest.migratesFrom;
    request.zone = grantRequest.zone;
    request.excluded = grantRequest.excluded;
    request.idempotencyKeyHash = grantRequest.idempotencyKeyHash;
    request.softwareVersion = grantRequest.softwareVersion;
    return request;
}

}
