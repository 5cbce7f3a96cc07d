#include "process/ProcessFixture.h"

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    class StrangerTest : public ProcessFixture {
    protected:
        std::vector<uint16_t> ownPorts()
        {
            std::vector<uint16_t> ports;
            for (const auto* name : { "control-1", "entry-1", "entry-2" }) {
                ports.push_back(daemon(name).port);
                ports.push_back(daemon(name).linkPort);
            }
            return ports;
        }
    };

    // Guards against answers to callers, operators or nodes that don't know a key.
    TEST_F(StrangerTest, WrongKeysAreRefused)
    {
        startWholePath();
        for (const auto& key : { std::string("some other key"), std::string() }) {
            for (uint32_t node : { 1, 2 }) {
                auto answer = callPlain(entry(node).port, chat("a stranger's prompt", 2, false, key));
                EXPECT_EQ(answer.status, 401);
                EXPECT_EQ(errorField(answer, "ran"), "no");
            }
            PlainRequest request { "GET", "/v1/status", { { "Authorization", "Bearer " + key } }, "" };
            EXPECT_EQ(callPlain(daemon("control-1").port, request).status, 401);
        }
        // A customer's key opens nothing to an operator's tool, and the other way round.
        PlainRequest mixed { "GET", "/v1/customers", { { "Authorization", std::string("Bearer ") + customerKey } }, "" };
        EXPECT_EQ(callPlain(daemon("control-1").port, mixed).status, 401);
        EXPECT_EQ(callPlain(entry(1).port, chat("an operator's prompt", 2, false, operatorKey)).status, 401);
        EXPECT_EQ(timesRun("a stranger's prompt") + timesRun("an operator's prompt"), 0);
    }

    // Guards against a node with another fleet's key that joins and is given work or contracts.
    TEST_F(StrangerTest, NodeWithAnotherFleetKeyStaysOutside)
    {
        startWholePath();
        auto& stranger = startEntry(8, "the key of another fleet");
        waitUntil("the stranger serves", [&] { return callPlain(stranger.port, { "GET", "/healthz", {}, "" }).status == 200; });
        // A node that starts after it shows that there was time enough to join.
        waitReady(startEntry(9));
        EXPECT_EQ(callPlain(stranger.port, { "GET", "/readyz", {}, "" }).status, 503);
        auto json = status();
        for (const auto& node : json["nodes"])
            EXPECT_NE(node["node"], 8);
    }

    // Guards against input that ends, blocks or confuses a daemon.
    TEST_F(StrangerTest, GarbageOnEveryPortIsCutOffAndDisturbsNothing)
    {
        startWholePath();
        const std::vector<std::string> garbage {
            std::string(64, '\0'),
            std::string("\xff\xff\xff\xff", 4) + std::string(2000, 'x'),
            std::string("\x00\x00\x00\x10", 4) + std::string(16, '\xc1'),
            "GET / HTTP/9.9\r\n" + std::string(40000, 'h'),
            "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        };
        for (auto port : ownPorts()) {
            for (const auto& bytes : garbage)
                EXPECT_TRUE(sendGarbage(port, bytes, 30s)) << "port " << port << " still open after " << bytes.substr(0, 20);
        }
        for (const auto* body : { "", "[", "[]", "{}", R"({"model":7})", R"({"model":"small","messages":3})", R"({"model":"small","messages":[{"role":"user","content":{}}]})" }) {
            auto request = chat("", 1, false);
            request.body = body;
            EXPECT_EQ(callPlain(entry(1).port, request).status, 400) << body;
        }
        for (uint32_t node : { 1, 2 }) {
            auto answer = callPlain(entry(node).port, chat("after the garbage", 3, true));
            EXPECT_EQ(textOfStream(answer.body), expectedChat("after the garbage", 3)) << answer.body;
        }
        EXPECT_TRUE(daemon("control-1").process->isRunning());
    }

}
}
