#include "briarhitch/core/Digest.h"
#include "process/ProcessFixture.h"
#include "process/TcpCutter.h"

#include <map>

namespace briarhitch {
namespace {

    constexpr auto modelPool = "model:small@lakes";
    constexpr auto servicePool = "service:booking@lakes";

    /** Directions of a cut; the target is the process that accepts the connection. */
    struct Cut {
        bool towardsTarget;
        bool towardsCaller;
    };

    class LinkCutTest : public ProcessFixture {
    protected:
        /** The whole path with two entries whose links to control and to each other can be cut. */
        void startWithCutters()
        {
            startEngine("engine-1", { "--step_time=5ms", "--check_fencing" });
            startService("booking-1");
            startService("booking-2");
            startControls(1);
            putCustomer(defaultContract());
            putTarget(daemon("engine-1"), "engine");
            putTarget(daemon("booking-1"), "service");
            putTarget(daemon("booking-2"), "service");
            for (uint32_t node : { 1, 2 }) {
                auto towardsControl = [&](int, uint16_t port) { return addCutter(controlCutters_[node], port); };
                auto towardsEntry = [&](uint16_t port) { return addCutter(entryCutters_[node], port); };
                waitReady(startEntry(node, "fleet key of the tests", towardsControl, towardsEntry));
            }
            for (uint32_t node : { 1, 2 }) {
                askUntilAnswered(node, "warm up " + std::to_string(node));
                waitUntil("the services answer", [&] { return callPlain(entry(node).port, lookup("warm-up")).status == 200; });
            }
        }

        static uint16_t addCutter(std::unique_ptr<TcpCutter>& cutter, uint16_t port)
        {
            cutter = std::make_unique<TcpCutter>(port);
            return cutter->port();
        }

        /** The answer must be the right one, or a refusal that agrees with the engines' ledgers. */
        void judge(const std::string& prompt, int tokens, const PlainAnswer& answer)
        {
            EXPECT_TRUE(answer.isWhole) << prompt;
            if (answer.status == 200) {
                EXPECT_EQ(textOfWhole(answer.body), expectedChat(prompt, tokens));
                EXPECT_EQ(timesRun(prompt), 1) << prompt;
            } else {
                EXPECT_EQ(errorField(answer, "ran"), "no") << answer.body;
                EXPECT_EQ(timesRun(prompt), 0) << prompt << " " << answer.body;
            }
        }

        /** Asks with a new prompt; true if it was answered. */
        bool ask(uint32_t node, const std::string& name)
        {
            constexpr int tokens = 3;
            auto prompt = name + " " + std::to_string(++asked_);
            auto answer = callPlain(entry(node).port, chat(prompt, tokens, false));
            judge(prompt, tokens, answer);
            return answer.status == 200;
        }

        void askUntilAnswered(uint32_t node, const std::string& name)
        {
            waitUntil(name + " is answered", [&] { return ask(node, name); });
        }

        void expectNothingFenced()
        {
            auto json = ledger(daemon("engine-1"));
            for (const auto& request : json["requests"])
                EXPECT_NE(request["state"], "fenced");
        }

        std::map<uint32_t, std::unique_ptr<TcpCutter>> controlCutters_;
        std::map<uint32_t, std::unique_ptr<TcpCutter>> entryCutters_;
        int asked_ { 0 };
    };

    class OwnerCutOffTest : public LinkCutTest, public testing::WithParamInterface<Cut> { };

