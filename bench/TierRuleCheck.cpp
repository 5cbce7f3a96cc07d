#include "TierRuleCheck.h"

namespace briarhitch::bench {

namespace {

    uint64_t keyOf(AttemptId attempt)
    {
        return attempt.request.value() << 8 | attempt.number;
    }

}

void TierRuleCheck::submitted(AttemptId attempt, Tier tier)
{
    queued_.emplace(keyOf(attempt), tier);
    ++count_[tier.value()];
}

void TierRuleCheck::forget(AttemptId attempt)
{
    auto it = queued_.find(keyOf(attempt));
    if (it == queued_.end())
        return;
    --count_[it->second.value()];
    queued_.erase(it);
}

bool TierRuleCheck::holdsBelow(Tier tier) const
{
    for (size_t i = tier.value() + 1U; i < Tier::count; ++i) {
        if (count_[i] > 0)
            return true;
    }
    return false;
}

void TierRuleCheck::observe(const std::vector<PoolAction>& actions)
{
    std::vector<std::pair<Tier, ErrorKind>> refused;
    for (const auto& action : actions) {
        if (const auto* refusal = std::get_if<PoolRefusal>(&action)) {
            auto it = queued_.find(keyOf(refusal->attempt));
            if (it != queued_.end())
                refused.emplace_back(it->second, refusal->kind);
        }
        forget(std::visit([](const auto& any) { return any.attempt; }, action));
    }
    for (const auto& [tier, kind] : refused) {
        const bool isShed = kind == ErrorKind::Shed || kind == ErrorKind::QueueFull;
        if (isShed && holdsBelow(tier))
            ++violations_;
        if (kind == ErrorKind::DeadlineUnreachable && holdsBelow(tier))
            ++deadlineRefusalsAbove_;
    }
}

}
