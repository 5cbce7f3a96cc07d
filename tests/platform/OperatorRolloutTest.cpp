#include "OperatorApi.h"

#include "briarhitch/control/AdminApi.h"
#include "briarhitch/control/LocalLog.h"
#include "briarhitch/core/Digest.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "rollout/RolloutDriver.h"
#include "wire/Codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarhitch::platform {
namespace {

    using namespace std::chrono_literals;

    constexpr auto orderText = R"({"service":"huvo11a","target":"v2","durationS":12})";
    constexpr auto operatorKey = "operator key of the tests";

    /** Keeps the answer. */
    class RecordedExchange : public HttpExchange {
    public:
        bool send(int answered, const HttpHeaders& sent, std::string_view text) override
        {
            status = answered;
            headers = sent;
            body = text;
            return true;
        }
        bool beginStream(int, const HttpHeaders&) override { return false; }
        bool write(std::string_view) override { return false; }
        bool endStream() override { return false; }
        void abort() override { }
        [[nodiscard]] bool isCallerDisconnected() const override { return false; }
        void onCallerDisconnected(std::function<void()>) override { }

        int status { 0 };
        HttpHeaders headers;
        std::string body;
    };

    /** The log of a leader that stores nothing in time, so that the outcome is unknown, or of a follower of node 2. */
    class FailingLog : public ReplicatedLog {
    public:
        explicit FailingLog(bool leads)
            : leads_(leads)
        {
        }
        Result<std::string> propose(std::string, Duration) override { return fail(ErrorKind::NoQuorum, "timed out"); }
        [[nodiscard]] bool hasLeaderLease() const override { return leads_; }
        [[nodiscard]] uint64_t term() const override { return 7; }
        [[nodiscard]] std::optional<NodeId> leader() const override { return NodeId(leads_ ? 1 : 2); }

    private:
        bool leads_;
    };

    struct Control {
        explicit Control(std::optional<RolloutBounds> bounds = RolloutBounds {})
            : server(loop, settingsOf(bounds), state, metrics)
            , admin(loop, { NodeId(1), {}, { sha256Hex(operatorKey) }, PoolScope::Region, {} }, server, metrics)
            , log(NodeId(1), hooks())
        {
            server.setLog(log);
            log.start();
            PutRoutingCommand routing;
            routing.routing.version = Version(1);
            routing.routing.services.push_back({});
            routing.routing.services.back().name = "huvo11a";
            state.apply(encodeCommand(routing));
        }

        static ControlServerSettings settingsOf(std::optional<RolloutBounds> bounds)
        {
            ControlServerSettings settings;
            settings.self = NodeId(1);
            settings.voters = { { NodeId(1), "10.0.0.1", 1, 2 }, { NodeId(2), "10.0.0.2", 1, 2 } };
            settings.rollout = bounds;
            return settings;
        }

        ReplicatedLogHooks hooks()
        {
            ReplicatedLogHooks result;
            result.apply = [this](uint64_t, std::string_view command) { return state.apply(command); };
            result.onRoleChange = [this](bool leads, uint64_t term) { server.onRoleChange(leads, term); };
            return result;
        }

        RecordedExchange call(const std::string& method, const std::string& path, const std::string& body = {})
        {
            RecordedExchange exchange;
            HttpRequest request;
            request.method = method;
            request.path = path;
            request.body = body;
            request.headers = { { "Authorization", std::string("Bearer ") + operatorKey } };
            if (!handleOperator(request, exchange, server))
                admin.handle(request, exchange);
            return exchange;
        }

        int order(const std::string& body) { return call("POST", "/v1/rollouts", body).status; }

        Loop loop;
        MetricRegistry metrics;
        StateMachine state;
        ControlServer server;
        AdminApi admin;
        LocalLog log;
    };

    // Guards against an order that is lost, answered with a status that ends the operator's call wrongly, or not readable afterwards.
    TEST(OperatorRolloutTest, OrdersAreAcceptedOnceAndReadBack)
    {
        Control control;
        EXPECT_EQ(control.call("GET", "/v1/rollouts/huvo11a").status, 404);
        EXPECT_EQ(control.order(orderText), 200);
        EXPECT_EQ(control.order(orderText), 200) << "the answer may have been lost";
        EXPECT_EQ(control.state.config().rollouts.at("huvo11a").durationMs, 12000u);
        auto read = control.call("GET", "/v1/rollouts/huvo11a");
        EXPECT_EQ(read.status, 200);
        EXPECT_EQ(nlohmann::json::parse(read.body), nlohmann::json({ { "state", "running" }, { "target", "v2" } }));
        EXPECT_EQ(control.order(R"({"service":"huvo11a","target":"v3","durationS":12})"), 409);
        EXPECT_EQ(control.order(R"({"service":"gone","target":"v3","durationS":12})"), 404);
    }

