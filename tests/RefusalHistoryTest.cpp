#include "sched/RefusalHistory.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 1h };

    PoolRequest request(uint64_t id, uint32_t lastBlock, Instant objective)
    {
        PoolRequest request;
        request.attempt = { RequestId(id), 1 };
        request.customer = CustomerId(3);
        request.promptTokens = Tokens(6000);
        request.prefix = { 17, lastBlock };
        request.objective = objective;
        return request;
    }

    // Guards against retries by callers that are treated as new requests, so that their objective restarts.
    TEST(RefusalHistoryTest, RetryKeepsOriginalObjective)
    {
        RefusalHistory refusals;
        refusals.recordRefusal(request(1, 5, start + 1s), start);
        EXPECT_EQ(refusals.originalObjective(request(2, 5, start + 3s)), start + 1s);
        EXPECT_EQ(refusals.originalObjective(request(3, 6, start + 3s)), std::nullopt) << "a different prompt is different work";
        refusals.recordRefusal(request(2, 5, start + 3s), start + 2s);
        EXPECT_EQ(refusals.originalObjective(request(4, 5, start + 6s)), start + 1s) << "refused twice; the objective of the first attempt counts";
    }

    // Guards against requests without a prefix, which cannot be distinguished, being matched with one another.
    TEST(RefusalHistoryTest, RequestsWithoutPrefixAreNotMatched)
    {
        RefusalHistory refusals;
        auto plain = request(1, 5, start + 1s);
        plain.prefix.clear();
        refusals.recordRefusal(plain, start);
        EXPECT_EQ(refusals.originalObjective(plain), std::nullopt);
    }

    // Guards against unbounded growth of memory under many refusals.
    TEST(RefusalHistoryTest, RefusalsExpire)
    {
        RefusalHistory refusals;
        for (uint32_t i = 0; i < 50000; ++i)
            refusals.recordRefusal(request(i, i, start + 1s), start);
        EXPECT_LE(refusals.size(), 20000u);
        refusals.tick(start + 11s);
        EXPECT_EQ(refusals.size(), 0u);
    }

}
}
