#include "briarhitch/core/Digest.h"
#include "process/ProcessFixture.h"
#include "process/TcpCutter.h"

#include <map>

namespace briarhitch {
namespace {

    constexpr auto modelPool = "model:small@lakes";
    constexpr auto servicePool = "service:booking@lakes";

    /** Directions in which bytes are lost; the target is the process that accepts the connection. */
    struct Cut {
        bool towardsTarget;
        bool towardsCaller;
    };

    class LinkCutTest : public ProcessFixture {
    protected:
        /** Starts engine, services, control and two entries whose links to control and to each other can be cut. */
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
                requestUntilSuccess(node, "warm up " + std::to_string(node));
                waitUntil("the services respond", [&] { return callPlain(entry(node).port, lookup("warm-up")).status == 200; });
            }
        }

        static uint16_t addCutter(std::unique_ptr<TcpCutter>& cutter, uint16_t port)
        {
            cutter = std::make_unique<TcpCutter>(port);
            return cutter->port();
        }

        /** The response must be the expected one, or a refusal that agrees with the engine's ledger. */
        void checkResponse(const std::string& prompt, int tokens, const PlainAnswer& response)
        {
            EXPECT_TRUE(response.isWhole) << prompt;
            if (response.status == 200) {
                EXPECT_EQ(textOfWhole(response.body), expectedChat(prompt, tokens));
                EXPECT_EQ(timesRun(prompt), 1) << prompt;
            } else {
                EXPECT_EQ(errorField(response, "ran"), "no") << response.body;
                EXPECT_EQ(timesRun(prompt), 0) << prompt << " " << response.body;
            }
        }

        /** Sends a new prompt and checks the response; true if it succeeded. */
        bool sendRequest(uint32_t node, const std::string& name)
        {
            constexpr int tokens = 3;
            auto prompt = name + " " + std::to_string(++requestCount_);
            auto response = callPlain(entry(node).port, chat(prompt, tokens, false));
            checkResponse(prompt, tokens, response);
            return response.status == 200;
        }

        void requestUntilSuccess(uint32_t node, const std::string& name)
        {
            waitUntil(name + ": request succeeds", [&] { return sendRequest(node, name); });
        }

        void expectNothingFenced()
        {
            auto json = ledger(daemon("engine-1"));
            for (const auto& request : json["requests"])
                EXPECT_NE(request["state"], "fenced");
        }

