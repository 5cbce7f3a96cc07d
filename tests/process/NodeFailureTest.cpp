#include "process/ProcessFixture.h"
#include "process/TcpCutter.h"

#include <set>

namespace briarhitch {
namespace {

    constexpr auto modelPool = "model:small@lakes";

    class NodeFailureTest : public ProcessFixture {
    protected:
        /** Sends requests until one succeeds; requests refused before that must not have run. */
        void requestUntilSuccess(uint16_t port, const std::string& name)
        {
            int number = 0;
            waitUntil(name + ": request succeeds", [&] {
                auto prompt = name + " " + std::to_string(++number);
                auto response = callPlain(port, chat(prompt, 3, false));
                if (response.status == 200) {
                    EXPECT_EQ(textOfWhole(response.body), expectedChat(prompt, 3));
                    return true;
                }
                if (errorField(response, "ran") == "no") {
                    EXPECT_EQ(timesRun(prompt), 0) << response.body;
                }
                return false;
            });
        }

        /** Checks that no engine received two attempts of one request (invariant 1). */
        void expectNoRequestTwiceAtOneTarget()
        {
            for (const auto* engine : { "engine-1", "engine-2" }) {
                std::set<std::string> seen;
                auto json = ledger(daemon(engine));
                for (const auto& request : json["requests"]) {
                    auto id = request["id"].get<std::string>();
                    EXPECT_TRUE(seen.insert(id.substr(0, id.rfind('-'))).second) << engine << " " << id;
                }
            }
        }
    };

