#include "process/ProcessFixture.h"

#include <csignal>

namespace briarhitch {
namespace {

    class ShutdownTest : public ProcessFixture { };

    // Guards against a planned restart that waits for the handover of pools but interrupts long streams (invariant 7).
    TEST_F(ShutdownTest, StreamLongerThanTheHandoverIsNotInterrupted)
    {
        constexpr int tokens = 450;
        // The stream takes 9 s, longer than the handover and the wait for the last bytes.
        auto& engine = startEngine("engine-1", { "--step_time=20ms" });
        startControls(1);
        putCustomer(defaultContract());
        putTarget(engine, "engine");
        for (uint32_t node : { 1, 2 }) {
            waitReady(startEntry(node));
            waitUntil("the entry responds", [&] { return callPlain(entry(node).port, chat("warm up", 1, false)).status == 200; });
        }
        auto owner = ownerOf("model:small@lakes");
        ASSERT_NE(owner, 0);
        PlainCall call(entry(owner).port, chat("a long catalogue", tokens, true));
        ASSERT_TRUE(call.readAtLeast(1));
        entry(owner).process->signal(SIGTERM);
        waitUntil("the pool is handed over", [&] { return ownerOf("model:small@lakes") == 3 - owner; });
        auto refused = callPlain(entry(owner).port, chat("while it drains", 1, false));
        EXPECT_EQ(errorField(refused, "ran"), "no") << refused.body;
        EXPECT_EQ(timesRun("while it drains"), 0);
        auto response = call.finish();
        EXPECT_TRUE(response.isWhole);
        EXPECT_EQ(textOfStream(response.body), expectedChat("a long catalogue", tokens));
        EXPECT_EQ(timesRun("a long catalogue"), 1);
        EXPECT_EQ(entry(owner).process->waitExit(std::chrono::seconds(20)), 0);
    }

}
}
