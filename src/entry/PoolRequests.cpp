#include "entry/PoolRequests.h"

#include <algorithm>

namespace briarhitch {

PoolRequest toPoolRequest(const Ask& ask, Instant deadline, Instant now)
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
    request.responseDeadline = std::max<Instant>(deadline, now + std::chrono::milliseconds(ask.answerMs));
    request.eventGapObjective = std::chrono::milliseconds(ask.gapObjectiveMs);
    request.urgency = ask.urgency;
    request.migratesFrom = ask.movesFrom;
    request.zone = ask.zone;
    request.excluded = ask.excluded;
    request.idempotencyKeyHash = ask.repeatKey;
    return request;
}

}