    // Guards against a body that is accepted with a wrong meaning, or ends the process.
    TEST(OperatorRolloutTest, BadBodiesAreRefused)
    {
        Control control;
        for (const auto* body : { "", "[]", "7", "{", R"({"service":"huvo11a","target":"v2"})", R"({"service":7,"target":"v2","durationS":12})",
                 R"({"service":"huvo11a","target":"","durationS":12})", R"({"service":"huvo11a","target":"v2","durationS":"12"})",
                 R"({"service":"huvo11a","target":"v2","durationS":0})", R"({"service":"huvo11a","target":"v2","durationS":1e300})" })
            EXPECT_EQ(control.order(body), 400) << body;
    }

    // Guards against a follower that answers from its own state, and against a status that states that an order of unknown outcome
    // has failed or has not run.
    TEST(OperatorRolloutTest, FollowersRedirectAndUnknownOutcomesAreReportedAsUnknown)
    {
        Control control;
        FailingLog follower(false);
        control.server.setLog(follower);
        control.server.onRoleChange(false, 7);
        for (const auto& answer : { control.call("POST", "/v1/rollouts", orderText), control.call("GET", "/v1/rollouts/huvo11a") }) {
            EXPECT_EQ(answer.status, 307);
            EXPECT_TRUE(findHeader(answer.headers, "Location").starts_with("http://10.0.0.2:2/v1/rollouts"));
        }
        FailingLog leader(true);
        control.server.setLog(leader);
        control.server.onRoleChange(true, 8);
        EXPECT_EQ(control.order(orderText), 502);
    }

    // Guards against rollouts in deployments that do not enable them.
    TEST(OperatorRolloutTest, WithoutSettingsThereAreNoRollouts)
    {
        Control control(std::nullopt);
        EXPECT_EQ(control.order(orderText), 404);
        EXPECT_EQ(control.call("GET", "/v1/rollouts").status, 404);
        EXPECT_TRUE(control.state.config().rollouts.empty());
    }

    // Guards against reports that the leader drops or a follower accepts, and an operators' list without what decided.
    TEST(OperatorRolloutTest, ReportsOfTheOwnerAreShownToOperators)
    {
        Control control;
        ASSERT_EQ(control.call("POST", "/v1/rollouts/huvo11a", R"({"target":"v2","duration_s":12})").status, 200);
        ASSERT_TRUE(control.server.propose(encodeCommand(RegisterNodeCommand { { NodeId(5), Incarnation(1), "r", "z", "h", 1, false, false } }, 0)));
        auto pool = control.state.config().pools.begin()->first;
        ASSERT_TRUE(control.server.propose(encodeCommand(AssignPoolsCommand { { { pool, Epoch(0), NodeId(5), Incarnation(1), NodeId(), Version(0) } } })));
        ASSERT_EQ(control.state.config().pools.at(pool).owner, NodeId(5));
        RolloutReport report;
        report.rollout = RolloutId(1);
        report.pool = pool;
        report.epoch = control.state.config().pools.at(pool).epoch;
        report.counters.push_back({ WorkKindId(1), true, 9, 8, 7, 1, 3.0 });
        Peer peer;
        peer.identity = { LinkRole::Entry, NodeId(5), Incarnation(1) };
        auto send = [&] { return decode<RolloutReportReply>(*control.server.onRequest(peer, MessageType::RolloutReport, encode(report)))->accepted; };
        EXPECT_TRUE(send());
        auto list = nlohmann::json::parse(control.call("GET", "/v1/rollouts").body)["rollouts"];
        ASSERT_EQ(list.size(), 1u);
        EXPECT_EQ(list[0]["target_version"], nlohmann::json({ { "granted", 9 }, { "answered", 8 }, { "bad", 7 } }));
        EXPECT_EQ(list[0]["reasons"].size(), 1u);
        control.server.onRoleChange(false, 2);
        FailingLog follower(false);
        control.server.setLog(follower);
        EXPECT_FALSE(send());
        peer.identity.role = LinkRole::Control;
        EXPECT_FALSE(control.server.onRequest(peer, MessageType::RolloutReport, encode(report)));
    }

}
}
