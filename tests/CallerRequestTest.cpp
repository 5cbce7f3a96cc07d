#include "briarhitch/entry/CallerRequest.h"

#include "briarhitch/entry/EntrySettings.h"
#include "briarhitch/entry/HttpFrontend.h"
#include "briarhitch/entry/LoadPoller.h"
#include "briarhitch/entry/RequestHistory.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "support/EntryFakes.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    HttpRequest chat(const std::string& body, HttpHeaders headers = {})
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.body = body;
        request.headers = std::move(headers);
        return request;
    }

    const std::string goodBody = R"({"model":"m7","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"hello"}]})";

    Contract testContract()
    {
        Contract contract;
        contract.customer = CustomerId(4);
        contract.tier = Tier(1);
        contract.idempotentCalls = { { "model", "POST", "/v1/" } };
        return contract;
    }

    // Guards against wrong estimates, tiers and keys, on which all later decisions depend.
    TEST(CallerRequestTest, FieldsComeFromBodyHeadersAndContract)
    {
        HttpHeaders headers { { "X-Tier", "3" }, { "X-Deadline-Ms", "1500" }, { "Authorization", "Bearer secret" }, { "Content-Type", "application/json" } };
        auto parsed = parseModelRequest(chat(goodBody, headers), testContract(), RequestId(9), {});
        ASSERT_TRUE(parsed);
        EXPECT_EQ(parsed->serves, "m7");
        EXPECT_TRUE(parsed->isStream);
        EXPECT_TRUE(parsed->isIdempotent);
        EXPECT_EQ(parsed->maxOutputTokens, Tokens(40));
        EXPECT_EQ(parsed->workKindName, "m7/chat/short");
        EXPECT_EQ(parsed->tier, Tier(3));
        EXPECT_EQ(parsed->deadline, 1500ms);
        EXPECT_FALSE(parsed->isKeyFromCaller);
        // The customer's key must not reach targets.
        EXPECT_EQ(findHeader(parsed->headers, "Authorization"), "");
        EXPECT_EQ(findHeader(parsed->headers, "Content-Type"), "application/json");

        auto urgent = parseModelRequest(chat(goodBody, { { "X-Tier", "0" } }), testContract(), RequestId(9), {});
        ASSERT_TRUE(urgent);
        EXPECT_EQ(urgent->tier, Tier(1));
    }

    // Guards against crashes on invalid input from callers, and against error messages that quote it.
    TEST(CallerRequestTest, InvalidInputIsRejectedWithoutQuotingIt)
    {
        std::vector<std::string> bodies { "", "{", "[]", "{}", "null", R"({"model":5})", R"({"model":"m7"})", R"({"model":"m7","messages":[]})",
            R"({"model":"m7","messages":[5]})", R"({"model":"m7","messages":[{"role":"user","content":7}]})",
            R"({"model":"m7","max_tokens":0,"messages":[{"role":"user"}]})", R"({"model":"m7","max_tokens":18446744073709551615,"messages":[{"role":"user"}]})",
            R"({"model":"m7","stream":"yes","messages":[{"role":"user"}]})", std::string(5000, '['), "{\"model\":\"\xff\xfe\"}" };
        for (const auto& body : bodies) {
            auto parsed = parseModelRequest(chat(body), testContract(), RequestId(9), {});
            ASSERT_FALSE(parsed) << body.substr(0, 60);
            EXPECT_EQ(parsed.error().kind, ErrorKind::BadRequest);
            EXPECT_EQ(parsed.error().message.find('\xff'), std::string::npos);
        }
        for (const auto& header : { std::pair("X-Tier", "4"), std::pair("X-Tier", "-1"), std::pair("X-Deadline-Ms", "0"), std::pair("X-Deadline-Ms", "1e3") })
            EXPECT_FALSE(parseModelRequest(chat(goodBody, { header }), testContract(), RequestId(9), {}));
    }

    // Guards against prefix affinity that takes equal blocks at different positions for the same prefix.
    TEST(CallerRequestTest, PrefixHashesCoverAllPrecedingText)
    {
        auto hashesOf = [](const std::string& text) {
            auto body = nlohmann::json { { "model", "m7" }, { "messages", { { { "role", "u" }, { "content", text } } } } }.dump();
            return parseModelRequest(chat(body), testContract(), RequestId(9), {})->prefix;
        };
        std::string common(600, 'a');
        auto hashesB = hashesOf(common + std::string(600, 'b'));
        auto hashesC = hashesOf(common + std::string(600, 'c'));
        ASSERT_EQ(hashesB.size(), hashesC.size());
        EXPECT_EQ(hashesB[0], hashesC[0]);
        EXPECT_EQ(hashesB[1], hashesC[1]);
        EXPECT_NE(hashesB[2], hashesC[2]);
        EXPECT_NE(hashesB[0], hashesB[1]);
        EXPECT_EQ(hashesOf(std::string(4 << 20, 'x')).size(), 128u);
    }

    // Guards against a charge that is taken for idempotent, or judged by another service's rules.
    TEST(CallerRequestTest, ServiceCallsAreIdempotentOnlyByRule)
    {
        auto contract = testContract();
        contract.idempotentCalls = { { "booking", "GET", "/status/" } };
        HttpRequest request;
        request.method = "GET";
        request.path = "/services/booking/status/7";
        request.query = "full=1";
        auto parsed = parseServiceRequest(request, contract, RequestId(9), {});
        ASSERT_TRUE(parsed);
        EXPECT_EQ(parsed->serves, "booking");
        EXPECT_EQ(parsed->target, "/status/7?full=1");
        EXPECT_TRUE(parsed->isIdempotent);
        request.path = "/services/booking/charges";
        EXPECT_FALSE(parseServiceRequest(request, contract, RequestId(9), {})->isIdempotent);
        request.path = "/services/shop/status/7";
        EXPECT_FALSE(parseServiceRequest(request, contract, RequestId(9), {})->isIdempotent);
        request.path = "/services//x";
        EXPECT_FALSE(parseServiceRequest(request, contract, RequestId(9), {}));
    }

    // Guards against histories that grow without bound or are readable by callers.
    TEST(HttpFrontendTest, HistoryIsBoundedAndForOperatorsOnly)
    {
        ManualClock clock;
        RequestHistory history(2, clock.hook());
        for (uint64_t id = 1; id <= 3; ++id)
            history.begin(RequestId(id), "dock", "m7/chat/short", Tier(1));
        for (int i = 0; i < 100; ++i)
            history.add(RequestId(3), "queued", "reason");
        EXPECT_EQ(history.size(), 2u);
        EXPECT_EQ(history.toJson(RequestId(1)), "");
        EXPECT_EQ(nlohmann::json::parse(history.toJson(RequestId(3)))["events"].size(), 64u);

        ClusterView view;
        MetricRegistry metrics;
        HttpFrontendHooks hooks;
        hooks.unreadyReason = [] { return std::string("no lease"); };
        HttpFrontend front({}, view, history, metrics, hooks);
        auto statusOf = [&](const std::string& path, const std::string& peer) {
            HttpRequest request;
            request.method = "GET";
            request.path = path;
            request.peer = peer;
            FakeExchange exchange;
            front.handle(request, exchange);
            EXPECT_EQ(exchange.responses, 1);
            EXPECT_EQ(findHeader(exchange.headers, "X-Request-Id").size(), 16u);
            return exchange.status;
        };
        auto path = "/debug/requests/" + toString(RequestId(3));
        EXPECT_EQ(statusOf(path, "127.0.0.1"), 200);
        EXPECT_EQ(statusOf(path, "10.0.0.5"), 401);
        EXPECT_EQ(statusOf("/debug/requests/zz", "127.0.0.1"), 404);
        EXPECT_EQ(statusOf("/readyz", "10.0.0.5"), 503);
        EXPECT_EQ(statusOf("/healthz", "10.0.0.5"), 200);
        EXPECT_EQ(statusOf("/services/booking/x", "10.0.0.5"), 503);
    }

    // Guards against an unexpected exception that leaves the caller without a response, or ends the process.
    TEST(HttpFrontendTest, UnexpectedExceptionIsReportedAsInternal)
    {
        ManualClock clock;
        RequestHistory history(2, clock.hook());
        ClusterView view;
        MetricRegistry metrics;
        HttpFrontendHooks hooks;
        hooks.unreadyReason = []() -> std::string { throw std::runtime_error("injected fault"); };
        HttpFrontend front({}, view, history, metrics, hooks);
        HttpRequest request;
        request.method = "GET";
        request.path = "/readyz";
        FakeExchange exchange;
        front.handle(request, exchange);
        EXPECT_EQ(exchange.status, 500);
        EXPECT_EQ(nlohmann::json::parse(exchange.body)["error"]["kind"], "internal");
        EXPECT_EQ(findHeader(exchange.headers, "X-Request-Id").size(), 16u);
        EXPECT_FALSE(exchange.isAborted);
    }

    // Guards against targets that no node or every node polls, and against values read from the wrong lines.
    TEST(LoadPollerTest, EachTargetIsPolledByOneNode)
    {
        ClusterConfig config;
        for (uint32_t id = 1; id <= 4; ++id)
            config.nodes[NodeId(id)] = nodeRecord(id);
        config.nodes[NodeId(4)].lost = true;
        for (uint32_t id = 1; id <= 50; ++id) {
            config.targets[TargetId(id)].id = TargetId(id);
            config.targets[TargetId(id)].region = "lakes";
        }
        std::map<TargetId, int> polls;
        for (uint32_t id = 1; id <= 4; ++id) {
            for (const auto& target : LoadPoller({ NodeId(id), "lakes" }, {}).targetsToPoll(config))
                ++polls[target.id];
        }
        EXPECT_EQ(polls.size(), 50u);
        for (const auto& [target, count] : polls)
            EXPECT_EQ(count, 1);

        LoadReport report;
        EXPECT_TRUE(readLoad("# engine_requests_running 9\nengine_requests_running{gpu=\"0\"} 3\nengine_requests_waiting 2\nengine_cache_usage 0.25\nx", report));
        EXPECT_EQ(report.running, 3u);
        EXPECT_EQ(report.waiting, 2u);
        EXPECT_DOUBLE_EQ(report.cacheUsage, 0.25);
        EXPECT_FALSE(readLoad("engine_requests_running nan\nother 1\n", report));
    }

    // Guards against settings that are misread, or ignored without an error.
    TEST(EntrySettingsTest, ErrorsNameTheirSettings)
    {
        const std::string good = R"({"node":11,"region":"lakes","zone":"duluth","http":{"host":"127.0.0.1","port":8080},
            "link":{"host":"127.0.0.1","port":7200},"control_voters":[{"host":"127.0.0.1","port":7100}],"fleet_key":"0123456789abcdef",
            "limits":{"token_timeout_ms":1500}})";
        auto settings = EntrySettings::fromText(good, "entry.json");
        ASSERT_TRUE(settings) << settings.error().message;
        EXPECT_EQ(settings->node, NodeId(11));
        EXPECT_EQ(settings->limits.tokenTimeout, 1500ms);
        EXPECT_EQ(settings->controlVoters, std::vector { (HostPort { "127.0.0.1", 7100 }) });
        auto bad = EntrySettings::fromText(R"({"node":0,"fleet_key":"short","policy":{"name":"best"},"limit":{}})", "entry.json");
        ASSERT_FALSE(bad);
        for (const auto* name : { "node", "fleet_key", "policy.name", "limit", "http", "link", "control_voters", "region" })
            EXPECT_NE(bad.error().message.find("entry.json: " + std::string(name) + ":"), std::string::npos) << name << "\n"
                                                                                                             << bad.error().message;
    }

}
}
