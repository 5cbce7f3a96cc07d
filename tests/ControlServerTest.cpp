#include "briarhitch/control/ControlServer.h"

#include "briarhitch/control/AdminApi.h"
#include "briarhitch/control/LocalLog.h"
#include "briarhitch/core/Digest.h"
#include "briarhitch/entry/ControlClient.h"
#include "briarhitch/http/HttpClient.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "support/ControlFixtures.h"
#include "wire/Codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;
    using nlohmann::json;

    constexpr auto fleetKey = "fleet key of the tests";
    constexpr auto operatorKey = "operator key of the tests";

    LinkSettings linkOf(LinkRole role, uint32_t node, uint64_t incarnation = 1)
    {
        LinkSettings link;
        link.fleetKey = fleetKey;
        link.identity = { role, NodeId(node), Incarnation(incarnation) };
        return link;
    }

    /** The log of a follower of node 2. */
    class FollowerLog : public ReplicatedLog {
    public:
        Result<std::string> propose(std::string, Duration) override { return fail(ErrorKind::NotLeader, "follows"); }
        [[nodiscard]] bool hasLeaderLease() const override { return false; }
        [[nodiscard]] uint64_t term() const override { return 7; }
        [[nodiscard]] std::optional<NodeId> leader() const override { return NodeId(2); }
    };

    /** The log of voter 1, a leader whose quorum lease has expired but that has not stepped down yet. */
    class ExpiredLeaseLog : public FollowerLog {
    public:
        [[nodiscard]] std::optional<NodeId> leader() const override { return NodeId(1); }
    };

    /** A control process on free local ports, with a log in memory. */
    struct Voter {
        Voter(Loop& loopToUse, uint32_t id, bool isLeader, const std::vector<ControlVoter>& voters = {}, Duration lease = 3s)
            : server(loopToUse, settingsOf(id, voters, lease, [this] { solicitHeartbeats(); }), state, metrics)
            , admin(loopToUse, { NodeId(id), voters, { sha256Hex(operatorKey) }, PoolScope::Region, {} }, server, metrics)
            , log(NodeId(id), hooks())
        {
            server.setLog(log);
            if (isLeader)
                log.start();
            else
                server.setLog(follower);
            server.start();
            LinkHooks linkHooks;
            linkHooks.onRequest = [this](const Peer& peer, MessageType type, std::string_view body) { return server.onRequest(peer, type, body); };
            links = std::move(*LinkServer::listen(loopToUse, "127.0.0.1", 0, linkOf(LinkRole::Control, id), linkHooks));
            http = std::move(*HttpServer::listen(loopToUse, {}, [this](const HttpRequest& request, HttpExchange& exchange) { admin.handle(request, exchange); }));
        }

        void solicitHeartbeats() const
        {
            if (links)
                links->postToAll(LinkRole::Entry, MessageType::HeartbeatSolicitation, {});
        }

        static ControlServerSettings settingsOf(uint32_t id, const std::vector<ControlVoter>& voters, Duration lease, std::function<void()> solicitHeartbeats)
        {
            ControlServerSettings settings;
            settings.self = NodeId(id);
            settings.voters = voters;
            settings.lease.lease = lease;
            settings.maxRunRecords = settings.maxResponseBytes = TestState::noLimit;
            settings.tickInterval = 5ms;
            settings.solicitHeartbeats = std::move(solicitHeartbeats);
            return settings;
        }

        ReplicatedLogHooks hooks()
        {
            ReplicatedLogHooks result;
            result.apply = [this](uint64_t, std::string_view command) { return state.apply(command); };
            result.onRoleChange = [this](bool isLeader, uint64_t term) { server.onRoleChange(isLeader, term); };
            return result;
        }

        [[nodiscard]] HostPort address() const { return { "127.0.0.1", links->port() }; }

        MetricRegistry metrics;
        StateMachine state;
        ControlServer server;
        AdminApi admin;
        LocalLog log;
        FollowerLog follower;
        std::unique_ptr<LinkServer> links;
        std::unique_ptr<HttpServer> http;
    };

    struct Entry {
        Entry(Loop& loop, uint32_t id, std::vector<HostPort> voters, uint64_t incarnation = 1, Duration heartbeatInterval = 20ms)
            : client(loop, settingsOf(id, std::move(voters), incarnation, heartbeatInterval), view, metrics)
        {
            client.start();
        }

        static ControlClientSettings settingsOf(uint32_t id, std::vector<HostPort> voters, uint64_t incarnation, Duration heartbeatInterval)
        {
            return { std::move(voters), linkOf(LinkRole::Entry, id, incarnation), nodeRecord(id, incarnation), heartbeatInterval };
        }

        MetricRegistry metrics;
        ClusterView view;
        ControlClient client;
    };

    /** Runs the loop until the condition holds; fails the test after 4,000 waits of 5 ms. */
    void waitUntil(Loop& loop, const char* what, const std::function<bool()>& condition)
    {
        for (int i = 0; i < 4000 && !condition(); ++i)
            sleepFor(loop, 5ms);
        ASSERT_TRUE(condition()) << what;
    }

    void runInLoop(const std::function<void(Loop&)>& body)
    {
        // Fibers of clients and servers may outlive the body, so the loop is never destroyed.
        auto* loop = new Loop;
        loop->spawn([&] {
            body(*loop);
            loop->stop();
        });
        loop->run();
    }

    struct Admin {
        Admin(Loop& loop, const Voter& voter)
            : client(loop)
            , port(voter.http->port())
        {
        }

        std::pair<int, json> send(const std::string& method, const std::string& target, const json& body = {}, const std::string& key = operatorKey)
        {
            return sendText(method, target, body.is_null() ? "" : body.dump(), key);
        }

        std::pair<int, json> sendText(const std::string& method, const std::string& target, const std::string& body, const std::string& key = operatorKey)
        {
            HttpCallSettings call;
            call.host = "127.0.0.1";
            call.port = port;
            call.method = method;
            call.target = target;
            call.headers = { { "Authorization", "Bearer " + key } };
            call.body = body;
            auto response = fetch(client, call);
            EXPECT_TRUE(response);
            if (!response)
                return { 0, {} };
            location = std::string(findHeader(response->headers, "Location"));
            return { response->status, json::parse(response->body, nullptr, false) };
        }

        HttpClient client;
        uint16_t port;
        std::string location;
    };

    // Guards against a node that serves before it has a lease and a configuration, and against claims that are not forwarded to the leader.
    TEST(ControlServerTest, ANodeGetsLeaseConfigurationAndClaims)
    {
        runInLoop([](Loop& loop) {
            Voter follower(loop, 1, false);
            Voter leader(loop, 2, true);
            Entry entry(loop, 7, { follower.address(), leader.address() });
            EXPECT_FALSE(entry.client.hasLease());
            EXPECT_FALSE(entry.client.hasConfiguration());
            waitUntil(loop, "lease from the second voter", [&] { return entry.client.hasLease(); });
            EXPECT_TRUE(entry.client.hasConfiguration());
            ASSERT_TRUE(leader.server.propose(encodeCommand(customerChange("c", 0, "pincel"))));
            waitUntil(loop, "change applied by the node", [&] { return entry.view.findCustomerByKeyHash("hash of pincel") != nullptr; });
            waitUntil(loop, "change applied by all nodes", [&] { return leader.server.nodesBehind(leader.state.config().version).empty(); });

            auto claim = claimOf("key", 1, 7);
            auto granted = entry.client.claimRun(claim, 5s);
            ASSERT_TRUE(granted);
            EXPECT_EQ(granted->outcome, ClaimOutcome::Granted);
            ASSERT_TRUE(entry.client.finishRun(finishOf(claim, RunState::Done), 5s));
            auto again = claimOf("key", 2, 7);
            auto finished = entry.client.claimRun(again, 5s);
            ASSERT_TRUE(finished);
            EXPECT_EQ(finished->outcome, ClaimOutcome::Finished);
            auto claimOfAnotherNode = claimOf("key", 3, 8);
            EXPECT_EQ(entry.client.claimRun(claimOfAnotherNode, 5s).error().kind, ErrorKind::Unauthorized);
        });
    }

    // Pattern: all processes restart after a power failure. Guards against owners and entries that learn of an assignment
    // only with their next heartbeat, which costs one heartbeat interval at each step.
    TEST(ControlServerTest, HeartbeatsAreSolicitedWhenPoolsAreReassigned)
    {
        runInLoop([](Loop& loop) {
            Voter leader(loop, 1, true);
            Entry entry(loop, 7, { leader.address() }, 1, 1h);
            waitUntil(loop, "node knows the pools that it owns", [&] {
                const auto& pools = entry.view.config().pools;
                return !pools.empty() && pools.begin()->second.owner == NodeId(7);
            });
        });
    }

    // Guards against a pool that stays assigned to a lost node, and against its runs that stay claimed.
    TEST(ControlServerTest, PoolsAndRunsOfALostNodeAreTakenOver)
    {
        runInLoop([](Loop& loop) {
            Voter leader(loop, 1, true, {}, 200ms);
            auto lost = std::make_unique<Entry>(loop, 1, std::vector { leader.address() });
            auto owner = [&] { return leader.state.config().pools.begin()->second.owner; };
            waitUntil(loop, "pool has an owner", [&] { return owner() == NodeId(1); });
            ASSERT_TRUE(leader.server.propose(encodeCommand(customerChange("c", 0, "pincel"))));
            auto claim = claimOf("key", 1, 1);
            ASSERT_TRUE(lost->client.claimRun(claim, 5s));
            Entry other(loop, 2, { leader.address() });
            waitUntil(loop, "lease of the other node", [&] { return other.client.hasLease(); });
            EXPECT_EQ(owner(), NodeId(1));
            lost.reset();
            waitUntil(loop, "takeover of the pool", [&] { return owner() == NodeId(2); });
            EXPECT_FALSE(leader.state.config().pools.begin()->second.previousOwner.isValid());
            EXPECT_TRUE(leader.state.config().nodes.at(NodeId(1)).lost);
            EXPECT_EQ(other.client.claimRun(claimOf("key", 2, 2), 5s)->outcome, ClaimOutcome::Unknown);
            Entry returned(loop, 1, { leader.address() }, 2);
            waitUntil(loop, "lease of the restarted node", [&] { return returned.client.hasLease(); });
            EXPECT_FALSE(leader.state.config().nodes.at(NodeId(1)).lost);
            other.client.setDraining();
            waitUntil(loop, "handover of the pool", [&] { return owner() == NodeId(1); });
            EXPECT_EQ(leader.state.config().pools.begin()->second.previousOwner, NodeId(2));
        });
    }

    // Guards against a process that sends heartbeats in the name of another node.
    TEST(ControlServerTest, HeartbeatsMustMatchTheLinksIdentity)
    {
        runInLoop([](Loop& loop) {
            Voter leader(loop, 1, true);
            LinkClient tool(loop, "127.0.0.1", leader.links->port(), linkOf(LinkRole::Tool, 7), {});
            ASSERT_TRUE(tool.waitOpen(5s));
            auto rejected = tool.call(MessageType::Heartbeat, encode(Heartbeat { nodeRecord(7, 1), {}, {} }), 5s);
            ASSERT_FALSE(rejected);
            EXPECT_EQ(rejected.error().kind, ErrorKind::Unauthorized);
            EXPECT_FALSE(tool.call(MessageType::Heartbeat, "garbage", 5s));
            EXPECT_TRUE(leader.state.config().nodes.empty());
        });
    }

    // Guards against unauthorized changes, misspelled fields that are ignored, and conflicts that do not report the current version.
    TEST(AdminApiTest, ChangesAreValidatedAndRecorded)
    {
        runInLoop([](Loop& loop) {
            Voter leader(loop, 1, true, { { NodeId(1), "127.0.0.1", 7001, 7002 } });
            Admin admin(loop, leader);
            json contract { { "tier", 1 }, { "share", 2 } };
            json change { { "change_id", "c1" }, { "expected_version", 0 }, { "contract", contract } };
            EXPECT_EQ(admin.send("PUT", "/v1/customers/pincel", change, "wrong key").first, 401);
            auto misspelt = change;
            misspelt["contract"]["shares"] = 3;
            auto [badStatus, bad] = admin.send("PUT", "/v1/customers/pincel", misspelt);
            EXPECT_EQ(badStatus, 422);
            EXPECT_NE(bad["error"]["message"].get<std::string>().find("contract.shares"), std::string::npos);
            EXPECT_EQ(admin.send("PUT", "/v1/customers/pin%20cel", change).first, 400);
            EXPECT_EQ(admin.send("PUT", "/v1/customers/pincel?wait=1", change).first, 400);
            EXPECT_EQ(admin.sendText("PUT", "/v1/customers/pincel", "{\"contract\":" + std::string(100000, '[')).first, 400);
            EXPECT_TRUE(leader.state.config().customers.empty());

            auto [status, accepted] = admin.send("PUT", "/v1/customers/pincel", change);
            EXPECT_EQ(status, 200);
            EXPECT_EQ(accepted["version"], 1);
            EXPECT_EQ(accepted["in_force"], true);
            EXPECT_EQ(admin.send("PUT", "/v1/customers/pincel", change).second, accepted);
            change["change_id"] = "c2";
            auto [conflictStatus, conflict] = admin.send("PUT", "/v1/customers/pincel", change);
            EXPECT_EQ(conflictStatus, 409);
            EXPECT_EQ(conflict["error"]["kind"], "version_conflict");
            EXPECT_EQ(conflict["version"], 1);
            EXPECT_EQ(admin.send("GET", "/v1/changes/c1").second["version"], 1);
            EXPECT_EQ(admin.send("GET", "/v1/changes/c2").second["accepted"], false);
            EXPECT_EQ(admin.send("GET", "/v1/changes/c3").first, 404);
            EXPECT_EQ(admin.send("GET", "/v1/customers/pincel").second["contract"]["share"], 2.0);
            EXPECT_EQ(admin.send("DELETE", "/v1/customers/pincel").first, 404);
            EXPECT_EQ(admin.send("GET", "/v1/status").second["leader"], 1);
        });
    }

    // Guards against blocks of requests that operators can neither see nor clear, and that nodes are not told of.
    TEST(AdminApiTest, BlockedSuspectsAreListedAndCleared)
    {
        runInLoop([](Loop& loop) {
            Voter leader(loop, 1, true, { { NodeId(1), "127.0.0.1", 7001, 7002 } });
            Admin admin(loop, leader);
            Entry entry(loop, 5, { leader.address() });
            const SuspectId suspect { RequestDigest(0xabc) };
            ASSERT_TRUE(entry.client.recordSuspects({ { { suspect, 3, 2, false, 0 } }, {} }, 5s));
            waitUntil(loop, "the entry knows the block", [&] { return entry.view.config().suspects.contains(suspect); });
            auto listed = admin.send("GET", "/v1/suspects").second["suspects"];
            ASSERT_EQ(listed.size(), 1u);
            EXPECT_EQ(listed[0]["suspect"], "request-0000000000000abc");
            EXPECT_EQ(listed[0]["crashes"], 3);
            EXPECT_EQ(listed[0]["sends_after_third_crash"], 2);
            EXPECT_EQ(admin.send("POST", "/v1/suspects/abc/clear").first, 404);
            EXPECT_EQ(admin.send("POST", "/v1/suspects/request-abc/clear", {}, "wrong key").first, 401);
            for (int i = 0; i < 2; ++i) {
                auto [status, cleared] = admin.send("POST", "/v1/suspects/request-abc/clear");
                EXPECT_EQ(status, 200);
                EXPECT_EQ(cleared["in_force"], true);
            }
            EXPECT_FALSE(entry.view.config().suspects.contains(suspect));
            EXPECT_TRUE(admin.send("GET", "/v1/suspects").second["suspects"].empty());
        });
    }

    // Guards against "in_force" while a node has not applied the change, and "drained" while requests are in flight.
    TEST(AdminApiTest, WaitsForNodesAndForRequestsInFlight)
    {
        runInLoop([](Loop& loop) {
            Voter leader(loop, 1, true);
            Admin admin(loop, leader);
            LinkClient node(loop, "127.0.0.1", leader.links->port(), linkOf(LinkRole::Entry, 7), {});
            ASSERT_TRUE(node.waitOpen(5s));
            auto sendHeartbeat = [&](Version applied, std::vector<CustomerId> busy) {
                ASSERT_TRUE(node.call(MessageType::Heartbeat, encode(Heartbeat { nodeRecord(7, 1), applied, std::move(busy) }), 5s));
            };
            sendHeartbeat({}, {});
            json change { { "change_id", "c1" }, { "expected_version", 0 }, { "contract", { { "tier", 1 } } } };
            auto first = admin.send("PUT", "/v1/customers/pincel?wait_s=0", change).second;
            EXPECT_EQ(first["in_force"], false);
            EXPECT_EQ(first["not_applied"], json({ 7 }));
            sendHeartbeat(leader.state.config().version, {});
            EXPECT_EQ(admin.send("GET", "/v1/changes/c1").second["in_force"], true);

            auto step = [&](const char* name, int version) {
                json body { { "change_id", std::string("s-") + name }, { "expected_version", version }, { "step", name } };
                return admin.send("POST", "/v1/customers/pincel/wind-down?wait_s=0", body);
            };
            EXPECT_EQ(step("no_new_work", 1).first, 200);
            EXPECT_EQ(step("drained", 2).first, 503) << "the node has sent no heartbeat since the step";
            sendHeartbeat(leader.state.config().version, { CustomerId(1) });
            auto [status, busy] = step("drained", 2);
            EXPECT_EQ(status, 503);
            EXPECT_NE(busy["error"]["message"].get<std::string>().find("[7]"), std::string::npos);
            sendHeartbeat(leader.state.config().version, {});
            EXPECT_EQ(step("drained", 2).first, 200);
            EXPECT_EQ(step("exported", 3).first, 200);
            EXPECT_EQ(step("erased", 4).first, 200);
            EXPECT_EQ(step("erased", 4).first, 200);
        });
    }

    // Guards against a follower that responds from stale state.
    TEST(AdminApiTest, AFollowerRedirectsToTheLeader)
    {
        runInLoop([](Loop& loop) {
            Voter follower(loop, 1, false, { { NodeId(1), "127.0.0.1", 7001, 7002 }, { NodeId(2), "127.0.0.2", 7003, 7004 } });
            Admin admin(loop, follower);
            EXPECT_EQ(admin.send("GET", "/v1/customers?wait_s=1").first, 307);
            EXPECT_EQ(admin.location, "http://127.0.0.2:7004/v1/customers?wait_s=1");
            LinkClient node(loop, "127.0.0.1", follower.links->port(), linkOf(LinkRole::Entry, 7), {});
            ASSERT_TRUE(node.waitOpen(5s));
            auto encodedReply = node.call(MessageType::Heartbeat, encode(Heartbeat { nodeRecord(7, 1), {}, {} }), 5s);
            ASSERT_TRUE(encodedReply);
            auto reply = decode<HeartbeatReply>(*encodedReply);
            ASSERT_TRUE(reply);
            EXPECT_EQ(reply->leaseDuration, Duration::zero());
            EXPECT_EQ(reply->leaderHost, "127.0.0.2");
            EXPECT_EQ(reply->leaderPort, 7003);
        });
    }

    // Guards against a leader that was isolated or suspended and then responds from stale state or grants leases before it steps down.
    TEST(AdminApiTest, ALeaderWithoutItsQuorumLeaseServesNothing)
    {
        runInLoop([](Loop& loop) {
            ExpiredLeaseLog expiredLease;
            Voter voter(loop, 1, true, { { NodeId(1), "127.0.0.1", 7001, 7002 } });
            Admin admin(loop, voter);
            LinkClient node(loop, "127.0.0.1", voter.links->port(), linkOf(LinkRole::Entry, 7), {});
            ASSERT_TRUE(node.waitOpen(5s));
            auto leaseNow = [&] {
                auto encodedReply = node.call(MessageType::Heartbeat, encode(Heartbeat { nodeRecord(7, 1), {}, {} }), 5s);
                auto reply = encodedReply.and_then([](const std::string& body) { return decode<HeartbeatReply>(body); });
                EXPECT_TRUE(reply);
                return reply ? reply->leaseDuration : Duration::zero();
            };
            EXPECT_EQ(admin.send("GET", "/v1/customers").first, 200);
            EXPECT_GT(leaseNow(), Duration::zero());
            voter.server.setLog(expiredLease);
            auto [status, body] = admin.send("GET", "/v1/customers");
            EXPECT_EQ(status, 503);
            EXPECT_EQ(body["error"]["kind"], "no_quorum");
            EXPECT_EQ(leaseNow(), Duration::zero());
        });
    }

}
}
