#include "briarhitch/core/Digest.h"
#include "process/ProcessFixture.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace briarhitch {
namespace {

    constexpr auto modelPool = "model:small@lakes";
    constexpr auto servicePool = "service:booking@lakes";

    /** Failures that follow each other before the fleet had a quiet moment. */
    class RepeatedFailureTest : public ProcessFixture {
    protected:
        /** An engine, two services, voters and entries; returns when every entry is answered by both pools. */
        void startFleet(size_t voters, uint32_t entries)
        {
            startEngine("engine-1", { "--step_time=5ms", "--check_fencing" });
            startService("booking-1");
            startService("booking-2");
            startControls(voters);
            putCustomer(defaultContract());
            putTarget(daemon("engine-1"), "engine");
            putTarget(daemon("booking-1"), "service");
            putTarget(daemon("booking-2"), "service");
            for (uint32_t node = 1; node <= entries; ++node)
                waitReady(startEntry(node));
            for (uint32_t node = 1; node <= entries; ++node) {
                askUntilAnswered(node, "warm up " + std::to_string(node));
                waitUntil("the services answer", [&] { return callPlain(entry(node).port, lookup("warm-up")).status == 200; });
            }
        }

        /** Asks with new prompts; every refusal must agree with the engine's ledger. */
        void askUntilAnswered(uint32_t node, const std::string& name)
        {
            waitUntil(name + " is answered", [&] {
                auto prompt = name + " " + std::to_string(++asked_);
                auto answer = callPlain(entry(node).port, chat(prompt, 3, false));
                if (answer.status != 200) {
                    EXPECT_EQ(errorField(answer, "ran"), "no") << answer.body;
                    EXPECT_EQ(timesRun(prompt), 0) << answer.body;
                    return false;
                }
                EXPECT_EQ(textOfWhole(answer.body), expectedChat(prompt, 3));
                EXPECT_EQ(timesRun(prompt), 1);
                return true;
            });
        }

        /** Sends the charge until its outcome is settled; refusals on the way must say truly that it did not run. */
        PlainAnswer chargeUntilSettled(uint32_t node, const std::string& chargeId, uint64_t chargesBefore)
        {
            PlainAnswer answer;
            waitUntil("the outcome of the charge is settled", [&] {
                answer = callPlain(entry(node).port, charge(chargeId, chargeId));
                bool isRefused = errorField(answer, "ran") == "no";
                if (isRefused) {
                    EXPECT_EQ(timesCharged(chargeId), chargesBefore) << answer.body;
                }
                return errorField(answer, "kind") != "run_in_progress" && !isRefused;
            });
            return answer;
        }

        uint32_t waitOwnerOtherThan(const std::string& pool, uint32_t lost)
        {
            uint32_t owner = lost;
            waitUntil(pool + " has another owner", [&] {
                owner = ownerOf(pool);
                return owner != 0 && owner != lost;
            });
            return owner;
        }

        void expectNothingFenced()
        {
            auto json = ledger(daemon("engine-1"));
            for (const auto& request : json["requests"])
                EXPECT_NE(request["state"], "fenced");
        }

        Daemon& voter(int number) { return daemon("control-" + std::to_string(number)); }
        int leader() { return status()["leader"].get<int>() - 100; }

        std::string dataFolderOf(const Daemon& control)
        {
            std::ifstream stream(control.arguments.front().substr(control.arguments.front().find('=') + 1));
            return Json::parse(stream)["data_folder"];
        }

        int asked_ { 0 };
    };

    // Guards against a repair that depends on the state of the owner that was just lost as well.
    TEST_F(RepeatedFailureTest, NewOwnerIsLostRightAfterTheTakeover)
    {
        startFleet(1, 3);
        auto first = ownerOf(modelPool);
        ASSERT_NE(first, 0);
        auto epoch = epochOf(modelPool);
        entry(first).process->kill();
        auto second = waitOwnerOtherThan(modelPool, first);
        auto third = 6 - first - second;
        PlainCall stream(entry(third).port, chat("a stream over the second takeover", 700, true));
        ASSERT_TRUE(stream.readAtLeast(1));
        entry(second).process->kill();
        EXPECT_EQ(waitOwnerOtherThan(modelPool, second), third);
        EXPECT_GE(epochOf(modelPool), epoch + 2);
        askUntilAnswered(third, "after the second kill");
        EXPECT_EQ(chargeUntilSettled(third, "after-two-kills", 0).status, 201);
        EXPECT_EQ(timesCharged("after-two-kills"), 1);
        EXPECT_EQ(textOfStream(stream.finish().body), expectedChat("a stream over the second takeover", 700));
        expectNothingFenced();
    }

