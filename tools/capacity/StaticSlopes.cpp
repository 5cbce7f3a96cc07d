#include "capacity/StaticSlopes.h"

#include "briarhitch/control/StateMachine.h"
#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Digest.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/wire/Link.h"
#include "wire/Codec.h"
#include "wire/LinkConnection.h"

#include <algorithm>
#include <ctime>
#include <stdexcept>

namespace briarhitch {

namespace {

    constexpr size_t frameLengthBytes = 4;
    /** The best of several tries is the one least disturbed by other work on the machine. */
    constexpr int timingTries = 5;
    const std::vector<uint32_t> customerCounts { 5, 500, 1500, 3000, 4500 };
    const std::vector<uint32_t> targetCounts { 15, 300, 900, 1500, 2100 };
    const std::vector<uint32_t> callCounts { 1000, 2000, 4000, 8000 };
    const std::vector<uint32_t> recordCounts { 20000, 50000, 100000, 200000 };
    /** Blocks of 256 bytes in a prompt of 1,200 tokens of four bytes. */
    constexpr uint32_t promptBlocks = 19;
    /** Body of a linked call, about that of an ask with a prefix. */
    constexpr size_t callBodyBytes = 54;
    /** Body of a recorded answer of a charge. */
    constexpr size_t answerBodyBytes = 80;

    template <class T>
    double framedBytes(FrameKind kind, MessageType type, const T& body)
    {
        // A call number in the middle of its range, as a process has after some days.
        constexpr uint32_t callNumber = 1000000;
        return static_cast<double>(encode(Frame { kind, kind == FrameKind::Post ? 0 : callNumber, type, encode(body) }).size() + frameLengthBytes);
    }

    Contract contractNumber(uint32_t number)
    {
        Contract contract;
        contract.customer = CustomerId(number);
        contract.name = "customer-" + std::to_string(number);
        contract.version = Version(3);
        contract.tier = Tier(static_cast<uint8_t>(number % Tier::count));
        contract.share = 1 + number % 7;
        contract.ceiling = { 50, 20000, 100 };
        contract.idempotentCalls = { { "shop", "GET", "/status/" }, { "model", "POST", "/v1/" } };
        contract.models = { "large", "small" };
        contract.keyHashes = { sha256Hex(contract.name) };
        return contract;
    }

    Target targetNumber(uint32_t number)
    {
        Target target;
        target.id = TargetId(number);
        target.name = "engine-" + std::to_string(number);
        target.version = Version(2);
        target.serves = "model-" + std::to_string(number % 19);
        target.region = "region-" + std::to_string(number % 4);
        target.zone = "zone-" + std::to_string(number % 15);
        target.host = "10.20." + std::to_string(number / 250) + "." + std::to_string(number % 250);
        target.port = 8000;
        target.hardware = "g" + std::to_string(number % 4);
        target.pool = PoolId(1 + number % 76);
        return target;
    }

    NodeRecord nodeNumber(uint32_t number)
    {
        return { NodeId(number), Incarnation(1800000000000), "region-1", "zone-1", "10.20.30.40", 7000, false, false };
    }

    double processorSeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
    }

    LinkSettings linkSettingsOf(uint32_t node)
    {
        LinkSettings settings;
        settings.fleetKey = "fleet key of the capacity run";
        settings.identity = { LinkRole::Entry, NodeId(node), Incarnation(1) };
        return settings;
    }

    std::vector<Point> measureCalls(Loop& loop)
    {
        LinkHooks hooks;
        hooks.onRequest = [](const Peer&, MessageType, std::string_view body) -> Result<std::string> { return std::string(body); };
        auto server = LinkServer::listen(loop, "127.0.0.1", 0, linkSettingsOf(1), hooks);
        if (!server)
            throw std::runtime_error(server.error().message);
        LinkClient client(loop, "127.0.0.1", (*server)->port(), linkSettingsOf(2), {});
        client.waitOpen(std::chrono::seconds(5));
        std::vector<Point> points;
        for (uint32_t count : callCounts) {
            double begin = processorSeconds();
            for (uint32_t i = 0; i < count; ++i) {
                if (!client.call(MessageType::GrantRequest, std::string(callBodyBytes, 'x'), std::chrono::seconds(5)))
                    throw std::runtime_error("a call over a loopback link failed");
            }
            points.push_back({ static_cast<double>(count), processorSeconds() - begin });
        }
        return points;
    }

    std::string stateWithRecords(uint32_t count)
    {
        StateMachine state;
        PutCustomerCommand put;
        put.change = { "change-1", Version(0) };
        put.contract = contractNumber(1);
        state.apply(encodeCommand(put));
        state.apply(encodeCommand(RegisterNodeCommand { nodeNumber(1) }, 1));
        for (uint32_t i = 0; i < count; ++i) {
            AttemptId attempt { RequestId(0x1234567800000000 + i), 1 };
            RunKey key { CustomerId(1), sha256Hex(std::to_string(i)).substr(0, 32) };
            state.apply(encodeCommand(ClaimRunCommand { { key, i, attempt, NodeId(1), nodeNumber(1).incarnation }, UINT64_MAX }, 1));
            RecordedResponse answer { 201, "application/json", std::string(answerBodyBytes, 'x') };
            state.apply(encodeCommand(FinishRunCommand { { key, attempt, RunState::Done, answer }, UINT64_MAX }, 1));
        }
        if (state.runs().size() != count)
            throw std::runtime_error("run records were not accepted");
        return state.takeSnapshot();
    }

