#include "process/ProcessFixture.h"
#include "process/TcpCutter.h"

#include <algorithm>
#include <numeric>

namespace briarhitch {
namespace {

    class TargetFailureTest : public ProcessFixture {
    protected:
        /** Sends the charge again until its outcome is settled; every answer on the way is judged. */
        PlainAnswer resendUntilSettled(uint16_t port, const std::string& chargeId)
        {
            PlainAnswer answer;
            waitUntil("the outcome of the charge is settled", [&] {
                answer = callPlain(port, charge(chargeId, chargeId));
                return errorField(answer, "kind") != "run_in_progress" && errorField(answer, "ran") != "no";
            });
            return answer;
        }
    };

    // Guards against a second charge when the caller resends after its entry died (invariant 5).
    TEST_F(TargetFailureTest, ChargeOfAKilledEntryNeverRunsAgain)
    {
        startWholePath();
        orderServiceFaults({ { "mode", "stall" }, { "count", 1 } });
        PlainCall lost(entry(1).port, charge("berth-1", "berth-1"));
        waitUntil("the charge is at the service", [&] { return timesCharged("berth-1") == 1; });
        entry(1).process->kill();
        EXPECT_FALSE(lost.finish().isWhole);
        orderServiceFaults(Json::object());
        auto answer = resendUntilSettled(entry(2).port, "berth-1");
        EXPECT_EQ(errorField(answer, "kind"), "outcome_unknown") << answer.body;
        EXPECT_EQ(errorField(answer, "ran"), "unknown") << answer.body;
        EXPECT_EQ(timesCharged("berth-1"), 1);
        auto next = callPlain(entry(2).port, charge("berth-2", "berth-2"));
        EXPECT_EQ(next.status, 201) << next.body;
    }

    // Guards against a retry of a charge that the service read before it cut the connection.
    TEST_F(TargetFailureTest, ChargeThatTheServiceResetsIsNotRepeated)
    {
        startWholePath();
        orderServiceFaults({ { "mode", "reset" }, { "count", 1 } });
        auto first = callPlain(entry(1).port, charge("fee-1", "fee-1"));
        EXPECT_GE(first.status, 500) << first.body;
        EXPECT_EQ(errorField(first, "ran"), "unknown") << first.body;
        auto again = resendUntilSettled(entry(2).port, "fee-1");
        EXPECT_EQ(errorField(again, "kind"), "outcome_unknown") << again.body;
        EXPECT_EQ(errorField(again, "ran"), "unknown") << again.body;
        EXPECT_EQ(timesCharged("fee-1"), 1);
    }

    // Guards against two runs of one key that arrives through two entries at the same moment.
    TEST_F(TargetFailureTest, SameKeyThroughTwoEntriesRunsOnce)
    {
        startWholePath();
        orderServiceFaults({ { "mode", "late" }, { "late_ms", 300 }, { "count", 1 } });
        PlainCall first(entry(1).port, charge("deposit-1", "deposit-1"));
        PlainCall second(entry(2).port, charge("deposit-1", "deposit-1"));
        auto a = first.finish();
        auto b = second.finish();
        EXPECT_EQ(a.status, 201) << a.body;
        EXPECT_EQ(b.status, 201) << b.body;
        EXPECT_EQ(a.body, b.body);
        EXPECT_EQ(timesCharged("deposit-1"), 1);
        auto other = callPlain(entry(1).port, charge("deposit-2", "deposit-1"));
        EXPECT_EQ(errorField(other, "kind"), "idempotency_conflict") << other.body;
        EXPECT_EQ(timesCharged("deposit-2"), 0);
    }

    // Guards against a refused charge that is lost, and against one that goes to the refusing target again (invariant 1).
    TEST_F(TargetFailureTest, ChargeRefusedByOneServerRunsOnceAtTheOther)
    {
        startWholePath();
        orderServiceFaults({ { "mode", "refuse" } });
        auto refused = callPlain(entry(1).port, charge("fee-2", "fee-2"));
        EXPECT_EQ(errorField(refused, "ran"), "no") << refused.body;
        EXPECT_EQ(timesCharged("fee-2"), 0);
        orderServiceFaults(Json::object());
        auto again = resendUntilSettled(entry(2).port, "fee-2");
        EXPECT_EQ(again.status, 201) << again.body;
        EXPECT_EQ(timesCharged("fee-2"), 1);
        for (const auto* name : { "booking-1", "booking-2" }) {
            auto json = ledger(daemon(name));
            EXPECT_EQ(std::count_if(json["requests"].begin(), json["requests"].end(), [](const Json& request) { return request["call"] == "POST /charges"; }), 1);
        }
    }