    // Guards against streams that are interrupted when the pool owner dies, and against a pool that stays without an owner.
    TEST_F(NodeFailureTest, KilledPoolOwnerIsReplaced)
    {
        startWholePath();
        auto owner = ownerOf(modelPool);
        ASSERT_NE(owner, 0);
        auto epoch = epochOf(modelPool);
        auto survivor = 3 - owner;
        PlainCall stream(entry(survivor).port, chat("a stream during the takeover", 400, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        entry(owner).process->kill();
        requestUntilSuccess(entry(survivor).port, "after the kill");
        EXPECT_EQ(ownerOf(modelPool), survivor);
        EXPECT_GT(epochOf(modelPool), epoch);
        auto response = stream.finish();
        EXPECT_EQ(textOfStream(response.body), expectedChat("a stream during the takeover", 400));
        restart(entry(owner));
        waitReady(entry(owner));
        requestUntilSuccess(entry(owner).port, "after the restart");
        expectNoRequestTwiceAtOneTarget();
    }

    // Guards against a suspended pool owner that grants or sends under its old epoch when it is resumed.
    TEST_F(NodeFailureTest, SuspendedPoolOwnerLosesItsPoolAndRecovers)
    {
        startWholePath();
        auto owner = ownerOf(modelPool);
        ASSERT_NE(owner, 0);
        auto survivor = 3 - owner;
        entry(owner).process->signal(SIGSTOP);
        PlainCall sentWhileSuspended(entry(owner).port, chat("sent to the suspended entry", 5, false));
        requestUntilSuccess(entry(survivor).port, "while it is suspended");
        EXPECT_EQ(ownerOf(modelPool), survivor);
        entry(owner).process->signal(SIGCONT);
        auto response = sentWhileSuspended.finish();
        if (response.status == 200)
            EXPECT_EQ(textOfWhole(response.body), expectedChat("sent to the suspended entry", 5));
        else
            EXPECT_EQ(errorField(response, "ran"), "no") << response.body;
        EXPECT_EQ(timesRun("sent to the suspended entry"), response.status == 200 ? 1 : 0);
        waitReady(entry(owner));
        requestUntilSuccess(entry(owner).port, "after it was resumed");
        EXPECT_EQ(ownerOf(modelPool), survivor);
        expectNoRequestTwiceAtOneTarget();
        auto json = ledger(daemon("engine-1"));
        for (const auto& request : json["requests"])
            EXPECT_NE(request["state"], "fenced");
    }

    class ControlLinkLossTest : public NodeFailureTest, public testing::WithParamInterface<std::pair<bool, bool>> { };

    // Guards against an entry that still grants or sends without a lease after bytes to or from the control voter are
    // lost without a connection error.
    TEST_P(ControlLinkLossTest, DisconnectedOwnerStopsNewWorkAndRecovers)
    {
        auto& engine = startEngine("engine-1", { "--step_time=5ms", "--check_fencing" });
        startEngine("engine-2");
        startControls(1);
        putCustomer(defaultContract());
        putTarget(engine, "engine");
        TcpCutter cutter(daemon("control-1").linkPort);
        waitReady(startEntry(1, "fleet key of the tests", [&](int, uint16_t) { return cutter.port(); }));
        requestUntilSuccess(entry(1).port, "warm up");
        waitReady(startEntry(2));
        ASSERT_EQ(ownerOf(modelPool), 1);
        PlainCall stream(entry(1).port, chat("a stream of the disconnected entry", 900, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        auto [towardsControl, towardsEntry] = GetParam();
        cutter.cutAll(towardsControl, towardsEntry);
        // Until its lease has ended, the previous owner still serves both entries.
        waitUntil("the pool has a new owner", [&] { return ownerOf(modelPool) == 2; });
        requestUntilSuccess(entry(2).port, "through the new owner");
        auto refused = callPlain(entry(1).port, chat("sent to the disconnected entry", 2, false));
        EXPECT_EQ(errorField(refused, "ran"), "no") << refused.body;
        EXPECT_EQ(timesRun("sent to the disconnected entry"), 0);
        EXPECT_EQ(textOfStream(stream.finish().body), expectedChat("a stream of the disconnected entry", 900));
        cutter.heal();
        waitReady(entry(1));
        requestUntilSuccess(entry(1).port, "after the link is restored");
        expectNoRequestTwiceAtOneTarget();
    }

    INSTANTIATE_TEST_SUITE_P(Directions, ControlLinkLossTest, testing::Values(std::pair(true, false), std::pair(false, true), std::pair(true, true)));

    class VoterFailureTest : public NodeFailureTest {
    protected:
        void startThreeVoters()
        {
            auto& engine = startEngine("engine-1", { "--step_time=5ms" });
            auto& booking = startService("booking-1");
            startControls(3);
            putCustomer(defaultContract());
            putTarget(engine, "engine");
            putTarget(booking, "service");
            waitReady(startEntry(1));
            requestUntilSuccess(entry(1).port, "warm up");
        }

        Daemon& voter(int node) { return daemon("control-" + std::to_string(node)); }
        int leader() { return status()["leader"].get<int>() - 100; }
    };

    // Guards against committed changes or run records that are lost when the leader dies.
    TEST_F(VoterFailureTest, KilledLeaderIsReplacedWithoutDataLoss)
    {
        startThreeVoters();
        auto charged = callPlain(entry(1).port, charge("before", "before"));
        EXPECT_EQ(charged.status, 201) << charged.body;
        int killed = leader();
        PlainCall stream(entry(1).port, chat("a stream during the election", 300, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        voter(killed).process->kill();
        auto contract = defaultContract();
        contract["share"] = 4;
        putCustomer(contract, 1);
        EXPECT_NE(leader(), killed);
        auto retried = callPlain(entry(1).port, charge("before", "before"));
        EXPECT_EQ(retried.status, 201) << retried.body;
        EXPECT_EQ(retried.body, charged.body);
        EXPECT_EQ(timesCharged("before"), 1);
        EXPECT_EQ(textOfStream(stream.finish().body), expectedChat("a stream during the election", 300));
        // The restarted leader must adopt the changes that it missed instead of overwriting them.
        restart(voter(killed));
        waitReady(voter(killed));
        EXPECT_EQ(Json::parse(callOperators("GET", std::string("/v1/customers/") + customer).body)["contract"]["share"], 4);
    }

    // Guards against new work that is accepted without a quorum, and against refusals of work that ran.
    TEST_F(VoterFailureTest, LostQuorumRefusesNewWorkAndRecovers)
    {
        startThreeVoters();
        PlainCall stream(entry(1).port, chat("a stream without a quorum", 600, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        voter(1).process->kill();
        voter(2).process->kill();
        int number = 0;
        waitUntil("model work is refused", [&] {
            auto prompt = "without a quorum " + std::to_string(++number);
            auto response = callPlain(entry(1).port, chat(prompt, 2, false));
            if (response.status == 200)
                return false;
            EXPECT_EQ(errorField(response, "kind"), "no_quorum") << response.body;
            EXPECT_EQ(errorField(response, "ran"), "no") << response.body;
            EXPECT_EQ(timesRun(prompt), 0);
            return true;
        });
        auto refused = callPlain(entry(1).port, charge("no-quorum", "no-quorum"));
        EXPECT_EQ(errorField(refused, "ran"), "no") << refused.body;
        EXPECT_EQ(timesCharged("no-quorum"), 0);
        EXPECT_EQ(textOfStream(stream.finish().body), expectedChat("a stream without a quorum", 600));
        restart(voter(1));
        requestUntilSuccess(entry(1).port, "with a quorum again");
        waitUntil("the charge is accepted again", [&] { return callPlain(entry(1).port, charge("no-quorum", "no-quorum")).status == 201; });
        EXPECT_EQ(timesCharged("no-quorum"), 1);
    }

}
}