        std::map<uint32_t, std::unique_ptr<TcpCutter>> controlCutters_;
        std::map<uint32_t, std::unique_ptr<TcpCutter>> entryCutters_;
        int requestCount_ { 0 };
    };

    class OwnerDisconnectedTest : public LinkCutTest, public testing::WithParamInterface<Cut> { };

    // Guards against a pool owner that grants or sends after its lease has ended, and against a pool that stays assigned
    // to an owner that control can't reach.
    TEST_P(OwnerDisconnectedTest, PoolIsReassignedAndThePreviousOwnerRefusesWithCorrectRan)
    {
        startWithCutters();
        auto owner = ownerOf(modelPool);
        ASSERT_NE(owner, 0);
        auto other = 3 - owner;
        auto epoch = epochOf(modelPool);
        PlainCall stream(entry(owner).port, chat("a stream during the link failure", 400, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        controlCutters_[owner]->cutAll(GetParam().towardsTarget, GetParam().towardsCaller);
        waitUntil("the pool has another owner", [&] {
            sendRequest(owner, "at the previous owner");
            sendRequest(other, "at the other entry");
            return ownerOf(modelPool) == other;
        });
        EXPECT_GT(epochOf(modelPool), epoch);
        EXPECT_FALSE(sendRequest(owner, "after the reassignment")) << "the previous owner's lease must have ended before the reassignment";
        auto refused = callPlain(entry(owner).port, charge("cut-off", "cut-off"));
        EXPECT_EQ(errorField(refused, "ran"), "no") << refused.body;
        EXPECT_EQ(timesCharged("cut-off"), 0);
        requestUntilSuccess(other, "at the new owner");
        EXPECT_FALSE(sendRequest(owner, "while the new owner grants"));
        controlCutters_[owner]->heal();
        requestUntilSuccess(owner, "after healing");
        waitUntil("the charge is accepted after healing", [&] { return callPlain(entry(owner).port, charge("cut-off", "cut-off")).status == 201; });
        EXPECT_EQ(timesCharged("cut-off"), 1);
        EXPECT_EQ(textOfStream(stream.finish().body), expectedChat("a stream during the link failure", 400));
        expectNothingFenced();
    }

    INSTANTIATE_TEST_SUITE_P(Directions, OwnerDisconnectedTest, testing::Values(Cut { true, true }, Cut { true, false }, Cut { false, true }),
        [](const auto& info) { return std::string(info.param.towardsTarget ? (info.param.towardsCaller ? "Both" : "HeartbeatsLost") : "RepliesLost"); });

    class GrantsLostTest : public LinkCutTest, public testing::WithParamInterface<bool> {
    protected:
        static constexpr int requests = 6;
        static constexpr int tokens = 20;

        static std::string promptOf(int number) { return "asked without grants " + std::to_string(number); }
        static std::string chargeOf(int number) { return "fee-" + std::to_string(number); }

        /** Sends chats and charges concurrently, each to the entry that does not own its pool. */
        void sendAll()
        {
            for (int number = 0; number < requests; ++number) {
                chats_.emplace_back(entry(3 - modelOwner_).port, chat(promptOf(number), tokens, false));
                charges_.emplace_back(entry(3 - serviceOwner_).port, charge(chargeOf(number), chargeOf(number)));
            }
        }

        /** Reads and checks all responses; returns how many requests succeeded. */
        int finishAll()
        {
            int succeeded = 0;
            for (int number = 0; number < requests; ++number) {
                auto response = chats_[number].finish();
                checkResponse(promptOf(number), tokens, response);
                auto charged = charges_[number].finish();
                bool isCharged = charged.status == 201;
                EXPECT_EQ(timesCharged(chargeOf(number)), isCharged ? 1 : 0) << charged.body;
                EXPECT_TRUE(isCharged || errorField(charged, "ran") == "no") << charged.body;
                succeeded += (response.status == 200 ? 1 : 0) + (isCharged ? 1 : 0);
            }
            return succeeded;
        }

        uint32_t modelOwner_ { 0 };
        uint32_t serviceOwner_ { 0 };
        std::vector<PlainCall> chats_;
        std::vector<PlainCall> charges_;
    };

    // Guards against requests that hang, run twice or are refused with a wrong `ran` when grant requests reach the pool
    // owner but its replies are lost.
    TEST_P(GrantsLostTest, EveryRequestSucceedsOrIsRefusedWithCorrectRan)
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
        requestUntilSuccess(3 - modelOwner_, "after healing");
        for (int number = 0; number < requests; ++number) {
            waitUntil("the charge is accepted", [&] { return callPlain(entry(3 - serviceOwner_).port, charge(chargeOf(number), chargeOf(number))).status == 201; });
            EXPECT_EQ(timesCharged(chargeOf(number)), 1);
        }
    }

    INSTANTIATE_TEST_SUITE_P(Reconnects, GrantsLostTest, testing::Bool(), [](const auto& info) { return std::string(info.param ? "Open" : "All"); });

    /** Three voters with a forwarder in each direction between any two, and an entry that is connected to all of them. */
    class LeaderIsolationTest : public ProcessFixture {
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
            waitUntil("the entry responds", [&] { return callPlain(entry(1).port, chat("warm up", 1, false)).status == 200; });
        }

        void isolate(int voter)
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

        /** Commits a contract version with its own customer key and checks that all nodes apply it. */
        void commitVersion(uint64_t version)
        {
            putCustomer(contractWithKey(keyOf(version)), version - 1);
            expectVersionAtLeast(version);
        }

        /** Checks that no voter and no entry uses a version older than this one. */
        void expectVersionAtLeast(uint64_t version)
        {
            for (int number : { 1, 2, 3 }) {
                auto response = callPlain(daemon("control-" + std::to_string(number)).port, authorized("GET", {}));
                EXPECT_TRUE(response.isWhole);
                if (response.status == 200) {
                    EXPECT_GE(Json::parse(response.body)["version"].get<uint64_t>(), version) << "control-" << number;
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

    // Guards against an isolated leader that confirms changes, serves outdated state, or reverts newer changes when it is
    // reachable again.
    TEST_F(LeaderIsolationTest, NoNodeServesAnOlderContractAfterANewerOne)
    {
        constexpr uint64_t lastBeforeHealing = 7;
        startFleet();
        commitVersion(2);
        int formerLeader = leader();
        auto& isolated = daemon("control-" + std::to_string(formerLeader));
        isolate(formerLeader);
        Json conflicting { { "change_id", "rival" }, { "expected_version", 2 }, { "contract", contractWithKey("rival key") } };
        PlainCall unconfirmed(isolated.port, authorized("PUT", conflicting.dump()));
        for (uint64_t version = 3; version <= lastBeforeHealing; ++version)
            commitVersion(version);
        EXPECT_NE(leader(), formerLeader);
        auto response = unconfirmed.finish();
        EXPECT_NE(response.status, 200) << response.body;
        healAll();
        waitUntil("the former leader follows", [&] {
            expectVersionAtLeast(lastBeforeHealing);
            return callPlain(isolated.port, { "GET", "/readyz", {}, "" }).status == 200;
        });
        commitVersion(lastBeforeHealing + 1);
        EXPECT_EQ(callPlain(entry(1).port, chat("rival", 1, false, "rival key")).status, 401);
    }

}
}
