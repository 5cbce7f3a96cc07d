#include "briarhitch/core/Digest.h"
#include "process/ProcessFixture.h"

namespace briarhitch {
namespace {

    class WholePathTest : public ProcessFixture { };

    // Guards against answers that are cut, swapped or changed on their way through the entry.
    TEST_F(WholePathTest, EveryKindOfRequestGetsItsOwnWholeAnswer)
    {
        startWholePath();
        for (uint32_t node : { 1, 2 }) {
            auto port = entry(node).port;
            auto suffix = std::to_string(node);
            auto streamed = callPlain(port, chat("a long catalogue " + suffix, 40, true));
            EXPECT_EQ(streamed.status, 200) << streamed.body;
            EXPECT_TRUE(streamed.isWhole);
            EXPECT_EQ(textOfStream(streamed.body), expectedChat("a long catalogue " + suffix, 40));
            auto whole = callPlain(port, chat("a short query " + suffix, 12, false));
            EXPECT_EQ(textOfWhole(whole.body), expectedChat("a short query " + suffix, 12));
            auto charged = callPlain(port, charge("deposit-" + suffix));
            EXPECT_EQ(charged.status, 201) << charged.body;
            EXPECT_EQ(Json::parse(charged.body)["charge_id"], "deposit-" + suffix);
            auto found = callPlain(port, lookup("deposit-" + suffix));
            EXPECT_EQ(found.status, 200) << found.body;
            EXPECT_EQ(Json::parse(found.body)["id"], "deposit-" + suffix);
            EXPECT_EQ(timesCharged("deposit-" + suffix), 1);
        }
    }

    // Guards against new work on a target that is leaving (invariant 6).
    TEST_F(WholePathTest, DrainedTargetGetsNoNewWork)
    {
        startWholePath();
        auto version = Json::parse(callOperators("GET", "/v1/targets/engine-1").body)["version"];
        change("POST", "/v1/targets/engine-1/drain", { { "expected_version", version } });
        auto before = ledger(daemon("engine-1"))["requests"].size();
        for (int number = 0; number < 20; ++number) {
            auto prompt = "after the drain " + std::to_string(number);
            auto answer = callPlain(entry(1 + number % 2).port, chat(prompt, 2, false));
            EXPECT_EQ(textOfWhole(answer.body), expectedChat(prompt, 2)) << answer.body;
        }
        EXPECT_EQ(ledger(daemon("engine-1"))["requests"].size(), before);
    }

    // Guards against a contract change that only some entries apply, or that a late change reverts (invariant 8).
    TEST_F(WholePathTest, ContractChangeComesIntoForceEverywhereAndStays)
    {
        startWholePath();
        auto contract = defaultContract();
        contract["key_hashes"] = Json::array({ sha256Hex("the new key") });
        putCustomer(contract, 1);
        auto late = callOperators("PUT", std::string("/v1/customers/") + customer,
            { { "change_id", "late" }, { "expected_version", 1 }, { "contract", defaultContract() } });
        EXPECT_EQ(errorField(late, "kind"), "version_conflict") << late.body;
        for (uint32_t node : { 1, 2 }) {
            EXPECT_EQ(callPlain(entry(node).port, chat("old key", 2, false)).status, 401);
            EXPECT_EQ(callPlain(entry(node).port, chat("new key", 2, false, "the new key")).status, 200);
        }
    }

    // Guards against two changes that are based on one version and both take effect, and against a resent change that takes effect twice.
    TEST_F(WholePathTest, OneOfTwoRacingOperatorsWins)
    {
        startWholePath();
        auto path = std::string("/v1/customers/") + customer;
        auto requestWith = [&](const std::string& id, double share) {
            auto contract = defaultContract();
            contract["share"] = share;
            Json body = { { "change_id", id }, { "expected_version", 1 }, { "contract", contract } };
            return PlainRequest { "PUT", path, { { "Authorization", std::string("Bearer ") + operatorKey } }, body.dump() };
        };
        auto port = daemon("control-1").port;
        PlainCall first(port, requestWith("race-a", 2));
        PlainCall second(port, requestWith("race-b", 3));
        auto a = first.finish();
        auto b = second.finish();
        EXPECT_EQ((a.status == 200) + (b.status == 200), 1) << a.body << b.body;
        const auto& loser = a.status == 200 ? b : a;
        EXPECT_EQ(errorField(loser, "kind"), "version_conflict") << loser.body;
        bool isFirst = a.status == 200;
        auto again = callPlain(port, requestWith(isFirst ? "race-a" : "race-b", isFirst ? 2 : 3));
        EXPECT_EQ(again.status, 200) << again.body;
        auto now = Json::parse(callOperators("GET", path).body);
        EXPECT_EQ(now["version"], 2);
        EXPECT_EQ(now["contract"]["share"], isFirst ? 2 : 3);
    }

    // Guards against changes that are lost, or applied in part, when processes restart after hundreds of them.
    TEST_F(WholePathTest, RestartsAfterHundredsOfChangesKeepTheLatest)
    {
        constexpr uint64_t changes = 300;
        startControls(1);
        putTarget(startEngine("engine-1", { "--step_time=5ms" }), "engine");
        auto contract = defaultContract();
        for (uint64_t version = 0; version < changes; ++version) {
            contract["key_hashes"] = Json::array({ sha256Hex("key " + std::to_string(version + 1)) });
            putCustomer(contract, version);
        }
        restart(daemon("control-1"));
        EXPECT_EQ(Json::parse(callOperators("GET", std::string("/v1/customers/") + customer).body)["version"], changes);
        waitReady(startEntry(1));
        contract["key_hashes"] = Json::array({ sha256Hex("the last key") });
        putCustomer(contract, changes);
        restart(entry(1));
        waitReady(entry(1));
        EXPECT_EQ(callPlain(entry(1).port, chat("an old key", 2, false, "key " + std::to_string(changes))).status, 401);
        waitUntil("the last key is answered", [&] { return callPlain(entry(1).port, chat("the last key", 2, false, "the last key")).status == 200; });
    }

    // Guards against work that is cut off by a planned restart (invariant 7).
    TEST_F(WholePathTest, GracefulShutdownCutsNothingOff)
    {
        constexpr int streams = 8;
        startWholePath();
        auto port = entry(1).port;
        std::vector<PlainCall> calls;
        calls.reserve(streams);
        for (int number = 0; number < streams; ++number)
            calls.emplace_back(port, chat("in flight " + std::to_string(number), 150, true));
        for (auto& call : calls)
            ASSERT_TRUE(call.readAtLeast(1));
        entry(1).process->signal(SIGTERM);
        for (int number = 0; number < streams; ++number) {
            auto answer = calls[number].finish();
            EXPECT_TRUE(answer.isWhole);
            EXPECT_EQ(textOfStream(answer.body), expectedChat("in flight " + std::to_string(number), 150));
        }
        EXPECT_EQ(entry(1).process->waitExit(std::chrono::seconds(20)), 0);
        auto other = callPlain(entry(2).port, chat("after the shutdown", 2, false));
        EXPECT_EQ(textOfWhole(other.body), expectedChat("after the shutdown", 2)) << other.body;
    }

}
}
