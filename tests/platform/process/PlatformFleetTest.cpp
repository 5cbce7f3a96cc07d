#include "briarhitch/http/HttpClient.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/runtime/Loop.h"
#include "process/ChildProcess.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace briarhitch::platform {
namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr uint16_t adminPort = 18300;
    constexpr uint16_t linkPort = 18301;
    constexpr uint16_t poolLinkPort = 18302;
    constexpr uint16_t callerPort = 18303;
    constexpr uint16_t readyPort = 18304;
    constexpr uint16_t platformPort = 18305;

    // Paths to which the stand-in's servers answer in their own ways.
    constexpr auto slowPlan = "/plan/slow";
    constexpr auto brokenPlan = "/plan/broken";
    constexpr auto lostCharge = "/charge/lost";
    constexpr auto endlessPlan = "/plan/endless";
    constexpr auto endlessCharge = "/charge/endless";
    constexpr size_t endlessBlock = 64 * 1024;
    /** Memory of the smallest entry VM of the deployments. */
    constexpr size_t smallestEntryKb = 88 * 1024;
    constexpr Duration slowEvent = 700ms;
    constexpr int enginePlaces = 4;

    std::string eventText(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

    /** The platform's list of servers and one server of each service, in a thread that ends with the process. */
    class StandInPlatform {
    public:
        explicit StandInPlatform(const std::string& host)
            : host_(host)
        {
            std::thread([this] { serve(); }).detach();
            while (!isServing_)
                std::this_thread::yield();
        }

        std::atomic<int> charges { 0 };
        std::atomic<int> places { enginePlaces };

    private:
        void serve()
        {
            Loop loop;
            loop_ = &loop;
            HttpServerSettings settings;
            settings.host = host_;
            settings.port = platformPort;
            std::unique_ptr<HttpServer> server;
            loop.spawn([&] {
                auto listening = HttpServer::listen(loop, settings, [this](const HttpRequest& request, HttpExchange& exchange) { answer(request, exchange); });
                ASSERT_TRUE(listening) << listening.error().message;
                server = std::move(*listening);
                isServing_ = true;
            });
            loop.run();
        }

        void answer(const HttpRequest& request, HttpExchange& exchange)
        {
            if (request.path == "/instances") {
                Json list { { "instances", Json::array() }, { "next", nullptr } };
                for (const auto* service : { "llm", "shop" })
                    list["instances"].push_back({ { "id", std::string("i-") + service }, { "service", service }, { "address", host_ + ":" + std::to_string(platformPort) }, { "zone", "a" }, { "slots", places.load() }, { "state", "ready" } });
                exchange.send(200, { { "Content-Type", "application/json" } }, list.dump());
                return;
            }
            HttpHeaders headers { { "Briarhitch-Request-Id", std::string(request.header("Briarhitch-Request-Id")) }, { "Briarhitch-Response-Stamp", "s" } };
            if (request.path.starts_with("/charge/")) {
                ++charges;
                if (request.path == lostCharge) {
                    exchange.abort();
                    return;
                }
                if (request.path == endlessCharge) {
                    exchange.beginStream(200, headers);
                    writeWithoutEnd(exchange);
                    return;
                }
                exchange.send(200, headers, "paid by " + std::string(request.header("Briarhitch-Tenant")));
                return;
            }
            headers.emplace_back("Content-Type", "text/event-stream");
            exchange.beginStream(200, headers);
            for (int id = 1; id <= 3; ++id) {
                exchange.write(eventText(id));
                if (request.path == endlessPlan) {
                    writeWithoutEnd(exchange);
                    return;
                }
                if (request.path == slowPlan)
                    sleepFor(*loop_, slowEvent);
                if (request.path == brokenPlan && id == 2) {
                    exchange.abort();
                    return;
                }
            }
            exchange.endStream();
        }

        /** Bytes that complete nothing, until the caller closes. */
        static void writeWithoutEnd(HttpExchange& exchange)
        {
            const std::string block(endlessBlock, 'x');
            while (exchange.write(block)) { }
            exchange.abort();
        }

        std::string host_;
        Loop* loop_ { nullptr };
        std::atomic<bool> isServing_ { false };
    };

    class PlatformFleetTest : public testing::Test {
    protected:
        PlatformFleetTest()
            : network_("127." + std::to_string(10 + getpid() % 200) + "." + std::to_string((getpid() / 200 + fleets++) % 200) + ".")
            , platform_(*new StandInPlatform(host(50)))
        {
            auto pattern = (std::filesystem::temp_directory_path() / "briarhitch-platform-XXXXXX").string();
            folder_ = mkdtemp(pattern.data());
        }
        ~PlatformFleetTest() override
        {
            for (auto& [name, process] : processes_) {
                process->kill();
                if (HasFailure())
                    std::cout << "log of " << name << ":\n"
                              << process->log() << "\n";
            }
            std::error_code ignored;
            std::filesystem::remove_all(folder_, ignored);
        }

        [[nodiscard]] std::string host(int number) const { return network_ + std::to_string(number); }
        [[nodiscard]] std::string address(int number, uint16_t port) const { return host(number) + ":" + std::to_string(port); }

        [[nodiscard]] Json fleet() const
        {
            return { { "seeds", { address(1, adminPort), address(2, adminPort), address(3, adminPort) } }, { "link_port", linkPort } };
        }

        ChildProcess& start(const std::string& name, const std::string& program, const Json& settings, const std::vector<std::string>& more = {})
        {
            auto path = folder_ + "/" + name + ".json";
            std::ofstream(path) << settings.dump(2);
            std::vector<std::string> arguments { "--config=" + path };
            arguments.insert(arguments.end(), more.begin(), more.end());
            auto& process = processes_[name];
            process = std::make_unique<ChildProcess>(std::string(BRIARHITCH_BIN_DIR) + "/" + program, arguments, folder_ + "/" + name + ".log");
            return *process;
        }

        ChildProcess& startControl(int number, bool mayFound)
        {
            return start("control-" + std::to_string(number), "briarhitch-platform-control", controlSettings(number, mayFound), { "--instances=" + address(50, platformPort) });
        }

        /** A control process whose files cannot grow beyond some kilobytes; its writes then fail as on a full disk. */
        ChildProcess& startControlWithLittleRoom(int number)
        {
            auto name = "control-" + std::to_string(number);
            auto path = folder_ + "/" + name + ".json";
            std::ofstream(path) << controlSettings(number, true).dump(2);
            auto& process = processes_[name];
            process = std::make_unique<ChildProcess>("/bin/sh", std::vector<std::string> { "-c", "trap '' XFSZ; ulimit -f 32; exec \"$0\" \"$@\"", std::string(BRIARHITCH_BIN_DIR) + "/briarhitch-platform-control", "--config=" + path, "--instances=" + address(50, platformPort) }, folder_ + "/" + name + ".log");
            return *process;
        }

        [[nodiscard]] Json controlSettings(int number, bool mayFound) const
        {
            auto settings = Json { { "fleet", fleet() }, { "link", { { "host", host(number) }, { "port", linkPort } } }, { "admin", { { "address", address(number, adminPort) } } },
                { "data_folder", folder_ + "/data-" + std::to_string(number) }, { "fleet_key", "fleet key of the tests" } };
            settings["fleet"]["may_found"] = mayFound;
            return settings;
        }

        ChildProcess& startPools(int number)
        {
            return start("pools-" + std::to_string(number), "briarhitch-platform-entry", { { "fleet", fleet() }, { "region", "fleet" }, { "zone", "a" }, { "serves_callers", false }, { "prefers_pools", true }, { "link", { { "host", host(number) }, { "port", poolLinkPort } } }, { "fleet_key", "fleet key of the tests" }, { "policy", { { "name", "slots" } } } });
        }

        ChildProcess& startFront(int number)
        {
            return start("front-" + std::to_string(number), "briarhitch-platform-entry",
                { { "fleet", fleet() }, { "region", "fleet" }, { "zone", "a" }, { "http", { { "address", address(number, callerPort) } } }, { "ready", { { "address", address(number, readyPort) } } },
                    { "link", { { "host", host(number) }, { "port", linkPort } } }, { "fleet_key", "fleet key of the tests" }, { "policy", { { "name", "slots" } } },
                    { "limits", { { "heartbeat_interval_ms", 100 }, { "solo_after_ms", 150 }, { "lame_duck_ms", 300 }, { "drain_timeout_ms", 5000 }, { "handover_timeout_ms", 100 } } } });
        }

        static Json document(uint64_t version)
        {
            auto route = [](const std::string& prefix, const std::string& kind, const std::string& service) {
                return Json { { "name", prefix }, { "host", "a.example" }, { "pathPrefix", prefix }, { "kind", kind }, { "timeoutMs", 20000 }, { "targetLatencyMs", 1000 }, { "service", service } };
            };
            return { { "version", version }, { "routes", { route("/charge/", "unsafe", "shop"), route("/plan/", "streaming", "llm") } },
                { "services", { { { "name", "shop" } }, { { "name", "llm" }, { "engine", { { "slots", 4 } } } } } },
                { "tenants", { { { "name", "harbour" }, { "apiKeys", { "key" } } } } } };
        }

        static HttpCallSettings callSettings(const std::string& host, uint16_t port, const std::string& method, const std::string& path, const std::string& body = {}, const HttpHeaders& headers = {})
        {
            HttpCallSettings settings;
            settings.host = host;
            settings.port = port;
            settings.method = method;
            settings.target = path;
            settings.body = body;
            settings.headers = headers;
            settings.headerTimeout = 30s;
            settings.isReuseAllowed = false;
            return settings;
        }

        HttpResponse call(const std::string& host, uint16_t port, const std::string& method, const std::string& path, const std::string& body = {}, const HttpHeaders& headers = {})
        {
            HttpResponse result;
            loop_.spawn([&] {
                if (auto answer = fetch(client_, callSettings(host, port, method, path, body, headers)))
                    result = *answer;
                loop_.stop();
            });
            loop_.run();
            return result;
        }

        static HttpHeaders requestHeaders(const std::string& id, const std::string& key, int deadlineMs)
        {
            return { { "Host", "a.example" }, { "Briarhitch-Request-Id", id }, { "X-Api-Key", key }, { "Briarhitch-Deadline-Ms", std::to_string(deadlineMs) } };
        }

        HttpResponse request(const std::string& path, const std::string& id, const std::string& key = "key", int deadlineMs = 20000)
        {
            return call(host(20), callerPort, "POST", path, "body", requestHeaders(id, key, deadlineMs));
        }

        /** Sends requests side by side, the later ones after `meanwhile`; status 0 where no whole answer came. */
        std::vector<HttpResponse> requestAll(const std::vector<std::pair<std::string, std::string>>& pathsAndIds, const std::function<void()>& meanwhile = {})
        {
            std::vector<HttpResponse> answers(pathsAndIds.size());
            size_t open = pathsAndIds.size();
            for (size_t i = 0; i < pathsAndIds.size(); ++i) {
                loop_.spawn([&, i] {
                    const auto& [path, id] = pathsAndIds[i];
                    if (auto answer = fetch(client_, callSettings(host(20), callerPort, "POST", path, "body", requestHeaders(id, "key", 20000))))
                        answers[i] = *answer;
                    if (--open == 0)
                        loop_.stop();
                });
            }
            if (meanwhile) {
                loop_.spawn([&] {
                    sleepFor(loop_, slowEvent / 2);
                    meanwhile();
                });
            }
            loop_.run();
            return answers;
        }

        /** A fleet of one control process, an owner of pools and a front that answers requests. */
        void startServing()
        {
            startFront(20);
            startPools(4);
            for (int number : { 1, 2, 3 })
                startControl(number, true);
            waitUntil("a leader that takes the document", [&] { return operate(1, "PUT", document(7).dump()).status == 200; });
            waitUntil("the front to be ready", [&] { return call(host(20), readyPort, "GET", "/v1/ready").status == 200; });
            waitUntil("the engine", [&] { return request("/plan/1", "warm-up").status == 200; });
            waitUntil("the service", [&] { return request("/charge/1", "warm-up").status == 200; });
        }

        /** The account that the documented command gives of a request from the logs. */
        std::string explain(const std::string& id)
        {
            std::string logs;
            for (const auto& [name, process] : processes_)
                logs += (logs.empty() ? "" : ",") + folder_ + "/" + name + ".log";
            auto output = folder_ + "/explain.txt";
            std::filesystem::remove(output);
            ChildProcess explainer(std::string(BRIARHITCH_BIN_DIR) + "/briarhitch-ctl", { "explain", id, "--logs=" + logs }, output);
            explainer.waitExit(30s);
            return explainer.log();
        }

        /** Waits until the account tells all of these. */
        void expectExplained(const std::string& id, const std::vector<std::string>& texts)
        {
            std::string account;
            auto tellsAll = [&] {
                account = explain(id);
                return std::all_of(texts.begin(), texts.end(), [&](const std::string& text) { return account.find(text) != std::string::npos; });
            };
            waitUntil("an account of " + id, tellsAll);
            if (HasFailure())
                std::cout << account;
        }

        /** Asks a control process, and the one that it names. */
        HttpResponse operate(int number, const std::string& method, const std::string& body = {})
        {
            auto answer = call(host(number), adminPort, method, "/v1/config", body);
            if (answer.status != 307)
                return answer;
            std::string location(findHeader(answer.headers, "Location"));
            auto begin = location.find("//") + 2;
            return call(location.substr(begin, location.find(':', begin) - begin), adminPort, method, "/v1/config", body);
        }

        static void waitUntil(const std::string& what, const std::function<bool()>& condition)
        {
            auto end = std::chrono::steady_clock::now() + 60s;
            while (!condition()) {
                ASSERT_LT(std::chrono::steady_clock::now(), end) << "waited for " << what;
                std::this_thread::sleep_for(20ms);
            }
        }

        /** Largest resident memory of a running process so far. */
        static size_t peakMemoryKb(pid_t pid)
        {
            std::ifstream status("/proc/" + std::to_string(pid) + "/status");
            for (std::string line; std::getline(status, line);) {
                if (line.starts_with("VmHWM:"))
                    return std::stoul(line.substr(line.find_first_of("0123456789")));
            }
            ADD_FAILURE() << "no peak memory of process " << pid;
            return 0;
        }

        /** Fleets of this process so far; each has addresses of its own. */
        static inline int fleets = 0;

        std::string network_;
        /** Its thread uses it as long as the process runs. */
        StandInPlatform& platform_;
        Loop loop_;
        HttpClient client_ { loop_ };
        std::string folder_;
        std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
    };

    // Guards against a fleet that does not form itself from its seeds, loses a document, or does not serve with an owner killed;
    // and against callers that are cut off when a front is told to end.
    TEST_F(PlatformFleetTest, FormsServesSurvivesAndDrains)
    {
        startFront(20);
        startPools(4);
        startControl(4, true);
        for (int number : { 3, 1, 2 })
            startControl(number, true);
        EXPECT_NE(call(host(20), readyPort, "GET", "/v1/ready").status, 200);
        waitUntil("a leader that takes the document", [&] { return operate(1, "PUT", document(7).dump()).status == 200; });
        EXPECT_EQ(operate(1, "PUT", R"({"version":)").status, 400);
        waitUntil("an older document to be acknowledged by a process that is no seed", [&] { return operate(4, "PUT", document(5).dump()).status == 200; });
        waitUntil("the document, read from a process that is no seed", [&] { return operate(4, "GET").body == document(7).dump(); });
        waitUntil("the front to be ready", [&] { return call(host(20), readyPort, "GET", "/v1/ready").status == 200; });
        waitUntil("a target", [&] { return request("/plan/1", "a0").status == 200; });

        auto charge = request("/charge/1", "a1");
        EXPECT_EQ(charge.status, 200);
        EXPECT_EQ(charge.body, "paid by harbour");
        EXPECT_EQ(findHeader(charge.headers, "Briarhitch-Response-Stamp"), "s");
        EXPECT_EQ(platform_.charges, 1);
        EXPECT_EQ(request("/plan/1", "a2").body, eventText(1) + eventText(2) + eventText(3));
        EXPECT_EQ(request("/plan/1", "a3", "wrong key").status, 401);
        EXPECT_EQ(request("/none/1", "a4").status, 404);

        processes_.at("pools-4")->kill();
        EXPECT_EQ(request("/charge/2", "a5").status, 200) << "the entry chooses by itself";
        processes_.at("control-1")->kill();
        startControl(1, false);
        waitUntil("a leader", [&] { return operate(2, "PUT", document(9).dump()).status == 200; });
        waitUntil("the new document on the process that came back", [&] { return operate(1, "GET").body == document(9).dump(); });

        processes_.at("front-20")->signal(SIGTERM);
        waitUntil("the front to say that it is not ready", [&] { return call(host(20), readyPort, "GET", "/v1/ready").status != 200; });
        EXPECT_EQ(processes_.at("front-20")->waitExit(30s), 0);
        for (const auto& [name, process] : processes_) {
            EXPECT_EQ(process->log().find("\"key\""), std::string::npos) << name;
            EXPECT_EQ(process->log().find("body"), std::string::npos) << name << ": no prompt stands in a log";
        }
    }

    // Guards against failures whose cause on-call engineers cannot find from the id and the logs alone, as docs/OPERATIONS.md
    // tells: refused while busy, a stream that broke off midway, a charge whose outcome is unknown.
    TEST_F(PlatformFleetTest, LogsExplainFailedRequests)
    {
        startServing();
        EXPECT_EQ(request(lostCharge, "c-lost").status, 502);
        expectExplained("c-lost", { "admitted", "granted", "target=i-shop", "attempt failed", "reason=target_failed" });

        EXPECT_EQ(request(brokenPlan, "c-broken").status, 0) << "the answer must not look complete";
        expectExplained("c-broken", { "granted", "target=i-llm", "first event", "attempt failed", "events=2", "reason=target_failed" });

        std::vector<std::pair<std::string, std::string>> slow;
        slow.reserve(enginePlaces);
        for (int i = 0; i < enginePlaces; ++i)
            slow.emplace_back(slowPlan, "slow-" + std::to_string(i));
        HttpResponse busy;
        requestAll(slow, [&] {
            if (auto answer = fetch(client_, callSettings(host(20), callerPort, "POST", "/plan/1", {}, requestHeaders("c-busy", "key", 400))))
                busy = *answer;
        });
        EXPECT_EQ(busy.status, 503);
        EXPECT_NE(findHeader(busy.headers, "Retry-After"), "");
        expectExplained("c-busy", { "admitted", "refused", "reason=deadline_unreachable" });
        auto account = explain("c-busy");
        EXPECT_EQ(account.find("request: granted"), std::string::npos) << account;

        auto metrics = call(host(20), readyPort, "GET", "/metrics").body;
        EXPECT_NE(metrics.find("routed_refusals_total{kind=\"deadline_unreachable\"} 1"), std::string::npos) << metrics;
    }

    // Guards against planned work that cuts requests off: a reload of the settings, a new document, the end of a front.
    TEST_F(PlatformFleetTest, PlannedWorkCutsNothingOff)
    {
        startServing();
        const std::vector<std::pair<std::string, std::string>> requests { { slowPlan, "p1" }, { slowPlan, "p2" }, { "/charge/2", "p3" } };
        auto expectAllAnswered = [&](const std::string& work, const std::function<void()>& meanwhile) {
            for (const auto& answer : requestAll(requests, meanwhile))
                EXPECT_EQ(answer.status, 200) << work;
        };
        expectAllAnswered("SIGHUP", [&] { processes_.at("front-20")->signal(SIGHUP); });
        EXPECT_TRUE(processes_.at("front-20")->isRunning());
        expectAllAnswered("SIGHUP of the owner", [&] { processes_.at("pools-4")->signal(SIGHUP); });
        EXPECT_TRUE(processes_.at("pools-4")->isRunning());
        expectAllAnswered("a new document", [&] {
            for (int number : { 1, 2, 3 }) {
                (void)fetch(client_, callSettings(host(number), adminPort, "PUT", "/v1/config", document(8).dump()));
            }
        });
        EXPECT_EQ(operate(1, "GET").body, document(8).dump());
        expectAllAnswered("SIGTERM of the owner", [&] { processes_.at("pools-4")->signal(SIGTERM); });
        expectAllAnswered("SIGTERM", [&] { processes_.at("front-20")->signal(SIGTERM); });
        EXPECT_EQ(processes_.at("front-20")->waitExit(30s), 0);
    }

    // Guards against servers in trouble that send bytes for as long as somebody reads: they take the memory of a small entry VM,
    // or the time of the requests beside them.
    TEST_F(PlatformFleetTest, AnswersWithoutEndLeaveRoomForOthers)
    {
        constexpr int endlessCalls = 25;
        constexpr int goodCalls = 20;
        platform_.places = 3 * endlessCalls;
        startServing();
        std::vector<std::pair<std::string, std::string>> requests;
        for (int i = 0; i < endlessCalls; ++i) {
            requests.emplace_back(endlessPlan, "plan-" + std::to_string(i));
            requests.emplace_back(endlessCharge, "charge-" + std::to_string(i));
        }
        for (int i = 0; i < goodCalls; ++i)
            requests.emplace_back("/charge/1", "good-" + std::to_string(i));
        auto answers = requestAll(requests);
        for (size_t i = 0; i < requests.size(); ++i) {
            const auto& [path, id] = requests[i];
            if (path == endlessPlan)
                EXPECT_EQ(answers[i].status, 0) << id << ": a stream that was cut off must not look complete";
            else
                EXPECT_EQ(answers[i].status, path == endlessCharge ? 502 : 200) << id;
        }
        auto& front = *processes_.at("front-20");
        EXPECT_TRUE(front.isRunning());
        EXPECT_LT(peakMemoryKb(front.pid()), smallestEntryKb);
    }

    // Guards against a voter that acknowledges what it could not write, or that never comes back from a full disk.
    TEST_F(PlatformFleetTest, ControlWithoutRoomForItsLogEndsAndComesBackWithAllDocuments)
    {
        startControl(1, true);
        startControl(2, true);
        auto& full = startControlWithLittleRoom(3);
        waitUntil("a leader that takes the document", [&] { return operate(1, "PUT", document(7).dump()).status == 200; });
        uint64_t version = 7;
        for (; full.isRunning() && version < 200; ++version)
            waitUntil("document " + std::to_string(version), [&] { return operate(1, "PUT", document(version).dump()).status == 200; });
        EXPECT_EQ(full.waitExit(30s), 1);
        EXPECT_NE(full.log().find("cannot make the log durable"), std::string::npos);
        waitUntil("a document without the third voter", [&] { return operate(1, "PUT", document(version).dump()).status == 200; });
        startControl(3, false);
        waitUntil("the last document on the voter that came back", [&] { return operate(3, "GET").body == document(version).dump(); });
    }

}
}
