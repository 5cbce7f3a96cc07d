#include "process/ProcessFixture.h"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace briarhitch {
namespace {

    /** Three voters and no nodes. */
    class ControlFailureTest : public ProcessFixture {
    protected:
        ControlFailureTest()
        {
            startControls(3);
            putCustomer(defaultContract());
        }

        Daemon& voter(int number) { return daemon("control-" + std::to_string(number)); }
        int leader() { return status()["leader"].get<int>() - 100; }
        int otherThan(int first, int second = 0)
        {
            for (int number : { 1, 2, 3 }) {
                if (number != first && number != second)
                    return number;
            }
            return 0;
        }

        /** Sends the request to these voters only, as a suspended one never responds, until the leader responds. */
        Json callLeader(const std::vector<int>& voters, PlainRequest request)
        {
            request.headers["Authorization"] = std::string("Bearer ") + operatorKey;
            Json json;
            waitUntil("a leader responds", [&] {
                for (int number : voters) {
                    auto response = callPlain(voter(number).port, request);
                    json = Json::parse(response.body, nullptr, false);
                    if (response.status == 200 && json.value("is_leader", true))
                        return true;
                }
                return false;
            });
            return json;
        }

        void putShare(const std::vector<int>& voters, double share, uint64_t expectedVersion)
        {
            auto contract = defaultContract();
            contract["share"] = share;
            Json body { { "change_id", "share-" + std::to_string(expectedVersion) }, { "expected_version", expectedVersion }, { "contract", contract } };
            callLeader(voters, { "PUT", path(), {}, body.dump() });
        }

        Json currentCustomer(const std::vector<int>& voters) { return callLeader(voters, { "GET", path(), {}, "" }); }
        Json statusAt(const std::vector<int>& voters) { return callLeader(voters, { "GET", "/v1/status", {}, "" }); }
        static std::string path() { return std::string("/v1/customers/") + customer; }

        /** Configuration version that a voter has applied. */
        uint64_t appliedBy(int number)
        {
            const std::string name = "\ncontrol_config_version ";
            auto metrics = callPlain(voter(number).port, { "GET", "/metrics", {}, "" }).body;
            auto start = metrics.find(name);
            return start == std::string::npos ? 0 : std::stoull(metrics.substr(start + name.size()));
        }

        static std::string dataFolderOf(const Daemon& control)
        {
            for (const auto& argument : control.arguments) {
                auto path = argument.substr(argument.find('=') + 1);
                std::ifstream stream(path);
                auto settings = Json::parse(stream, nullptr, false);
                if (settings.is_object() && settings.contains("data_folder"))
                    return settings["data_folder"];
            }
            return {};
        }
    };

    // Guards against a leader that was suspended and, once it continues, reverts changes that were accepted meanwhile.
    TEST_F(ControlFailureTest, SuspendedLeaderIsReplacedAndRevertsNothing)
    {
        int old = leader();
        std::vector<int> others { otherThan(old), otherThan(old, otherThan(old)) };
        voter(old).process->signal(SIGSTOP);
        putShare(others, 5, 1);
        voter(old).process->signal(SIGCONT);
        auto version = statusAt(others)["config_version"].get<uint64_t>();
        waitUntil("the old leader has applied the change", [&] { return appliedBy(old) == version; });
        putShare({ 1, 2, 3 }, 6, 2);
        EXPECT_NE(statusAt({ 1, 2, 3 })["leader"], old + 100);
        EXPECT_EQ(currentCustomer({ 1, 2, 3 })["contract"]["share"], 6);
        EXPECT_EQ(currentCustomer({ 1, 2, 3 })["version"], 3);
    }

    // Guards against a change that is lost when a second voter fails right after the first one was rebuilt.
    TEST_F(ControlFailureTest, VoterThatLostItsDiskVotesAgainAfterItsRebuild)
    {
        putShare({ 1, 2, 3 }, 5, 1);
        int lost = otherThan(leader());
        auto folder = dataFolderOf(voter(lost));
        ASSERT_FALSE(folder.empty());
        voter(lost).process->kill();
        std::filesystem::remove_all(folder);
        std::filesystem::create_directory(folder);
        restart(voter(lost));
        auto version = status()["config_version"].get<uint64_t>();
        // Until the rebuilt voter has the state, the leader still counts its former incarnation among the voters.
        waitUntil("the rebuilt voter has the state", [&] { return appliedBy(lost) == version; });
        waitUntil("the rebuilt voter votes", [&] { return status()["log"]["voters"].size() == 3 && status()["log"]["learners"].empty(); });
        int second = otherThan(lost);
        voter(second).process->kill();
        std::vector<int> left { lost, otherThan(lost, second) };
        putShare(left, 6, 2);
        EXPECT_EQ(currentCustomer(left)["contract"]["share"], 6);
        EXPECT_EQ(currentCustomer(left)["version"], 3);
    }

    // Guards against an operator who cannot recover the fleet after the disks of a majority of voters were lost.
    TEST_F(ControlFailureTest, LogIsRebuiltFromOneVoterAndTheOthersJoinIt)
    {
        putShare({ 1, 2, 3 }, 5, 1);
        auto version = status()["config_version"].get<uint64_t>();
        waitUntil("voter 1 has the change", [&] { return appliedBy(1) == version; });
        for (int number : { 1, 2, 3 })
            voter(number).process->kill();
        for (int number : { 2, 3 }) {
            auto folder = dataFolderOf(voter(number));
            ASSERT_FALSE(folder.empty());
            std::filesystem::remove_all(folder);
            std::filesystem::create_directory(folder);
        }
        auto arguments = voter(1).arguments;
        arguments.emplace_back("--rebuild_as_sole_voter");
        ChildProcess rebuild(std::string(BRIARHITCH_BIN_DIR) + "/briarhitch-control", arguments, dataFolderOf(voter(1)) + "/../rebuild.log");
        ASSERT_EQ(rebuild.waitExit(std::chrono::seconds(20)), 0) << rebuild.log();
        restart(voter(1));
        EXPECT_EQ(currentCustomer({ 1 })["contract"]["share"], 5);
        for (int number : { 2, 3 }) {
            restart(voter(number));
            callLeader({ 1 }, { "POST", "/v1/voters/" + std::to_string(number + 100) + "/add", {}, "" });
            waitUntil("the voter votes", [&] { return statusAt({ 1 })["log"]["voters"].size() == static_cast<size_t>(number); });
        }
        voter(1).process->kill();
        putShare({ 2, 3 }, 6, 2);
        EXPECT_EQ(currentCustomer({ 2, 3 })["contract"]["share"], 6);
    }

    // Guards against a voter that counts towards the majority after the operator removed it.
    TEST_F(ControlFailureTest, RemovedVoterNoLongerCountsTowardsTheMajority)
    {
        int lost = otherThan(leader());
        voter(lost).process->kill();
        std::vector<int> left { otherThan(lost), otherThan(lost, otherThan(lost)) };
        callLeader(left, { "POST", "/v1/voters/" + std::to_string(lost + 100) + "/remove", {}, "" });
        waitUntil("two voters are left", [&] { return statusAt(left)["log"]["voters"].size() == 2; });
        putShare(left, 5, 1);
        EXPECT_EQ(currentCustomer(left)["contract"]["share"], 5);
    }

}
}
