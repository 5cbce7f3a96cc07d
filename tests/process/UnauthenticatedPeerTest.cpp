#include "process/ProcessFixture.h"

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    class UnauthenticatedPeerTest : public ProcessFixture {
    protected:
        std::vector<uint16_t> daemonPorts()
        {
            std::vector<uint16_t> ports;
            for (const auto* name : { "control-1", "entry-1", "entry-2" }) {
                ports.push_back(daemon(name).port);
                ports.push_back(daemon(name).linkPort);
            }
            return ports;
        }
    };

    // Guards against serving callers or operators without a valid key.
    TEST_F(UnauthenticatedPeerTest, WrongKeysAreRefused)
    {
        startWholePath();
        for (const auto& key : { std::string("some other key"), std::string() }) {
            for (uint32_t node : { 1, 2 }) {
                auto response = callPlain(entry(node).port, chat("an unauthenticated prompt", 2, false, key));
                EXPECT_EQ(response.status, 401);
                EXPECT_EQ(errorField(response, "ran"), "no");
            }
            PlainRequest request { "GET", "/v1/status", { { "Authorization", "Bearer " + key } }, "" };
            EXPECT_EQ(callPlain(daemon("control-1").port, request).status, 401);
        }
        // A customer's key gives no access to the admin API, and an operator's key none to the entries.
        PlainRequest customerAsOperator { "GET", "/v1/customers", { { "Authorization", std::string("Bearer ") + customerKey } }, "" };
        EXPECT_EQ(callPlain(daemon("control-1").port, customerAsOperator).status, 401);
        EXPECT_EQ(callPlain(entry(1).port, chat("an operator's prompt", 2, false, operatorKey)).status, 401);
        EXPECT_EQ(timesRun("an unauthenticated prompt") + timesRun("an operator's prompt"), 0);
    }

    // Guards against a node with another fleet's key that joins and receives work or contracts.
    TEST_F(UnauthenticatedPeerTest, NodeWithAnotherFleetKeyCannotJoin)
    {
        startWholePath();
        auto& otherFleetNode = startEntry(8, "the key of another fleet");
        waitUntil("the node with another fleet key serves", [&] { return callPlain(otherFleetNode.port, { "GET", "/healthz", {}, "" }).status == 200; });
        // Node 9 starts later and becomes ready, so node 8 had enough time to join.
        waitReady(startEntry(9));
        EXPECT_EQ(callPlain(otherFleetNode.port, { "GET", "/readyz", {}, "" }).status, 503);
        auto json = status();
        for (const auto& node : json["nodes"])
            EXPECT_NE(node["node"], 8);
    }

    // Guards against malformed input that terminates or blocks a daemon or disturbs other requests.
    TEST_F(UnauthenticatedPeerTest, MalformedInputOnEveryPortIsRejectedWithoutSideEffects)
    {
        startWholePath();
        const std::vector<std::string> malformedInputs {
            std::string(64, '\0'),
            std::string("\xff\xff\xff\xff", 4) + std::string(2000, 'x'),
            std::string("\x00\x00\x00\x10", 4) + std::string(16, '\xc1'),
            "GET / HTTP/9.9\r\n" + std::string(40000, 'h'),
            "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        };
        for (auto port : daemonPorts()) {
            for (const auto& bytes : malformedInputs)
                EXPECT_TRUE(sendGarbage(port, bytes, 30s)) << "port " << port << " still open after " << bytes.substr(0, 20);
        }
        for (const auto* body : { "", "[", "[]", "{}", R"({"model":7})", R"({"model":"small","messages":3})", R"({"model":"small","messages":[{"role":"user","content":{}}]})" }) {
            auto request = chat("", 1, false);
            request.body = body;
            EXPECT_EQ(callPlain(entry(1).port, request).status, 400) << body;
        }
        for (uint32_t node : { 1, 2 }) {
            auto response = callPlain(entry(node).port, chat("after malformed input", 3, true));
            EXPECT_EQ(textOfStream(response.body), expectedChat("after malformed input", 3)) << response.body;
        }
        EXPECT_TRUE(daemon("control-1").process->isRunning());
    }

}
}
