#include "process/ProcessFixture.h"
#include "process/TcpCutter.h"

#include <set>

namespace briarhitch {
namespace {

    constexpr auto modelPool = "model:small@lakes";

    class NodeFailureTest : public ProcessFixture {
    protected:
        /** Sends requests until one is answered; those refused before must be ones that didn't run. */
        void askUntilAnswered(uint16_t port, const std::string& name)
        {
            int number = 0;
            waitUntil(name + " is answered", [&] {
                auto prompt = name + " " + std::to_string(++number);
                auto answer = callPlain(port, chat(prompt, 3, false));
                if (answer.status == 200) {
                    EXPECT_EQ(textOfWhole(answer.body), expectedChat(prompt, 3));
                    return true;
                }
                if (errorField(answer, "ran") == "no") {
                    EXPECT_EQ(timesRun(prompt), 0) << answer.body;
                }
                return false;
            });
        }

        /** No engine may have received two attempts of one request (invariant 1). */
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

    // Guards against streams that depend on the pool's owner, and against a pool that stays without one.
    TEST_F(NodeFailureTest, KilledPoolOwnerIsReplaced)
    {
        startWholePath();
        auto owner = ownerOf(modelPool);
        ASSERT_NE(owner, 0);
        auto epoch = epochOf(modelPool);
        auto other = 3 - owner;
        PlainCall stream(entry(other).port, chat("a stream over the takeover", 400, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        entry(owner).process->kill();
        askUntilAnswered(entry(other).port, "after the kill");
        EXPECT_EQ(ownerOf(modelPool), other);
        EXPECT_GT(epochOf(modelPool), epoch);
        auto answer = stream.finish();
        EXPECT_EQ(textOfStream(answer.body), expectedChat("a stream over the takeover", 400));
        restart(entry(owner));
        waitReady(entry(owner));
        askUntilAnswered(entry(owner).port, "after the restart");
        expectNoRequestTwiceAtOneTarget();
    }

    // Guards against an owner that wakes up and grants or sends under its old epoch.
    TEST_F(NodeFailureTest, FrozenPoolOwnerLosesItsPoolAndComesBack)
    {
        startWholePath();
        auto owner = ownerOf(modelPool);
        ASSERT_NE(owner, 0);
        auto other = 3 - owner;
        entry(owner).process->signal(SIGSTOP);
        PlainCall asleep(entry(owner).port, chat("sent to the frozen entry", 5, false));
        askUntilAnswered(entry(other).port, "while it is frozen");
        EXPECT_EQ(ownerOf(modelPool), other);
        entry(owner).process->signal(SIGCONT);
        auto answer = asleep.finish();
        if (answer.status == 200)
            EXPECT_EQ(textOfWhole(answer.body), expectedChat("sent to the frozen entry", 5));
        else
            EXPECT_EQ(errorField(answer, "ran"), "no") << answer.body;
        EXPECT_EQ(timesRun("sent to the frozen entry"), answer.status == 200 ? 1 : 0);
        waitReady(entry(owner));
        askUntilAnswered(entry(owner).port, "after it woke up");
        EXPECT_EQ(ownerOf(modelPool), other);
        expectNoRequestTwiceAtOneTarget();
        auto json = ledger(daemon("engine-1"));
        for (const auto& request : json["requests"])
            EXPECT_NE(request["state"], "fenced");
    }

    class SilentControlTest : public NodeFailureTest, public testing::WithParamInterface<std::pair<bool, bool>> { };

    // Guards against an entry that goes on to grant or send without a lease when its path to the voter is silently lost.
    TEST_P(SilentControlTest, CutOffOwnerStopsNewWorkAndComesBack)
    {
        auto& engine = startEngine("engine-1", { "--step_time=5ms", "--check_fencing" });
        startEngine("engine-2");
        startControls(1);
        putCustomer(defaultContract());
        putTarget(engine, "engine");
        TcpCutter cutter(daemon("control-1").linkPort);
        waitReady(startEntry(1, "fleet key of the tests", [&](int, uint16_t) { return cutter.port(); }));
        askUntilAnswered(entry(1).port, "warm up");
        waitReady(startEntry(2));
        ASSERT_EQ(ownerOf(modelPool), 1);
        PlainCall stream(entry(1).port, chat("a stream of the cut-off entry", 900, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        auto [towardsControl, towardsEntry] = GetParam();
        cutter.cutAll(towardsControl, towardsEntry);
        // Until its lease has ended, the old owner rightly serves both entries.
        waitUntil("the pool has a new owner", [&] { return ownerOf(modelPool) == 2; });
        askUntilAnswered(entry(2).port, "through the new owner");
        auto refused = callPlain(entry(1).port, chat("sent to the cut-off entry", 2, false));
        EXPECT_EQ(errorField(refused, "ran"), "no") << refused.body;
        EXPECT_EQ(timesRun("sent to the cut-off entry"), 0);
        EXPECT_EQ(textOfStream(stream.finish().body), expectedChat("a stream of the cut-off entry", 900));
        cutter.heal();
        waitReady(entry(1));
        askUntilAnswered(entry(1).port, "after the repair");
        expectNoRequestTwiceAtOneTarget();
    }

    INSTANTIATE_TEST_SUITE_P(Directions, SilentControlTest, testing::Values(std::pair(true, false), std::pair(false, true), std::pair(true, true)));

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
            askUntilAnswered(entry(1).port, "warm up");
        }

        Daemon& voter(int node) { return daemon("control-" + std::to_string(node)); }
        int leader() { return status()["leader"].get<int>() - 100; }
    };

    // Guards against changes or run records that are lost with the leader.
    TEST_F(VoterFailureTest, KilledLeaderIsReplacedAndNothingIsForgotten)
    {
        startThreeVoters();
        auto charged = callPlain(entry(1).port, charge("before", "before"));
        EXPECT_EQ(charged.status, 201) << charged.body;
        int old = leader();
        PlainCall stream(entry(1).port, chat("a stream over the election", 300, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        voter(old).process->kill();
        auto contract = defaultContract();
        contract["share"] = 4;
        putCustomer(contract, 1);
        EXPECT_NE(leader(), old);
        auto again = callPlain(entry(1).port, charge("before", "before"));
        EXPECT_EQ(again.status, 201) << again.body;
        EXPECT_EQ(again.body, charged.body);
        EXPECT_EQ(timesCharged("before"), 1);
        EXPECT_EQ(textOfStream(stream.finish().body), expectedChat("a stream over the election", 300));
        // The old leader must take over what it missed, and not the other way round.
        restart(voter(old));
        waitReady(voter(old));
        EXPECT_EQ(Json::parse(callOperators("GET", std::string("/v1/customers/") + customer).body)["contract"]["share"], 4);
    }

    // Guards against work that is accepted without a quorum, and against refusals of work that ran.
    TEST_F(VoterFailureTest, LostQuorumRefusesNewWorkAndComesBack)
    {
        startThreeVoters();
        PlainCall stream(entry(1).port, chat("a stream without a quorum", 600, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        voter(1).process->kill();
        voter(2).process->kill();
        int number = 0;
        waitUntil("model work is refused", [&] {
            auto prompt = "without a quorum " + std::to_string(++number);
            auto answer = callPlain(entry(1).port, chat(prompt, 2, false));
            if (answer.status == 200)
                return false;
            EXPECT_EQ(errorField(answer, "kind"), "no_quorum") << answer.body;
            EXPECT_EQ(errorField(answer, "ran"), "no") << answer.body;
            EXPECT_EQ(timesRun(prompt), 0);
            return true;
        });
        auto refused = callPlain(entry(1).port, charge("no-quorum", "no-quorum"));
        EXPECT_EQ(errorField(refused, "ran"), "no") << refused.body;
        EXPECT_EQ(timesCharged("no-quorum"), 0);
        EXPECT_EQ(textOfStream(stream.finish().body), expectedChat("a stream without a quorum", 600));
        restart(voter(1));
        askUntilAnswered(entry(1).port, "with a quorum again");
        waitUntil("the charge is accepted again", [&] { return callPlain(entry(1).port, charge("no-quorum", "no-quorum")).status == 201; });
        EXPECT_EQ(timesCharged("no-quorum"), 1);
    }

}
}
