#include "briarhitch/entry/CallerRequest.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/settings/SettingsReader.h"
#include "entry/EventStreamParser.h"
#include "support/Mutation.h"
#include "wire/Codec.h"
#include "wire/LinkConnection.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    constexpr uint64_t seed = 20261204;
    constexpr int mutations = 20000;

    Contract sampleContract()
    {
        Contract contract;
        contract.customer = CustomerId(3);
        contract.name = "harbour";
        contract.ceiling = { 10, 5000, 8 };
        contract.idempotentCalls = { { "shop", "GET", "/status/" } };
        contract.models = { "small" };
        contract.keyHashes = { std::string(64, 'a') };
        return contract;
    }

    HeartbeatReply sampleReply()
    {
        HeartbeatReply reply;
        reply.leaseDuration = std::chrono::seconds(3);
        reply.term = 4;
        ClusterConfig config;
        config.version = Version(12);
        config.customers[CustomerId(3)] = sampleContract();
        config.targets[TargetId(1)].name = "engine-1";
        config.nodes[NodeId(5)].host = "127.0.0.1";
        config.pools[PoolId(9)].name = "model:small@north";
        reply.snapshot = config;
        reply.deltas = { ConfigDelta { Version(13), { sampleContract() }, {}, {}, {} } };
        return reply;
    }

    PoolSync sampleSync()
    {
        RunningAttempt running;
        running.request.attempt = { RequestId(77), 2 };
        running.request.prefix = { 1, 2, 3 };
        running.request.excluded = { TargetId(4) };
        running.target = TargetId(6);
        return { PoolId(9), Epoch(3), { running }, { { 55, TargetId(6) } }, { { PoolId(9), TargetId(6), RequestRate(3.2), 40 } }, {}, { { SuspectId(PromptPartId(77)), SuspectState::Blocked, 3, 0, false, { { TargetId(6), 20, false, { RequestDigest(5) } } }, 900 } } };
    }

    /** Decodes mutations of a value; a mutation that is accepted must encode and decode again. */
    template <class T>
    void expectDecodedOrRejected(const T& value)
    {
        Random random(seed);
        const auto bytes = encode(value);
        int rejected = 0;
        for (int i = 0; i < mutations; ++i) {
            auto decoded = decode<T>(mutate(bytes, random));
            if (decoded)
                EXPECT_TRUE(decode<T>(encode(*decoded)));
            else
                ++rejected;
        }
        EXPECT_GT(rejected, 0);
        EXPECT_TRUE(decode<T>(bytes));
    }

    // Guards against malformed bytes of a peer that crash a node, an operator's change or the leader.
    TEST(DecoderMutationTest, LinkMessagesAreDecodedOrRejected)
    {
        expectDecodedOrRejected(Frame { FrameKind::Request, 5, MessageType::GrantRequest, "body" });
        expectDecodedOrRejected(LinkHello { 1, { LinkRole::Entry, NodeId(5), Incarnation(8) }, std::string(16, 'n'), std::string(32, 'p') });
        expectDecodedOrRejected(ErrorReplyBody { ErrorKind::NoLease, Ran::No, "no lease", std::chrono::seconds(1) });
        expectDecodedOrRejected(Heartbeat { { NodeId(5), Incarnation(8), "north", "north-1", "127.0.0.1", 7000, false, false }, Version(9), { CustomerId(3) } });
        expectDecodedOrRejected(sampleReply());
        expectDecodedOrRejected(sampleSync());
        expectDecodedOrRejected(ClaimRun { { CustomerId(3), "key" }, 9, { RequestId(7), 1 }, NodeId(5), Incarnation(8) });
        expectDecodedOrRejected(ClaimRunReply { ClaimOutcome::Finished, RecordedResponse { 201, "application/json", "{}" } });
        expectDecodedOrRejected(FinishRun { { CustomerId(3), "key" }, { RequestId(7), 1 }, RunState::Done, RecordedResponse { 201, "text/plain", "x" } });
        expectDecodedOrRejected(GrantRefusal { PoolId(9), { RequestId(7), 1 }, ErrorKind::Shed, 2000, "reason" });
        expectDecodedOrRejected(CeilingAllocation { { 5, 2000, 20 }, true, 1000 });
        expectDecodedOrRejected(LoadReport { PoolId(9), TargetId(6), 3, 1, 0.5, true });
    }

    // Guards against length fields that make a decoder allocate more memory than the size of the message justifies.
    TEST(DecoderMutationTest, ClaimedLengthsAreBoundedByTheInput)
    {
        EXPECT_FALSE(decode<PoolSync>(std::string("\x94\x01\x01\xdd\xff\xff\xff\xff\x90", 9)));
        EXPECT_FALSE(decode<ClaimRunReply>(std::string("\x92\x01\x93\x01\xc6\xff\xff\xff\xff", 9)));
        EXPECT_FALSE(decode<Heartbeat>(std::string(100000, '\x91')));
    }

    // Guards against a caller's body that crashes an entry. Runs in a fiber, whose stack is small.
    TEST(DecoderMutationTest, CallersBodiesAreParsedOrRejected)
    {
        Loop loop;
        loop.spawn([&] {
            Random random(seed);
            auto contract = sampleContract();
            HttpRequest request;
            request.method = "POST";
            request.path = "/v1/chat/completions";
            const std::string body = R"({"model":"small","stream":true,"max_tokens":8,"n":1,"messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]})";
            int rejected = 0;
            for (int i = 0; i < mutations; ++i) {
                request.body = mutate(body, random);
                rejected += parseModelRequest(request, contract, RequestId(1), {}) ? 0 : 1;
            }
            EXPECT_GT(rejected, mutations / 4);
            constexpr size_t depth = 1000000;
            request.body = R"({"model":"small","messages":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
            EXPECT_FALSE(parseModelRequest(request, contract, RequestId(1), {}));
            loop.stop();
        });
        loop.run();
    }

    // Guards against an event stream that crashes an entry or loses bytes of complete events when it arrives in chunks.
    TEST(DecoderMutationTest, EventsDoNotDependOnChunkBoundaries)
    {
        Random random(seed);
        const std::string stream = "id: 1\ndata: {\"a\":1}\n\nid: 2\r\ndata: two\r\n\r\n: comment\n\ndata: [DONE]\n\n";
        for (int i = 0; i < mutations; ++i) {
            auto mutated = mutate(stream, random);
            EventStreamParser atOnce;
            size_t expected = atOnce.feed(mutated).size();
            EventStreamParser chunked;
            size_t cut = mutated.empty() ? 0 : random.below(mutated.size());
            size_t found = chunked.feed(std::string_view(mutated).substr(0, cut)).size();
            found += chunked.feed(std::string_view(mutated).substr(cut)).size();
            EXPECT_EQ(found, expected) << mutated;
        }
    }

    // Guards against a malformed settings file that crashes a daemon instead of being rejected with its problems.
    TEST(DecoderMutationTest, SettingsAreReadOrRejected)
    {
        Random random(seed);
        const std::string text = "{ // comment\n \"node\": 5, \"zone\": \"north\", \"http\": { \"port\": 80 }, \"voters\": [ { \"host\": \"h\" } ] }";
        int rejected = 0;
        for (int i = 0; i < mutations; ++i) {
            auto reader = SettingsReader::fromText(mutate(text, random), "test");
            if (!reader) {
                ++rejected;
                continue;
            }
            reader->integer("node", 1, 10);
            reader->string("zone");
            reader->object("http", true, [](SettingsReader& http) { http.integer("port", 1, 100); });
            reader->objects("voters", true, [](SettingsReader& voter) { voter.string("host"); });
            rejected += reader->finish() ? 0 : 1;
        }
        EXPECT_GT(rejected, mutations / 4);
    }

}
}