    template <class Run>
    double bestMicroseconds(Run&& run)
    {
        double best = 1e18;
        for (int i = 0; i < timingTries; ++i) {
            auto start = BootClock::now();
            run();
            best = std::min(best, toSeconds(BootClock::now() - start) * 1e6);
        }
        return best;
    }

    std::vector<Slope> snapshotSlopes(const std::string& of, const std::vector<uint32_t>& counts, const std::function<void(ClusterConfig&, uint32_t)>& add)
    {
        std::vector<Point> bytes;
        std::vector<Point> decodeTime;
        for (uint32_t count : counts) {
            ClusterConfig config;
            for (uint32_t number = 1; number <= count; ++number)
                add(config, number);
            std::string snapshot = encode(config);
            bytes.push_back({ static_cast<double>(count), static_cast<double>(snapshot.size()) });
            double time = bestMicroseconds([&] { (void)decode<ClusterConfig>(snapshot); });
            decodeTime.push_back({ static_cast<double>(count), time });
        }
        return { fitLine("snapshot_bytes_by_" + of, "bytes/" + of, bytes), fitLine("snapshot_decode_us_by_" + of, "us/" + of, decodeTime) };
    }

}

std::map<std::string, double> messageBytes()
{
    AttemptId attempt { RequestId(0x1234567890abcdef), 1 };
    GrantRequest ask;
    ask.pool = PoolId(70);
    ask.attempt = attempt;
    ask.customer = CustomerId(4000);
    ask.kind = WorkKindId(0x12345678);
    ask.promptTokens = Tokens(1200);
    ask.maxOutputTokens = Tokens(500);
    for (uint32_t block = 0; block < promptBlocks; ++block)
        ask.prefix.push_back(0x12345678 + (block << 24));
    ask.deadlineMs = 30000;

    Heartbeat heartbeat { nodeNumber(300), Version(100000), {} };
    HeartbeatReply reply;
    reply.leaseDuration = std::chrono::seconds(3);
    reply.term = 20;
    HeartbeatReply withChange = reply;
    withChange.deltas = { ConfigDelta { Version(100001), { contractNumber(4000) }, {}, {}, {} } };

    std::map<std::string, double> result;
    result["heartbeat"] = framedBytes(FrameKind::Request, MessageType::Heartbeat, heartbeat);
    result["heartbeat_reply"] = framedBytes(FrameKind::Reply, MessageType::Heartbeat, reply);
    result["contract_change"] = framedBytes(FrameKind::Reply, MessageType::Heartbeat, withChange) - result["heartbeat_reply"];
    result["ask"] = framedBytes(FrameKind::Post, MessageType::GrantRequest, ask);
    result["grant"] = framedBytes(FrameKind::Post, MessageType::Grant, Grant { ask.pool, attempt, Epoch(500), TargetId(2000) });
    result["started"] = framedBytes(FrameKind::Post, MessageType::AttemptStarted, AttemptStarted { ask.pool, attempt, 800 });
    result["finished"] = framedBytes(FrameKind::Post, MessageType::AttemptFinished,
        AttemptFinished { ask.pool, attempt, AttemptOutcome::Completed, Tokens(1200), Tokens(350), 20000 });
    result["load_report"] = framedBytes(FrameKind::Post, MessageType::LoadReport, LoadReport { ask.pool, TargetId(2000), 30, 5, 0.73, true });
    result["ceiling_ask"] = framedBytes(FrameKind::Request, MessageType::CeilingRequest, CeilingRequest { PoolId(3), CustomerId(4000), 2.5, 800.5, 12 });
    result["ceiling_portion"] = framedBytes(FrameKind::Reply, MessageType::CeilingRequest, CeilingAllocation { { 5, 2000, 20 }, true, 1000 });
    result["link_heartbeat"] = static_cast<double>(encode(Frame {}).size() + frameLengthBytes);
    result["claim_run"] = framedBytes(FrameKind::Request, MessageType::ClaimRun,
        ClaimRun { { CustomerId(4000), "0123456789abcdef0123456789abcdef" }, 0x1234567890abcdef, attempt, NodeId(300), Incarnation(1800000000000) });
    return result;
}

std::vector<Slope> configurationSlopes()
{
    auto slopes = snapshotSlopes("customer", customerCounts, [](ClusterConfig& config, uint32_t number) {
        config.customers[CustomerId(number)] = contractNumber(number);
    });
    auto byTarget = snapshotSlopes("target", targetCounts, [](ClusterConfig& config, uint32_t number) {
        config.targets[TargetId(number)] = targetNumber(number);
    });
    slopes.insert(slopes.end(), byTarget.begin(), byTarget.end());
    return slopes;
}

Slope linkCallSlope()
{
    Loop loop;
    std::vector<Point> points;
    loop.spawn([&] {
        points = measureCalls(loop);
        loop.stop();
    });
    loop.run();
    return fitLine("link_cpu_s_by_call", "s/call", points);
}

std::vector<Slope> runRecordSnapshotSlopes()
{
    std::vector<Point> bytes;
    std::vector<Point> seconds;
    for (uint32_t count : recordCounts) {
        auto snapshot = stateWithRecords(count);
        bytes.push_back({ static_cast<double>(count), static_cast<double>(snapshot.size()) });
        double time = bestMicroseconds([&] {
            StateMachine loaded;
            (void)loaded.loadSnapshot(snapshot);
        });
        seconds.push_back({ static_cast<double>(count), time * 1e-6 });
    }
    return { fitLine("control_snapshot_bytes_by_run_record", "bytes/record", bytes), fitLine("control_snapshot_load_s_by_run_record", "s/record", seconds) };
}

}
