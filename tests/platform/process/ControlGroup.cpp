#include "platform/process/ControlGroup.h"

#include "briarhitch/core/Digest.h"

#include <chrono>
#include <filesystem>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace briarhitch::platform {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr auto operatorKey = "operator key of the tests";

}

ControlGroup::ControlGroup(int count)
{
    for (int number = 1; number <= count; ++number)
        start(number, true);
}

void ControlGroup::start(int number, bool mayBootstrap)
{
    numbers_.insert(number);
    auto settings = fleet_.controlSettings(number, mayBootstrap);
    settings["rollout"] = { { "expose_share", 0.1 }, { "expose_slack", 50 }, { "rollback_ms", 5000 } };
    settings["operator_key_hashes"] = { sha256Hex(operatorKey) };
    fleet_.start(nameOf(number), "briarhitch-platform-control", settings, { "--instances=" + fleet_.address(50, PlatformProcesses::platformPort) });
}

void ControlGroup::startWithEmptyDisk(int number)
{
    std::filesystem::remove_all(fleet_.controlSettings(number, false).at("data_folder").get<std::string>());
    start(number, false);
}

HttpResponse ControlGroup::call(int number, const std::string& method, const std::string& path, const std::string& body)
{
    HttpResponse result;
    loop_.spawn([&] {
        result = fleet_.callOperatorApi(client_, number, method, body, path);
        loop_.stop();
    });
    loop_.run();
    return result;
}

HttpResponse ControlGroup::callDirectly(int number, const std::string& path)
{
    HttpResponse result;
    loop_.spawn([&] {
        auto settings = PlatformProcesses::callSettings(fleet_.host(number), PlatformProcesses::adminPort, "GET", path, {}, { { "Authorization", std::string("Bearer ") + operatorKey } });
        if (auto response = fetch(client_, settings))
            result = *response;
        loop_.stop();
    });
    loop_.run();
    return result;
}

int ControlGroup::leader()
{
    for (int number : numbers_) {
        if (!process(number).isRunning())
            continue;
        // Others redirect to the leader, or answer that there is none.
        int status = callDirectly(number, "/v1/rollouts/shop").status;
        if (status == 200 || status == 404)
            return number;
    }
    return 0;
}

std::set<int> ControlGroup::voters()
{
    int number = leader();
    if (number == 0)
        return {};
    auto status = Json::parse(callDirectly(number, "/v1/status").body, nullptr, false);
    std::set<int> numbers;
    // A node's id is its address, of which the last part is the number.
    for (uint32_t node : status["log"]["voters"])
        numbers.insert(static_cast<int>(node & 0xff));
    return numbers;
}

void ControlGroup::waitUntil(const std::string& what, const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + 60s;
    while (!condition()) {
        ASSERT_LT(std::chrono::steady_clock::now(), end) << "waited for " << what;
        std::this_thread::sleep_for(20ms);
    }
}

}