    // Guards against a charge that runs again, or whose answer is lost, when the record's leader and the pool's owner go at once.
    TEST_F(RepeatedFailureTest, LeaderAndOwnerAreKilledUnderACharge)
    {
        startFleet(3, 2);
        auto owner = ownerOf(servicePool);
        ASSERT_NE(owner, 0);
        auto other = 3 - owner;
        int old = leader();
        orderServiceFaults({ { "mode", "late" }, { "late_ms", 1500 } });
        PlainCall kept(entry(other).port, charge("kept", "kept"));
        PlainCall lost(entry(owner).port, charge("lost", "lost"));
        waitUntil("both charges are at the services", [&] { return timesCharged("kept") == 1 && timesCharged("lost") == 1; });
        voter(old).process->kill();
        entry(owner).process->kill();
        auto answer = kept.finish();
        EXPECT_EQ(answer.status, 201) << answer.body;
        EXPECT_FALSE(lost.finish().isWhole);
        orderServiceFaults(Json::object());
        auto again = chargeUntilSettled(other, "kept", 1);
        EXPECT_EQ(again.status, 201) << again.body;
        EXPECT_EQ(again.body, answer.body);
        auto unknown = chargeUntilSettled(other, "lost", 1);
        EXPECT_EQ(errorField(unknown, "kind"), "outcome_unknown") << unknown.body;
        EXPECT_EQ(errorField(unknown, "ran"), "unknown") << unknown.body;
        EXPECT_EQ(chargeUntilSettled(other, "next", 0).status, 201);
        for (const auto* id : { "kept", "lost", "next" })
            EXPECT_EQ(timesCharged(id), 1) << id;
        EXPECT_EQ(ownerOf(servicePool), other);
        EXPECT_NE(leader(), old);
    }

    // Guards against a retry at a target that had the request, when all targets fail (invariant 1).
    TEST_F(RepeatedFailureTest, EachFailingTargetGetsARepeatableRequestOnce)
    {
        // The retry budget is 10% of the requests before.
        constexpr int earlierRequests = 60;
        startFleet(1, 2);
        for (int number = 0; number < earlierRequests; ++number)
            ASSERT_EQ(callPlain(entry(1).port, lookup("earlier")).status, 200);
        orderServiceFaults({ { "mode", "reset" } });
        orderFaults(daemon("engine-1"), { { "mode", "reset" } });
        auto looked = callPlain(entry(1).port, lookup("twice"));
        EXPECT_EQ(errorField(looked, "ran"), "unknown") << looked.body;
        for (const auto* name : { "booking-1", "booking-2" }) {
            auto json = ledger(daemon(name));
            EXPECT_EQ(std::count_if(json["requests"].begin(), json["requests"].end(), [](const Json& request) { return request["call"] == "GET /status/twice"; }), 1) << name;
        }
        auto asked = callPlain(entry(1).port, chat("asked once", 3, false));
        EXPECT_EQ(errorField(asked, "ran"), "unknown") << asked.body;
        EXPECT_EQ(timesRun("asked once"), 1);
    }

    class ManyChangesTest : public RepeatedFailureTest {
    protected:
        // More than the 1,024 changes that a node gets one by one, so that it needs a snapshot.
        static constexpr int changes = 1200;

        static std::string keyOf(int number) { return "customer key " + std::to_string(number); }