    // Guards against an owner that grants or sends beyond its lease, and against a pool that stays with an owner control can't reach.
    TEST_P(OwnerCutOffTest, PoolMovesAndTheOldOwnerRefusesTruthfully)
    {
        startWithCutters();
        auto owner = ownerOf(modelPool);
        ASSERT_NE(owner, 0);
        auto other = 3 - owner;
        auto epoch = epochOf(modelPool);
        PlainCall stream(entry(owner).port, chat("a stream over the cut", 400, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        controlCutters_[owner]->cutAll(GetParam().towardsTarget, GetParam().towardsCaller);
        waitUntil("the pool has another owner", [&] {
            ask(owner, "at the old owner");
            ask(other, "at the other entry");
            return ownerOf(modelPool) == other;
        });
        EXPECT_GT(epochOf(modelPool), epoch);
        EXPECT_FALSE(ask(owner, "after the move")) << "the old owner's lease ended before the pool moved";
        auto refused = callPlain(entry(owner).port, charge("cut-off", "cut-off"));
        EXPECT_EQ(errorField(refused, "ran"), "no") << refused.body;
        EXPECT_EQ(timesCharged("cut-off"), 0);
        askUntilAnswered(other, "at the new owner");
        EXPECT_FALSE(ask(owner, "while the new owner grants"));
        controlCutters_[owner]->heal();
        askUntilAnswered(owner, "after healing");
        waitUntil("the charge is accepted after healing", [&] { return callPlain(entry(owner).port, charge("cut-off", "cut-off")).status == 201; });
        EXPECT_EQ(timesCharged("cut-off"), 1);
        EXPECT_EQ(textOfStream(stream.finish().body), expectedChat("a stream over the cut", 400));
        expectNothingFenced();
    }

    INSTANTIATE_TEST_SUITE_P(Directions, OwnerCutOffTest, testing::Values(Cut { true, true }, Cut { true, false }, Cut { false, true }),
        [](const auto& info) { return std::string(info.param.towardsTarget ? (info.param.towardsCaller ? "Both" : "HeartbeatsLost") : "RepliesLost"); });

    class GrantsLostTest : public LinkCutTest, public testing::WithParamInterface<bool> {
    protected:
        static constexpr int requests = 6;
        static constexpr int tokens = 20;

        static std::string promptOf(int number) { return "asked without grants " + std::to_string(number); }
        static std::string chargeOf(int number) { return "fee-" + std::to_string(number); }

        /** Sends chats and charges at once to the entries that do not own the pool in question. */
        void sendAll()
        {
            for (int number = 0; number < requests; ++number) {
                chats_.emplace_back(entry(3 - modelOwner_).port, chat(promptOf(number), tokens, false));
                charges_.emplace_back(entry(3 - serviceOwner_).port, charge(chargeOf(number), chargeOf(number)));
            }
        }

        /** Reads and judges all answers; returns how many requests were answered. */
        int finishAll()
        {
            int answered = 0;
            for (int number = 0; number < requests; ++number) {
                auto answer = chats_[number].finish();
                judge(promptOf(number), tokens, answer);
                auto charged = charges_[number].finish();
                bool isCharged = charged.status == 201;
                EXPECT_EQ(timesCharged(chargeOf(number)), isCharged ? 1 : 0) << charged.body;
                EXPECT_TRUE(isCharged || errorField(charged, "ran") == "no") << charged.body;
                answered += (answer.status == 200 ? 1 : 0) + (isCharged ? 1 : 0);
            }
            return answered;
        }

        uint32_t modelOwner_ { 0 };
        uint32_t serviceOwner_ { 0 };
        std::vector<PlainCall> chats_;
        std::vector<PlainCall> charges_;
    };

    // Guards against requests that hang, run twice or are refused with a wrong `ran` when asks reach the owner and grants are lost.
    TEST_P(GrantsLostTest, EveryRequestIsAnsweredOrRefusedTruthfully)
    {
        bool canReconnect = GetParam();
        startWithCutters();
        modelOwner_ = ownerOf(modelPool);
        serviceOwner_ = ownerOf(servicePool);
        ASSERT_NE(modelOwner_, 0);
        ASSERT_NE(serviceOwner_, 0);
        for (auto& [node, cutter] : entryCutters_) {
            if (canReconnect)
                cutter->cutOpenConnections(false, true);
            else
                cutter->cutAll(false, true);
        }
        sendAll();
        EXPECT_EQ(finishAll(), canReconnect ? 2 * requests : 0);
        for (auto& [node, cutter] : entryCutters_)
            cutter->heal();
        askUntilAnswered(3 - modelOwner_, "after healing");
        for (int number = 0; number < requests; ++number) {
            waitUntil("the charge is accepted", [&] { return callPlain(entry(3 - serviceOwner_).port, charge(chargeOf(number), chargeOf(number))).status == 201; });
            EXPECT_EQ(timesCharged(chargeOf(number)), 1);
        }
    }

    INSTANTIATE_TEST_SUITE_P(Reconnects, GrantsLostTest, testing::Bool(), [](const auto& info) { return std::string(info.param ? "Open" : "All"); });

    /** Three voters with a forwarder in each direction between any two, and an entry that reaches all of them. */
    class LeaderCutOffTest : public ProcessFixture {
    protected:
        void startFleet()
        {
            startEngine("engine-1");
            startControls(3, [this](int from, int to, uint16_t port) {
                auto& cutter = cutters_[{ from, to }];
                cutter = std::make_unique<TcpCutter>(port);
                return cutter->port();
            });
            putCustomer(defaultContract());
            putTarget(daemon("engine-1"), "engine");
            waitReady(startEntry(1));
            waitUntil("the entry answers", [&] { return callPlain(entry(1).port, chat("warm up", 1, false)).status == 200; });
        }

        void cutOff(int voter)
        {
            for (auto& [ends, cutter] : cutters_) {
                if (ends.first == voter || ends.second == voter)
                    cutter->cutAll();
            }
        }

        void healAll()
        {
            for (auto& [ends, cutter] : cutters_)
                cutter->heal();
        }

        int leader() { return status()["leader"].get<int>() - 100; }
        static std::string keyOf(uint64_t version) { return "customer key " + std::to_string(version); }

        static Json contractWithKey(const std::string& key)
        {
            auto contract = defaultContract();
            contract["key_hashes"] = { sha256Hex(key) };
            return contract;
        }

        /** Puts a version whose key is its own, in force everywhere. */
        void putVersion(uint64_t version)
        {
            putCustomer(contractWithKey(keyOf(version)), version - 1);
            expectNothingOlder(version);
        }

        /** No voter and no entry may act on a version before this one. */
        void expectNothingOlder(uint64_t version)
        {
            for (int number : { 1, 2, 3 }) {
                auto answer = callPlain(daemon("control-" + std::to_string(number)).port, authorized("GET", {}));
                EXPECT_TRUE(answer.isWhole);
                if (answer.status == 200) {
                    EXPECT_GE(Json::parse(answer.body)["version"].get<uint64_t>(), version) << "control-" << number;
                }
            }
            EXPECT_EQ(callPlain(entry(1).port, chat("old key", 1, false, keyOf(version - 1))).status, 401);
            EXPECT_EQ(callPlain(entry(1).port, chat("new key", 1, false, keyOf(version))).status, 200);
        }

        static PlainRequest authorized(const std::string& method, const std::string& body)
        {
            return { method, std::string("/v1/customers/") + customer, { { "Authorization", std::string("Bearer ") + operatorKey } }, body };
        }

        std::map<std::pair<int, int>, std::unique_ptr<TcpCutter>> cutters_;
    };

    // Guards against an isolated leader that confirms changes, answers from an old state, or undoes newer changes when it is back.
    TEST_F(LeaderCutOffTest, NobodySeesAnOlderContractAfterANewerOne)
    {
        constexpr uint64_t lastBeforeHealing = 7;
        startFleet();
        putVersion(2);
        int old = leader();
        auto& isolated = daemon("control-" + std::to_string(old));
        cutOff(old);
        Json rival { { "change_id", "rival" }, { "expected_version", 2 }, { "contract", contractWithKey("rival key") } };
        PlainCall unconfirmed(isolated.port, authorized("PUT", rival.dump()));
        for (uint64_t version = 3; version <= lastBeforeHealing; ++version)
            putVersion(version);
        EXPECT_NE(leader(), old);
        auto answer = unconfirmed.finish();
        EXPECT_NE(answer.status, 200) << answer.body;
        healAll();
        waitUntil("the old leader follows", [&] {
            expectNothingOlder(lastBeforeHealing);
            return callPlain(isolated.port, { "GET", "/readyz", {}, "" }).status == 200;
        });
        putVersion(lastBeforeHealing + 1);
        EXPECT_EQ(callPlain(entry(1).port, chat("rival", 1, false, "rival key")).status, 401);
    }

}
}
