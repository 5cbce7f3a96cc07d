#include "briarhitch/http/HttpClient.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/runtime/Loop.h"
#include "platform/process/CallerCrowd.h"
#include "platform/process/PlatformProcesses.h"

#include <atomic>
#include <fstream>
#include <gtest/gtest.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace briarhitch::platform {
namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    // The crowds and bounds below were fixed before the product code was changed; see docs/incidents/callers-exhaust-memory.md.
    constexpr size_t mib = 1024 * 1024;
    constexpr size_t maxBodyBytes = 4 * mib;
    constexpr size_t requestBytes = 12 * mib;
    constexpr size_t reservedBytes = 2 * mib;
    /** What a process may use beyond its idle memory and the budget: connections, parsers, ordinary work. */
    constexpr size_t marginBytes = 14 * mib;
    /** Descriptors of the process in the test of the connection limit. */
    constexpr size_t descriptorLimit = 320;
    constexpr size_t largeResponseBytes = mib;
    constexpr auto sendTime = 6s;
    /** After this time a call counts as not answered, and is repeated. */
    constexpr Duration callTimeout = 5s;

    /** The platform's list of servers and a service, in a thread that ends with the process. */
    class FakeService {
    public:
        explicit FakeService(const std::string& host)
        {
            std::thread([this, host] { serve(host); }).detach();
            while (!isServing_)
                std::this_thread::yield();
        }

    private:
        void serve(const std::string& host)
        {
            Loop loop;
            HttpServerSettings settings;
            settings.host = host;
            settings.port = PlatformProcesses::platformPort;
            std::unique_ptr<HttpServer> server;
            loop.spawn([&] {
                auto listening = HttpServer::listen(loop, settings, [&](const HttpRequest& request, HttpExchange& exchange) {
                    if (request.path == "/instances") {
                        Json instance { { "id", "i-shop" }, { "service", "shop" }, { "address", host + ":" + std::to_string(settings.port) }, { "zone", "a" }, { "version", "v1" }, { "slots", 256 }, { "state", "ready" } };
                        exchange.send(200, { { "Content-Type", "application/json" } }, Json { { "instances", { instance } }, { "next", nullptr } }.dump());
                        return;
                    }
                    if (request.path == "/charge/slow")
                        sleepFor(loop, 2s);
                    HttpHeaders headers { { "Briarhitch-Request-Id", std::string(request.header("Briarhitch-Request-Id")) }, { "Briarhitch-Response-Stamp", "s" } };
                    exchange.send(200, headers, request.path == "/charge/large" ? std::string(largeResponseBytes, 'r') : "paid");
                });
                ASSERT_TRUE(listening) << listening.error().message;
                server = std::move(*listening);
                isServing_ = true;
            });
            loop.run();
        }

        std::atomic<bool> isServing_ { false };
    };

    enum class Port : uint8_t {
        Callers,
        Operators,
    };

    struct Crowd {
        const char* name;
        size_t connections;
        CrowdRequest request;
    };

    std::ostream& operator<<(std::ostream& out, const Crowd& crowd) { return out << crowd.name; }

    std::string announced(size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n"; }

    const std::string chunkedHeader = "Transfer-Encoding: chunked\r\n\r\n";

    std::vector<Crowd> crowds()
    {
        const std::string block(64 * 1024, 'b');
        const std::string largeChunk = "10000\r\n" + block + "\r\n";
        const std::string smallChunk = "1\r\nb\r\n";
        std::string smallChunks;
        for (int i = 0; i < 10000; ++i)
            smallChunks += smallChunk;
        return {
            // Sent completely, in pieces as the socket accepts them.
            { "WholeBodies", 24, { announced(maxBodyBytes), block, maxBodyBytes } },
            { "BodiesThatStopBeforeTheirEnd", 24, { announced(maxBodyBytes), block, maxBodyBytes - 1 } },
            { "LargeChunksThatStopBeforeTheEnd", 24, { chunkedHeader, largeChunk, 63 * largeChunk.size() } },
            { "OneByteChunksThatStopBeforeTheEnd", 48, { chunkedHeader, smallChunks, mib * smallChunk.size() } },
            { "ChunkedBodiesOverTheLimit", 24, { chunkedHeader, largeChunk, 256 * largeChunk.size() } },
            { "AnnouncedBodiesOverTheLimit", 24, { announced(16 * maxBodyBytes), block, 16 * maxBodyBytes } },
            { "HeadersThatNeverEnd", 1500, { "X-Long: ", std::string(1024, 'h'), 15 * 1024 } },
        };
    }

    class CallerMemoryTest : public testing::Test {
    protected:
        CallerMemoryTest()
            : service_(*new FakeService(fleet_.host(50)))
        {
        }
        ~CallerMemoryTest() override
        {
            for (auto& [name, process] : fleet_.all()) {
                process->kill();
                if (HasFailure())
                    std::cout << "log of " << name << ":\n"
                              << process->log() << "\n";
            }
        }

        /** A front, a pool owner and three control processes with the lowered limits; the front may have few descriptors. */
        void startFleet(bool hasFewDescriptors = false)
        {
            Json memory { { "request_bytes", requestBytes }, { "reserved_bytes", reservedBytes } };
            auto seeds = Json { fleet_.address(1, PlatformProcesses::adminPort), fleet_.address(2, PlatformProcesses::adminPort), fleet_.address(3, PlatformProcesses::adminPort) };
            Json front { { "fleet", { { "seeds", seeds }, { "link_port", PlatformProcesses::linkPort } } }, { "region", "fleet" }, { "zone", "a" }, { "http", { { "address", fleet_.address(20, PlatformProcesses::callerPort) } } },
                { "ready", { { "address", fleet_.address(20, PlatformProcesses::readyPort) } } }, { "link", { { "host", fleet_.host(20) }, { "port", PlatformProcesses::linkPort } } }, { "fleet_key", "fleet key of the tests" },
                { "policy", { { "name", "slots" } } }, { "limits", { { "heartbeat_interval_ms", 100 }, { "solo_after_ms", 150 } } }, { "memory", memory } };
            // The limit is inherited by the program that a shell starts in its own place.
            auto configPath = fleet_.folder() + "/front.json";
            std::ofstream(configPath) << front.dump(2);
            auto descriptors = hasFewDescriptors ? std::to_string(descriptorLimit) : std::string("$(ulimit -n)");
            fleet_.all()["front-20"] = std::make_unique<ChildProcess>("/bin/sh",
                std::vector<std::string> { "-c", "ulimit -n " + descriptors + "; exec \"$0\" \"$@\"", std::string(BRIARHITCH_BIN_DIR) + "/briarhitch-platform-entry", "--config=" + configPath }, fleet_.folder() + "/front-20.log");
            fleet_.startPoolOwner(4);
            for (int number : { 1, 2, 3 }) {
                auto settings = fleet_.controlSettings(number, true);
                settings["memory"] = memory;
                fleet_.start("control-" + std::to_string(number), "briarhitch-platform-control", settings, { "--instances=" + fleet_.address(50, PlatformProcesses::platformPort) });
            }
            waitUntil("a leader that accepts the routing document", [&] { return putRouting(7, 0) == 200; });
            waitUntil("an ordinary request to be served", [&] { return ordinaryStatus(Port::Callers) == 200; });
        }

        int putRouting(int version, size_t paddingBytes)
        {
            Json route { { "name", "charge" }, { "host", "a.example" }, { "pathPrefix", "/charge/" }, { "kind", "unsafe" }, { "timeoutMs", 20000 }, { "targetLatencyMs", 1000 }, { "service", "shop" } };
            Json document { { "version", version }, { "routes", { route } }, { "services", { { { "name", "shop" } } } }, { "tenants", { { { "name", "harbour" }, { "apiKeys", { "key" } } } } } };
            auto text = document.dump();
            text.insert(text.size() - 1, paddingBytes, ' ');
            // A proposal may be lost with a leader that changes while the fleet starts, so no call waits long and any node may be the leader.
            for (int number : { 1, 2, 3 }) {
                if (fetchStatus(PlatformProcesses::callSettings(fleet_.host(number), PlatformProcesses::adminPort, "PUT", "/v1/config", text)) == 200)
                    return 200;
            }
            return 0;
        }

        int inFiber(const std::function<int()>& call)
        {
            int result = 0;
            loop_.spawn([&] {
                result = call();
                loop_.stop();
            });
            loop_.run();
            return result;
        }

        int fetchStatus(HttpCallSettings call)
        {
            call.headerTimeout = callTimeout;
            return inFiber([&] {
                auto response = fetch(client_, call);
                return response ? response->status : 0;
            });
        }

        /** The status of one ordinary request to a port that is under load. */
        int ordinaryStatus(Port port)
        {
            if (port == Port::Callers) {
                auto headers = PlatformProcesses::requestHeaders("ordinary-" + std::to_string(++requests_), "key", 20000);
                return fetchStatus(PlatformProcesses::callSettings(fleet_.host(20), PlatformProcesses::callerPort, "POST", "/charge/1", "body", headers));
            }
            auto status = fetchStatus(PlatformProcesses::callSettings(fleet_.host(1), PlatformProcesses::adminPort, "GET", "/v1/config"));
            // A follower answers with a redirect to the leader.
            return status == 307 ? 200 : status;
        }

        /** The header of a crowd's request, without its end. */
        [[nodiscard]] static std::string beginHeader(Port port)
        {
            if (port == Port::Operators)
                return "PUT /v1/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n";
            return "POST /charge/slow HTTP/1.1\r\nHost: a.example\r\nBriarhitch-Request-Id: 00000000000000aa\r\nX-Api-Key: key\r\nBriarhitch-Deadline-Ms: 20000\r\n";
        }

        ChildProcess& processOf(Port port) { return fleet_.at(port == Port::Callers ? "front-20" : "control-1"); }

        /** A value in kB of /proc/PID/status, in bytes. */
        static size_t memoryOf(ChildProcess& process, const std::string& field)
        {
            std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
            for (std::string line; std::getline(status, line);) {
                if (line.starts_with(field + ":"))
                    return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
            }
            return 0;
        }

        void expectBounded(Port port, size_t connections, CrowdRequest request)
        {
            request.header = beginHeader(port) + request.header;
            auto& process = processOf(port);
            auto idle = memoryOf(process, "VmRSS");
            {
                CallerCrowd crowd(port == Port::Callers ? fleet_.host(20) : fleet_.host(1), port == Port::Callers ? PlatformProcesses::callerPort : PlatformProcesses::adminPort, connections, std::move(request));
                crowd.push(sendTime);
                expectAlive(port, idle);
            }
        }

        void expectAlive(Port port, size_t idle)
        {
            auto& process = processOf(port);
            EXPECT_TRUE(process.isRunning());
            auto peak = memoryOf(process, "VmHWM");
            std::cout << "idle " << idle / mib << " MiB, peak " << peak / mib << " MiB, bound " << (idle + requestBytes + marginBytes) / mib << " MiB\n";
            EXPECT_LT(peak, idle + requestBytes + marginBytes);
            waitUntil("an ordinary request to be answered during the load", [&] { return ordinaryStatus(port) == 200; });
        }

        static void waitUntil(const std::string& what, const std::function<bool()>& condition)
        {
            auto end = std::chrono::steady_clock::now() + 40s;
            while (!condition()) {
                ASSERT_LT(std::chrono::steady_clock::now(), end) << "waited for " << what;
                std::this_thread::sleep_for(50ms);
            }
        }

        PlatformProcesses fleet_ { BRIARHITCH_BIN_DIR };
        /** Never deleted, as its thread uses it until the process exits. */
        FakeService& service_;
        Loop loop_;
        HttpClient client_ { loop_ };
        int requests_ { 0 };
    };

    class CallerMemoryCrowdTest : public CallerMemoryTest, public testing::WithParamInterface<std::tuple<Port, Crowd>> { };

    // Guards against callers that make a process hold more memory than its budget, end it, or keep ordinary callers from being answered.
    TEST_P(CallerMemoryCrowdTest, StaysWithinItsBudgetAndAnswersOthers)
    {
        startFleet();
        const auto& [port, crowd] = GetParam();
        expectBounded(port, crowd.connections, crowd.request);
    }

    INSTANTIATE_TEST_SUITE_P(Crowds, CallerMemoryCrowdTest, testing::Combine(testing::Values(Port::Callers, Port::Operators), testing::ValuesIn(crowds())),
        [](const auto& info) { return std::string(std::get<0>(info.param) == Port::Callers ? "Callers" : "Operators") + std::get<1>(info.param).name; });

    // Guards against answers that pile up in a process because their callers do not read them.
    TEST_F(CallerMemoryTest, AnswersThatCallersDoNotReadAreBounded)
    {
        startFleet();
        std::string header = "POST /charge/large HTTP/1.1\r\nHost: a.example\r\nBriarhitch-Request-Id: 00000000000000aa\r\nX-Api-Key: key\r\nBriarhitch-Deadline-Ms: 20000\r\n" + announced(4);
        auto idle = memoryOf(processOf(Port::Callers), "VmRSS");
        CallerCrowd crowd(fleet_.host(20), PlatformProcesses::callerPort, 100, { header, "body", 4 });
        crowd.push(1s);
        std::this_thread::sleep_for(3s);
        expectAlive(Port::Callers, idle);
    }

    // Guards against configurations that pile up in a control process because operators do not read them.
    TEST_F(CallerMemoryTest, AnswersThatOperatorsDoNotReadAreBounded)
    {
        startFleet();
        waitUntil("a large configuration", [&] { return putRouting(8, 400 * 1024) == 200; });
        // Each node may be the leader, and only the leader sends the configuration.
        for (const char* name : { "control-1", "control-2", "control-3" }) {
            int number = name[std::string_view(name).size() - 1] - '0';
            auto& process = fleet_.at(name);
            auto idle = memoryOf(process, "VmRSS");
            CallerCrowd crowd(fleet_.host(number), PlatformProcesses::adminPort, 150, { "GET /v1/config HTTP/1.1\r\nHost: control\r\n\r\n", "", 0 });
            crowd.push(1s);
            std::this_thread::sleep_for(1s);
            EXPECT_TRUE(process.isRunning());
            auto peak = memoryOf(process, "VmHWM");
            std::cout << name << ": idle " << idle / mib << " MiB, peak " << peak / mib << " MiB\n";
            EXPECT_LT(peak, idle + requestBytes + marginBytes) << name;
        }
    }

    // Guards against connections that use up a process's descriptors, so that it accepts nobody and reaches no target.
    TEST_F(CallerMemoryTest, ManyConnectionsLeaveDescriptorsForOrdinaryWork)
    {
        startFleet(true);
        auto idle = memoryOf(processOf(Port::Callers), "VmRSS");
        CallerCrowd crowd(fleet_.host(20), PlatformProcesses::callerPort, 2 * descriptorLimit, { "", "", 0 });
        crowd.push(2s);
        expectAlive(Port::Callers, idle);
        EXPECT_EQ(fetchStatus(PlatformProcesses::callSettings(fleet_.host(20), PlatformProcesses::readyPort, "GET", "/v1/ready")), 200);
    }

}
}