        /** Changes the customer's key again and again; nobody is waited for. */
        void changeKeys()
        {
            for (int number = 1; number <= changes; ++number) {
                auto contract = defaultContract();
                contract["key_hashes"] = { sha256Hex(keyOf(number)) };
                Json body { { "change_id", "key-" + std::to_string(number) }, { "expected_version", number }, { "contract", contract } };
                auto answer = callOperators("PUT", std::string("/v1/customers/") + customer + "?wait_s=0", body);
                ASSERT_EQ(answer.status, 200) << answer.body;
            }
        }

        bool isLost(uint32_t node)
        {
            auto json = status();
            return std::any_of(json["nodes"].begin(), json["nodes"].end(), [&](const Json& record) { return record["node"] == node && record["state"] == "lost"; });
        }

        /** No key but the last may be accepted while the entry catches up and after. */
        void expectOnlyLastKeyUntilServed(uint32_t node)
        {
            int number = 0;
            waitUntil("the last key is accepted", [&] {
                for (const auto& key : { std::string(customerKey), keyOf(changes - 1), keyOf(++number) })
                    EXPECT_NE(callPlain(entry(node).port, chat("old key", 1, false, key)).status, 200) << key;
                return callPlain(entry(node).port, chat("last key", 1, false, keyOf(changes))).status == 200;
            });
            EXPECT_EQ(callPlain(entry(node).port, chat("old key", 1, false, keyOf(changes - 1))).status, 401);
        }
    };

    // Guards against an entry that serves by the contracts it had, or by part of the changes, before it has caught up.
    TEST_F(ManyChangesTest, EntriesThatWereAwayServeNothingOlderThanTheLast)
    {
        startFleet(1, 2);
        entry(1).process->kill();
        entry(2).process->signal(SIGSTOP);
        changeKeys();
        // Within its lease an entry may still act on what it knew, and the changes may take less time than that.
        waitUntil("the lease of the suspended entry has ended", [&] { return isLost(2); });
        PlainCall asleep(entry(2).port, chat("asked while suspended", 1, false));
        entry(2).process->signal(SIGCONT);
        auto answer = asleep.finish();
        EXPECT_NE(answer.status, 200) << "the suspended entry accepted a key of long ago";
        EXPECT_EQ(timesRun("asked while suspended"), 0);
        expectOnlyLastKeyUntilServed(2);
        restart(entry(1));
        waitUntil("the restarted entry listens", [&] { return callPlain(entry(1).port, { "GET", "/healthz", {}, "" }).isWhole; });
        expectOnlyLastKeyUntilServed(1);
    }

    // Guards against run records that only the lost disk and the voter killed after the repair had.
    TEST_F(RepeatedFailureTest, LeaderIsKilledRightAfterALostDiskWasRebuilt)
    {
        startFleet(3, 1);
        auto charged = callPlain(entry(1).port, charge("recorded", "recorded"));
        ASSERT_EQ(charged.status, 201) << charged.body;
        int old = leader();
        int lost = old == 1 ? 2 : 1;
        auto folder = dataFolderOf(voter(lost));
        voter(lost).process->kill();
        std::filesystem::remove_all(folder);
        std::filesystem::create_directory(folder);
        auto whileRebuilt = chargeUntilSettled(1, "while-rebuilt", 0);
        EXPECT_EQ(whileRebuilt.status, 201) << whileRebuilt.body;
        restart(voter(lost));
        // The membership still lists the former incarnation until the new one was removed and added again.
        waitReady(voter(lost));
        waitUntil("the rebuilt voter votes", [&] {
            auto log = status()["log"];
            auto own = callPlain(voter(lost).port, { "GET", "/metrics", {}, "" }).body;
            return log["voters"].size() == 3 && log["learners"].empty() && own.find("\ncontrol_run_records 2\n") != std::string::npos;
        });
        voter(old).process->kill();
        EXPECT_EQ(chargeUntilSettled(1, "recorded", 1).body, charged.body);
        EXPECT_EQ(chargeUntilSettled(1, "while-rebuilt", 1).body, whileRebuilt.body);
        EXPECT_EQ(chargeUntilSettled(1, "after", 0).status, 201);
        for (const auto* id : { "recorded", "while-rebuilt", "after" })
            EXPECT_EQ(timesCharged(id), 1) << id;
        askUntilAnswered(1, "with two voters");
    }

}
}
