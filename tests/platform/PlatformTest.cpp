#include "InstanceList.h"
#include "RoutingCodec.h"
#include "Wire.h"

#include "briarhitch/core/Digest.h"

#include <gtest/gtest.h>

namespace briarhitch::platform {
namespace {

    using namespace std::chrono_literals;

    std::string configText(const std::string& change = {}, const std::string& replacement = {})
    {
        std::string text = R"({"version":7,"routes":[
            {"name":"r1","host":"Ficu.example","pathPrefix":"/pufi/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":300,"priority":1,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":250},
            {"name":"r2","host":"ficu.example","pathPrefix":"/lohu/","kind":"unsafe","timeoutMs":1200,"targetLatencyMs":150,"priority":9,"trafficSplit":[{"service":"llm","weight":90},{"service":"shop","weight":10}]}],
            "services":[{"name":"llm","healthPath":"/healthz","maxConnections":360,"engine":{"slots":12,"kvCapacityTokens":494091,"stride":6}},{"name":"shop","healthPath":"/healthz","maxConnections":96}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
            "tenants":[{"name":"hule","apiKeys":["secret1","secret2"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":256497,"burst":300000}]})";
        if (!change.empty())
            text.replace(text.find(change), change.size(), replacement);
        return text;
    }

    // Guards against a field that is decoded into a field of another meaning.
    TEST(RoutingCodecTest, DocumentIsDecodedIntoRouting)
    {
        auto routing = decodeRouting(configText());
        ASSERT_TRUE(routing) << routing.error().message;
        EXPECT_EQ(routing->version, Version(7));
        const auto& stream = routing->routes.at(0);
        EXPECT_EQ(stream.host, "ficu.example");
        EXPECT_EQ(stream.kind, RouteKind::Stream);
        EXPECT_EQ(stream.objectiveMs, 300u);
        EXPECT_EQ(stream.firstEventTimeoutMs, 2000u);
        EXPECT_EQ(stream.eventGapObjectiveMs, 250u);
        EXPECT_TRUE(stream.isResumable);
        EXPECT_FALSE(stream.isPublic);
        EXPECT_EQ(routing->routes.at(1).tier, Tier(3)) << "priorities beyond the least urgent tier map to that tier";
        EXPECT_EQ(routing->routes.at(1).services.size(), 2u);
        EXPECT_TRUE(routing->services.at(0).isModel);
        EXPECT_EQ(routing->services.at(0).tokensPerEvent, 6u);
        EXPECT_FALSE(routing->services.at(1).isModel);
        const auto& customer = routing->customers.at(0);
        EXPECT_EQ(customer.keyHashes.at(1), sha256Hex("secret2"));
        EXPECT_EQ(customer.ceiling.tokensPerSecond, 256497);
        EXPECT_EQ(customer.ceiling.requestsPerSecond, 0);
        EXPECT_EQ(customer.ceiling.burst, 300000);
        EXPECT_EQ(customer.defaultTokens, 200);
    }

    // Guards against an invalid document that is acknowledged.
    TEST(RoutingCodecTest, InvalidDocumentsAreRejected)
    {
        for (auto [change, replacement] : std::vector<std::pair<std::string, std::string>> {
                 { R"("tenants")", "" },
                 { R"("service":"llm")", R"("service":"gone")" },
                 { R"("timeoutMs":1200)", R"("timeoutMs":0)" },
                 { R"("weight":90)", R"("weight":"many")" },
                 { R"("version":7)", R"("version":-7)" },
                 { R"("version":7,)", "" },
                 { R"("kind":"unsafe")", R"("kind":"odd")" },
                 { R"(/lohu/)", "/lohu" },
                 { R"("host":"ficu.example","pathPrefix":"/lohu/")", R"("host":"ficu.example","pathPrefix":"/pufi/")" },
             }) {
            EXPECT_FALSE(decodeRouting(configText(change, replacement))) << change;
        }
        EXPECT_FALSE(decodeRouting(configText().substr(0, 500)));
        EXPECT_FALSE(decodeRouting(""));
    }

    // Guards against deeply nested values that end the process that reads them.
    TEST(RoutingCodecTest, DeeplyNestedValuesAreRejected)
    {
        constexpr size_t depth = 200000;
        auto deep = std::string(depth, '[') + std::string(depth, ']');
        EXPECT_FALSE(decodeRouting(configText(R"("apiKeys":["secret1","secret2"])", R"("apiKeys":)" + deep)));
        EXPECT_FALSE(decodeRouting(configText(R"("version":7)", R"("version":)" + deep)));
        EXPECT_TRUE(decodeRouting(configText(R"("version":7)", R"("version":7,"unknown":)" + deep)));
        auto stopped = serverProtocol().parseMigrationResult(Target(), 200, R"({"handle":)" + deep + "}");
        EXPECT_EQ(stopped.state, GenerationState::Unknown);
    }

    // Guards against an entry of another program that is taken for a usable server, or makes the other entries unreadable.
    TEST(InstanceListTest, InvalidEntriesAreLeftOut)
    {
        auto routing = *decodeRouting(configText());
        auto entry = [](const std::string& id, const std::string& extraFields) {
            return R"({"service":"llm","address":"10.128.0.9:8080","zone":"a","slots":12,"state":"ready","id":")" + id + "\"" + extraFields + "}";
        };
        std::string body = R"({"instances":[)" + entry("i-1", "") + "," + entry("i-2", R"(,"state":"draining")") + "," + entry("i-3", R"(,"state":"odd")") + ","
            + entry("i-4", R"(,"service":"gone")") + "," + entry("i-5", R"(,"address":7)") + "," + entry("", "") + R"(,7,"x",{}],"next":"p-50"})";
        auto page = decodeInstances(body, routing);
        ASSERT_TRUE(page);
        ASSERT_EQ(page->targets.size(), 2u);
        EXPECT_EQ(page->targets[0].name, "i-1");
        EXPECT_EQ(page->targets[0].kind, TargetKind::Engine);
        EXPECT_EQ(page->targets[0].memoryTokens, 494091);
        EXPECT_EQ(page->targets[1].state, TargetState::Draining);
        EXPECT_EQ(page->nextPageToken, "p-50");
        EXPECT_FALSE(decodeInstances("no list", routing));
        EXPECT_FALSE(decodeInstances(R"({"instances":7})", routing));
    }

    // Guards against one odd entry of another writer that hides the servers beside it, or ends the process that reads the list.
    TEST(InstanceListTest, OddEntryDoesNotHideTheOthers)
    {
        auto routing = *decodeRouting(configText());
        const std::string sound = R"("service":"llm","address":"10.128.0.9:8080","zone":"a","slots":12,"state":"ready","version":"v1","coldRemainingMs":0,"born":7)";
        std::string deepArray = std::string(200000, '[') + std::string(200000, ']');
        std::string deepObject;
        for (int i = 0; i < 100000; ++i)
            deepObject += R"({"a":)";
        deepObject += "1" + std::string(100000, '}');
        const std::vector<std::string> values { deepArray, deepObject, "1e999", "-1e999", "99999999999999999999999999", "1e300", "-1", "12.5", "null", "true", "{}", "[]", R"("")",
            R"("10.128.0.9:99999")", R"("10.128.0.9:8080x")", R"("\ud800")", "\"\xff\xfe\"", "\"a\x01b\"", "\"" + std::string(300000, 'a') + "\"", "tru", "01", "nan" };
        for (const char* field : { "id", "service", "address", "zone", "slots", "state", "version", "coldRemainingMs", "born", "models", "unknown" }) {
            for (const auto& value : values) {
                SCOPED_TRACE(std::string(field) + " " + value.substr(0, 40));
                std::string odd = "{" + sound + R"(,"id":"i-odd",")";
                odd.append(field).append("\":").append(value).append("}");
                for (int position = 0; position < 3; ++position) {
                    std::vector<std::string> entries { "{" + sound + R"(,"id":"i-1"})", "{" + sound + R"(,"id":"i-2"})" };
                    entries.insert(entries.begin() + position, odd);
                    auto page = decodeInstances(R"({"instances":[)" + entries[0] + "," + entries[1] + "," + entries[2] + R"(],"next":null})", routing);
                    ASSERT_TRUE(page);
                    std::vector<std::string> names;
                    for (const auto& target : page->targets)
                        names.push_back(target.name);
                    EXPECT_EQ(std::count(names.begin(), names.end(), "i-1"), 1);
                    EXPECT_EQ(std::count(names.begin(), names.end(), "i-2"), 1);
                    EXPECT_LE(names.size(), 3u);
                }
            }
        }
    }

    HttpRequest clientRequest()
    {
        HttpRequest http;
        http.method = "POST";
        http.path = "/lohu/2f";
        http.query = "q=1";
        http.body = "body";
        http.headers = { { "Host", "Ficu.example:80" }, { "Briarhitch-Request-Id", "9c41" }, { "Briarhitch-Token-Count", "1460,80" },
            { "Briarhitch-Prefix-Hash", "5c1e07a2:800,91bd3f06:410" }, { "Briarhitch-Deadline-Ms", "15000" }, { "Briarhitch-Length-Hint", "60" },
            { "X-Api-Key", "secret1" }, { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-Other", "2" }, { "Content-Length", "4" },
            { "Briarhitch-Tenant", "forged" }, { "briarhitch-hold", "forged" }, { "Briarhitch-Pin-Ms", "1" }, { "Kv-From", "forged" }, { "Last-Event-Id", "5" } };
        return http;
    }

    // Guards against forwarding API keys, and client values of headers that only this system may set, to a server.
    TEST(WireTest, ReservedHeadersAreNotForwarded)
    {
        auto request = decodeRequest(clientRequest());
        std::vector<std::string> names;
        for (const auto& [name, value] : request.headers)
            names.push_back(name);
        EXPECT_EQ(names, (std::vector<std::string> { "Briarhitch-Request-Id", "Briarhitch-Token-Count", "Briarhitch-Prefix-Hash", "Briarhitch-Length-Hint", "X-Other" }));
        EXPECT_EQ(request.host, "ficu.example");
        EXPECT_EQ(request.target, "/lohu/2f?q=1");
        EXPECT_EQ(request.keyHash, sha256Hex("secret1"));
        EXPECT_EQ(request.callerTimeout, 15000ms);
        EXPECT_EQ(request.promptTokens, Tokens(1460));
        EXPECT_EQ(request.maxOutputTokens, Tokens(80));
        EXPECT_EQ(request.expectedOutputTokens, Tokens(60));
        ASSERT_EQ(request.prefix.size(), 2u);
        EXPECT_EQ(request.prefix[0].id, PromptPartId(0x5c1e07a2));
        EXPECT_EQ(request.lastEventId, 5u);
    }

    // Guards against accepting a response that is not the server's response to this request, or a status from which clients
    // conclude that the request did not run although the server did not confirm that.
    TEST(WireTest, ResponsesAreClassified)
    {
        auto protocol = serverProtocol();
        auto request = decodeRequest(clientRequest());
        auto classify = [&](int status, const HttpHeaders& headers) { return protocol.classifyResponse(request, status, headers); };
        HttpHeaders valid { { "Briarhitch-Response-Stamp", "s" }, { "Briarhitch-Request-Id", "9c41" } };
        EXPECT_EQ(classify(200, valid), ResponseKind::Valid);
        EXPECT_EQ(classify(500, valid), ResponseKind::Valid);
        EXPECT_EQ(classify(503, valid), ResponseKind::Invalid) << "the server did not confirm that the request did not run";
        EXPECT_EQ(classify(503, { { "Briarhitch-Not-Run", "1" } }), ResponseKind::NotRun);
        EXPECT_EQ(classify(421, {}), ResponseKind::WrongTarget);
        EXPECT_EQ(classify(200, { { "Briarhitch-Request-Id", "9c41" } }), ResponseKind::Invalid);
        EXPECT_EQ(classify(200, { { "Briarhitch-Response-Stamp", "s" }, { "Briarhitch-Request-Id", "other" } }), ResponseKind::Invalid);
        auto encoded = valid;
        encoded.emplace_back("Content-Encoding", "gzip");
        EXPECT_EQ(classify(200, encoded), ResponseKind::Invalid);
        EXPECT_EQ(classify(500, { { "Briarhitch-Response-Stamp", "s" }, { "Briarhitch-Request-Id", "other" } }), ResponseKind::Invalid);
        for (int status : { 0, 99, 100, 101, 199, 600, 999 }) {
            EXPECT_EQ(classify(status, valid), ResponseKind::Invalid) << status;
            EXPECT_EQ(classify(status, { { "Briarhitch-Not-Run", "1" } }), ResponseKind::Invalid) << status;
        }
        EXPECT_EQ(protocol.responseOwner(request, { { "Briarhitch-Request-Id", "other" } }), ResponseOwner::OtherRequest);
        EXPECT_EQ(protocol.responseOwner(request, valid), ResponseOwner::ThisRequest);
        EXPECT_EQ(protocol.responseOwner(request, {}), ResponseOwner::Unknown);
    }

    // Guards against requests to a server that drains or asked for a pause, and against pauses from invalid headers.
    TEST(WireTest, DrainingAndPausesAreReadFromHeaders)
    {
        auto signals = [](int status, const HttpHeaders& headers) { return serverProtocol().targetSignals(headers, status); };
        EXPECT_TRUE(signals(200, { { "Server-Leaving", "1" } }).isDraining);
        EXPECT_TRUE(signals(503, { { "server-leaving", "1" } }).isDraining);
        EXPECT_FALSE(signals(200, { { "Server-Leaving", "0" } }).isDraining);
        EXPECT_EQ(signals(503, { { "Retry-After", "1.25" } }).pause, 1250ms);
        EXPECT_EQ(signals(429, { { "Retry-After", "1.25" } }).pause, 0ms) << "only a 503 asks for a pause";
        for (const auto* invalid : { "-3", "soon", "", "nan", "Wed, 21 Oct 2026 07:28:00 GMT" })
            EXPECT_EQ(signals(503, { { "Retry-After", invalid } }).pause, 0ms) << invalid;
        EXPECT_GT(signals(503, { { "Retry-After", "1e300" } }).pause, 1min);
    }

    // Guards against a server's request limit that is not read, and against limits from invalid headers.
    TEST(WireTest, RequestLimitsAreReadFromHeaders)
    {
        auto signals = [](const HttpHeaders& headers) { return serverProtocol().targetSignals(headers, 200); };
        EXPECT_EQ(signals({ { "Server-Limit", "3.2" } }).rateLimit, RequestRate(3.2));
        EXPECT_EQ(signals({ { "server-limit", "0" } }).rateLimit, RequestRate(0));
        EXPECT_FALSE(signals({}).rateLimit);
        EXPECT_TRUE(signals({}).isRateLimitReadable) << "the server names no limit";
        EXPECT_EQ(signals({ { "Server-Limit", "4, 2.5" } }).rateLimit, RequestRate(2.5)) << "the lowest value counts";
        EXPECT_EQ(signals({ { "Server-Limit", "2.5" }, { "Server-Limit", "none" }, { "Server-Limit", "4" } }).rateLimit, RequestRate(2.5));
        EXPECT_TRUE(signals({ { "Server-Limit", "2.5" }, { "Server-Limit", "none" } }).isRateLimitReadable);
        EXPECT_EQ(signals({ { "Server-Limit", "1e300" } }).rateLimit, RequestRate(1e6));
        for (const auto* invalid : { "", "-1", "few", "nan", "inf", "3.2 a second", "," }) {
            EXPECT_FALSE(signals({ { "Server-Limit", invalid } }).rateLimit) << invalid;
            EXPECT_FALSE(signals({ { "Server-Limit", invalid } }).isRateLimitReadable) << invalid;
        }
    }

    // Guards against attempts without the expected target, customer, time left, or position to resume a stream.
    TEST(WireTest, AttemptHeadersCarryTargetTimeLeftAndResumption)
    {
        auto protocol = serverProtocol();
        auto request = decodeRequest(clientRequest());
        Target target;
        target.name = "i-7f";
        auto headers = protocol.headersFor({ request, target, "hule", 1234ms, 7, "10.0.0.1:80/h7" });
        EXPECT_EQ(findHeader(headers, "Briarhitch-Deadline-Ms"), "1234");
        EXPECT_EQ(findHeader(headers, "Briarhitch-Expect-Instance"), "i-7f");
        EXPECT_EQ(findHeader(headers, "Briarhitch-Tenant"), "hule");
        EXPECT_EQ(findHeader(headers, "Last-Event-Id"), "7");
        EXPECT_EQ(findHeader(headers, "Kv-From"), "10.0.0.1:80/h7");
        auto error = makeError(ErrorKind::Shed, "");
        error.retryAfter = 1250ms;
        EXPECT_EQ(findHeader(protocol.refusalHeaders(error), "Retry-After"), "1.250");
    }

}
}
