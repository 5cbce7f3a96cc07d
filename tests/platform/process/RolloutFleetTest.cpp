#include "briarhitch/http/HttpClient.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/runtime/Loop.h"
#include "platform/process/PlatformProcesses.h"

#include <array>
#include <atomic>
#include <gtest/gtest.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace briarhitch::platform {
namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr int targetsOfVersion = 3;
    constexpr int targetSlots = 8;
    constexpr size_t callers = 12;
    /** The first callers send long requests, which a completion must wait for. */
    constexpr size_t longCallers = 2;
    constexpr Duration shortWork = 20ms;
    constexpr Duration longWork = 1500ms;
    constexpr Duration callerPause = 20ms;
    constexpr auto rolloutDuration = 10s;
    constexpr Duration maxWait = 60s;
    /** Requests go on for this time after the rollout has ended. */
    constexpr Duration timeAfterEnd = 2s;
    /** A rollback is read from the leader; the nodes apply it within this time. */
    constexpr Duration applyTime = 1s;
    constexpr double exposeShare = 0.1;
    constexpr int exposeSlack = 50;
    constexpr Duration rollbackTime = 5s;

    enum Version : uint8_t {
        Old,
        New,
    };
    constexpr std::array versionNames { "v1", "v2" };

    /** The platform's list of servers and the targets of both versions of one service, in a thread that ends with the process. */
    class VersionedService {
    public:
        explicit VersionedService(const PlatformProcesses& fleet)
            : fleet_(fleet.addressPrefix())
        {
            std::thread([this] { serve(); }).detach();
            while (!isServing_)
                std::this_thread::yield();
        }

        std::atomic<bool> isNewVersionListed { false };
        /** All answers of the new version are errors. */
        std::atomic<bool> isNewVersionBad { false };
        std::array<std::atomic<int>, 2> arrivals {};
        std::array<std::atomic<int>, 2> running {};
        /** Time of the last arrival at the new version and of its answer number `exposeSlack`, as counts of the clock. */
        std::atomic<Duration::rep> lastNewArrival { 0 };
        std::atomic<Duration::rep> lastFreeAnswer { 0 };

    private:
        [[nodiscard]] std::string host(Version version, int number) const { return fleet_ + std::to_string(60 + 10 * version + number); }

        void serve()
        {
            Loop loop;
            std::vector<std::unique_ptr<HttpServer>> servers;
            auto listen = [&](const std::string& host, const std::function<void(const HttpRequest&, HttpExchange&)>& handler) {
                HttpServerSettings settings;
                settings.host = host;
                settings.port = PlatformProcesses::platformPort;
                auto listening = HttpServer::listen(loop, settings, handler);
                ASSERT_TRUE(listening) << listening.error().message;
                servers.push_back(std::move(*listening));
            };
            loop.spawn([&] {
                listen(fleet_ + "50", [this](const HttpRequest&, HttpExchange& exchange) { sendList(exchange); });
                for (auto version : { Old, New }) {
                    for (int number = 0; number < targetsOfVersion; ++number)
                        listen(host(version, number), [this, &loop, version](const HttpRequest& request, HttpExchange& exchange) { respond(loop, version, request, exchange); });
                }
                isServing_ = true;
            });
            loop.run();
        }

        void sendList(HttpExchange& exchange)
        {
            Json list { { "instances", Json::array() }, { "next", nullptr } };
            for (auto version : { Old, New }) {
                for (int number = 0; number < targetsOfVersion && (version == Old || isNewVersionListed); ++number) {
                    list["instances"].push_back({ { "id", std::string(versionNames.at(version)) + "-" + std::to_string(number) }, { "service", "shop" }, { "address", host(version, number) + ":" + std::to_string(PlatformProcesses::platformPort) },
                        { "zone", "a" }, { "version", versionNames.at(version) }, { "slots", targetSlots }, { "state", "ready" } });
                }
            }
            exchange.send(200, { { "Content-Type", "application/json" } }, list.dump());
        }

        void respond(Loop& loop, Version version, const HttpRequest& request, HttpExchange& exchange)
        {
            ++running.at(version);
            int number = ++arrivals.at(version);
            if (version == New)
                lastNewArrival = BootClock::now().time_since_epoch().count();
            sleepFor(loop, request.path.starts_with("/report/") ? longWork : shortWork);
            HttpHeaders headers { { "Briarhitch-Request-Id", std::string(request.header("Briarhitch-Request-Id")) }, { "Briarhitch-Response-Stamp", "s" } };
            exchange.send(version == New && isNewVersionBad ? 500 : 200, headers, versionNames.at(version));
            if (version == New && number == exposeSlack)
                lastFreeAnswer = BootClock::now().time_since_epoch().count();
            --running.at(version);
        }

        std::string fleet_;
        std::atomic<bool> isServing_ { false };
    };

    class RolloutFleetTest : public testing::Test {
    protected:
        struct Answer {
            Instant sentAt;
            int status;
            std::string version;
        };

        RolloutFleetTest()
            : service_(*new VersionedService(fleet_))
        {
            fleet_.setCommonSettings({ { "rollout", { { "expose_share", exposeShare }, { "expose_slack", exposeSlack }, { "rollback_ms", toMs(rollbackTime) } } } });
        }
        ~RolloutFleetTest() override
        {
            for (auto& [name, process] : fleet_.all()) {
                process->kill();
                if (HasFailure())
                    std::cout << "log of " << name << ":\n"
                              << process->log() << "\n";
            }
        }

        [[nodiscard]] HttpResponse request(size_t caller, int number)
        {
            auto id = "r-" + std::to_string(caller) + "-" + std::to_string(number);
            std::string path = caller < longCallers ? "/report/1" : "/charge/1";
            auto response = fetch(client_, PlatformProcesses::callSettings(fleet_.host(20 + static_cast<int>(caller % 2)), PlatformProcesses::callerPort, "POST", path, "body", PlatformProcesses::requestHeaders(id, "key", 20000)));
            return response ? *response : HttpResponse {};
        }

        /** In a fiber, like the functions below. */
        void waitUntil(const std::string& what, const std::function<bool()>& condition)
        {
            auto end = BootClock::now() + maxWait;
            while (!condition()) {
                ASSERT_LT(BootClock::now(), end) << "waited for " << what;
                sleepFor(loop_, 50ms);
            }
        }

        void startFleet()
        {
            for (int number : { 20, 21 })
                fleet_.startFront(number);
            fleet_.startPoolOwner(4);
            for (int number : { 1, 2, 3 })
                fleet_.startControl(number, true);
            auto route = [](const std::string& prefix) {
                return Json { { "name", prefix }, { "host", "a.example" }, { "pathPrefix", prefix }, { "kind", "unsafe" }, { "timeoutMs", 20000 }, { "targetLatencyMs", 5000 }, { "service", "shop" } };
            };
            Json document { { "version", 7 }, { "routes", { route("/charge/"), route("/report/") } }, { "services", { { { "name", "shop" } } } }, { "tenants", { { { "name", "harbour" }, { "apiKeys", { "key" } } } } } };
            waitUntil("the routing document", [&] { return fleet_.callOperatorApi(client_, 1, "PUT", document.dump()).status == 200; });
            for (size_t caller : { size_t { 0 }, size_t { 1 } }) {
                waitUntil("an answer through front " + std::to_string(caller), [&] { return request(caller, -1).status == 200; });
            }
        }

        [[nodiscard]] std::string rolloutState()
        {
            auto response = fleet_.callOperatorApi(client_, 1, "GET", {}, "/v1/rollouts/shop");
            return response.status == 200 ? Json::parse(response.body).at("state").get<std::string>() : "";
        }

        /** Orders the new version and lists its targets. */
        void order()
        {
            Json body { { "service", "shop" }, { "target", versionNames.at(New) }, { "durationS", rolloutDuration.count() } };
            waitUntil("the order", [&] { return fleet_.callOperatorApi(client_, 1, "POST", body.dump(), "/v1/rollouts").status == 200; });
            service_.isNewVersionListed = true;
        }

        /** Runs `rollout` in a fiber while the callers send requests. */
        void runUnderLoad(const std::function<void()>& rollout)
        {
            loop_.spawn([&] {
                startFleet();
                size_t active = callers;
                isEnding_ = HasFatalFailure();
                for (size_t caller = 0; caller < callers; ++caller) {
                    loop_.spawn([&, caller] {
                        for (int number = 0; !isEnding_; ++number) {
                            auto sentAt = BootClock::now();
                            auto response = request(caller, number);
                            answers_.push_back({ sentAt, response.status, response.body });
                            sleepFor(loop_, callerPause);
                        }
                        --active;
                    });
                }
                if (!isEnding_)
                    rollout();
                isEnding_ = true;
                while (active > 0)
                    sleepFor(loop_, 10ms);
                loop_.stop();
            });
            loop_.run();
        }

        PlatformProcesses fleet_ { BRIARHITCH_BIN_DIR };
        VersionedService& service_;
        Loop loop_;
        HttpClient client_ { loop_ };
        std::vector<Answer> answers_;
        /** No caller sends a further request. */
        bool isEnding_ { false };
    };

    // Guards against a completion that cuts off requests on old targets, and against requests that are lost or that still go to
    // old targets after it; short and long requests of steady callers at two entries.
    TEST_F(RolloutFleetTest, GoodVersionCompletesWithoutALostRequest)
    {
        Instant completedAt {};
        int runningOld = -1;
        int arrivedOld = -1;
        int arrivedNew = -1;
        runUnderLoad([&] {
            order();
            waitUntil("completed", [&] {
                int before = service_.arrivals[New];
                auto state = rolloutState();
                runningOld = service_.running[Old];
                arrivedOld = service_.arrivals[Old];
                EXPECT_NE(state, "rolled_back");
                if (state == "running")
                    arrivedNew = before;
                return state == "completed" || state == "rolled_back";
            });
            completedAt = BootClock::now();
            sleepFor(loop_, timeAfterEnd);
        });
        EXPECT_GT(arrivedNew, 0);
        EXPECT_EQ(runningOld, 0);
        EXPECT_EQ(service_.arrivals[Old], arrivedOld) << "requests to old targets after the rollout was completed";
        size_t after = 0;
        for (const auto& answer : answers_) {
            EXPECT_EQ(answer.status, 200);
            if (answer.sentAt < completedAt)
                continue;
            ++after;
            EXPECT_EQ(answer.version, versionNames[New]);
        }
        EXPECT_GT(after, callers);
    }

    // Guards against a bad version that gets more than its share of the requests, or requests after it was rolled back; all
    // answers of the version are errors.
    TEST_F(RolloutFleetTest, BadVersionIsRolledBackWithinItsBounds)
    {
        service_.isNewVersionBad = true;
        int all = 0;
        int toNew = 0;
        int atRollback = -1;
        runUnderLoad([&] {
            int before = service_.arrivals[Old];
            auto deadline = BootClock::now() + rolloutDuration;
            order();
            waitUntil("rolled back", [&] {
                auto state = rolloutState();
                EXPECT_NE(state, "completed");
                return state == "rolled_back" || state == "completed";
            });
            sleepFor(loop_, applyTime);
            atRollback = service_.arrivals[New];
            while (BootClock::now() < deadline)
                sleepFor(loop_, 50ms);
            toNew = service_.arrivals[New];
            all = service_.arrivals[Old] - before + toNew;
            sleepFor(loop_, timeAfterEnd);
        });
        EXPECT_GT(atRollback, 0);
        EXPECT_EQ(service_.arrivals[New], atRollback) << "requests to the bad version after it was rolled back";
        EXPECT_LE(toNew, exposeShare * all + exposeSlack);
        if (service_.lastFreeAnswer > 0) {
            EXPECT_LE(Duration(service_.lastNewArrival - service_.lastFreeAnswer), rollbackTime);
        }
        size_t failed = 0;
        for (const auto& answer : answers_) {
            EXPECT_NE(answer.status, 0);
            failed += answer.status == 200 ? 0 : 1;
        }
        EXPECT_LE(failed, static_cast<size_t>(atRollback)) << "only requests to the bad version fail";
    }

}
}