    // Guards against a charge that is repeated, or waited for without end, when its answer is lost on a silent connection.
    TEST_F(TargetFailureTest, ChargeWhoseAnswerIsLostIsUnknownAndNeverRunsAgain)
    {
        auto& booking = startService("booking-1");
        TcpCutter cutter(booking.port);
        startControls(1);
        putCustomer(defaultContract());
        putTarget(booking, "service", cutter.port());
        waitReady(startEntry(1));
        waitReady(startEntry(2));
        waitUntil("the entry answers", [&] { return callPlain(entry(1).port, lookup("warm-up")).status == 200; });
        orderServiceFaults({ { "mode", "late" }, { "late_ms", 300 }, { "count", 1 } });
        auto request = charge("fee-3", "fee-3");
        request.headers["X-Deadline-Ms"] = "900";
        PlainCall call(entry(1).port, request);
        waitUntil("the charge is at the service", [&] { return timesCharged("fee-3") == 1; });
        cutter.cutOpenConnections(false, true);
        auto answer = call.finish();
        EXPECT_EQ(errorField(answer, "ran"), "unknown") << answer.body;
        auto again = resendUntilSettled(entry(2).port, "fee-3");
        EXPECT_EQ(errorField(again, "kind"), "outcome_unknown") << again.body;
        EXPECT_EQ(timesCharged("fee-3"), 1);
    }

    class SilentConnectionTest : public TargetFailureTest, public testing::WithParamInterface<std::pair<bool, bool>> { };

    // Guards against lost, doubled or endless streams when an open connection goes silent while new ones work.
    TEST_P(SilentConnectionTest, StreamIsResumedWithEveryEventOnce)
    {
        constexpr int tokens = 300;
        auto& engine = startEngine("engine-1");
        TcpCutter cutter(engine.port);
        startControls(1);
        putCustomer(defaultContract());
        putTarget(engine, "engine", cutter.port());
        waitReady(startEntry(1));
        waitUntil("the entry answers", [&] { return callPlain(entry(1).port, chat("warm up", 1, false)).status == 200; });
        PlainCall call(entry(1).port, chat("a long plan", tokens, true));
        ASSERT_TRUE(call.readAtLeast(2000));
        auto [towardsTarget, towardsCaller] = GetParam();
        cutter.cutOpenConnections(towardsTarget, towardsCaller);
        auto answer = call.finish();
        EXPECT_TRUE(answer.isWhole);
        EXPECT_EQ(textOfStream(answer.body), expectedChat("a long plan", tokens));
        std::vector<int> ids(tokens + 2);
        std::iota(ids.begin(), ids.end(), 1);
        EXPECT_EQ(idsOfStream(answer.body), ids);
        EXPECT_EQ(timesRun("a long plan"), 1);
    }

    INSTANTIATE_TEST_SUITE_P(Directions, SilentConnectionTest, testing::Values(std::pair(false, true), std::pair(true, true)));

    // Guards against a request that is sent again to an engine that may still run it, and against one that is lost when its engine dies.
    TEST_F(TargetFailureTest, RequestsOfAKilledEngineRunElsewhereAtMostOnce)
    {
        constexpr int requests = 12;
        startWholePath();
        std::vector<PlainCall> calls;
        calls.reserve(requests);
        for (int number = 0; number < requests; ++number)
            calls.emplace_back(entry(1 + number % 2).port, chat("query " + std::to_string(number), 100, false));
        waitUntil("the engine runs some", [&] { return ledger(daemon("engine-1"))["requests"].size() > 3; });
        daemon("engine-1").process->kill();
        restart(daemon("engine-1"));
        for (int number = 0; number < requests; ++number) {
            auto answer = calls[number].finish();
            auto prompt = "query " + std::to_string(number);
            if (answer.status == 200) {
                EXPECT_EQ(textOfWhole(answer.body), expectedChat(prompt, 100));
            } else {
                EXPECT_TRUE(answer.isWhole);
                EXPECT_FALSE(errorField(answer, "ran").empty()) << answer.body;
            }
        }
        waitUntil("the engine gets work again", [&] { return callPlain(entry(1).port, chat("after the restart", 2, false)).status == 200; });
        auto requestsAgain = ledger(daemon("engine-1"))["requests"];
        for (const auto& left : requestsAgain) {
            for (const auto& right : requestsAgain)
                EXPECT_TRUE(left["id"] == right["id"] || left["id"].get<std::string>().substr(0, 16) != right["id"].get<std::string>().substr(0, 16));
        }
    }

}
}
