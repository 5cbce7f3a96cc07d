#include "process/ProcessFixture.h"

#include <algorithm>

namespace briarhitch {
namespace {

    class FencingTest : public ProcessFixture {
    protected:
        /** Sends a request with a later owner's fencing token straight to an engine. */
        void actAsLaterOwner(const std::string& engine)
        {
            auto request = chat("from a later owner", 1, false);
            request.headers["X-Fencing-Token"] = "1000000";
            ASSERT_EQ(callPlain(daemon(engine).port, request).status, 200);
        }

        size_t countInState(const std::string& engine, const std::string& state)
        {
            auto json = ledger(daemon(engine));
            return static_cast<size_t>(std::count_if(json["requests"].begin(), json["requests"].end(), [&](const Json& request) { return request["state"] == state; }));
        }
    };

    // Guards against work of a former owner on an engine that checks the token, and against losing that work:
    // it runs once, on the engine that ignores the token.
    TEST_F(FencingTest, CheckingEngineRefusesAFormerOwnersWorkAndItRunsElsewhere)
    {
        // Retries are limited to two and a tenth of the requests before.
        constexpr int earlierRequests = 60;
        startWholePath();
        for (int number = 0; number < earlierRequests; ++number)
            ASSERT_EQ(callPlain(entry(1).port, lookup("earlier")).status, 200);
        actAsLaterOwner("engine-1");
        actAsLaterOwner("engine-2");
        auto ranBefore = countInState("engine-1", "done");
        size_t fenced = 0;
        // The scheduler prefers the engine that is free, so some of the requests are offered to each.
        for (int number = 0; number < 6; ++number) {
            auto prompt = "after the takeover " + std::to_string(number);
            auto answer = callPlain(entry(1).port, chat(prompt, 3, false));
            EXPECT_EQ(answer.status, 200) << answer.body;
            EXPECT_EQ(timesRun(prompt), 1) << prompt;
            fenced = countInState("engine-1", "fenced");
        }
        EXPECT_GT(fenced, 0);
        EXPECT_EQ(countInState("engine-1", "done"), ranBefore);
    }

}
}
