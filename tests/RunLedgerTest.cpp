#include "platform/soak/RunLedger.h"

#include <gtest/gtest.h>

namespace briarhitch::platform {
namespace {

    using namespace std::chrono_literals;

    constexpr Duration bound = 400ms;
    const Instant start { 1h };

    /** A run of stream "s" by the request, from and to these times after the start. */
    size_t addRun(RunLedger& ledger, const std::string& request, const std::string& target, Duration begin, Duration end)
    {
        auto run = ledger.begin({ request, "s", target, true, start + begin });
        ledger.end(run, start + end);
        ledger.recordEntry(request, "front-" + request);
        return run;
    }

    // Guards against a soak that finds nothing: two runs of a stream, in any order of their requests.
    TEST(RunLedgerTest, OverlapBeyondTheBoundIsFound)
    {
        RunLedger ledger;
        addRun(ledger, "1", "a", 0s, 1400ms);
        addRun(ledger, "2", "b", 1s, 3s);
        EXPECT_TRUE(ledger.judge({}, bound).empty());
        addRun(ledger, "1", "c", 2s, 2400ms);
        EXPECT_TRUE(ledger.judge({}, bound).empty()) << "the request 1 went on at c, and was stopped in time";
        addRun(ledger, "1", "d", 2500ms, 2901ms);
        EXPECT_EQ(ledger.judge({}, bound).size(), 1U) << "the run at b, while the request 1 goes on at d";
        addRun(ledger, "3", "e", 2550ms, 5s);
        EXPECT_EQ(ledger.judge({}, bound).size(), 2U) << "the run at b, while the request 3 goes on";
    }

    // Guards against violations that are excused for longer than while their entry is out of touch, or by what concerns another one.
    TEST(RunLedgerTest, DisruptionsExcuseTheirEntryUntilItIsInTouchAgain)
    {
        for (auto [end, isViolation] : { std::pair<Duration, bool> { 4s, false }, { 4100ms, true } }) {
            for (const char* disrupted : { "front-1", "front-2", "" }) {
                RunLedger ledger;
                addRun(ledger, "1", "a", 0s, end);
                addRun(ledger, "2", "b", 500ms, 10s);
                std::vector<Disruption> disruptions { { disrupted, start + 700ms, start + 1s } };
                bool isExcused = !isViolation && std::string(disrupted) != "front-2";
                EXPECT_EQ(ledger.judge(disruptions, bound).empty(), isExcused) << disrupted;
            }
        }
    }

    // Guards against a soak that does not notice a charge that runs twice, or one that ran although its caller was told otherwise.
    TEST(RunLedgerTest, RequestsThatRunOnceAreCounted)
    {
        RunLedger ledger;
        ledger.begin({ "charge-1", "", "a", false, start });
        ledger.begin({ "charge-2", "", "a", false, start });
        EXPECT_TRUE(ledger.judge({}, bound).empty());
        ledger.begin({ "charge-1", "", "b", false, start + 1h });
        ledger.recordNotRun("charge-2");
        ledger.recordNotRun("charge-3");
        EXPECT_EQ(ledger.judge({ { "", start, start + 2h } }, bound).size(), 2U);
    }

}
}
