#include "entry/SuspectPartNotices.h"

#include "entry/PoolRequests.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** An immediate repeat would be refused again, or would be the trial that crashes the next target. */
    constexpr Duration minRetryAfter = std::chrono::seconds(5);

}

SuspectPartNotice toNotice(PoolId pool, const PartVerdict& verdict, Instant now)
{
    SuspectPartNotice notice { pool, verdict.part, verdict.state, verdict.crashes, {}, clampMs(verdict.blockedFor) };
    for (const auto& crash : verdict.evidence)
        notice.evidence.push_back({ crash.target, clampMs(now - crash.at) });
    return notice;
}

PartVerdict toVerdict(const SuspectPartNotice& notice, Instant now)
{
    PartVerdict verdict { notice.state, notice.part, notice.crashes, {}, std::chrono::milliseconds(notice.blockedMs) };
    for (const auto& report : notice.evidence)
        verdict.evidence.push_back({ report.target, now - std::chrono::milliseconds(report.ageMs) });
    return verdict;
}

std::string blockReason(const PartBlock& block)
{
    return "prompt part " + toString(block.part) + " has crashed " + std::to_string(block.crashes) + " targets";
}

Duration blockRetryAfter(const PartBlock& block)
{
    return std::max(block.remaining, minRetryAfter);
}

}
