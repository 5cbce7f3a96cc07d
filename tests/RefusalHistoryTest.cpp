#include "sched/RefusalHistory.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr Instant start { 1h };

    PoolRequest request(uint64_t id, uint32_t lastPart, Instant objective)
    {
        PoolRequest request;
        request.attempt = { RequestId(id), 1 };
        request.customer = CustomerId(3);
        request.promptTokens = Tokens(6000);
        request.prefix = { 17, lastPart };
        request.objective = objective;
        return request;
    }

    // Guards against callers who come back being taken for new ones, whose objective would count anew.
    TEST(RefusedCallersTest, CallerThatComesBackKeepsItsFirstObjective)
    {
        RefusalHistory callers;
        callers.recordRefusal(request(1, 5, start + 1s), start);
        EXPECT_EQ(callers.originalObjective(request(2, 5, start + 3s)), start + 1s);
        EXPECT_EQ(callers.originalObjective(request(3, 6, start + 3s)), std::nullopt) << "another prompt is other work";
        callers.recordRefusal(request(2, 5, start + 3s), start + 2s);
        EXPECT_EQ(callers.originalObjective(request(4, 5, start + 6s)), start + 1s) << "refused twice, and still from the first try";
    }

    // Guards against requests without a prompt, which all look alike, being taken for one another.
    TEST(RefusedCallersTest, RequestsWithoutPromptAreNotRecognized)
    {
        RefusalHistory callers;
        auto plain = request(1, 5, start + 1s);
        plain.prefix.clear();
        callers.recordRefusal(plain, start);
        EXPECT_EQ(callers.originalObjective(plain), std::nullopt);
    }

    // Guards against memory that grows with each refusal.
    TEST(RefusedCallersTest, RefusalsAreForgotten)
    {
        RefusalHistory callers;
        for (uint32_t i = 0; i < 50000; ++i)
            callers.recordRefusal(request(i, i, start + 1s), start);
        EXPECT_LE(callers.size(), 20000u);
        callers.tick(start + 11s);
        EXPECT_EQ(callers.size(), 0u);
    }

}
}
