#include "briarhitch/http/MemoryBudget.h"
#include "briarhitch/http/SharedBody.h"
#include "briarhitch/runtime/Descriptors.h"
#include "briarhitch/settings/MemorySettings.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <sys/resource.h>

namespace briarhitch {
namespace {

    constexpr size_t mib = 1024 * 1024;

    // Guards against large requests that use up the reserve of small ones.
    TEST(MemoryBudgetTest, TheReserveIsForSmallRequests)
    {
        MemoryBudget budget({ 10 * mib, 2 * mib });
        EXPECT_TRUE(budget.charge(MemoryPurpose::RequestBody, 8 * mib, false));
        EXPECT_FALSE(budget.charge(MemoryPurpose::RequestBody, 1, false));
        EXPECT_TRUE(budget.charge(MemoryPurpose::Header, 2 * mib, true));
        EXPECT_FALSE(budget.charge(MemoryPurpose::Header, 1, true));
        EXPECT_FALSE(budget.charge(MemoryPurpose::Header, 1, false));
        budget.release(MemoryPurpose::RequestBody, 8 * mib);
        EXPECT_EQ(budget.heldBytes(), 2 * mib);
        EXPECT_EQ(budget.heldBytes(MemoryPurpose::Header), 2 * mib);
    }

    // Guards against a charge that is returned while a request or its repeat still holds the body, or never.
    TEST(MemoryBudgetTest, ABodyIsChargedUntilItsLastHolderEnds)
    {
        auto budget = std::make_shared<MemoryBudget>(MemoryLimits { mib, 0 });
        MemoryCharge charge(budget, MemoryPurpose::RequestBody);
        ASSERT_TRUE(charge.grow(1000, false));
        SharedBody ofTheRequest(std::string(1000, 'b'), std::move(charge));
        SharedBody ofTheCall = ofTheRequest;
        EXPECT_EQ(ofTheCall.text().data(), ofTheRequest.text().data());
        ofTheRequest = {};
        EXPECT_EQ(budget->heldBytes(), 1000U);
        ofTheCall = {};
        EXPECT_EQ(budget->heldBytes(), 0U);
    }

    // Guards against defaults that exceed the smallest machine (88 MB, of which the process uses 45 MB), or refuse what all may send.
    TEST(MemoryBudgetTest, DefaultsFollowFromTheMachine)
    {
        auto smallest = deriveMemoryLimits({}, 88 * mib);
        EXPECT_LE(smallest.requestBytes, 43 * mib);
        EXPECT_GE(smallest.requestBytes - smallest.reservedBytes, 3 * 4 * mib);
        EXPECT_EQ(deriveMemoryLimits({}, 0).requestBytes, 16 * mib);
        EXPECT_EQ(deriveMemoryLimits({}, 64UL * 1024 * mib).requestBytes, 48 * mib);
        EXPECT_EQ(deriveMemoryLimits({ 12 * mib, 2 * mib }, 88 * mib).reservedBytes, 2 * mib);
    }

    // Guards against a gauge that shows no open descriptor when none is left.
    TEST(MemoryBudgetTest, OpenDescriptorsAreTheLimitWhenNoneIsLeft)
    {
        rlimit usual {};
        getrlimit(RLIMIT_NOFILE, &usual);
        rlimit low = usual;
        low.rlim_cur = 1;
        setrlimit(RLIMIT_NOFILE, &low);
        size_t open = openDescriptors();
        setrlimit(RLIMIT_NOFILE, &usual);
        EXPECT_EQ(open, 1U);
    }

    // Guards against listeners that together leave no descriptor for links and targets.
    TEST(MemoryBudgetTest, ListenersLeaveDescriptorsForOthers)
    {
        for (size_t descriptors : { 64U, 320U, 1024U, 4096U, 4100U, 20000U }) {
            auto limits = deriveListenerLimits(descriptors);
            EXPECT_LE(2 * limits.callers + limits.internal + std::min<size_t>(descriptors / 4, 512), descriptors) << descriptors;
            EXPECT_LT(limits.callers + limits.internal, descriptors * 3 / 4) << descriptors;
            EXPECT_GT(limits.callers, 0U);
        }
    }

}
}
