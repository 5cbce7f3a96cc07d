#include "entry/PoolRequests.h"

#include <algorithm>

namespace briarhitch {

PoolRequest toPoolRequest(const GrantRequest& ask, Instant deadline, Instant now)
{
    PoolRequest request;
    request.attempt = ask.attempt;
    request.customer = ask.customer;
    request.tier = ask.tier;
    request.kind = ask.kind;
    request.promptTokens = ask.promptTokens;
    request.maxOutputTokens = ask.maxOutputTokens;
    request.expectedOutputTokens = ask.expectedOutputTokens;
    request.prefix = ask.prefix;
    request.deadline = deadline;
    request.objective = ask.objectiveMs > 0 ? now + std::chrono::milliseconds(ask.objectiveMs) : deadline;
    request.answerDeadline = std::max<Instant>(deadline, now + std::chrono::milliseconds(ask.responseMs));
    request.gapObjective = std::chrono::milliseconds(ask.eventGapObjectiveMs);
    request.urgency = ask.urgency;
    request.movesFrom = ask.migratesFrom;
    request.zone = ask.zone;
    request.excluded = ask.excluded;
    request.repeatKey = ask.idempotencyKeyHash;
    return request;
}

}
